"""The state of a front that an upgrade hands over includes all work in progress."""

import contextlib
import json

import pytest

from indigohitch import interface
from indigohitch.log import Log
from indigohitch.logic import Coordinator
from indigohitch.net.clock import Clock
from indigohitch.net.http_response import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.upgrade import snapshot
from stage import SETTINGS
from waiting import free_address


def success_response(count):
    """Return the relay's response to a call of which it accepted `count` orders."""
    return HttpResponse(
        "answered", 200, b"<R><results><item><ok_count>%d</ok_count></item></results></R>" % count
    )


class UpgradeHarness:
    """The fronts of the old and the new process, both in this process and on one loop."""

    def __init__(self):
        self.clock = Clock()
        self.log = Log(self.clock, "n0")
        self.defects = []
        self.loop = EventLoop(self.clock, self.defects.append)
        entries = [
            {
                "instanceId": f"b{n}",
                "hostPort": free_address(),
                "zone": "east",
                "machineType": "std",
                "cell": 0,
                "lifecycle": "SERVING",
                "weight": 6.0,
                "startedAtMs": 0,
            }
            for n in range(4)
        ]
        self.document = {
            "name": "n0",
            "listen": free_address(),
            "discovery": free_address(),
            "seed": "8c1f30d2",
            "settings": SETTINGS,
            "store": {"address": free_address()},
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"generation": 1, "reset": True, "instances": entries},
        }
        self.old = self.create_handover()
        self.new = self.create_handover()
        self.old.start_empty({})
        self.front = self.old.front
        self.front.relay.set_paused(True)  # no relay answers here
        self.front.store_mirror.on_watch_requested()
        self.front.store_mirror.on_watch_opened()
        self.deliver(
            interface.ProxyJoined(1, "east", 5.0, True),
            interface.ProxyJoined(2, "east", 5.0, True),
            interface.SliceOwnership(3, True),
            interface.StoredRoute(3, "b0", 1.0),
            interface.SliceOwnership(4, True),
            interface.StoredRoute(4, "b1", 1.0),
        )
        self.front.store_mirror.on_keepalive()
        self.run_decision_round()

    def create_handover(self):
        return CoordinatorHandover(None, self.create_front, lambda: None, lambda sock: None, lambda: None)

    def create_front(self, listening):
        return Front(self.loop, self.log, self.document | {"listen": free_address()})

    def deliver(self, *events):
        for event in events:
            self.front.store_mirror.on_relay_event(event)

    def run_decision_round(self):
        """Pass the waiting events to the decision module."""
        self.front.event_batch.is_due = True
        self.front.event_batch.flush_if_due()

    def hand_over(self):
        """Restore the new process from the encoded state of the old one, and return its front."""
        snapshots = []
        self.old.freeze(lambda state, error: snapshots.append((state, error)))
        assert snapshots[0][1] is None, snapshots
        state = snapshot.decode(snapshots[0][0])
        self.new.restore(state, {})
        assert snapshot.encode(self.new.snapshot_again()) == snapshots[0][0]
        return self.new.front


@pytest.fixture
def harness():
    upgrade_harness = UpgradeHarness()
    yield upgrade_harness
    for handover in (upgrade_harness.old, upgrade_harness.new):
        with contextlib.suppress(AttributeError):
            handover.front.close()
    upgrade_harness.loop.close()


@pytest.mark.parametrize("target", ["upgrade", "file"])
def test_events_that_wait_for_the_decision_module_are_in_the_state(harness, target):
    """Events of the batch interval before the snapshot are not reported to the new process again.

    If the snapshot left them out, the new process would never learn of a drained backend, a slice or a proxy
    that left.
    """
    entry = harness.document["known"]["instances"][1] | {"lifecycle": "DRAINING"}
    body = json.dumps({"generation": 2, "reset": False, "instances": [entry]}).encode()
    discovery = harness.front.discovery
    discovery._apply_response(discovery.versions.new_request(0, False), HttpResponse("answered", 200, body))
    harness.deliver(
        interface.ProxyLeft(1),
        interface.SliceOwnership(3, False),
        interface.SliceOwnership(9, True),
        interface.StoredRoute(9, "b2", 1.0),
    )
    harness.front.store_mirror._settle()
    if target == "upgrade":
        front = harness.hand_over()
    else:
        harness.new.restore(snapshot.decode(snapshot.encode(harness.old.snapshot())), {})
        front = harness.new.front
    coordinator = front.coordinator
    assert front.discovery.version == 2 and coordinator.backends["b1"].state == "draining"
    assert set(coordinator.proxies) == set(front.store_mirror.proxies) == {2}
    assert set(coordinator.slices) == set(front.store_mirror.tables) == {4, 9}


@pytest.mark.parametrize("last_call", ["answered", "reset", "not yet"])
def test_unacknowledged_lines_of_the_channel_are_in_the_state(harness, last_call, monkeypatch):
    """Without them the new process would overfill the channel and send an unresolved call a second time."""
    stopped_at = harness.clock.now()  # the backlog drains as time passes
    monkeypatch.setattr(harness.clock, "now", lambda: stopped_at)
    relay = harness.front.relay
    relay.client.request = lambda *arguments: callbacks.append(arguments[3])
    callbacks = []
    entry = harness.document["known"]["instances"][1] | {"lifecycle": "DRAINING"}
    body = json.dumps({"generation": 2, "reset": False, "instances": [entry]}).encode()
    harness.front.discovery._apply_response(
        harness.front.discovery.versions.new_request(0, False), HttpResponse("answered", 200, body)
    )
    harness.run_decision_round()
    if last_call != "not yet":
        relay.set_paused(False)
        for orders in list(relay.pending_calls)[:-1] if last_call == "reset" else list(relay.pending_calls):
            callbacks.pop()(success_response(len(orders)))
        relay.set_paused(True)
        if last_call == "reset":
            callbacks.pop()(HttpResponse("reset"))
    lines = relay.backlog.lines
    now = harness.clock.now()
    relay = harness.hand_over().relay
    assert bool(relay.pending_calls) == (last_call != "answered")
    # The decision module counts a line for the levels in each message, even if the message has none.
    level_lines = sum(len(call.pending_proxies) for call in relay.backlog.calls)
    assert lines <= relay.backlog.lines <= lines + level_lines and relay.backlog.fits_at(now, 0) == now
    assert (sum(call.lines for call in relay.backlog.calls) > 0) == (last_call != "not yet")
    assert [call.marker for call in relay.channel_limits.sent_copies] == (
        [relay.pending_calls[0][-1].marker] if last_call == "reset" else []
    )


@pytest.mark.parametrize("failure", ["before", "during the snapshot", "in every round"])
def test_a_restarted_decision_module_receives_the_state_in_either_process(harness, failure, monkeypatch):
    def fail(now, events):
        raise ZeroDivisionError

    harness.front.coordinator.handle = fail
    harness.deliver(interface.ProxyJoined(3, "east", 5.0, True))
    if failure == "before":
        harness.run_decision_round()  # a new module, which gets only later events before the full state
        harness.deliver(interface.ProxyJoined(3, "east", 5.0, True))
        harness.run_decision_round()
    elif failure == "in every round":
        with monkeypatch.context() as patched:
            patched.setattr(Coordinator, "handle", lambda coordinator, now, events: fail(now, events))
            harness.hand_over()
    if failure != "in every round":
        harness.hand_over()
    harness.new.start_serving(True)
    front = harness.front = harness.new.front
    harness.run_decision_round()
    coordinator = front.coordinator
    assert harness.defects and set(coordinator.slices) == {3, 4} and set(coordinator.proxies) == {1, 2, 3}
    assert {id for id, backend in coordinator.backends.items() if backend.state == "ready"} == {
        "b0",
        "b1",
        "b2",
        "b3",
    }
