"""Members in one loop over sockets and folders: founding, admission, proposals, reads, ends."""

import os
import shutil

import pytest

from disks import Faulty
from indigohitch.errors import UnavailableError
from indigohitch.fleet.membership.member_work import Phase as Member
from indigohitch.fleet.node.node import Node
from indigohitch.fleet.node.phases import Phase
from nodes import World


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.close()


def test_three_found_and_go_on_after_a_kill(world):
    world.start().valid()
    assert [w["number"] for w in world.figures("v1")["voters"]] == [1, 1, 1]
    for name in world.members:
        assert not world.put(name, f"by {name}").rejection
    leader = world.leader()
    world.kill(leader)
    other = next(iter(world.nodes))
    world.put(other, "after")
    world.start(leader).valid()
    world.level()
    assert world.texts(leader) == ["by v1", "by v2", "by v3", "after"]


def test_none_founds_before_all_voters_answer(world):
    world.start("v1", "v2")
    world.turns(600)
    assert {node.phase for node in world.nodes.values()} == {Phase.FRESH}
    assert "v3" in world.nodes["v1"].log.said("not_a_member_yet")[0]["why"]
    world.start("v3").valid()


def test_none_founds_with_another_list_of_voters(world):
    """One file names two, the others three: two fleets would come of it."""
    listed = world.members.pop("v3")
    world.start("v1")
    world.members["v3"] = listed
    world.start("v2", "v3")
    world.turns(600)
    assert {node.phase for node in world.nodes.values()} == {Phase.FRESH}


def test_a_lost_disk_comes_back_under_a_number_never_used(world):
    world.start().valid()
    lost = next(name for name in world.nodes if name != world.leader())
    world.put(lost, "kept")
    for number in (2, 3):
        world.kill(lost)
        shutil.rmtree(world.path / lost)
        world.start(lost)
        assert world.nodes[lost].phase is Phase.FRESH
        world.until(
            lambda number=number: (
                {"name": lost, "number": number} in world.figures(world.leader())["voters"]
                if world.leader()
                else None
            )
        )
        assert len(world.figures(world.leader())["voters"]) == 3
        world.valid()
    world.level()
    assert world.texts(lost) == ["kept"]


def test_an_old_disk_put_back_takes_no_part(world):
    """A folder from before the disk was lost: its votes may differ from those it gave later."""
    world.start().valid()
    lost = next(name for name in world.nodes if name != world.leader())
    world.kill(lost)
    shutil.copytree(world.path / lost, world.path / "old")
    shutil.rmtree(world.path / lost)
    world.start(lost).valid()
    world.kill(lost)
    shutil.rmtree(world.path / lost)
    shutil.move(world.path / "old", world.path / lost)
    world.start(lost)
    node = world.nodes[lost]
    world.until(lambda: node.log.said("refused_by_member"))
    world.turns(300)
    assert node.driver.leader is None and not node.lease(world.clock.now())


def test_followers_learn_and_never_vote(tmp_path):
    world = World(tmp_path, 3, 2).start()
    try:
        world.valid()
        assert [w["name"] for w in world.figures("v1")["followers"]] == ["s1", "s2"]
        world.put("s1", "by a follower")
        world.kill("v1"), world.kill("v2")
        world.until(lambda: not world.leader())
        world.turns(600)
        assert not world.leader()  # one voter and two followers are no majority
    finally:
        world.close()


def test_a_read_through_any_member_sees_what_was_acknowledged_before(world):
    world.start().valid()
    for number in range(10):
        writer, reader = f"v{number % 3 + 1}", f"v{(number + 1) % 3 + 1}"
        index = world.put(writer, f"n{number}").index
        told = []
        world.nodes[reader].messaging.read(told.append)
        world.until(lambda told=told: told)
        assert told[0] >= index and f"n{number}" in world.texts(reader)


def test_proposals_beyond_the_bound_are_pushed_back(world):
    world.start().valid()
    leader = world.leader()
    for name in [n for n in world.nodes if n != leader]:
        world.kill(name)
    told = []
    with pytest.raises(UnavailableError) as full:
        for _ in range(1000):
            world.nodes[leader].messaging.propose("notes.add", b"\x91\xa1x", told.append)
    assert full.value.retry_after_ticks > 0 and len(world.nodes[leader].messaging.proposals.pending) < 200
    world.start(*[n for n in world.members if n != leader])
    world.until(lambda: len(told) >= 100)
    assert all(outcome.index for outcome in told)


def test_an_orderly_end_hands_over_and_leaves(world):
    world.start().valid()
    leader = world.leader()
    node, others = world.nodes[leader], [n for n in world.nodes if n != leader]
    incarnation = node.assembly.membership.incarnation
    node.leaving.leave(True)
    world.until(lambda: node.leaving.has_left)
    assert world.until(lambda: world.leader(but=leader)) in others
    assert not node.lease(world.clock.now())
    assert node.state_machine.parts["members"].ineligibility(leader, incarnation)
    node.leaving.cancel()  # the upgrade was called off
    world.valid()
    assert node.assembly.membership.incarnation > incarnation
    world.put(leader, "stays")


def test_a_full_disk_ends_promises_and_the_others_go_on(world):
    world.files = {name: Faulty() for name in world.members}
    world.start().valid()
    leader = world.leader()
    world.files[leader].room = 0
    other = next(n for n in world.nodes if n != leader)
    world.put(other, "without it")
    assert world.leader(but=leader) and world.nodes[leader].phase is Phase.TAKING_PART
    assert world.nodes[leader].log.said("disk_failed")[0]["remedy"]
    world.files[leader].room = 1 << 40
    world.until(lambda: world.nodes[leader].log.said("disk_back"))
    world.valid()
    world.level()


def test_snapshots_bound_the_log_and_bring_a_straggler_up(tmp_path):
    world = World(tmp_path, limit=12_000).start()
    try:
        world.valid()
        lost = next(n for n in world.nodes if n != world.leader())
        world.kill(lost)
        world.put(world.leader(), "first")
        for number in range(60):
            world.put(world.leader(), f"{number} " + 200 * "x")
        world.until(lambda: world.figures(world.leader())["disk"]["snapshot"] > 30)
        world.start(lost).valid()
        world.level()
        assert world.texts(lost)[0] == "first" and len(world.texts(lost)) == 61
        for folder in [world.path / name for name in world.members]:
            assert sum(os.path.getsize(folder / file) for file in os.listdir(folder)) < 200_000
    finally:
        world.close()


def test_what_must_never_be_ends_the_member_and_not_the_process(world):
    world.start().valid()
    node = world.nodes["v1"]

    def breaks(entry):
        raise RuntimeError("a defect of a part")

    node.state_machine.apply = breaks
    world.put("v2", "x")
    world.until(lambda: node.phase is Phase.BROKEN)
    assert world.ended and node.log.said("member_stops")[0]["remedy"]
    world.put("v3", "the others go on")
    assert len(world.failed) == 1
    world.failed.clear()


def test_another_state_shuts_its_member_out(world):
    """It keeps the evidence, and holds no lease."""
    world.start().valid()
    node: Node = world.nodes[next(n for n in world.nodes if n != world.leader())]
    node.state_machine.parts["notes"].count += 1  # memory gone wrong
    world.until(lambda: node.assembly.membership.phase is Member.DIFFERS)
    assert not node.lease(world.clock.now())
    assert node.log.said("state_differs")[0]["own"] != node.log.said("state_differs")[0]["agreed"]


def test_a_leader_elected_after_a_start_decides_by_no_old_state_machine(world):
    world.start().valid()
    for n in range(20):
        world.put("v1", f"note {n}")
    world.level()
    stood, led = world.nodes["v1"].state_machine.index, []
    for name in list(world.nodes):
        world.kill(name)
    world.start()
    for node in world.nodes.values():
        node.lead = lambda now, node=node: led.append(node.state_machine.index)

    def beaten():
        """Each looks in every turn what there is to lead: no beat misses the moment by luck."""
        for node in world.nodes.values():
            node.tick_timer.cancel()
            node.tick()
        return led

    world.until(beaten)
    assert min(led) >= stood
