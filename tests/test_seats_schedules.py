"""Runs seeded random schedules of simulated members; without any one of the safety guards, some must fail."""

import random

import pytest

from indigohitch.fleet.seats import allocator, part, pool, server_clock
from indigohitch.fleet.seats.contract import Terms
from indigohitch.fleet.types import Lease
from seats_random_schedule import run_random_schedule

SECOND = 10_000


def random_terms(rng):
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
def test_use_never_exceeds_the_contract_and_no_seat_leaks(seed):
    rng = random.Random(seed)
    fleet = run_random_schedule(rng, random_terms(rng), seconds=25)
    assert fleet.counts["given"] > 30


def free_seats_of_unreported_jobs(monkeypatch):
    """Frees a seat 0.2 s after its allocation, although the end of its job was not reported."""
    original = allocator.SeatAllocator.allocate

    def allocate(self, now, feature, tenant, key, max_duration):
        allocation = original(self, now, feature, tenant, key, max_duration)
        if isinstance(allocation, allocator.Allocation):
            self.expire_at(now + SECOND // 5, allocation)
        return allocation

    monkeypatch.setattr(allocator.SeatAllocator, "allocate", allocate)


def extend_lease(monkeypatch):
    original = allocator.SeatAllocator.turn

    def turn(self, now, lease):
        original(self, now, lease and Lease(lease.incarnation, lease.until + SECOND))

    monkeypatch.setattr(allocator.SeatAllocator, "turn", turn)


def end_no_jobs_at_servers(monkeypatch):
    monkeypatch.setattr(server_clock.Meter, "overdue", lambda self, now: [])


def accept_at_servers(verdict, same_boot=True):
    """Returns a patch with which servers accept jobs that they would refuse with this verdict.

    `same_boot`: whether those are jobs with the server's current boot id, or with another one.
    """

    def patch(monkeypatch):
        original = server_clock.Meter.verdict

        def patched_verdict(self, now, seat_pass):
            decided = original(self, now, seat_pass)
            accepted = decided is verdict and (seat_pass.boot == self.boot) is same_boot
            return server_clock.Verdict.ACCEPTED if accepted else decided

        monkeypatch.setattr(server_clock.Meter, "verdict", patched_verdict)

    return patch


def ignore_drift(monkeypatch):
    original = server_clock.ServerClocks.__init__

    def patched_init(self, drift):
        original(self, drift)
        self.drift = 0.0

    monkeypatch.setattr(server_clock.ServerClocks, "__init__", patched_init)


def assign_seats_being_returned(monkeypatch):
    original = pool.SeatPool.set_aside_owed

    def set_aside_owed(self):
        idle = list(self.idle)
        original(self)
        self.idle, self.seats = idle, {**self.seats, **self.returning}

    monkeypatch.setattr(pool.SeatPool, "set_aside_owed", set_aside_owed)
    monkeypatch.setattr(pool.SeatPool, "usable", property(lambda self: len(self.seats)))


def grant_more_than_contracted(monkeypatch):
    monkeypatch.setattr(part.Feature, "grantable", lambda self, pool: len(self.free))


PATCHES_WITHOUT_GUARD = {
    "unheard": free_seats_of_unreported_jobs,
    "lease": extend_lease,
    "end": end_no_jobs_at_servers,
    "late": accept_at_servers(server_clock.Verdict.EXPIRED),
    "boot": accept_at_servers(server_clock.Verdict.EXPIRED, False),
    "twice": accept_at_servers(server_clock.Verdict.DUPLICATE),
    "drift": ignore_drift,
    "returning": assign_seats_being_returned,
    "room": grant_more_than_contracted,
}


@pytest.mark.parametrize("guard", PATCHES_WITHOUT_GUARD)
def test_schedules_fail_without_a_guard(guard, monkeypatch):
    PATCHES_WITHOUT_GUARD[guard](monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(60):
            rng = random.Random(seed)
            run_random_schedule(rng, random_terms(rng), seconds=25)
