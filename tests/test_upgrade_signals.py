"""Signals and deaths that meet an upgrade in the phase in which the old process stands by."""

import os
import signal
import socket
import threading
from pathlib import Path
from unittest import mock

import pytest

from field import Field
from indigohitch import control
from indigohitch.upgrade import messages, predecessor_driver
from indigohitch.upgrade import snapshot as shots
from indigohitch.upgrade.phases import Phase
from indigohitch.upgrade.successor_driver import SuccessorDriver
from stage import Platform
from waiting import eventually


@pytest.fixture
def field(tmp_path):
    """Its old process stands by for longer than any test takes, with nothing in hand."""
    found = Field(tmp_path, more=["wait watch 60s", "wait drain 60s", "wait start 60s"]).start()
    yield found
    found.close()


def upgraded(field):
    before = field.pid()
    assert field.ask("upgrade")["result"] == "upgraded"
    return before, field.pid()


def test_the_service_is_told_to_end_while_the_old_one_stands_by(field):
    """Seen: the old one took its end for a death and went on, with no control socket and no pid file."""
    old, new = upgraded(field)
    os.kill(new, signal.SIGTERM)
    eventually(lambda: not field.mine(old) and not field.mine(new), 10)
    assert not field.said("upgrade_taken_back") and not Path(field.socket).exists()


def test_sighup_to_the_old_one_after_the_word_is_heard_by_the_service(field):
    old, _ = upgraded(field)
    field.write(servers=field.servers[:1])
    os.kill(old, signal.SIGHUP)
    eventually(lambda: field.said("reloaded"))
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"})


def test_sighup_during_an_upgrade_that_comes_to_nothing_early(field):
    """Before the state was taken: nothing thawed, and nothing was read either."""
    before = field.pid()
    field.fault("start", "hang")
    asking = threading.Thread(target=lambda: field.ask("upgrade"))
    asking.start()
    eventually(lambda: field.said("fault", point="start"))
    field.write(servers=field.servers[:1])
    os.kill(before, signal.SIGHUP)
    for _ in range(2):  # turns of its loop after the signal
        assert field.ask("status")["upgrade"] == "offered"
    assert not field.said("reloaded")
    for child in Path(f"/proc/{before}/task/{before}/children").read_text().split():
        os.kill(int(child), signal.SIGKILL)
    asking.join()
    eventually(lambda: field.said("reloaded"))
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"})


def test_the_pid_file_names_the_old_one_again_once_it_took_over_again(field):
    old, new = upgraded(field)
    assert (field.path / "pid").read_text() == f"{new}\n"
    os.kill(new, signal.SIGKILL)
    eventually(lambda: field.said("upgrade_taken_back"))
    eventually(lambda: (field.path / "pid").read_text() == f"{old}\n")
    assert field.pid() == old and field.get().status == 200


def test_a_relays_move_to_the_old_one_after_the_word(tmp_path):
    platform = Platform(tmp_path)
    file = tmp_path / "operator.conf"
    file.write_text(f"control {tmp_path / 'control'}\nwait watch 60s\nwait drain 60s\n")
    try:
        program = platform.serving(["run", "--operator", str(file)])
        assert control.send_command(str(tmp_path / "control"), "upgrade")["result"] == "upgraded"
        eventually(lambda: len(program.said("relay_watch_started")) == 2)
        left = platform.move()  # the signal goes to the process that was started
        eventually(lambda: program.said("reloaded", moved=True))
        eventually(lambda: len(program.said("relay_watch_started")) == 3)
        for peer in left:
            peer.close()
        platform.change("b1", "DRAINING")
        eventually(lambda: platform.agrees() and not any("b1" in t for t in platform.tables.values()))
    finally:
        for started in platform.program.said("starts"):
            os.kill(started["pid"], signal.SIGKILL)
        platform.close()


def test_an_earlier_upgrades_time_to_stand_by_does_not_end_a_later_one(monkeypatch):
    """Taken back, and asked for again within that time."""
    monkeypatch.setattr(
        predecessor_driver, "StartedProcess", mock.MagicMock(side_effect=lambda *_: mock.MagicMock())
    )
    monkeypatch.setattr(predecessor_driver, "Channel", mock.MagicMock())
    loop, side, due = mock.MagicMock(), mock.MagicMock(), []
    loop.clock.now.return_value = 1000
    loop.call_after = lambda span, action: due.append((span, action)) or mock.MagicMock()
    side.is_settled.return_value = side.is_drained.return_value = False
    side.listeners.return_value = {}
    side.take_idle_connections.return_value = []
    side.late_events.return_value = b""
    given = predecessor_driver.PredecessorDriver(
        loop, mock.MagicMock(), side, [], {"watch": 7}, lambda: None, lambda told: None
    )
    stood = []
    for end in ("died", ""):
        for event in ("asked", "hello", "settled", "restored", "proven", "accepting"):
            given.step(event)
        stood += [action for span, action in due if span == 7]
        due.clear()
        if end:
            given.step(end)
    stood[0]()
    assert not given.machine.watched
    stood[1]()
    assert given.machine.watched


def test_a_call_that_went_after_sigterm_is_in_the_state_of_the_end(tmp_path):
    """Seen: the file held it as one that waits, and not among the messages that count."""
    platform, state = Platform(tmp_path), tmp_path / "state"
    file = tmp_path / "operator.conf"
    file.write_text(f"control {tmp_path / 'control'}\nstate {state}\n")
    try:
        program = platform.serving(["run", "--operator", str(file)])
        eventually(platform.agrees)
        platform.relay_faults += ["Throttling"] * 10**6
        platform.change("b1", "DRAINING")
        eventually(lambda: control.send_command(str(tmp_path / "control"), "status")["calls_waiting"])
        program.process.send_signal(signal.SIGTERM)
        eventually(lambda: program.said("state_written"))
        first, calls, turned = shots.read(str(state)), len(platform.calls), len(platform.relay_faults)
        assert first.coordinator.waiting
        eventually(lambda: len(platform.relay_faults) < turned - 2)  # what was out then was turned away
        platform.relay_faults.clear()
        assert program.process.wait(10) == 0
        assert len(platform.calls) > calls
        ended = shots.read(str(state)).coordinator
        assert not ended.waiting and ended.written[-1] > first.taken
    finally:
        platform.close()


def test_a_new_process_that_can_not_begin_makes_room():
    """After the word: it says nothing of what was passed, and is dead soon, so the old one has all of it."""
    side, ended, began = mock.MagicMock(), [], []
    side.start_serving.side_effect = RuntimeError("no")
    pair = socket.socketpair()
    loop = mock.MagicMock()
    taking = SuccessorDriver(
        loop, mock.MagicMock(), side, pair[0], os.getpid(), lambda: began.append(1), ended.append
    )
    taking.machine.phase = Phase.PROVEN
    taking.on_message(messages.CommitHandover(b""), [])
    assert pair[1].recv(100) == b""  # closed without a word
    pair[1].close()
    assert ended == [1] and not began and not side.adopt.called
