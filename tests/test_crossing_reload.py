"""A reload that meets another reload, the end, an upgrade; and what of a file has to wait for a restart."""

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


class Stopped:
    """The program stands still: what is sent meanwhile meets in its next turn."""

    def __init__(self, program):
        self.process = program.process

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)
        stat = f"/proc/{self.process.pid}/stat"
        eventually(lambda: open(stat).read().rpartition(")")[2].split()[0] == "T")

    def __exit__(self, *broken):
        self.process.send_signal(signal.SIGCONT)


def test_two_reloads_in_one_turn_are_one_to_the_later_file(platform):
    program, passed_by = platform.serving(), [Peer(platform._relay), Peer(platform._discovery)]
    with Stopped(program):
        platform.reload(store={"address": passed_by[0].address}, discovery=passed_by[1].address)
        left = platform.move()
    eventually(lambda: len(program.said("relay_watch_started")) == 2)
    for peer in left:
        peer.close()
    drain(platform, "b1")
    assert len(program.said("reloaded", moved=True)) == 1 and none_lost(platform)
    assert [peer.connections for peer in passed_by] == [0, 0]
    for peer in passed_by:
        peer.close()


def test_a_reload_in_the_turn_of_the_end(platform):
    """First the reload, then the end, whichever was sent first; the move holds nothing up."""
    program = platform.serving()
    with Stopped(program):
        program.process.send_signal(signal.SIGTERM)
        platform.reload(store={"address": free_address()}, discovery=free_address())
    assert program.process.wait(10) == 0
    program.reader.join(5)
    told = [e["event"] if e["event"] != "phase" else e["now"] for e in program.log]
    # What the addresses say at which nobody listens may come between.
    assert [
        word
        for word in told[told.index("reloaded") :]
        if not word.startswith(("discovery_", "news_", "relay_"))
    ] == ["reloaded", "ending", "ended", "counters"]


def test_a_signal_that_fails_does_not_take_the_others_of_its_turn_along():
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
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert [json.loads(line)["event"] for line in done.stdout.splitlines()] == ["defect", "phase"]


def test_an_upgrade_after_a_reload_stays_at_the_new_addresses(tmp_path):
    """The variable that told of discovery at the start is older than the file by then."""
    platform = Platform(tmp_path)
    operator = tmp_path / "operator.conf"
    operator.write_text(f"control {tmp_path / 'control'}\nwait watch 200ms\n")
    program = platform.serving(["run", "--operator", str(operator)])
    try:
        eventually(lambda: program.said("relay_watch_started"))
        left = platform.move()
        eventually(lambda: program.said("reloaded", moved=True))
        eventually(lambda: len(program.said("relay_watch_started")) == 2)
        for peer in left:
            peer.close()
        drain(platform, "b1")
        asked = subprocess.run(
            [sys.executable, "-m", "indigohitch", "upgrade", str(operator)], capture_output=True, check=True
        )
        assert json.loads(asked.stdout)["result"] == "upgraded"
        eventually(lambda: program.said("phase", now="ended"))
        drain(platform, "b2")
        assert not program.said("discovery_failed") and none_lost(platform)
    finally:
        for e in program.said("starts"):
            try:
                os.kill(e["pid"], signal.SIGKILL)
            except ProcessLookupError:
                pass
        platform.close()


# ---- what takes a restart --------------------------------------------------------------------------

OTHERS = SETTINGS | {
    "period": 400.0,
    "balancers": 3,
    "slot-no": 2,
    "classes": SETTINGS["classes"][:1],
    "family-info": SETTINGS["family-info"]
    | {"report-every": 900.0, "messages-most": 1, "counted-over": 99000.0, "key-ranges": 3},
}


@pytest.fixture
def front():
    loop = EventLoop(Clock(), lambda broken: pytest.fail(repr(broken)))
    found = {
        "name": "n0",
        "listen": free_address(),
        "discovery": free_address(),
        "seed": "8c1f30d2",
        "known": {"generation": 4, "reset": True, "instances": []},
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "store": {"address": free_address()},
    }
    front = Front(loop, Log(loop.clock, "t", os.open(os.devnull, os.O_WRONLY)), found)
    yield front
    front.close()


def standing(front):
    """All that was dealt out of settings and limits, where it is held."""
    relay, hub, known = front.relay, front.inbound, front.known_names
    return [
        id(part)
        for part in (
            front.settings,
            front.coordinator,
            front.coordinator.settings,
            front.loop.pool,
            hub.pool,
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
            hub.max_connections,
            known,
            front.loop.pool.available,
            hub.pool.available,
        )
    )


def test_nothing_of_other_settings_or_limits_comes_in(front):
    before, found, told = standing(front), front.configuration, []
    front.log.event = lambda event, **words: told.append((event, words))
    changed = found | {
        "settings": OTHERS,
        "limits": {"cores": 2.0, "memory_mb": 32, "sockets": 64},
        "known": {"generation": 9, "reset": True, "instances": []},
        "name": "n1",
        "seed": "1",
    }
    changed |= {"discovery": free_address(), "store": {"address": free_address()}}
    left = [
        "limits",
        "name",
        "settings.balancers",
        "settings.classes",
        "settings.family-info",
        "settings.period",
        "settings.slot-no",
    ]
    for moved in (True, False):  # the same again: it still takes a restart, nothing moves
        front.reload(changed)
        assert told[-1] == ("reloaded", {"moved": moved, "needs_restart": left})
        assert standing(front) == before
    front.reload(found | {"settings": OTHERS | {"period": SETTINGS["period"]}})
    assert told[-1] == (
        "reloaded",
        {"moved": True, "needs_restart": [n for n in left if n not in ("limits", "name", "settings.period")]},
    )
    front.reload(found)  # back to what is in force: nothing waits any more
    assert told[-1] == ("reloaded", {"moved": False}) and standing(front) == before
    assert front.discovery.client.address == parse_address(found["discovery"])
    assert (
        front.relay.client.address
        == front.relay_watch.client.address
        == parse_address(found["store"]["address"])
    )
