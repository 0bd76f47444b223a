"""The program, and lists that are older than what it holds or meet an upgrade."""

import json
import os

from indigohitch.log import Log
from indigohitch.net.clock import SECOND, Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.upgrade import snapshot as shots
from peers import http
from stage import SETTINGS, drain
from waiting import eventually, free_address


def test_an_older_list_brings_no_drained_backend_back(platform):
    program = platform.serving()
    older = platform.whole()
    drain(platform, "b1")
    calls, answer, left = len(platform.calls), platform.discovery.answer, [older, older]

    def stale(sock, method, target, body):
        if not left:
            return answer(sock, method, target, body)
        left.pop()
        http(sock, json.dumps(older))

    platform.discovery.answer = stale
    drain(platform, "b2")  # ends the watch; the next two calls get the older list
    eventually(lambda: len(program.said("discovery_stale_answer", verdict="doubted")) == 2)
    drain(platform, "b3")  # asked for within a second, though nobody watched
    assert not [
        o
        for call in platform.calls[calls:]
        for o in call
        if o.startswith("put") and ",b1," in o and not o.endswith((",0", ",0.0"))
    ]
    assert not program.said("discovery_version_reset") and not program.said("discovery_failed")


def test_a_discovery_that_began_anew_is_believed(platform):
    program = platform.serving()
    drain(platform, "b1")
    with platform.lock:
        platform.version, platform.changes = 1, []
    platform.change("b5", "DRAINING")  # its version is below the one asked from: the watch waits on
    platform.add("b6")
    eventually(lambda: program.said("discovery_version_reset"))
    drain(platform, "b2")
    assert not any({"b1", "b5"} & set(t) for t in platform.tables.values())


def test_a_change_heard_as_the_state_is_taken_reaches_the_next_process(platform):
    """Its generation is in the state, and the module that goes with it had not heard it before."""
    defects = []
    loop = EventLoop(Clock(), defects.append)
    log = Log(loop.clock, "n0", os.memfd_create("log"))

    def made(listening=None):
        return Front(
            loop,
            log,
            {
                "name": "n0",
                "listen": free_address(),
                "discovery": platform.discovery.address,
                "seed": "8c1f",
                "known": platform.known,
                "settings": SETTINGS,
                "limits": platform.limits,
                "store": {"address": platform.relay.address},
            },
        )

    def until(holds, *fronts):
        end = loop.clock.now() + 20 * SECOND
        while not holds():
            assert loop.clock.now() < end, "never came true"
            loop.call_after(50, lambda: None)
            loop.turn()
            for front in fronts:
                front.event_batch.flush_if_due()

    front = made()
    until(lambda: front.coordinator.is_list_current, front)
    platform.change("b1", "DRAINING")
    until(lambda: front.discovery.version == platform.version)  # the module is not asked meanwhile
    old, states = CoordinatorHandover(front, made, lambda: None, None, None), []
    old.freeze(lambda state, broken: states.append(state))
    assert front.coordinator.backends["b1"].state == "draining"  # it hears what waits, at the latest now
    new = CoordinatorHandover(None, made, lambda: None, None, None)
    new.restore(shots.decode(states[0]), {})
    new.take_late_events(old.late_events())
    new.start_serving(True)
    until(
        lambda: (
            new.front.discovery.watch_exchange and new.front.coordinator.backends["b1"].state == "draining"
        ),
        new.front,
    )
    for each in (front, new.front):
        each.close()
    loop.close()
    os.close(log.output_fd)
    assert not defects
