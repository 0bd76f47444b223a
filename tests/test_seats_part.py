"""Tests the replicated state of seats, the allocator, the check at servers, and rebalancing."""

import random

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.seats.allocator import Allocation, SeatAllocator, SeatSettings
from indigohitch.fleet.seats.contract import Contract, Grant, Recall, Return, Terms
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.rebalancing import MemberDemand, fair_shares, rebalance
from indigohitch.fleet.seats.server_clock import Meter, ServerClocks, Verdict, format_pass, parse_pass
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, Stamp

SECOND = 10_000
SETTINGS = SeatSettings(queue_place_lifetime=2 * SECOND, retry_after=SECOND, drift=0.01)


class ActionRecorder:
    allowed, number = True, 0

    def stamp(self, now, kind, about):
        self.number += 1
        return Stamp("a", 1, 1, 1, self.number) if self.allowed else None


class SeatsHarness:
    """The replicated state of seats, and the allocator of member `a` over it."""

    def __init__(self, *terms):
        self.part, self.time, self.index, self.edition = Seats(), 10**9, 0, 0
        ReplicatedStateMachine([self.part])
        self.recorder = ActionRecorder()
        self.allocator = SeatAllocator("a", self.part, self.recorder, lambda now: self.time + now, SETTINGS)
        self.allocator.turn(0, Lease(1, 10 * SECOND))
        self.contract(*terms)

    def apply(self, kind, row, proposer="a", incarnation=1):
        self.index += 1
        result = self.part.apply(EntryContext(self.index, 1, self.time, proposer, incarnation), kind, row)
        self.allocator.sync()
        return result

    def contract(self, *terms):
        self.edition += 1
        self.apply("contract", Contract(self.edition, terms))

    def grant(self, count, member="a", pool="", incarnation=1):
        return self.apply("grant", Grant("geo", pool, member, incarnation, count), "lead")

    def allocate(self, now=0, tenant="", key="", max_duration=SECOND):
        allocation = self.allocator.allocate(now, "geo", tenant, key, max_duration)
        return allocation if isinstance(allocation, Allocation) else None


def test_no_grant_exceeds_the_contract_or_goes_to_an_ended_incarnation():
    seats = SeatsHarness(Terms("geo", 3, keep=(("ta", 1),)))
    for pool, count in (("", 3), ("ta", 2), ("tb", 1)):
        with pytest.raises(InvalidRequestError):
            seats.grant(count, pool=pool)
    seats.grant(2)
    seats.part.on_member_lease_expired(EntryContext(9, 1, 0, "lead", 1), "a", 1)
    assert not seats.part.features["geo"].held()
    with pytest.raises(InvalidRequestError, match="gone"):
        seats.grant(1)
    seats.grant(2, incarnation=2)


def test_a_repeated_return_frees_nothing_after_a_new_grant():
    seats = SeatsHarness(Terms("geo", 1))
    (seat,) = seats.grant(1)
    assert seats.apply("return", Return("geo", "", (seat,))) == 1
    (again,) = seats.grant(1)
    assert again[0] == seat[0] and again[1] > seat[1]
    assert seats.apply("return", Return("geo", "", (seat,))) == 0
    assert seats.apply("return", Return("geo", "", (again,)), "b") == 0, "returned by another member"


def test_a_cut_contract_levels_shares_and_takes_effect_once_the_excess_is_returned():
    seats = SeatsHarness(Terms("geo", 12, drain=5 * SECOND))
    held = {member: seats.grant(count, member) for member, count in (("a", 7), ("b", 3), ("c", 2))}
    seats.contract(Terms("geo", 4, drain=5 * SECOND))
    feature = seats.part.features["geo"]
    net = {name: share.net for (_, name, _), share in feature.shares.items()}
    assert net == {"a": 1, "b": 1, "c": 2} and feature.excess() == 8
    with pytest.raises(InvalidRequestError):
        seats.grant(1, "c")
    allocations = [seats.allocate() for _ in range(2)]  # member a keeps one seat and owes the other six
    assert allocations[0] and not allocations[1]
    (row,) = seats.allocator.pending_returns()
    assert len(row.seats) == 6 and seats.apply("return", row) == 6
    seats.apply("return", Return("geo", "", tuple(held["b"][:2])), "b")
    assert not feature.excess() and not seats.allocator.pending_returns()
    assert seats.allocator.pools["geo", ""].debt == 0


def test_an_edition_of_the_contracts_never_changes_and_none_is_older_than_the_last():
    seats = SeatsHarness(Terms("geo", 2))
    seats.apply("contract", Contract(1, (Terms("geo", 2),)))
    for edition, count in ((1, 3), (0, 2), (2, 0)):
        with pytest.raises(InvalidRequestError):
            seats.apply("contract", Contract(edition, (Terms("geo", count),)))
    seats.grant(1)
    seats.apply("contract", Contract(2, ()))
    assert seats.part.features["geo"].excess() == 1 and not seats.allocate()


def test_no_seat_is_allocated_beyond_lease_and_contract_or_without_permission_to_act():
    seats = SeatsHarness(Terms("geo", 4, since=10**9 - 1, until=10**9 + 8 * SECOND))
    seats.grant(4)
    assert seats.allocate(max_duration=100 * SECOND).until == 8 * SECOND * 99 // 100
    assert seats.allocate(now=7 * SECOND, max_duration=100 * SECOND) and not seats.allocate(now=8 * SECOND)
    seats.contract(Terms("geo", 4))
    assert seats.allocate(now=8 * SECOND, max_duration=100 * SECOND).until == 10 * SECOND
    seats.recorder.allowed = False
    assert not seats.allocate(now=9 * SECOND) and len(seats.allocator.pools["geo", ""].assignments) == 1
    seats.recorder.allowed = True
    assert not seats.allocate(now=10 * SECOND)


def test_a_node_keeps_one_lingering_seat_and_a_tenant_has_reserved_seats():
    seats = SeatsHarness(Terms("geo", 3, "node", linger=SECOND, keep=(("ta", 1),)))
    seats.grant(2)
    seats.grant(1, pool="ta")
    first, second = seats.allocate(key="n1"), seats.allocate(key="n1")
    assert first.given == second.given and seats.allocate(key="n2") and not seats.allocate(key="n3")
    assert seats.allocate(tenant="ta", key="n3")
    seats.allocator.release(0, first)
    seats.allocator.release(10, second)
    assert not seats.allocate(now=SECOND, key="n4"), "the seat of n1 lingers"
    assert seats.allocate(now=SECOND + 10, key="n4").given.number == first.given.number


def test_a_greedy_tenant_leaves_the_next_idle_seat_to_a_waiting_tenant():
    seats = SeatsHarness(Terms("geo", 4))
    seats.grant(4)
    greedy = [seats.allocate(tenant="all") for _ in range(4)]
    assert all(greedy) and not seats.allocate(tenant="tb")
    seats.allocator.release(10, greedy[0])
    assert not seats.allocate(now=20, tenant="all") and seats.allocate(now=20, tenant="tb")
    seats.allocator.release(30, greedy[1])
    assert seats.allocate(now=40, tenant="all"), "no tenant waits any more"
    assert not seats.allocate(now=50, tenant="tc")
    seats.allocator.release(60, greedy[2])
    assert seats.allocate(now=70 + 2 * SECOND, tenant="all"), "tc did not retry in time"


@pytest.mark.parametrize("seed", range(8))
def test_a_tenant_below_its_fair_share_waits_for_one_job_at_most(seed):
    """Ten greedy clients of one tenant compete with a tenant that needs a single seat."""
    rng, seats = random.Random(seed), SeatsHarness(Terms("geo", 4))
    seats.grant(4)
    seats.allocator.lease = Lease(1, 10**9)
    running, waiting_since, longest_wait = [], 0, 0  # running: (end, allocation, tenant)
    for now in range(0, 60 * SECOND, 50):
        for job in [job for job in running if job[0] <= now]:
            running.remove(job)
            seats.allocator.release(now, job[1])
        for tenant in ["all"] * 10 + ["tb"]:
            if tenant == "tb" and any(job[2] == "tb" for job in running):
                waiting_since = now
                continue
            if (allocation := seats.allocate(now, tenant)) is not None:
                longest_wait = max(longest_wait, now - waiting_since) if tenant == "tb" else longest_wait
                running.append((now + rng.randint(1, SECOND), allocation, tenant))
    assert longest_wait <= SECOND + 100


def test_a_server_refuses_passes_that_are_late_old_duplicate_or_for_another_boot():
    nodes, meter, stamps = ServerClocks(SETTINGS.drift), Meter("b1"), iter(range(1, 99))
    seats = SeatsHarness(Terms("geo", 1))
    seats.grant(1)
    assert nodes.server_deadline("s", 5000) == ("", 0)
    nodes.heard("s", "b1", 700, 1000)
    assert nodes.server_deadline("s", 11_000) == ("b1", 700 + 9900)

    def make_pass(use, boot="b1", until=5000):
        given = seats.allocate().given
        seats.allocator.pools["geo", ""].unassign(0, next(iter(seats.allocator.pools["geo", ""].assignments)))
        text = f"geo {given.number} {given.counter} {use} 0 {boot} {until} a 1 1 1 {next(stamps)}"
        assert format_pass(parse_pass(text)) == text
        return parse_pass(text)

    for now, seat_pass, verdict in (
        (10, make_pass(2), Verdict.ACCEPTED),
        (10, make_pass(2), Verdict.DUPLICATE),
        (10, make_pass(1), Verdict.SUPERSEDED),
        (10, make_pass(3, "b0"), Verdict.EXPIRED),
        (5000, make_pass(3), Verdict.EXPIRED),
        (10, make_pass(3), Verdict.ACCEPTED),
    ):
        assert meter.admit(now, seat_pass)[0] is verdict
    assert len(meter.overdue(5000)) == 2 and not meter.in_use("geo")
    assert parse_pass("geo 1 x") is None and parse_pass("") is None


@pytest.mark.parametrize("seed", range(60))
def test_rebalancing_converges_and_leaves_no_idle_seats_beside_unmet_demand(seed):
    rng = random.Random(seed)
    size, demands = rng.randint(1, 40), [rng.choice((0, 1, 3, 30)) for _ in range(rng.randint(1, 9))]
    net, rounds = [0] * len(demands), 0
    while True:
        members = [
            MemberDemand(f"m{i}", 1, held, min(held, demand), max(0, demand - held))
            for i, (held, demand) in enumerate(zip(net, demands))
        ]
        moves = rebalance(size, size - sum(net), 0, members)
        if not moves.grants and not moves.recalls:
            break
        for move in moves.grants:
            net[int(move.member.name[1:])] += move.count
        for move in moves.recalls:
            net[int(move.member.name[1:])] -= move.count
        assert min(net) >= 0 and sum(net) <= size
        if rounds == 0:  # the demands change once
            demands.reverse()
        rounds += 1
        assert rounds < 80, "seats move back and forth"
    fair = fair_shares(size, demands).counts
    assert sum(max(0, target - held) for target, held in zip(fair, net)) <= len(net), (demands, net)
    assert all(held for held, target in zip(net, fair) if target) or size < len(demands)


def test_seats_rotate_where_more_members_need_some_than_there_are():
    net, rounds_with_seats = [0] * 5, [0] * 5
    for step in range(60):
        members = [MemberDemand(f"m{i}", 1, held, held, 1) for i, held in enumerate(net)]
        moves = rebalance(2, 2 - sum(net), 0, members, step // 6)
        for sign, sign_moves in ((1, moves.grants), (-1, moves.recalls)):
            for move in sign_moves:
                net[int(move.member.name[1:])] += sign * move.count
        rounds_with_seats = [rounds + bool(held) for rounds, held in zip(rounds_with_seats, net)]
    assert min(rounds_with_seats) >= 10 and sum(net) <= 2


def test_a_restored_snapshot_gives_an_equal_state():
    seats = SeatsHarness(Terms("geo", 5, keep=(("ta", 2),)))
    seats.grant(2)
    seats.grant(1, "b", "ta")
    seats.apply("recall", Recall("geo", "", "a", 1, 1))
    seats.part.on_member_lease_expired(EntryContext(9, 1, 0, "lead", 1), "c", 4)
    state_machine, restored = seats.part.state_machine, ReplicatedStateMachine([Seats()])
    restored.restore(state_machine.snapshot())
    assert restored.digest() == state_machine.digest()
    assert restored.parts["seats"].features["geo"].free == seats.part.features["geo"].free
