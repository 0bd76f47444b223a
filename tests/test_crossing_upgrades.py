"""Upgrades that meet news, signals, deadlines and each other's ends."""

import contextlib
import json

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.logic import Coordinator
from indigohitch.net.clock import Clock
from indigohitch.net.http_exchange import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.upgrade import snapshot as shots
from stage import SETTINGS
from waiting import free_address


def taken(count):
    """The relay's answer."""
    return HttpResponse(
        "answered", 200, b"<R><results><item><ok_count>%d</ok_count></item></results></R>" % count
    )


class Bench:
    """Fronts of two processes in this one, on one loop that is turned by hand."""

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
        self.found = {
            "name": "n0",
            "listen": free_address(),
            "discovery": free_address(),
            "seed": "8c1f30d2",
            "settings": SETTINGS,
            "store": {"address": free_address()},
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"generation": 1, "reset": True, "instances": entries},
        }
        self.old, self.new = self.side(), self.side()
        self.old.start_empty({})
        self.front = self.old.front
        self.front.relay.set_paused(True)  # nothing here answers
        self.front.store_mirror.on_watch_requested()
        self.front.store_mirror.on_watch_opened()
        self.news(
            face.ProxyJoined(1, "east", 5.0, True),
            face.ProxyJoined(2, "east", 5.0, True),
            face.SliceOwnership(3, True),
            face.StoredRoute(3, "b0", 1.0),
            face.SliceOwnership(4, True),
            face.StoredRoute(4, "b1", 1.0),
        )
        self.front.store_mirror.on_keepalive()
        self.handed()

    def side(self):
        return CoordinatorHandover(None, self.make, lambda: None, lambda sock: None, lambda: None)

    def make(self, listening):
        return Front(self.loop, self.log, self.found | {"listen": free_address()})

    def news(self, *events):
        for event in events:
            self.front.store_mirror.on_relay_event(event)

    def handed(self):
        """What came so far goes to the module."""
        self.front.event_batch.is_due = True
        self.front.event_batch.flush_if_due()

    def over(self):
        """The state goes to the new process, by way of bytes."""
        taken = []
        self.old.freeze(lambda state, broken: taken.append((state, broken)))
        assert taken[0][1] is None, taken
        state = shots.decode(taken[0][0])
        self.new.restore(state, {})
        assert shots.encode(self.new.snapshot_again()) == taken[0][0]
        return self.new.front


@pytest.fixture
def bench():
    found = Bench()
    yield found
    for side in (found.old, found.new):
        with contextlib.suppress(AttributeError):
            side.front.close()
    found.loop.close()


@pytest.mark.parametrize("way", ["upgrade", "file"])
def test_what_waits_for_the_module_is_in_the_state(bench, way):
    """Told within the gathering's span before the state is taken; the new process knows it as told."""
    entry = bench.found["known"]["instances"][1] | {"lifecycle": "DRAINING"}
    body = json.dumps({"generation": 2, "reset": False, "instances": [entry]}).encode()
    discovery = bench.front.discovery
    discovery._apply_response(discovery.versions.new_request(0, False), HttpResponse("answered", 200, body))
    bench.news(
        face.ProxyLeft(1),
        face.SliceOwnership(3, False),
        face.SliceOwnership(9, True),
        face.StoredRoute(9, "b2", 1.0),
    )
    bench.front.store_mirror._settle()
    if way == "upgrade":
        front = bench.over()
    else:
        bench.new.restore(shots.decode(shots.encode(bench.old.snapshot())), {})
        front = bench.new.front
    module = front.coordinator
    assert front.discovery.version == 2 and module.backends["b1"].state == "draining"
    assert set(module.proxies) == set(front.store_mirror.proxies) == {2}
    assert set(module.slices) == set(front.store_mirror.tables) == {4, 9}


@pytest.mark.parametrize("went", ["answered", "reset", "not yet"])
def test_what_lies_in_the_channel_is_in_the_state(bench, went, monkeypatch):
    """Else the new process fills the channel anew, and sends a call in doubt again on top of itself."""
    stopped = bench.clock.now()  # lines leave with time
    monkeypatch.setattr(bench.clock, "now", lambda: stopped)
    relay = bench.front.relay
    relay.client.request = lambda *words: asked.append(words[3])
    asked = []
    entry = bench.found["known"]["instances"][1] | {"lifecycle": "DRAINING"}
    body = json.dumps({"generation": 2, "reset": False, "instances": [entry]}).encode()
    bench.front.discovery._apply_response(
        bench.front.discovery.versions.new_request(0, False), HttpResponse("answered", 200, body)
    )
    bench.handed()
    if went != "not yet":
        relay.set_paused(False)
        for orders in list(relay.pending_calls)[:-1] if went == "reset" else list(relay.pending_calls):
            asked.pop()(taken(len(orders)))
        relay.set_paused(True)
        if went == "reset":
            asked.pop()(HttpResponse("reset"))
    lines, now = relay.backlog.lines, bench.clock.now()
    relay = bench.over().relay
    assert bool(relay.pending_calls) == (went != "answered")
    # The module counts a line for the levels in each message, also where there is none.
    spare = sum(len(call.pending_proxies) for call in relay.backlog.calls)
    assert lines <= relay.backlog.lines <= lines + spare and relay.backlog.fits_at(now, 0) == now
    assert (sum(call.lines for call in relay.backlog.calls) > 0) == (went != "not yet")
    assert [call.marker for call in relay.channel_limits.sent_copies] == (
        [relay.pending_calls[0][-1].marker] if went == "reset" else []
    )


@pytest.mark.parametrize("broken", ["before", "as the state is taken", "at every turn"])
def test_a_module_begun_anew_is_told_what_stands_whoever_goes_on(bench, broken, monkeypatch):
    def breaks(now, events):
        raise ZeroDivisionError

    bench.front.coordinator.handle = breaks
    bench.news(face.ProxyJoined(3, "east", 5.0, True))
    if broken == "before":
        bench.handed()  # a new module, which hears of little before it is told all
        bench.news(face.ProxyJoined(3, "east", 5.0, True))
        bench.handed()
    elif broken == "at every turn":
        with monkeypatch.context() as patched:
            patched.setattr(Coordinator, "handle", lambda module, now, events: breaks(now, events))
            bench.over()
    if broken != "at every turn":
        bench.over()
    bench.new.start_serving(True)
    front = bench.front = bench.new.front
    bench.handed()
    module = front.coordinator
    assert bench.defects and set(module.slices) == {3, 4} and set(module.proxies) == {1, 2, 3}
    assert {id for id, b in module.backends.items() if b.state == "ready"} == {"b0", "b1", "b2", "b3"}
