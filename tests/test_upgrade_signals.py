"""Signals and deaths during an upgrade, mostly while the old process drains and monitors the new one."""

import os
import signal
import socket
import threading
from pathlib import Path
from unittest import mock

import pytest

from field import Field
from indigohitch import control
from indigohitch.upgrade import messages, predecessor_driver, snapshot
from indigohitch.upgrade.phases import Phase
from indigohitch.upgrade.successor_driver import SuccessorDriver
from stage import Platform
from waiting import eventually


@pytest.fixture
def field(tmp_path):
    """A field whose old process monitors the new one for longer than any test, without work in flight."""
    sidecar_field = Field(tmp_path, more=["wait watch 60s", "wait drain 60s", "wait start 60s"]).start()
    yield sidecar_field
    sidecar_field.close()


def upgrade(field):
    """Upgrade the program; return the pids of the old and the new process."""
    before = field.pid()
    assert field.ask("upgrade")["result"] == "upgraded"
    return before, field.pid()


def test_sigterm_to_the_new_process_during_the_drain_ends_both(field):
    """The old process took that end for a crash and served on, without control socket and pid file."""
    old, new = upgrade(field)
    os.kill(new, signal.SIGTERM)
    eventually(lambda: not field.mine(old) and not field.mine(new), 10)
    assert not field.said("upgrade_taken_back") and not Path(field.socket).exists()


def test_sighup_to_the_old_process_after_the_commit_reloads_the_new_one(field):
    old, _ = upgrade(field)
    field.write(servers=field.servers[:1])
    os.kill(old, signal.SIGHUP)
    eventually(lambda: field.said("reloaded"))
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"})


def test_sighup_during_an_upgrade_that_fails_early_reloads_the_old_process(field):
    """An upgrade that failed before the state was taken never thawed the module, and so did not reload."""
    before = field.pid()
    field.fault("start", "hang")
    asking = threading.Thread(target=lambda: field.ask("upgrade"))
    asking.start()
    eventually(lambda: field.said("fault", point="start"))
    field.write(servers=field.servers[:1])
    os.kill(before, signal.SIGHUP)
    for _ in range(2):  # so that its loop has run after the signal
        assert field.ask("status")["upgrade"] == "offered"
    assert not field.said("reloaded")
    for child in Path(f"/proc/{before}/task/{before}/children").read_text().split():
        os.kill(int(child), signal.SIGKILL)
    asking.join()
    eventually(lambda: field.said("reloaded"))
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"})


def test_the_pid_file_names_the_old_process_after_it_has_taken_the_service_back(field):
    old, new = upgrade(field)
    assert (field.path / "pid").read_text() == f"{new}\n"
    os.kill(new, signal.SIGKILL)
    eventually(lambda: field.said("upgrade_taken_back"))
    eventually(lambda: (field.path / "pid").read_text() == f"{old}\n")
    assert field.pid() == old and field.get().status == 200


def test_sighup_after_a_move_of_the_relay_reaches_the_new_process(tmp_path):
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


def test_the_watch_timer_of_an_earlier_upgrade_does_not_affect_a_later_one(monkeypatch):
    """The first upgrade is taken back, and the next one starts before the first `watch` timeout."""
    monkeypatch.setattr(
        predecessor_driver, "StartedProcess", mock.MagicMock(side_effect=lambda *_: mock.MagicMock())
    )
    monkeypatch.setattr(predecessor_driver, "Channel", mock.MagicMock())
    loop = mock.MagicMock()
    side = mock.MagicMock()
    timers = []
    loop.clock.now.return_value = 1000
    loop.call_after = lambda delay, action: timers.append((delay, action)) or mock.MagicMock()
    side.is_settled.return_value = side.is_drained.return_value = False
    side.listeners.return_value = {}
    side.take_idle_connections.return_value = []
    side.late_events.return_value = b""
    driver = predecessor_driver.PredecessorDriver(
        loop, mock.MagicMock(), side, [], {"watch": 7}, lambda: None, lambda result: None
    )
    watch_timers = []
    for end in ("died", ""):
        for event in ("asked", "hello", "settled", "restored", "proven", "accepting"):
            driver.step(event)
        watch_timers += [action for delay, action in timers if delay == 7]
        timers.clear()
        if end:
            driver.step(end)
    watch_timers[0]()
    assert not driver.machine.is_watch_over
    watch_timers[1]()
    assert driver.machine.is_watch_over


def test_a_call_sent_after_sigterm_is_in_the_final_state_file(tmp_path):
    """The file listed such a call as pending, and did not count it among the sent messages."""
    platform = Platform(tmp_path)
    state = tmp_path / "state"
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
        first_state = snapshot.read(str(state))
        call_count = len(platform.calls)
        fault_count = len(platform.relay_faults)
        assert first_state.coordinator.waiting
        # The calls that were in flight at that time have been rejected.
        eventually(lambda: len(platform.relay_faults) < fault_count - 2)
        platform.relay_faults.clear()
        assert program.process.wait(10) == 0
        assert len(platform.calls) > call_count
        final_state = snapshot.read(str(state)).coordinator
        assert not final_state.waiting and final_state.written[-1] > first_state.taken
    finally:
        platform.close()


def test_a_new_process_that_cannot_start_serving_exits_without_confirming_connections():
    """After the commit the old process takes over again, and still owns all connections."""
    side = mock.MagicMock()
    exit_codes = []
    serving_calls = []
    side.start_serving.side_effect = RuntimeError("no")
    pair = socket.socketpair()
    loop = mock.MagicMock()
    driver = SuccessorDriver(
        loop, mock.MagicMock(), side, pair[0], os.getpid(), lambda: serving_calls.append(1), exit_codes.append
    )
    driver.machine.phase = Phase.PROVEN
    driver.on_message(messages.CommitHandover(b""), [])
    assert pair[1].recv(100) == b""  # closed without a message
    pair[1].close()
    assert exit_codes == [1] and not serving_calls and not side.adopt.called
