"""Members as processes, with a fault-injecting relay between them: failing leaders, disks, clocks and peers.

The tests share one fleet of three members, and each leaves it intact.
"""

import socket
import threading
import time

import pytest

from proofs.fleetkit import DISKS, Fleet, Notes, settled, until

LEASE_SECONDS = 2.0


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet"), voters=3, patch=DISKS, clocks=True) as fleet:
        yield fleet.start()


@pytest.fixture
def fleet(shared):
    """Provides the shared fleet; checks afterwards that its states are equal and no defect was logged."""
    yield shared
    states = settled(shared)
    assert len({digest for _, digest in states.values()}) == 1
    assert shared.noise() == []


def add_note(fleet, text, but=()):
    """Adds a note through any member but these, with retries; returns the index of its entry."""

    def attempt():
        for name in fleet.voters:
            if name not in but:
                reply = fleet.note(name, text, 2.0)
                if reply and reply.get("index"):
                    return reply["index"]
        return 0

    return until(attempt, 10, f"note {text}")


def wait_for_leader(fleet, but=""):
    return until(lambda: fleet.leader(but), 10, "a leader")


def test_another_leader_is_elected_after_a_kill(fleet):
    name = wait_for_leader(fleet)
    before = add_note(fleet, "before")
    fleet.kill(name)
    assert add_note(fleet, "after", but=[name]) > before
    assert wait_for_leader(fleet) != name
    fleet.restart(name)
    fleet.ready()
    texts = until(lambda: "after" in (notes := fleet.ask(name, "book notes", 5)["texts"]) and notes)
    assert texts.index("before") < texts.index("after")


def test_a_leader_that_is_suspended_past_its_lease_steps_down(fleet):
    name = wait_for_leader(fleet)
    term = fleet.of_fleet(name)["term"]
    fleet.stop(name)
    suspended_at = time.monotonic()
    add_note(fleet, "while stopped", but=[name])
    until(lambda: time.monotonic() > suspended_at + LEASE_SECONDS + 0.2)
    fleet.go_on(name)
    status = until(lambda: (reply := fleet.of_fleet(name)) and reply["term"] > term and reply, 10)
    assert status["role"] != "leader" and fleet.leader() != name


@pytest.mark.parametrize("direction", ["both", "hears", "heard"])
def test_a_partitioned_leader_acknowledges_nothing(fleet, direction):
    """With "hears" the leader still receives, with "heard" it still sends, with "both" it does neither."""
    name = wait_for_leader(fleet)
    fleet.breaker.cut_off(name, hears=direction == "hears", heard=direction == "heard")
    replies = []
    thread = threading.Thread(target=lambda: replies.append(fleet.note(name, f"lonely {direction}", 1.0)))
    thread.start()
    add_note(fleet, f"by the others {direction}", but=[name])
    thread.join()
    assert not (replies[0] or {}).get("index")
    assert wait_for_leader(fleet, but=name)
    until(lambda: fleet.of_fleet(name)["role"] != "leader", 5, "it to step down")


def test_entries_are_committed_while_the_links_of_the_leader_are_slow(fleet):
    name = wait_for_leader(fleet)
    for other in fleet.voters:
        if other != name:
            fleet.breaker.slow(name, other, trickle=200)
    add_note(fleet, "trickling", but=[name])


def test_nothing_is_committed_without_a_majority(fleet):
    first, second, third = fleet.voters
    before = add_note(fleet, "kept")
    fleet.kill(first)
    fleet.kill(second)
    until(lambda: fleet.of_fleet(third)["role"] != "leader", 5)
    assert not (fleet.note(third, "alone", 0.8) or {}).get("index")
    fleet.restart(first)
    fleet.restart(second)
    assert add_note(fleet, "again") > before
    until(lambda: "kept" in (fleet.ask(first, "book notes", 5) or {}).get("texts", ()))


def test_a_member_with_a_full_disk_yields_the_leadership_and_keeps_running(fleet):
    name = wait_for_leader(fleet)
    fleet.fill(name)
    add_note(fleet, "elsewhere", but=[name])
    assert fleet.members[name].runs and fleet.leader() != name
    fleet.fill(name, False)
    until(lambda: fleet.of_fleet(name)["disk"]["state"] in ("idle", "busy"), 5, "the disk to be used again")


def test_a_member_that_lost_its_disk_rejoins_under_another_number(fleet):
    name = next(voter for voter in fleet.voters if voter != wait_for_leader(fleet))
    before = fleet.of_fleet(name)["me"]["number"]
    fleet.wipe(name)
    add_note(fleet, "without it", but=[name])
    fleet.restart(name)
    until(
        lambda: (
            {"name": name, "number": before + 1} in (fleet.of_fleet(wait_for_leader(fleet)) or {})["voters"]
        ),
        20,
    )
    assert "without it" in until(lambda: fleet.ask(name, "book notes", 5))["texts"]


def test_a_torn_tail_of_the_log_is_cut(fleet):
    name = next(voter for voter in fleet.voters if voter != wait_for_leader(fleet))
    add_note(fleet, "whole")
    fleet.kill(name)
    newest = segments(fleet, name)[-1]
    newest.write_bytes(newest.read_bytes() + b"\x17\x03torn")
    fleet.restart(name)
    fleet.ready()
    assert fleet.said(name, "torn_tail_cut")
    until(lambda: "whole" in (fleet.ask(name, "book notes", 5) or {}).get("texts", ()))


def test_a_log_that_is_corrupt_in_the_middle_is_refused_with_a_remedy(fleet):
    name = next(voter for voter in fleet.voters if voter != wait_for_leader(fleet))
    for number in range(10):
        add_note(fleet, f"many {number}")
    fleet.kill(name)
    file = segments(fleet, name)[-1]
    content = file.read_bytes()
    offset = (
        content.index(b"IHlg", 4) + 40
    )  # in the second record; many more follow, however the entries were batched
    file.write_bytes(content[:offset] + bytes([content[offset] ^ 255]) + content[offset + 1 :])
    fleet.restart(name)
    events = until(lambda: fleet.said(name, "cannot_start"), 30, "it to refuse")
    assert events[-1]["remedy"]
    until(lambda: not fleet.members[name].runs, 30, "it to end")
    file.write_bytes(content)


def segments(fleet, name):
    return sorted(path for path in fleet.places[name].ledger.iterdir() if path.name.startswith("log-"))


def test_foreign_clients_corrupt_frames_and_another_fleet_are_refused(fleet, tmp_path):
    name = wait_for_leader(fleet)
    term = fleet.of_fleet(name)["term"]
    for data in (b"GET / HTTP/1.1\r\n\r\n", bytes(1000), b"\xff" * 70_000):
        with socket.create_connection(fleet.places[name].at, 5) as sock:
            try:
                sock.sendall(data)
                sock.settimeout(10)
                while sock.recv(4096):
                    pass
            except ConnectionError:
                pass
    with Fleet(tmp_path, voters=3, name="other", relay=False) as other:
        # A file of the other fleet has the address of a member of this one.
        other.places["v1"].at = fleet.places["v1"].at
        other.write(only=["v2"])
        for voter in ("v2", "v3"):
            other.restart(voter)
        until(lambda: fleet.status("v1")["counters"].get("member_refused"), 10, "it to be refused")
    counters = fleet.status(name)["counters"]
    assert counters["frame_spoilt"] + counters.get("stranger", 0) >= 3
    assert "of fleet other" in fleet.said("v1", "member_refused")[0]["why"]
    assert fleet.of_fleet(name)["term"] == term and fleet.leader() == name


def test_a_jump_of_a_wall_clock_does_not_move_the_fleet_time(fleet):
    before = until(lambda: fleet.of_fleet(wait_for_leader(fleet))["time"], 10, "a fleet time")
    fleet.jump("v1", 3600)
    add_note(fleet, "forward")
    time.sleep(1.5)
    fleet.jump("v1", -3600)
    time.sleep(1.0)
    after = fleet.of_fleet(wait_for_leader(fleet))["time"]
    fleet.jump("v1", 0)
    assert 0 <= after - before < 10 * 10_000


def test_a_leader_is_upgraded_under_load_without_losing_an_entry(fleet):
    name = wait_for_leader(fleet)
    notes = Notes(fleet, clients=3, prefix="up").start()
    until(lambda: len(notes.acknowledged) > 20)
    reply = fleet.upgrade(name)
    assert reply and reply["result"] == "upgraded", reply
    upgraded_at = time.monotonic()
    until(lambda: notes.first_after(upgraded_at))
    notes.stop()
    settled(fleet)
    assert notes.judged(fleet.ask(name, "book notes", 5)["texts"]) == ([], [])


def test_entries_are_committed_during_a_rolling_restart(fleet):
    before = add_note(fleet, "first")
    for name in fleet.voters:
        fleet.end(name)
        fleet.restart(name)
        fleet.ready(names=[name])
        add_note(fleet, f"after {name}")
    assert add_note(fleet, "last") > before


def test_a_member_is_added_catches_up_votes_and_is_removed(fleet):
    fleet.place("v4", True)
    fleet.write()
    fleet.hup_all()
    fleet.restart("v4")
    until(lambda: "v4" in voter_names(fleet), 20, "it to vote")
    add_note(fleet, "new here")
    until(lambda: "new here" in fleet.ask("v4", "book notes", 5)["texts"])
    fleet.end("v4")
    removed = fleet.places.pop("v4"), fleet.members.pop("v4")
    removed[0].close()
    fleet.write()
    fleet.hup_all()
    until(
        lambda: fleet.ask(wait_for_leader(fleet), "out v4", 3.0) and "v4" not in voter_names(fleet),
        20,
        "it to be out",
    )
    assert add_note(fleet, "without it")


def voter_names(fleet):
    return [voter["name"] for voter in (fleet.of_fleet(fleet.leader()) or {"voters": []})["voters"]]
