"""Reloads that coincide with other reloads, shutdown or an upgrade, and changes that need a restart."""

import json
import os
import signal
import subprocess
import sys

import pytest

from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.connection import parse_address
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from peers import Peer
from stage import SETTINGS, Platform, drain, none_lost
from waiting import eventually, free_address


class StoppedProcess:
    """Stops the program, so that signals sent meanwhile are handled in the same turn of its loop."""

    def __init__(self, program):
        self.process = program.process

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)
        stat = f"/proc/{self.process.pid}/stat"
        eventually(lambda: open(stat).read().rpartition(")")[2].split()[0] == "T")

    def __exit__(self, *exception):
        self.process.send_signal(signal.SIGCONT)


def test_two_reloads_in_one_turn_apply_only_the_later_file(platform):
    program = platform.serving()
    skipped = [Peer(platform._relay), Peer(platform._discovery)]
    with StoppedProcess(program):
        platform.reload(store={"address": skipped[0].address}, discovery=skipped[1].address)
        previous_peers = platform.move()
    eventually(lambda: len(program.said("relay_watch_started")) == 2)
    for peer in previous_peers:
        peer.close()
    drain(platform, "b1")
    assert len(program.said("reloaded", moved=True)) == 1 and none_lost(platform)
    assert [peer.connections for peer in skipped] == [0, 0]
    for peer in skipped:
        peer.close()


def test_a_reload_in_the_same_turn_as_sigterm_is_applied_first(platform):
    """The order of the signals does not matter, and the change of addresses does not delay the shutdown."""
    program = platform.serving()
    with StoppedProcess(program):
        program.process.send_signal(signal.SIGTERM)
        platform.reload(store={"address": free_address()}, discovery=free_address())
    assert program.process.wait(10) == 0
    program.reader.join(5)
    events = [line["event"] if line["event"] != "phase" else line["now"] for line in program.log]
    # Events about the new addresses, at which nobody listens, may come in between.
    assert [
        event
        for event in events[events.index("reloaded") :]
        if not event.startswith(("discovery_", "news_", "relay_"))
    ] == ["reloaded", "ending", "ended", "counters"]


def test_a_failing_signal_handler_does_not_prevent_others_in_the_same_turn():
    code = """
import enum, os, signal
from indigohitch.process import Process
class Phase(enum.Enum):
    SERVING, ENDED = "serving", "ended"
class Failing(Process):
    def on_signal(self, number):
        if number == signal.SIGHUP:
            raise RecursionError("a defect")
        self.become(Phase.ENDED)
failing = Failing(Phase.SERVING, "t")
for number in (signal.SIGHUP, signal.SIGTERM):
    os.kill(os.getpid(), number)
failing.loop.turn()
"""
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert [json.loads(line)["event"] for line in completed.stdout.splitlines()] == ["defect", "phase"]


def test_an_upgrade_after_a_reload_keeps_the_new_addresses(tmp_path):
    """The environment variable with the address of discovery is older than the reloaded file."""
    platform = Platform(tmp_path)
    operator_file = tmp_path / "operator.conf"
    operator_file.write_text(f"control {tmp_path / 'control'}\nwait watch 200ms\n")
    program = platform.serving(["run", "--operator", str(operator_file)])
    try:
        eventually(lambda: program.said("relay_watch_started"))
        previous_peers = platform.move()
        eventually(lambda: program.said("reloaded", moved=True))
        eventually(lambda: len(program.said("relay_watch_started")) == 2)
        for peer in previous_peers:
            peer.close()
        drain(platform, "b1")
        upgrade = subprocess.run(
            [sys.executable, "-m", "indigohitch", "upgrade", str(operator_file)],
            capture_output=True,
            check=True,
        )
        assert json.loads(upgrade.stdout)["result"] == "upgraded"
        eventually(lambda: program.said("phase", now="ended"))
        drain(platform, "b2")
        assert not program.said("discovery_failed") and none_lost(platform)
    finally:
        for event in program.said("starts"):
            try:
                os.kill(event["pid"], signal.SIGKILL)
            except ProcessLookupError:
                pass
        platform.close()


# ---- changes that need a restart -------------------------------------------------------------------

CHANGED_SETTINGS = SETTINGS | {
    "period": 400.0,
    "balancers": 3,
    "slot-no": 2,
    "classes": SETTINGS["classes"][:1],
    "family-info": SETTINGS["family-info"]
    | {"report-every": 900.0, "messages-most": 1, "counted-over": 99000.0, "key-ranges": 3},
}


@pytest.fixture
def front():
    loop = EventLoop(Clock(), lambda error: pytest.fail(repr(error)))
    document = {
        "name": "n0",
        "listen": free_address(),
        "discovery": free_address(),
        "seed": "8c1f30d2",
        "known": {"generation": 4, "reset": True, "instances": []},
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "store": {"address": free_address()},
    }
    front = Front(loop, Log(loop.clock, "t", os.open(os.devnull, os.O_WRONLY)), document)
    yield front
    front.close()


def settings_in_use(front):
    """Return the identities and values of all that was derived from settings and limits, where it is used."""
    relay = front.relay
    inbound = front.inbound
    known = front.known_names
    return [
        id(part)
        for part in (
            front.settings,
            front.coordinator,
            front.coordinator.settings,
            front.loop.pool,
            inbound.pool,
            known,
            front.configuration,
        )
    ], repr(
        (
            front.settings,
            front.seed,
            front.entries,
            front.addresses,
            front.event_batch.min_interval,
            front.probes.max_in_flight,
            front.probes.path,
            relay.methods,
            relay.channel_limits.message_rate.max_messages,
            relay.channel_limits.message_rate.window,
            inbound.max_connections,
            known,
            front.loop.pool.available,
            inbound.pool.available,
        )
    )


def test_changed_settings_and_limits_do_not_apply_before_a_restart(front):
    before = settings_in_use(front)
    document = front.configuration
    logged = []
    front.log.event = lambda event, **fields: logged.append((event, fields))
    changed = document | {
        "settings": CHANGED_SETTINGS,
        "limits": {"cores": 2.0, "memory_mb": 32, "sockets": 64},
        "known": {"generation": 9, "reset": True, "instances": []},
        "name": "n1",
        "seed": "1",
    }
    changed |= {"discovery": free_address(), "store": {"address": free_address()}}
    needs_restart = [
        "limits",
        "name",
        "settings.balancers",
        "settings.classes",
        "settings.family-info",
        "settings.period",
        "settings.slot-no",
    ]
    for moved in (True, False):  # the second time nothing moves, and the rest still needs a restart
        front.reload(changed)
        assert logged[-1] == ("reloaded", {"moved": moved, "needs_restart": needs_restart})
        assert settings_in_use(front) == before
    front.reload(document | {"settings": CHANGED_SETTINGS | {"period": SETTINGS["period"]}})
    assert logged[-1] == (
        "reloaded",
        {
            "moved": True,
            "needs_restart": [n for n in needs_restart if n not in ("limits", "name", "settings.period")],
        },
    )
    front.reload(document)  # the configuration in force: nothing needs a restart any more
    assert logged[-1] == ("reloaded", {"moved": False}) and settings_in_use(front) == before
    assert front.discovery.client.address == parse_address(document["discovery"])
    assert (
        front.relay.client.address
        == front.relay_watch.client.address
        == parse_address(document["store"]["address"])
    )
