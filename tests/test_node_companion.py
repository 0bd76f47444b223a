"""A node in a process that can be upgraded: handover, return after a failure, reload, control commands."""

import pytest

from indigohitch.config.fleet import MemberText
from indigohitch.errors import UnavailableError
from indigohitch.fleet.node import companion as companion_module
from indigohitch.fleet.node.admin_requests import AdminRequests
from indigohitch.fleet.node.companion import NodeCompanion, NodeHandover
from indigohitch.fleet.node.headless_handover import HeadlessHandover
from nodes import Kept, World, free


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.close()


def open_companion(world, name, follows=False):
    """Opens a member as a process does; returns its participant of handovers and its companion."""
    log = Kept(world.clock, name)
    companion = NodeCompanion(world.loop, log, world.text(name), True, follows, world.ended.append)
    participant = NodeHandover(
        HeadlessHandover(world.clock, lambda: None, lambda sock: None, lambda: None), companion
    )
    companion.open()
    world.nodes[name] = companion.node
    return participant, companion


def request(world, name, command, **fields):
    """Runs a control command at a member and returns the reply."""
    replies = []
    AdminRequests(world.nodes[name], replies.append).handle(command, fields)
    world.until(lambda: replies)
    return replies[0]


def test_an_upgrade_passes_disk_and_port_to_the_new_process_and_back_if_it_dies(world):
    world.start("v2", "v3")
    old_participant, old_companion = open_companion(world, "v1")
    world.valid()
    request(world, "v1", "note before")
    old_participant.settle(True)
    world.until(old_participant.is_settled)
    assert not old_companion.node.lease(world.clock.now())
    request(world, "v2", "note while it settles")
    old_participant.set_accepting(False)  # the handover begins
    assert old_companion.node is None and not old_companion.on_command("status", {}, None)
    del world.nodes["v1"]
    _, new_companion = open_companion(world, "v1", follows=True)
    assert new_companion.node is not None
    world.valid()
    assert request(world, "v1", "book notes")["texts"] == ["before", "while it settles"]
    new_companion.close()  # the new process dies, and the old one opens the node again
    old_participant.set_accepting(True)
    world.nodes["v1"] = old_companion.node
    world.valid()
    request(world, "v1", "note after")
    world.level()


def test_a_member_continues_under_a_new_incarnation_after_a_cancelled_upgrade(world):
    world.start("v2", "v3")
    participant, companion = open_companion(world, "v1")
    world.valid()
    before = companion.node.assembly.membership.incarnation
    participant.settle(True)
    world.until(participant.is_settled)
    participant.settle(False)
    world.valid()
    assert companion.node.assembly.membership.incarnation > before


def test_a_leader_without_a_majority_settles_after_a_timeout(world):
    world.start("v2", "v3")
    participant, companion = open_companion(world, "v1")
    world.valid()
    world.kill("v2"), world.kill("v3")
    started_at = world.clock.now()
    participant.settle(True)
    world.until(participant.is_settled)
    assert world.clock.now() - started_at < 2 * companion_module.LEAVE_TIMEOUT


def test_a_node_opens_only_once_the_other_process_has_closed_it(world):
    world.start()
    log = Kept(world.clock, "v1")
    second = NodeCompanion(world.loop, log, world.text("v1"), True, True, world.ended.append)
    second.open()  # the new process of an upgrade while the old one still has the node open
    assert second.node is None and log.said("member_not_open")[0]["remedy"]
    with pytest.raises(UnavailableError):
        NodeCompanion(world.loop, log, world.text("v1"), True, False, world.ended.append).open()
    world.kill("v1")
    world.until(lambda: second.node is not None)
    world.nodes["v1"] = second.node
    world.valid()


def test_a_member_is_added_by_a_reload_and_removed_by_a_command(world):
    world.start().valid()
    world.members["v4"] = MemberText("v4", free(), True, 1)
    for name in ("v1", "v2", "v3"):
        world.nodes[name].reread(world.text(name))
    world.start("v4").valid()
    world.until(lambda: {"name": "v4", "number": 1} in world.figures(world.leader())["voters"])
    assert "is still in this member's file" in request(world, world.leader(), "out v4")["error"]
    world.kill("v4")
    del world.members["v4"]
    for name in world.nodes:
        world.nodes[name].reread(world.text(name))
    follower = next(name for name in world.nodes if name != world.leader())
    assert request(world, follower, "out v4")["leader"] == world.leader()
    assert "result" in request(world, world.leader(), "out v4")
    world.until(lambda: len(world.figures(world.leader())["voters"]) == 3)
    assert "no member" in request(world, world.leader(), "out v9")["error"]


def test_control_commands_propose_and_read_entries(world):
    world.start().valid()
    index = request(world, "v2", "note one")["index"]
    assert request(world, "v2", "propose", kind="notes.add", body=["two"])["index"] > index
    assert "no such kind" in request(world, "v2", "propose", kind="x.y")["refused"]
    assert "no entry" in request(world, "v2", "propose", kind="ledger.members")["error"]
    assert "no entry" in request(world, "v2", "propose", kind="notes.add", body=["x" * 60_000])["error"]
    read = request(world, "v3", "read")
    world.level()
    entries = {entry["index"]: entry["digest"] for entry in request(world, "v1", "ledger")["entries"]}
    others = {entry["index"]: entry["digest"] for entry in request(world, "v2", "ledger")["entries"]}
    assert read["index"] in entries and all(
        others[index] == digest for index, digest in entries.items() if index in others
    )
    assert request(world, "v1", "notes")["texts"] == ["one", "two"]
    assert request(world, "v1", "book hours")["part"] and "error" in request(world, "v1", "book nothing")
    assert not AdminRequests(world.nodes["v1"], None).handle("upgrade", {})
