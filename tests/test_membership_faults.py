"""Roster, failure detector and leases together under seeded faults, in a simulated fleet (fleet_sim)."""

import random

import msgspec
import pytest

from fleet_sim import SPAN, STEP, AcquireResource, ChangeContract, SimulatedFleet
from indigohitch.fleet.audit.check import check
from indigohitch.fleet.membership.leases import LeaseGrantor
from indigohitch.fleet.membership.member_work import Phase
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.types import MemberStanding
from indigohitch.net.clock import SECOND


def inject_fault(fleet, rng):
    """Blocks a link or isolates, pauses, restarts or slows down a member, or proposes a change."""
    member, other = rng.sample(list(fleet.members.values()), 2)
    match rng.randrange(8):
        case 0 | 1:
            fleet.blocked_links.add((member.name, other.name))
        case 2:
            fleet.blocked_links |= {(member.name, name) for name in fleet.members} | {
                (name, member.name) for name in fleet.members
            }
        case 3 | 4:
            member.paused_until = fleet.time + rng.randint(SPAN // 4, 2 * SPAN)
        case 5:
            member.start()
            if fleet.leader is member:
                fleet.leader = None
                fleet.leader_alive_at = fleet.time
        case 6:
            member.entries_per_step = rng.choice((0, 1, 20))
        case 7:
            fleet.propose(other, "things.alter", ChangeContract(rng.random() < 0.6))
    if rng.random() < 0.5:
        fleet.blocked_links.clear()
        member.entries_per_step = other.entries_per_step = 200


def remove_faults(fleet):
    fleet.blocked_links.clear()
    for member in fleet.members.values():
        member.entries_per_step = 200
        member.paused_until = 0


def fleet_after_faults(seed, rounds=25):
    fleet, rng = SimulatedFleet(seed), random.Random(-seed - 1)
    fleet.run(4)
    for _ in range(rounds):
        inject_fault(fleet, rng)
        fleet.run(rng.randint(1, 3))
    remove_faults(fleet)
    return fleet


def all_hold_leases(fleet):
    return all(m.membership.lease(m.now(fleet.time)) for m in fleet.members.values())


@pytest.mark.parametrize("seed", range(40))
def test_no_member_acts_on_a_resource_that_another_holds_and_all_recover_after_faults(seed):
    """SimulatedFleet.act checks the invariants at every action."""
    fleet = fleet_after_faults(seed)
    fleet.run(10)
    for _ in range(6 * SECOND // STEP):
        if not all_hold_leases(fleet):
            fleet.step()
    assert all_hold_leases(fleet)
    digests = {
        m.state_machine.digest()
        for m in fleet.members.values()
        if m.state_machine.index == fleet.leader.state_machine.index
    }
    assert len(digests) == 1 and fleet.action_count > 500
    for member in fleet.members.values():
        assert member.membership.phase is Phase.VALID and not member.errors
    assert not check(fleet.records(), fleet.leader.state_machine.parts["audit"].facts, 10**9)


@pytest.mark.parametrize("guard", ["lease_expiry", "holder_lease", "in_force"])
def test_the_invariants_detect_a_removed_guard(guard, monkeypatch):
    match guard:
        case "lease_expiry":  # resources are free as soon as their holder is evicted
            monkeypatch.setattr(LeaseGrantor, "has_expired", lambda *_: True)
        case "holder_lease":  # a member acts until it learns of its eviction
            monkeypatch.setattr("indigohitch.fleet.membership.leases.holder_span", lambda *_: 10**9)
        case "in_force":  # a change is in force no matter who has applied it
            monkeypatch.setattr(
                "indigohitch.fleet.membership.failure_detector.FailureDetector.has_applied", lambda *_: True
            )
    with pytest.raises(AssertionError, match="acts on|acts by"):
        fleet_with_stalled_holder(isolated=guard == "holder_lease")


def fleet_with_stalled_holder(isolated):
    """Returns a fleet after a hard change, and a holder of a resource that has applied no entries since."""
    fleet = running_fleet()
    fleet.run(4)
    held = fleet.leader.state_machine.parts["things"].held
    member = next(m for m in fleet.members.values() if m is not fleet.leader and (m.name, 1) in held.values())
    member.entries_per_step = 0
    if isolated:
        fleet.blocked_links |= {(member.name, name) for name in fleet.members} | {
            (name, member.name) for name in fleet.members
        }
    fleet.propose(fleet.leader, "things.alter", ChangeContract(True))
    fleet.run(12)
    return fleet, member


@pytest.mark.parametrize("isolated", [False, True])
def test_a_holder_that_applies_no_entries_is_evicted_and_the_hard_change_gets_in_force(isolated):
    fleet, member = fleet_with_stalled_holder(isolated)
    roster = fleet.leader.state_machine.parts["members"]
    assert (
        member.membership.lease(member.now(fleet.time)) is None
        and roster.ineligibility(member.name, 1) == "gone"
    )
    assert roster.in_force and not roster.changes


def running_fleet(seed=1):
    fleet = SimulatedFleet(seed)
    fleet.run(4)
    return fleet


def follower(fleet):
    return next(m for m in fleet.members.values() if m is not fleet.leader)


def test_a_straggler_2000_entries_behind_catches_up_without_eviction():
    fleet = running_fleet()
    member = follower(fleet)
    member.entries_per_step = 0
    for n in range(2000):
        fleet.propose(fleet.leader, "things.alter", ChangeContract(False))
        if n % 200 == 0:
            fleet.step()
    member.entries_per_step = 60
    fleet.standings.clear()
    fleet.run(4)
    assert (
        member.state_machine.index == fleet.leader.state_machine.index and member.membership.incarnation == 1
    )
    assert MemberStanding.CATCHING_UP in fleet.standings


def test_a_straggler_without_progress_is_evicted_and_rejoins():
    fleet = running_fleet()
    member = follower(fleet)
    member.entries_per_step = 0
    fleet.propose(fleet.leader, "things.alter", ChangeContract(True))
    fleet.run(8)
    assert member.membership.lease(member.now(fleet.time)) is None
    roster = fleet.leader.state_machine.parts["members"]
    assert not roster.changes and roster.in_force and roster.ineligibility(member.name, 1)
    assert {MemberStanding.BEHIND, MemberStanding.STRAGGLER, MemberStanding.EVICTED} <= fleet.standings
    member.entries_per_step = 200
    fleet.run(4)
    assert member.membership.incarnation == 2 and member.membership.phase is Phase.VALID


def test_a_member_with_a_differing_state_is_evicted_and_keeps_the_evidence():
    fleet = running_fleet()
    member = follower(fleet)
    member.state_machine.parts["things"].held["forged"] = (member.name, 1)
    fleet.propose(fleet.leader, "members.compare", ChangeContract(True))  # the body is ignored
    fleet.run(4)
    assert member.membership.phase is Phase.DIFFERS and member.store.evidence
    assert member.membership.lease(member.now(fleet.time)) is None
    assert "acts no more" in str(member.errors[0]) and member.errors[0].remedy
    assert fleet.leader.state_machine.parts["members"].ineligibility(member.name, 1)
    assert sum(m.membership.phase is Phase.VALID for m in fleet.members.values()) == 4


def test_a_replaced_process_does_not_rejoin():
    fleet = running_fleet()
    member = follower(fleet)
    replaced = member.membership
    member.start()
    fleet.run(4)
    assert member.membership.incarnation == 2
    replaced.turn(member.now(fleet.time), None)
    assert replaced.phase is Phase.REPLACED and replaced.lease(member.now(fleet.time)) is None
    assert replaced.renew(member.now(fleet.time), 0, 0, {}) is None


def test_leaving_frees_resources_at_once():
    fleet = running_fleet()
    fleet.run(4)
    previous = fleet.leader.state_machine.parts["things"].held
    member = next(
        m for m in fleet.members.values() if any(holder[0] == m.name for holder in previous.values())
    )
    for request in member.membership.leave():
        fleet.propose(member, request.kind, request.body, request.tag)
    for _ in range(4 * SECOND // (4 * STEP)):
        fleet.step()
    held = fleet.leader.state_machine.parts["things"].held
    assert not any(holder == (member.name, 1) for holder in held.values())
    assert fleet.leader.state_machine.parts["members"].ineligibility(member.name, 1) == "gone"


def test_a_restored_roster_equals_the_original():
    roster = fleet_after_faults(3).leader.state_machine.parts["members"]
    other = Roster()
    other.restore(msgspec.msgpack.encode(roster.row()))
    assert other.row() == roster.row() and len(other.members) >= 5


def test_a_member_that_sends_renewals_but_receives_nothing_is_evicted():
    """Only the links to it are blocked: its renewals arrive, but no replies and no entries reach it."""
    fleet = running_fleet()
    member = follower(fleet)
    fleet.blocked_links |= {(name, member.name) for name in fleet.members if name != member.name}
    for _ in range(10):
        fleet.propose(fleet.leader, "things.take", AcquireResource("x"))
        fleet.run(1)
    roster = fleet.leader.state_machine.parts["members"]
    assert (
        roster.ineligibility(member.name, 1) == "gone"
        and "takes no entry" in roster.members[member.name, 1].why
    )
