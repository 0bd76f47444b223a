"""The front with its module, a relay whose answers get lost and a channel: the queue's rule on many days."""

import os
import random
from types import SimpleNamespace
from urllib.parse import parse_qs

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_exchange import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import call_resolution, stored_tables
from indigohitch.platform_protocol.front import Front
from relay_room import Store
from seam import Shifted
from stage import SETTINGS
from waiting import free_address

PROXIES, BACKENDS, SLICES, CAP, PACE = 60, 40, 80, 60 * 120, 60 * 80
STEP = SECOND // 200
DELAY = SECOND * 3 // 10  # until a proxy has applied what has left the channel


class Day:
    """Goes in steps; `share`: of the stated pace that the channel has; `faults`: share of calls in doubt."""

    def __init__(self, seed, share, faults, monkeypatch):
        self.chance, self.share, self.faults = random.Random(seed), share, faults
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.broken)
        self.log = Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY))
        monkeypatch.setattr(call_resolution, "HttpClient", lambda *words: Store(self))
        self.mute = False  # what Store asks: the store tells
        family = SETTINGS["family-info"] | {"queue-cap": CAP, "egress-per-s": PACE}
        entries = [self.entry(n, "SERVING") for n in range(BACKENDS)]
        found = {
            "name": "n0",
            "listen": free_address(),
            "discovery": free_address(),
            "seed": str(seed),
            "settings": SETTINGS | {"family-info": family},
            "store": {"address": free_address()},
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"generation": 1, "reset": True, "instances": entries},
        }
        self.front = Front(self.loop, self.log, found)
        self.front.relay.client.request = self.request
        self.store = {n: stored_tables.StoredTable({f"b{n % BACKENDS}": 1.0}) for n in range(SLICES)}
        self.queue, self.acks, self.most, self.at = [], [], 0.0, self.clock.now()
        holdings = self.front.store_mirror
        holdings.on_watch_requested()
        holdings.on_watch_opened()
        for proxy in range(PROXIES):
            holdings.on_relay_event(face.ProxyJoined(proxy, "east", 5.0, False))
        for number, table in self.store.items():
            holdings.on_relay_event(face.SliceOwnership(number, True))
            holdings.on_relay_event(face.StoredRoute(number, *next(iter(table.lines.items()))))
        holdings.on_keepalive()

    def broken(self, what):
        raise what

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

    def request(self, method, target, span, done, body, kind):
        """A call: carried out and answered, carried out, or not."""
        how = self.chance.random()
        if how > self.faults / 2:
            self.carry_out(list(self.front.relay.pending_calls[0]))
        taken = parse_qs(body.decode())["orders"][0].count(";") + 1
        said = b"<R><results><item><ok_count>%d</ok_count></item></results></R>" % taken
        answer = HttpResponse("answered", 200, said) if how > self.faults else HttpResponse("reset")
        self.loop.call_after(5, lambda: done(answer))
        return SimpleNamespace(drop=lambda: None)

    def carry_out(self, orders):
        stored_tables.apply_orders(self.store, orders)
        mark = next((o.marker for o in orders if isinstance(o, face.UpdateMarker)), None)
        self.queue.append([(len(orders) + self.front.relay.backlog.overhead_lines) * PROXIES, mark])
        self.most = max(self.most, sum(lines for lines, _ in self.queue))

    def step(self):
        self.clock.by += STEP
        self.loop.call_after(0, lambda: None)
        self.loop.turn()
        self.front.event_batch.flush_if_due()
        now = self.clock.now()
        leaves, self.at = PACE * self.share * (now - self.at) / SECOND, now
        while self.queue and leaves > 0:
            gone = min(leaves, self.queue[0][0])
            self.queue[0][0], leaves = self.queue[0][0] - gone, leaves - gone
            if not self.queue[0][0]:
                self.acks.append((now + DELAY, self.queue.pop(0)[1]))
        while self.acks and self.acks[0][0] <= now:
            _, mark = self.acks.pop(0)
            for proxy in range(PROXIES if mark is not None else 0):
                self.front.store_mirror.on_relay_event(face.UpdateAcknowledged(proxy, mark, 10))

    def drain(self, some):
        """These go; until none has a line."""
        entries = tuple(face.BackendEntry(f"b{n}", "draining", 6.0, "east", 0, "std", 0) for n in some)
        self.front.add_events(face.BackendList("changes", 2, entries))
        leaving, began = {f"b{n}" for n in some}, self.clock.now()
        while any(leaving & set(table.lines) for table in self.store.values()):
            assert self.clock.now() - began < 60 * SECOND, "lines that stay"
            self.step()

    def play(self):
        for _ in range(200):
            self.step()
        order = self.chance.sample(range(BACKENDS), 30)
        for start in (0, 15):
            self.drain(order[start : start + 15])
            for _ in range(self.chance.randrange(400)):
                self.step()
        self.front.close()


@pytest.mark.parametrize("share", [1, 1 / 2, 1 / 5])
@pytest.mark.parametrize("seed", range(6))
def test_the_channel_is_never_too_full(seed, share, monkeypatch):
    day = Day(seed, share, 0.5, monkeypatch)
    day.play()
    assert day.most <= CAP


@pytest.mark.parametrize("seed", range(3))
def test_without_faults_no_call_waits_for_the_channel(seed, monkeypatch):
    day = Day(seed, 1 / 2, 0, monkeypatch)
    day.play()
    assert not day.log.counts.get("call_waits_for_channel_capacity")
