"""Tests the program when discovery sends older lists, restarts its count, or sends a change in an upgrade."""

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


def test_older_list_restores_no_drained_backend(platform):
    program = platform.serving()
    older = platform.whole()
    drain(platform, "b1")
    call_count = len(platform.calls)
    answer = platform.discovery.answer
    stale_responses = [older, older]

    def answer_stale(sock, method, target, body):
        if not stale_responses:
            return answer(sock, method, target, body)
        stale_responses.pop()
        http(sock, json.dumps(older))

    platform.discovery.answer = answer_stale
    drain(platform, "b2")  # ends the watch; the next two requests get the older list
    eventually(lambda: len(program.said("discovery_stale_answer", verdict="doubted")) == 2)
    drain(platform, "b3")  # requested within a second, although no watch was in flight
    assert not [
        order
        for call in platform.calls[call_count:]
        for order in call
        if order.startswith("put") and ",b1," in order and not order.endswith((",0", ",0.0"))
    ]
    assert not program.said("discovery_version_reset") and not program.said("discovery_failed")


def test_restarted_discovery_is_accepted(platform):
    program = platform.serving()
    drain(platform, "b1")
    with platform.lock:
        platform.version, platform.changes = 1, []
    platform.change("b5", "DRAINING")  # below the version of the watch's request: the watch keeps waiting
    platform.add("b6")
    eventually(lambda: program.said("discovery_version_reset"))
    drain(platform, "b2")
    assert not any({"b1", "b5"} & set(table) for table in platform.tables.values())


def test_change_received_while_the_state_is_saved_reaches_the_next_process(platform):
    """The saved state contains the generation of the change, which the decision module had not processed."""
    defects = []
    loop = EventLoop(Clock(), defects.append)
    log = Log(loop.clock, "n0", os.memfd_create("log"))

    def create_front(listening=None):
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

    def run_until(holds, *fronts):
        end = loop.clock.now() + 20 * SECOND
        while not holds():
            assert loop.clock.now() < end, "never came true"
            loop.call_after(50, lambda: None)
            loop.turn()
            for front in fronts:
                front.event_batch.flush_if_due()

    front = create_front()
    run_until(lambda: front.coordinator.is_list_current, front)
    platform.change("b1", "DRAINING")
    # The decision module is not called meanwhile.
    run_until(lambda: front.discovery.version == platform.version)
    old = CoordinatorHandover(front, create_front, lambda: None, None, None)
    states = []
    old.freeze(lambda state, broken: states.append(state))
    assert front.coordinator.backends["b1"].state == "draining"  # waiting events are processed by now
    new = CoordinatorHandover(None, create_front, lambda: None, None, None)
    new.restore(shots.decode(states[0]), {})
    new.take_late_events(old.late_events())
    new.start_serving(True)
    run_until(
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
