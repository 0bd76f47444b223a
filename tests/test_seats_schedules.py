"""Seeded schedules of the pure parts by a true meter; and each guard, taken away, is missed."""

import random

import pytest

from indigohitch.fleet.seats import allocator, nodeclock, part, pool
from indigohitch.fleet.seats.contract import Terms
from indigohitch.fleet.types import Lease
from seatdays import schedule

SECOND = 10_000


def terms(rng):
    return [
        Terms(
            "geo",
            rng.choice((3, 6, 12)),
            rng.choice(("job", "job", "node", "user")),
            linger=rng.choice((0, SECOND // 2)),
            drain=SECOND,
            keep=rng.choice(((), (("ta", 1),))),
        )
    ]


@pytest.mark.parametrize("seed", range(24))
def test_never_more_than_contracted_and_none_lost(seed):
    rng = random.Random(seed)
    world = schedule(rng, terms(rng), seconds=25)
    assert world.counts["given"] > 30


def frees_what_is_unheard(monkeypatch):
    """As if a deadline that has passed told that the job is over."""
    was = allocator.SeatAllocator.allocate

    def ask(self, now, feature, tenant, key, longest):
        found = was(self, now, feature, tenant, key, longest)
        if isinstance(found, allocator.Allocation):
            self.expire_at(now + SECOND // 5, found)
        return found

    monkeypatch.setattr(allocator.SeatAllocator, "allocate", ask)


def lease_taken_as_longer(monkeypatch):
    was = allocator.SeatAllocator.turn

    def turn(self, now, lease):
        was(self, now, lease and Lease(lease.incarnation, lease.until + SECOND))

    monkeypatch.setattr(allocator.SeatAllocator, "turn", turn)


def server_ends_nothing(monkeypatch):
    monkeypatch.setattr(nodeclock.Meter, "overdue", lambda self, now: [])


def server_takes(verdict, of_this_boot=True):
    def guard(monkeypatch):
        was = nodeclock.Meter.verdict

        def judged(self, now, shown):
            found = was(self, now, shown)
            wanted = found is verdict and (shown.boot == self.boot) is of_this_boot
            return nodeclock.Verdict.TAKEN if wanted else found

        monkeypatch.setattr(nodeclock.Meter, "verdict", judged)

    return guard


def drift_not_counted(monkeypatch):
    was = nodeclock.Nodes.__init__

    def without(self, drift):
        was(self, drift)
        self.drift = 0.0

    monkeypatch.setattr(nodeclock.Nodes, "__init__", without)


def given_while_returning(monkeypatch):
    was = pool.SeatPool.set_aside_owed

    def owe(self):
        idle = list(self.idle)
        was(self)
        self.idle, self.seats = idle, {**self.seats, **self.returning}

    monkeypatch.setattr(pool.SeatPool, "set_aside_owed", owe)
    monkeypatch.setattr(pool.SeatPool, "usable", property(lambda self: len(self.seats)))


def granted_over_the_contract(monkeypatch):
    monkeypatch.setattr(part.Feature, "room", lambda self, pool: len(self.free))


GUARDS = {
    "unheard": frees_what_is_unheard,
    "lease": lease_taken_as_longer,
    "end": server_ends_nothing,
    "late": server_takes(nodeclock.Verdict.LATE),
    "boot": server_takes(nodeclock.Verdict.LATE, False),
    "twice": server_takes(nodeclock.Verdict.TWICE),
    "drift": drift_not_counted,
    "returning": given_while_returning,
    "room": granted_over_the_contract,
}


@pytest.mark.parametrize("name", GUARDS)
def test_a_guard_that_is_taken_away_is_missed(name, monkeypatch):
    GUARDS[name](monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(60):
            rng = random.Random(seed)
            schedule(rng, terms(rng), seconds=25)
