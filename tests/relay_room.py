"""A Relay with a fake client, whose responses the test chooses, and a simulated channel to the proxies."""

import os
from types import SimpleNamespace
from urllib.parse import parse_qs

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.logic.update_channel import MAX_PENDING_SHARE, UNACKNOWLEDGED_DRAIN_SHARE
from indigohitch.net.clock import SECOND
from indigohitch.net.http_response import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import call_queue, call_resolution, stored_tables
from indigohitch.platform_protocol import relay as calls
from indigohitch.platform_protocol.channel_backlog import ChannelBacklog
from seam import Shifted


class FakeClient:
    """Replaces HttpClient for calls: records the requests, which the test completes."""

    def __init__(self, loop, address, *timeouts):
        self.address = address
        self.requests = []
        self.is_retired = False

    def request(self, method, target, timeout, on_response, body, content_type):
        self.requests.append((parse_qs(body.decode())["orders"][0], on_response))

    def retire(self):
        self.is_retired = True


class FakeStreamClient:
    """Replaces HttpClient for event streams: sends all stored routes in one part."""

    def __init__(self, room):
        self.room = room

    def request(self, method, target, timeout, on_end, stream):
        entry = "event: entry\ndata: range={}&target={}&rps={}\n\n"
        stored = [entry.format(n, b, w) for n, t in self.room.store.items() for b, w in t.routes.items()]
        if not self.room.is_store_silent:
            self.room.loop.call_after(0, lambda: stream("".join(stored).encode()))
        return SimpleNamespace(drop=lambda: None)


class Room:
    """A Relay, its loop and its clock; `store`: the stored tables, `stood`: the tables known to the Relay."""

    def __init__(
        self, monkeypatch, max_messages=0, window=0, max_lines=0, drain_rate=0, proxies=0, overhead_lines=0
    ):
        monkeypatch.setattr(call_queue, "HttpClient", FakeClient)
        monkeypatch.setattr(call_resolution, "HttpClient", lambda *arguments: FakeStreamClient(self))
        self.store = {}
        self.known_tables = {}
        self.is_store_silent = False  # event streams send nothing
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.fail)
        self.log = Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY))
        self.proxies = proxies
        self.relay = calls.Relay(
            self.loop,
            self.log,
            ("127.0.0.1", 1),
            ["search"],
            max_messages,
            window,
            ChannelBacklog(
                max_lines * MAX_PENDING_SHARE,
                drain_rate * UNACKNOWLEDGED_DRAIN_SHARE,
                overhead_lines,
                lambda: range(self.proxies),
            ),
        )
        self.applied = []
        self.dropped = []
        self.relay.on_applied = self.record_applied
        self.relay.on_dropped = self.dropped.extend
        self.relay.in_flight_call.read_stored_tables = lambda: self.known_tables

    def record_applied(self, orders):
        self.applied += orders
        stored_tables.apply_orders(self.known_tables, orders)

    def fail(self, error):
        raise error

    def enqueue(self, *weights, table=1):
        self.relay.enqueue([face.SetRoute(table, "b1", float(w)) for w in weights])

    def sent_call(self):
        """Return the encoded orders of the call in flight and the callback for its response."""
        assert self.relay.awaiting_response
        return self.relay.client.requests[-1]

    def answer(self, outcome="answered", taken=1, code=""):
        """Complete the call in flight; `taken`: orders that the response counts as applied."""
        body = (
            f"<R><Error><Code>{code}</Code></Error></R>"
            if code
            else f"<R><results><item><ok_count>{taken}</ok_count></item></results></R>"
        )
        self.sent_call()[1](HttpResponse(outcome, 400 if code else 200, body.encode()))

    def until(self, holds, within=SECOND):
        """Advance time in steps of 1 ms until the condition holds."""
        end = self.clock.now() + within
        while not holds():
            assert self.clock.now() < end, "condition did not become true"
            self.advance(10)

    def until_call_sent(self):
        """Advance time until a call is in flight: an unresolved one is queried first, and then retried."""
        self.until(lambda: self.relay.awaiting_response)

    def advance(self, span=0):
        self.clock.by += span
        self.loop.call_after(0, lambda: None)
        self.loop.turn()


class SimulatedChannel:
    """The lines waiting in the channel: those of all applied calls, less what has left at `drain_rate`.

    Calls leave in sequence. A marker is acknowledged once its whole call has left.
    """

    def __init__(self, room, drain_rate, acknowledges=True):
        self.room = room
        self.drain_rate = drain_rate
        self.acknowledges = acknowledges
        self.calls = []  # remaining lines and marker of each call
        self.peak_lines = 0.0
        self.drained_at = room.clock.now()

    def apply_call(self):
        """Apply the call in flight."""
        self.drain()
        orders = self.room.relay.pending_calls[0]
        stored_tables.apply_orders(self.room.store, orders)
        lines = (len(orders) + self.room.relay.backlog.overhead_lines) * self.room.proxies
        self.calls.append([lines, orders[-1].marker if isinstance(orders[-1], face.UpdateMarker) else None])
        self.peak_lines = max(self.peak_lines, sum(lines for lines, _ in self.calls))

    def drain(self):
        """Remove the lines that have left by now."""
        now = self.room.clock.now()
        capacity = (now - self.drained_at) * self.drain_rate / SECOND
        self.drained_at = now
        while self.calls and capacity > 0:
            drained = min(capacity, self.calls[0][0])
            self.calls[0][0] -= drained
            capacity -= drained
            if not self.calls[0][0]:
                _, marker = self.calls.pop(0)
                for proxy in range(self.room.proxies if self.acknowledges and marker is not None else 0):
                    self.room.relay.acknowledge_marker(proxy, marker)
