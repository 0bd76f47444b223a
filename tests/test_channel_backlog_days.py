"""Simulated days of a front with its module, a relay with lost responses and a channel with a line limit."""

import os
import random
from types import SimpleNamespace
from urllib.parse import parse_qs

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_response import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import call_resolution, stored_tables
from indigohitch.platform_protocol.front import Front
from relay_room import FakeStreamClient
from seam import Shifted
from stage import SETTINGS
from waiting import free_address

PROXIES = 60
BACKENDS = 40
SLICES = 80
MAX_LINES = PROXIES * 120
DRAIN_RATE = PROXIES * 80  # lines per second
STEP = SECOND // 200
ACKNOWLEDGE_DELAY = SECOND * 3 // 10  # until a proxy has applied lines that have left the channel


class SimulatedDay:
    """Runs a front in steps of time.

    `share` is the actual drain rate as a share of the stated one, `faults` the share of unresolved calls.
    """

    def __init__(self, seed, share, faults, monkeypatch):
        self.random = random.Random(seed)
        self.share = share
        self.faults = faults
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.fail)
        self.log = Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY))
        monkeypatch.setattr(call_resolution, "HttpClient", lambda *arguments: FakeStreamClient(self))
        self.is_store_silent = False  # read by FakeStreamClient
        family = SETTINGS["family-info"] | {"queue-cap": MAX_LINES, "egress-per-s": DRAIN_RATE}
        entries = [self.entry(n, "SERVING") for n in range(BACKENDS)]
        configuration = {
            "name": "n0",
            "listen": free_address(),
            "discovery": free_address(),
            "seed": str(seed),
            "settings": SETTINGS | {"family-info": family},
            "store": {"address": free_address()},
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"generation": 1, "reset": True, "instances": entries},
        }
        self.front = Front(self.loop, self.log, configuration)
        self.front.relay.client.request = self.request
        self.store = {n: stored_tables.StoredTable({f"b{n % BACKENDS}": 1.0}) for n in range(SLICES)}
        self.queue = []  # remaining lines and marker of each call in the channel
        self.acknowledgements = []  # due time and marker
        self.peak_lines = 0.0
        self.drained_at = self.clock.now()
        store_mirror = self.front.store_mirror
        store_mirror.on_watch_requested()
        store_mirror.on_watch_opened()
        for proxy in range(PROXIES):
            store_mirror.on_relay_event(face.ProxyJoined(proxy, "east", 5.0, False))
        for number, table in self.store.items():
            store_mirror.on_relay_event(face.SliceOwnership(number, True))
            store_mirror.on_relay_event(face.StoredRoute(number, *next(iter(table.routes.items()))))
        store_mirror.on_keepalive()

    def fail(self, error):
        raise error

    @staticmethod
    def entry(n, state):
        return {
            "instanceId": f"b{n}",
            "hostPort": "127.0.0.1:1",
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": state,
            "weight": 6.0,
            "startedAtMs": 0,
        }

    def request(self, method, target, timeout, on_response, body, content_type):
        """Handle a call: apply it and respond, apply it without a response, or neither."""
        roll = self.random.random()
        if roll > self.faults / 2:
            self.apply_call(list(self.front.relay.pending_calls[0]))
        count = parse_qs(body.decode())["orders"][0].count(";") + 1
        result = b"<R><results><item><ok_count>%d</ok_count></item></results></R>" % count
        response = HttpResponse("answered", 200, result) if roll > self.faults else HttpResponse("reset")
        self.loop.call_after(5, lambda: on_response(response))
        return SimpleNamespace(drop=lambda: None)

    def apply_call(self, orders):
        stored_tables.apply_orders(self.store, orders)
        marker = next((o.marker for o in orders if isinstance(o, face.UpdateMarker)), None)
        self.queue.append([(len(orders) + self.front.relay.backlog.overhead_lines) * PROXIES, marker])
        self.peak_lines = max(self.peak_lines, sum(lines for lines, _ in self.queue))

    def step(self):
        self.clock.by += STEP
        self.loop.call_after(0, lambda: None)
        self.loop.turn()
        self.front.event_batch.flush_if_due()
        now = self.clock.now()
        capacity = DRAIN_RATE * self.share * (now - self.drained_at) / SECOND
        self.drained_at = now
        while self.queue and capacity > 0:
            drained = min(capacity, self.queue[0][0])
            self.queue[0][0] -= drained
            capacity -= drained
            if not self.queue[0][0]:
                self.acknowledgements.append((now + ACKNOWLEDGE_DELAY, self.queue.pop(0)[1]))
        while self.acknowledgements and self.acknowledgements[0][0] <= now:
            _, marker = self.acknowledgements.pop(0)
            for proxy in range(PROXIES if marker is not None else 0):
                self.front.store_mirror.on_relay_event(face.UpdateAcknowledged(proxy, marker, 10))

    def drain(self, numbers):
        """Drain these backends and run until no route leads to them."""
        entries = tuple(face.BackendEntry(f"b{n}", "draining", 6.0, "east", 0, "std", 0) for n in numbers)
        self.front.add_events(face.BackendList("changes", 2, entries))
        draining = {f"b{n}" for n in numbers}
        started_at = self.clock.now()
        while any(draining & set(table.routes) for table in self.store.values()):
            assert self.clock.now() - started_at < 60 * SECOND, "routes to draining backends remain"
            self.step()

    def run(self):
        for _ in range(200):
            self.step()
        order = self.random.sample(range(BACKENDS), 30)
        for start in (0, 15):
            self.drain(order[start : start + 15])
            for _ in range(self.random.randrange(400)):
                self.step()
        self.front.close()


@pytest.mark.parametrize("share", [1, 1 / 2, 1 / 5])
@pytest.mark.parametrize("seed", range(6))
def test_the_backlog_never_exceeds_the_channel_limit(seed, share, monkeypatch):
    day = SimulatedDay(seed, share, 0.5, monkeypatch)
    day.run()
    assert day.peak_lines <= MAX_LINES


@pytest.mark.parametrize("seed", range(3))
def test_without_faults_no_call_waits_for_channel_capacity(seed, monkeypatch):
    day = SimulatedDay(seed, 1 / 2, 0, monkeypatch)
    day.run()
    assert not day.log.counts.get("call_waits_for_channel_capacity")
