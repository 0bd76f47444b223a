"""Members in one event loop, with sockets and folders: bootstrap, admission, reads, leave, disk faults."""

import os
import shutil

import pytest

from disks import Faulty
from indigohitch.errors import UnavailableError
from indigohitch.fleet.membership.member_work import Phase as MemberPhase
from indigohitch.fleet.node.node import Node
from indigohitch.fleet.node.phases import Phase
from nodes import World


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.close()


def test_three_voters_bootstrap_and_go_on_after_the_leader_is_killed(world):
    world.start().valid()
    assert [voter["number"] for voter in world.figures("v1")["voters"]] == [1, 1, 1]
    for name in world.members:
        assert not world.put(name, f"by {name}").rejection
    leader = world.leader()
    world.kill(leader)
    other = next(iter(world.nodes))
    world.put(other, "after")
    world.start(leader).valid()
    world.level()
    assert world.texts(leader) == ["by v1", "by v2", "by v3", "after"]


def test_no_member_bootstraps_before_all_voters_reply(world):
    world.start("v1", "v2")
    world.turns(600)
    assert {node.phase for node in world.nodes.values()} == {Phase.FRESH}
    assert "v3" in world.nodes["v1"].log.said("not_a_member_yet")[0]["why"]
    world.start("v3").valid()


def test_no_member_bootstraps_if_the_lists_of_voters_differ(world):
    """One file lists two voters, the others three: each list would bootstrap a fleet of its own."""
    third = world.members.pop("v3")
    world.start("v1")
    world.members["v3"] = third
    world.start("v2", "v3")
    world.turns(600)
    assert {node.phase for node in world.nodes.values()} == {Phase.FRESH}


def test_a_member_that_lost_its_disk_rejoins_under_an_unused_number(world):
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


def test_a_member_with_a_superseded_disk_takes_no_part(world):
    """The folder is older than the loss of the disk: it lacks the votes that the member has given since."""
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


def test_followers_replicate_the_log_and_never_vote(tmp_path):
    world = World(tmp_path, 3, 2).start()
    try:
        world.valid()
        assert [follower["name"] for follower in world.figures("v1")["followers"]] == ["s1", "s2"]
        world.put("s1", "by a follower")
        world.kill("v1"), world.kill("v2")
        world.until(lambda: not world.leader())
        world.turns(600)
        assert not world.leader()  # one voter of three is no majority, whatever the followers have
    finally:
        world.close()


def test_a_read_through_any_member_sees_earlier_acknowledged_entries(world):
    world.start().valid()
    for number in range(10):
        writer, reader = f"v{number % 3 + 1}", f"v{(number + 1) % 3 + 1}"
        index = world.put(writer, f"n{number}").index
        results = []
        world.nodes[reader].messaging.read(results.append)
        world.until(lambda results=results: results)
        assert results[0] >= index and f"n{number}" in world.texts(reader)


def test_proposals_beyond_the_limit_are_rejected_with_a_retry_delay(world):
    world.start().valid()
    leader = world.leader()
    for name in [other for other in world.nodes if other != leader]:
        world.kill(name)
    outcomes = []
    with pytest.raises(UnavailableError) as raised:
        for _ in range(1000):
            world.nodes[leader].messaging.propose("notes.add", b"\x91\xa1x", outcomes.append)
    assert raised.value.retry_after_ticks > 0 and len(world.nodes[leader].messaging.proposals.pending) < 200
    world.start(*[name for name in world.members if name != leader])
    world.until(lambda: len(outcomes) >= 100)
    assert all(outcome.index for outcome in outcomes)


def test_a_leave_transfers_the_leadership_and_releases_the_incarnation(world):
    world.start().valid()
    leader = world.leader()
    node = world.nodes[leader]
    others = [name for name in world.nodes if name != leader]
    incarnation = node.assembly.membership.incarnation
    node.leaving.leave(True)
    world.until(lambda: node.leaving.has_left)
    assert world.until(lambda: world.leader(but=leader)) in others
    assert not node.lease(world.clock.now())
    assert node.state_machine.parts["members"].ineligibility(leader, incarnation)
    node.leaving.cancel()  # the upgrade was cancelled
    world.valid()
    assert node.assembly.membership.incarnation > incarnation
    world.put(leader, "stays")


def test_a_member_with_a_full_disk_yields_the_leadership_and_the_others_go_on(world):
    world.files = {name: Faulty() for name in world.members}
    world.start().valid()
    leader = world.leader()
    world.files[leader].room = 0
    other = next(name for name in world.nodes if name != leader)
    world.put(other, "without it")
    assert world.leader(but=leader) and world.nodes[leader].phase is Phase.TAKING_PART
    assert world.nodes[leader].log.said("disk_failed")[0]["remedy"]
    world.files[leader].room = 1 << 40
    world.until(lambda: world.nodes[leader].log.said("disk_back"))
    world.valid()
    world.level()


def test_snapshots_limit_the_log_and_bring_a_restarted_member_up_to_date(tmp_path):
    world = World(tmp_path, limit=12_000).start()
    try:
        world.valid()
        stopped = next(name for name in world.nodes if name != world.leader())
        world.kill(stopped)
        world.put(world.leader(), "first")
        for number in range(60):
            world.put(world.leader(), f"{number} " + 200 * "x")
        world.until(lambda: world.figures(world.leader())["disk"]["snapshot"] > 30)
        world.start(stopped).valid()
        world.level()
        assert world.texts(stopped)[0] == "first" and len(world.texts(stopped)) == 61
        for folder in [world.path / name for name in world.members]:
            assert sum(os.path.getsize(folder / file) for file in os.listdir(folder)) < 200_000
    finally:
        world.close()


def test_an_unexpected_error_stops_the_member_and_not_the_process(world):
    world.start().valid()
    node = world.nodes["v1"]

    def fail(entry):
        raise RuntimeError("a defect of a part")

    node.state_machine.apply = fail
    world.put("v2", "x")
    world.until(lambda: node.phase is Phase.BROKEN)
    assert world.ended and node.log.said("member_stops")[0]["remedy"]
    world.put("v3", "the others go on")
    assert len(world.failed) == 1
    world.failed.clear()


def test_a_member_whose_state_differs_holds_no_lease(world):
    """Its log has both digests as evidence."""
    world.start().valid()
    node: Node = world.nodes[next(name for name in world.nodes if name != world.leader())]
    node.state_machine.parts["notes"].count += 1  # simulates corrupted memory
    world.until(lambda: node.assembly.membership.phase is MemberPhase.DIFFERS)
    assert not node.lease(world.clock.now())
    assert node.log.said("state_differs")[0]["own"] != node.log.said("state_differs")[0]["agreed"]


def test_a_leader_elected_after_a_restart_makes_no_decision_from_an_older_state(world):
    world.start().valid()
    for number in range(20):
        world.put("v1", f"note {number}")
    world.level()
    index_before = world.nodes["v1"].state_machine.index
    indexes = []
    for name in list(world.nodes):
        world.kill(name)
    world.start()
    for node in world.nodes.values():
        node.lead = lambda now, node=node: indexes.append(node.state_machine.index)

    def tick_all():
        """Ticks each node in every turn of the loop: the regular interval could miss the critical moment."""
        for node in world.nodes.values():
            node.tick_timer.cancel()
            node.tick()
        return indexes

    world.until(tick_all)
    assert min(indexes) >= index_before
