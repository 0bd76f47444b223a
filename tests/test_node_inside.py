"""A node within a process: handed over, taken back, members added and taken out by files read again."""

import pytest

from indigohitch.config.fleet import MemberText
from indigohitch.errors import UnavailableError
from indigohitch.fleet.node import companion as within
from indigohitch.fleet.node.admin_requests import AdminRequests
from indigohitch.fleet.node.companion import NodeCompanion, NodeHandover
from indigohitch.fleet.node.headless_handover import HeadlessHandover
from nodes import Kept, World, free


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.close()


def handed(world, name, follows=False):
    """That member as a process has it."""
    log = Kept(world.clock, name)
    inside = NodeCompanion(world.loop, log, world.text(name), True, follows, world.ended.append)
    side = NodeHandover(HeadlessHandover(world.clock, lambda: None, lambda sock: None, lambda: None), inside)
    inside.open()
    world.nodes[name] = inside.node
    return side, inside


def asked(world, name, what, **line):
    told = []
    AdminRequests(world.nodes[name], told.append).handle(what, line)
    world.until(lambda: told)
    return told[0]


def test_an_upgrade_gives_disk_and_port_to_the_new_process_and_back(world):
    world.start("v2", "v3")
    old, inside = handed(world, "v1")
    world.valid()
    asked(world, "v1", "note before")
    old.settle(True)
    world.until(old.is_settled)
    assert not inside.node.lease(world.clock.now())
    asked(world, "v2", "note while it settles")
    old.set_accepting(False)  # the word goes out
    assert inside.node is None and not inside.on_command("status", {}, None)
    del world.nodes["v1"]
    new, newer = handed(world, "v1", follows=True)
    assert newer.node is not None
    world.valid()
    assert asked(world, "v1", "book notes")["texts"] == ["before", "while it settles"]
    newer.close()  # the new one dies, the old one takes it back
    old.set_accepting(True)
    world.nodes["v1"] = inside.node
    world.valid()
    asked(world, "v1", "note after")
    world.level()


def test_an_upgrade_called_off_goes_on_under_a_new_incarnation(world):
    world.start("v2", "v3")
    side, inside = handed(world, "v1")
    world.valid()
    before = inside.node.assembly.membership.incarnation
    side.settle(True)
    world.until(side.is_settled)
    side.settle(False)
    world.valid()
    assert inside.node.assembly.membership.incarnation > before


def test_a_leader_without_a_majority_settles_all_the_same(world):
    world.start("v2", "v3")
    side, inside = handed(world, "v1")
    world.valid()
    world.kill("v2"), world.kill("v3")
    began = world.clock.now()
    side.settle(True)
    world.until(side.is_settled)
    assert world.clock.now() - began < 2 * within.LEAVE_TIMEOUT


def test_two_processes_never_share_a_member(world):
    world.start()
    log = Kept(world.clock, "v1")
    second = NodeCompanion(world.loop, log, world.text("v1"), True, True, world.ended.append)
    second.open()  # an upgrade's new process while the old one has it still
    assert second.node is None and log.said("member_not_open")[0]["remedy"]
    with pytest.raises(UnavailableError):
        NodeCompanion(world.loop, log, world.text("v1"), True, False, world.ended.append).open()
    world.kill("v1")
    world.until(lambda: second.node is not None)
    world.nodes["v1"] = second.node
    world.valid()


def test_a_member_is_added_and_taken_out_by_the_files(world):
    world.start().valid()
    world.members["v4"] = MemberText("v4", free(), True, 1)
    for name in ("v1", "v2", "v3"):
        world.nodes[name].reread(world.text(name))
    world.start("v4").valid()
    world.until(lambda: {"name": "v4", "number": 1} in world.figures(world.leader())["voters"])
    assert "is still in this member's file" in asked(world, world.leader(), "out v4")["error"]
    world.kill("v4")
    del world.members["v4"]
    for name in world.nodes:
        world.nodes[name].reread(world.text(name))
    follower = next(n for n in world.nodes if n != world.leader())
    assert asked(world, follower, "out v4")["leader"] == world.leader()
    assert "result" in asked(world, world.leader(), "out v4")
    world.until(lambda: len(world.figures(world.leader())["voters"]) == 3)
    assert "no member" in asked(world, world.leader(), "out v9")["error"]


def test_words_on_the_control_socket(world):
    world.start().valid()
    index = asked(world, "v2", "note one")["index"]
    assert asked(world, "v2", "propose", kind="notes.add", body=["two"])["index"] > index
    assert "no such kind" in asked(world, "v2", "propose", kind="x.y")["refused"]
    assert "no entry" in asked(world, "v2", "propose", kind="ledger.members")["error"]
    assert "no entry" in asked(world, "v2", "propose", kind="notes.add", body=["x" * 60_000])["error"]
    read = asked(world, "v3", "read")
    world.level()
    entries = {e["index"]: e["digest"] for e in asked(world, "v1", "ledger")["entries"]}
    others = {e["index"]: e["digest"] for e in asked(world, "v2", "ledger")["entries"]}
    assert read["index"] in entries and all(others[i] == check for i, check in entries.items() if i in others)
    assert asked(world, "v1", "notes")["texts"] == ["one", "two"]
    assert asked(world, "v1", "book hours")["part"] and "error" in asked(world, "v1", "book nothing")
    assert not AdminRequests(world.nodes["v1"], None).handle("upgrade", {})
