"""The state machine's part `seats` and the allocator, in plain cases; moves of shares, drawn."""

import random

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.seats.allocator import Allocation, SeatAllocator, SeatSettings
from indigohitch.fleet.seats.contract import Contract, Grant, Recall, Return, Terms
from indigohitch.fleet.seats.nodeclock import Meter, Nodes, Verdict, header, read
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.rebalancing import MemberDemand, fair_parts, rebalance
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, Stamp

SECOND = 10_000
SETTINGS = SeatSettings(place_kept=2 * SECOND, come_back=SECOND, drift=0.01)


class Acts:
    may, number = True, 0

    def stamp(self, now, kind, about):
        self.number += 1
        return Stamp("a", 1, 1, 1, self.number) if self.may else None


class One:
    """A part, and an allocator of member `a` over it."""

    def __init__(self, *terms):
        self.part, self.time, self.index, self.edition = Seats(), 10**9, 0, 0
        ReplicatedStateMachine([self.part])
        self.acts = Acts()
        self.allocator = SeatAllocator("a", self.part, self.acts, lambda now: self.time + now, SETTINGS)
        self.allocator.turn(0, Lease(1, 10 * SECOND))
        self.contract(*terms)

    def does(self, word, row, who="a", incarnation=1):
        self.index += 1
        told = self.part.apply(EntryContext(self.index, 1, self.time, who, incarnation), word, row)
        self.allocator.sync()
        return told

    def contract(self, *terms):
        self.edition += 1
        self.does("contract", Contract(self.edition, terms))

    def grant(self, count, who="a", pool="", incarnation=1):
        return self.does("grant", Grant("geo", pool, who, incarnation, count), "lead")

    def ask(self, now=0, tenant="", key="", longest=SECOND):
        found = self.allocator.allocate(now, "geo", tenant, key, longest)
        return found if isinstance(found, Allocation) else None


def test_nothing_is_granted_beyond_the_contract_or_to_one_that_is_gone():
    one = One(Terms("geo", 3, keep=(("ta", 1),)))
    for pool, count in (("", 3), ("ta", 2), ("tb", 1)):
        with pytest.raises(InvalidRequestError):
            one.grant(count, pool=pool)
    one.grant(2)
    one.part.on_member_lease_expired(EntryContext(9, 1, 0, "lead", 1), "a", 1)
    assert not one.part.features["geo"].held()
    with pytest.raises(InvalidRequestError, match="gone"):
        one.grant(1)
    one.grant(2, incarnation=2)


def test_a_return_that_comes_again_later_frees_nothing():
    one = One(Terms("geo", 1))
    (seat,) = one.grant(1)
    assert one.does("return", Return("geo", "", (seat,))) == 1
    (again,) = one.grant(1)
    assert again[0] == seat[0] and again[1] > seat[1]
    assert one.does("return", Return("geo", "", (seat,))) == 0
    assert one.does("return", Return("geo", "", (again,)), "b") == 0, "by another one"


def test_a_cut_levels_shares_and_is_in_force_once_all_is_returned():
    one = One(Terms("geo", 12, drain=5 * SECOND))
    held = {who: one.grant(count, who) for who, count in (("a", 7), ("b", 3), ("c", 2))}
    one.contract(Terms("geo", 4, drain=5 * SECOND))
    found = one.part.features["geo"]
    assert {k[1]: s.net for k, s in found.shares.items()} == {"a": 1, "b": 1, "c": 2} and found.over() == 8
    with pytest.raises(InvalidRequestError):
        one.grant(1, "c")
    out = [one.ask() for _ in range(2)]  # a keeps one: the other six are owed
    assert out[0] and not out[1]
    (row,) = one.allocator.returns()
    assert len(row.seats) == 6 and one.does("return", row) == 6
    one.does("return", Return("geo", "", tuple(held["b"][:2])), "b")
    assert not found.over() and not one.allocator.returns() and one.allocator.pools["geo", ""].debt == 0


def test_of_an_edition_there_is_one_and_none_goes_back():
    one = One(Terms("geo", 2))
    one.does("contract", Contract(1, (Terms("geo", 2),)))
    for edition, seats in ((1, 3), (0, 2), (2, 0)):
        with pytest.raises(InvalidRequestError):
            one.does("contract", Contract(edition, (Terms("geo", seats),)))
    one.grant(1)
    one.does("contract", Contract(2, ()))
    assert one.part.features["geo"].over() == 1 and not one.ask()


def test_giving_ends_with_lease_contract_and_right_to_act():
    one = One(Terms("geo", 4, since=10**9 - 1, until=10**9 + 8 * SECOND))
    one.grant(4)
    assert one.ask(longest=100 * SECOND).until == 8 * SECOND * 99 // 100
    assert one.ask(now=7 * SECOND, longest=100 * SECOND) and not one.ask(now=8 * SECOND)
    one.contract(Terms("geo", 4))
    assert one.ask(now=8 * SECOND, longest=100 * SECOND).until == 10 * SECOND
    one.acts.may = False
    assert not one.ask(now=9 * SECOND) and len(one.allocator.pools["geo", ""].assignments) == 1
    one.acts.may = True
    assert not one.ask(now=10 * SECOND)


def test_a_node_has_one_seat_that_lingers_and_a_tenant_its_own():
    one = One(Terms("geo", 3, "node", linger=SECOND, keep=(("ta", 1),)))
    one.grant(2)
    one.grant(1, pool="ta")
    first, second = one.ask(key="n1"), one.ask(key="n1")
    assert first.given == second.given and one.ask(key="n2") and not one.ask(key="n3")
    assert one.ask(tenant="ta", key="n3")
    one.allocator.release(0, first)
    one.allocator.release(10, second)
    assert not one.ask(now=SECOND, key="n4"), "it lingers"
    assert one.ask(now=SECOND + 10, key="n4").given.number == first.given.number


def test_one_that_asks_for_everything_leaves_the_next_seat_to_who_waits():
    one = One(Terms("geo", 4))
    one.grant(4)
    greedy = [one.ask(tenant="all") for _ in range(4)]
    assert all(greedy) and not one.ask(tenant="tb")
    one.allocator.release(10, greedy[0])
    assert not one.ask(now=20, tenant="all") and one.ask(now=20, tenant="tb")
    one.allocator.release(30, greedy[1])
    assert one.ask(now=40, tenant="all"), "nobody waits any more"
    assert not one.ask(now=50, tenant="tc")
    one.allocator.release(60, greedy[2])
    assert one.ask(now=70 + 2 * SECOND, tenant="all"), "it did not come back"


@pytest.mark.parametrize("seed", range(8))
def test_the_longest_wait_of_a_tenant_within_its_part(seed):
    """Ten greedy clients of one tenant against one that wants a single seat: it waits for one job at most."""
    rng, one = random.Random(seed), One(Terms("geo", 4))
    one.grant(4)
    one.allocator.lease = Lease(1, 10**9)
    out, since, longest = [], 0, 0
    for now in range(0, 60 * SECOND, 50):
        for ticket in [t for t in out if t[0] <= now]:
            out.remove(ticket)
            one.allocator.release(now, ticket[1])
        for tenant in ["all"] * 10 + ["tb"]:
            if tenant == "tb" and any(t[2] == "tb" for t in out):
                since = now
                continue
            if (ticket := one.ask(now, tenant)) is not None:
                longest = max(longest, now - since) if tenant == "tb" else longest
                out.append((now + rng.randint(1, SECOND), ticket, tenant))
    assert longest <= SECOND + 100


def test_a_server_refuses_what_is_late_old_twice_or_of_another_boot():
    nodes, meter, stamps = Nodes(SETTINGS.drift), Meter("b1"), iter(range(1, 99))
    one = One(Terms("geo", 1))
    one.grant(1)
    assert nodes.end("s", 5000) == ("", 0)
    nodes.heard("s", "b1", 700, 1000)
    assert nodes.end("s", 11_000) == ("b1", 700 + 9900)

    def shown(uses, boot="b1", until=5000):
        given = one.ask().given
        one.allocator.pools["geo", ""].unassign(0, next(iter(one.allocator.pools["geo", ""].assignments)))
        text = f"geo {given.number} {given.counter} {uses} 0 {boot} {until} a 1 1 1 {next(stamps)}"
        assert header(read(text)) == text
        return read(text)

    for now, row, verdict in (
        (10, shown(2), Verdict.TAKEN),
        (10, shown(2), Verdict.TWICE),
        (10, shown(1), Verdict.OLD),
        (10, shown(3, "b0"), Verdict.LATE),
        (5000, shown(3), Verdict.LATE),
        (10, shown(3), Verdict.TAKEN),
    ):
        assert meter.takes(now, row)[0] is verdict
    assert len(meter.overdue(5000)) == 2 and not meter.in_use("geo")
    assert read("geo 1 x") is None and read("") is None


@pytest.mark.parametrize("seed", range(60))
def test_moves_end_and_leave_nobody_wanting_beside_idle_seats(seed):
    rng = random.Random(seed)
    size, demands = rng.randint(1, 40), [rng.choice((0, 1, 3, 30)) for _ in range(rng.randint(1, 9))]
    net, rounds = [0] * len(demands), 0
    while True:
        members = [
            MemberDemand(f"m{i}", 1, n, min(n, d), max(0, d - n))
            for i, (n, d) in enumerate(zip(net, demands))
        ]
        moves = rebalance(size, size - sum(net), 0, members)
        if not moves.grants and not moves.recalls:
            break
        for move in moves.grants:
            net[int(move.member.name[1:])] += move.count
        for move in moves.recalls:
            net[int(move.member.name[1:])] -= move.count
        assert min(net) >= 0 and sum(net) <= size
        if rounds == 0:  # the wanting turns round once
            demands.reverse()
        rounds += 1
        assert rounds < 80, "they go to and fro"
    due = fair_parts(size, demands).parts
    assert sum(max(0, d - n) for d, n in zip(due, net)) <= len(net), (demands, net)
    assert all(n for n, d in zip(net, due) if d) or size < len(demands)


def test_fewer_seats_than_members_that_want_some_go_round():
    net, had = [0] * 5, [0] * 5
    for step in range(60):
        members = [MemberDemand(f"m{i}", 1, n, n, 1) for i, n in enumerate(net)]
        moves = rebalance(2, 2 - sum(net), 0, members, step // 6)
        for sign, rows in ((1, moves.grants), (-1, moves.recalls)):
            for move in rows:
                net[int(move.member.name[1:])] += sign * move.count
        had = [h + bool(n) for h, n in zip(had, net)]
    assert min(had) >= 10 and sum(net) <= 2


def test_the_state_machine_goes_through_a_snapshot():
    one = One(Terms("geo", 5, keep=(("ta", 2),)))
    one.grant(2)
    one.grant(1, "b", "ta")
    one.does("recall", Recall("geo", "", "a", 1, 1))
    one.part.on_member_lease_expired(EntryContext(9, 1, 0, "lead", 1), "c", 4)
    state_machine, other = one.part.state_machine, ReplicatedStateMachine([Seats()])
    other.restore(state_machine.snapshot())
    assert other.digest() == state_machine.digest()
    assert other.parts["seats"].features["geo"].free == one.part.features["geo"].free
