"""The roster, the judge and the leases together: members over one list for a ledger, with faults by seed."""

import random

import msgspec
import pytest

from fleet_sim import SPAN, STEP, Alter, Take, World
from indigohitch.fleet.audit.check import check
from indigohitch.fleet.membership.leases import LeaseGrantor
from indigohitch.fleet.membership.member_work import Phase
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.types import MemberStanding
from indigohitch.net.clock import SECOND


def disturb(world, chance):
    """Something for some seconds: a cut one way or both, a stop, a restart, a slow reader, a change."""
    one, other = chance.sample(list(world.members.values()), 2)
    match chance.randrange(8):
        case 0 | 1:
            world.cuts.add((one.name, other.name))
        case 2:
            world.cuts |= {(one.name, m) for m in world.members} | {(m, one.name) for m in world.members}
        case 3 | 4:
            one.stopped = world.time + chance.randint(SPAN // 4, 2 * SPAN)
        case 5:
            one.start()
            if world.leader is one:
                world.leader, world.lost = None, world.time
        case 6:
            one.slow = chance.choice((0, 1, 20))
        case 7:
            world.propose(other, "things.alter", Alter(chance.random() < 0.6))
    if chance.random() < 0.5:
        world.cuts.clear()
        one.slow = other.slow = 200


def heal(world):
    world.cuts.clear()
    for member in world.members.values():
        member.slow, member.stopped = 200, 0


def faulty(seed, rounds=25):
    world, chance = World(seed), random.Random(-seed - 1)
    world.run(4)
    for _ in range(rounds):
        disturb(world, chance)
        world.run(chance.randint(1, 3))
    heal(world)
    return world


def leased(world):
    return all(m.membership.lease(m.now(world.time)) for m in world.members.values())


@pytest.mark.parametrize("seed", range(40))
def test_nobody_acts_on_what_another_was_given(seed):
    """The rules are checked at every act (fleet_sim.World.act); after quiet all are back."""
    world = faulty(seed)
    world.run(10)
    for _ in range(6 * SECOND // STEP):
        if not leased(world):
            world.step()
    assert leased(world)
    state_machines = {
        m.state_machine.digest()
        for m in world.members.values()
        if m.state_machine.index == world.leader.state_machine.index
    }
    assert len(state_machines) == 1 and world.acted > 500
    for member in world.members.values():
        assert member.membership.phase is Phase.VALID and not member.troubles
    assert not check(world.records(), world.leader.state_machine.parts["audit"].facts, 10**9)


@pytest.mark.parametrize("guard", ["over", "lease", "in_force"])
def test_a_guard_taken_away_is_found_by_the_rules(guard, monkeypatch):
    match guard:
        case "over":  # given on as soon as it is shut out
            monkeypatch.setattr(LeaseGrantor, "has_expired", lambda *_: True)
        case "lease":  # a member acts until it hears that it is shut out
            monkeypatch.setattr("indigohitch.fleet.membership.leases.holder_span", lambda *_: 10**9)
        case "in_force":  # in force without asking who has taken it
            monkeypatch.setattr(
                "indigohitch.fleet.membership.failure_detector.FailureDetector.has_applied", lambda *_: True
            )
    with pytest.raises(AssertionError, match="acts on|acts by"):
        stalled(cut=guard == "lease")


def stalled(cut):
    """Who holds something hears no entries more, and a hard change comes."""
    world = settled()
    world.run(4)
    held = world.leader.state_machine.parts["things"].held
    one = next(m for m in world.members.values() if m is not world.leader and (m.name, 1) in held.values())
    one.slow = 0
    if cut:
        world.cuts |= {(one.name, m) for m in world.members} | {(m, one.name) for m in world.members}
    world.propose(world.leader, "things.alter", Alter(True))
    world.run(12)
    return world, one


@pytest.mark.parametrize("cut", [False, True])
def test_a_holder_that_hears_nothing_is_shut_out(cut):
    world, one = stalled(cut)
    roster = world.leader.state_machine.parts["members"]
    assert one.membership.lease(one.now(world.time)) is None and roster.ineligibility(one.name, 1) == "gone"
    assert roster.in_force and not roster.changes


def settled(seed=1):
    world = World(seed)
    world.run(4)
    return world


def follower(world):
    return next(m for m in world.members.values() if m is not world.leader)


def test_a_straggler_two_thousand_entries_behind_is_brought_up():
    world = settled()
    one = follower(world)
    one.slow = 0
    for n in range(2000):
        world.propose(world.leader, "things.alter", Alter(False))
        if n % 200 == 0:
            world.step()
    one.slow = 60
    world.standings.clear()
    world.run(4)
    assert one.state_machine.index == world.leader.state_machine.index and one.membership.incarnation == 1
    assert MemberStanding.CATCHING_UP in world.standings


def test_a_straggler_that_does_not_move_is_shut_out_and_comes_back():
    world = settled()
    one = follower(world)
    one.slow = 0
    world.propose(world.leader, "things.alter", Alter(True))
    world.run(8)
    assert one.membership.lease(one.now(world.time)) is None
    roster = world.leader.state_machine.parts["members"]
    assert not roster.changes and roster.in_force and roster.ineligibility(one.name, 1)
    assert {MemberStanding.BEHIND, MemberStanding.STRAGGLER, MemberStanding.EVICTED} <= world.standings
    one.slow = 200
    world.run(4)
    assert one.membership.incarnation == 2 and one.membership.phase is Phase.VALID


def test_a_state_that_differs_shuts_its_member_out_and_keeps_the_evidence():
    world = settled()
    one = follower(world)
    one.state_machine.parts["things"].held["forged"] = (one.name, 1)
    world.propose(world.leader, "members.compare", Alter(True))  # any body: a point of comparing has none
    world.run(4)
    assert one.membership.phase is Phase.DIFFERS and one.store.evidence
    assert one.membership.lease(one.now(world.time)) is None
    assert "acts no more" in str(one.troubles[0]) and one.troubles[0].remedy
    assert world.leader.state_machine.parts["members"].ineligibility(one.name, 1)
    assert sum(m.membership.phase is Phase.VALID for m in world.members.values()) == 4


def test_a_process_that_was_replaced_does_not_come_back():
    world = settled()
    one = follower(world)
    old = one.membership
    one.start()
    world.run(4)
    assert one.membership.incarnation == 2
    old.turn(one.now(world.time), None)
    assert old.phase is Phase.REPLACED and old.lease(one.now(world.time)) is None
    assert old.renew(one.now(world.time), 0, 0, {}) is None


def test_a_member_that_leaves_frees_at_once():
    world = settled()
    world.run(4)
    things = world.leader.state_machine.parts["things"].held
    one = next(m for m in world.members.values() if any(by[0] == m.name for by in things.values()))
    for wanted in one.membership.leave():
        world.propose(one, wanted.kind, wanted.body, wanted.tag)
    for _ in range(4 * SECOND // (4 * STEP)):
        world.step()
    held = world.leader.state_machine.parts["things"].held
    assert not any(by == (one.name, 1) for by in held.values())
    assert world.leader.state_machine.parts["members"].ineligibility(one.name, 1) == "gone"


def test_a_roster_restored_is_the_same():
    roster = faulty(3).leader.state_machine.parts["members"]
    other = Roster()
    other.restore(msgspec.msgpack.encode(roster.row()))
    assert other.row() == roster.row() and len(other.members) >= 5


def test_one_that_asks_and_hears_nothing_is_shut_out():
    """Cut one way: its askings come, no answer and no entry goes to it."""
    world = settled()
    one = follower(world)
    world.cuts |= {(m, one.name) for m in world.members if m != one.name}
    for _ in range(10):
        world.propose(world.leader, "things.take", Take("x"))
        world.run(1)
    roster = world.leader.state_machine.parts["members"]
    assert roster.ineligibility(one.name, 1) == "gone" and "takes no entry" in roster.members[one.name, 1].why
