"""A Relay between a client that answers when told and a channel that counts what was carried out."""

import os
from types import SimpleNamespace
from urllib.parse import parse_qs

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.logic.update_channel import MAX_PENDING_SHARE, UNACKNOWLEDGED_DRAIN_SHARE
from indigohitch.net.clock import SECOND
from indigohitch.net.http_exchange import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import call_queue, call_resolution, stored_tables
from indigohitch.platform_protocol import relay as calls
from indigohitch.platform_protocol.channel_backlog import ChannelBacklog
from seam import Shifted


class Told:
    """In the place of net.http.Client."""

    def __init__(self, loop, to, *spans):
        self.address, self.asked, self.retired = to, [], False

    def request(self, method, target, span, done, body, kind):
        self.asked.append((parse_qs(body.decode())["orders"][0], done))

    def retire(self):
        self.retired = True


class Store:
    """In the place of the client that asks for news: tells what stands, all of it at once."""

    def __init__(self, room):
        self.room = room

    def request(self, method, target, span, done, stream):
        entry = "event: entry\ndata: range={}&target={}&rps={}\n\n"
        stands = [entry.format(n, b, w) for n, t in self.room.store.items() for b, w in t.lines.items()]
        if not self.room.mute:
            self.room.loop.call_after(0, lambda: stream("".join(stands).encode()))
        return SimpleNamespace(drop=lambda: None)


class Room:
    def __init__(self, monkeypatch, most=0, over=0, cap=0, pace=0, proxies=0, head=0):
        monkeypatch.setattr(call_queue, "HttpClient", Told)
        monkeypatch.setattr(call_resolution, "HttpClient", lambda *words: Store(self))
        self.store, self.stood, self.mute = {}, {}, False
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.fail)
        self.log = Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY))
        self.proxies = proxies
        self.relay = calls.Relay(
            self.loop,
            self.log,
            ("127.0.0.1", 1),
            ["search"],
            most,
            over,
            ChannelBacklog(
                cap * MAX_PENDING_SHARE, pace * UNACKNOWLEDGED_DRAIN_SHARE, head, lambda: range(self.proxies)
            ),
        )
        self.stand, self.void = [], []
        self.relay.on_applied, self.relay.on_dropped = self.stands, self.void.extend
        self.relay.in_flight_call.read_stored_tables = lambda: self.stood

    def stands(self, orders):
        self.stand += orders
        stored_tables.apply_orders(self.stood, orders)

    def fail(self, broken):
        raise broken

    def order(self, *weights, table=1):
        self.relay.order([face.SetRoute(table, "b1", float(w)) for w in weights])

    def out(self):
        """The call that is out, and who hears of it."""
        assert self.relay.awaiting_response
        return self.relay.client.asked[-1]

    def answer(self, outcome="answered", taken=1, code=""):
        body = (
            f"<R><Error><Code>{code}</Code></Error></R>"
            if code
            else f"<R><results><item><ok_count>{taken}</ok_count></item></results></R>"
        )
        self.out()[1](HttpResponse(outcome, 400 if code else 200, body.encode()))

    def until(self, holds, within=SECOND):
        """Time passes in steps of 1 ms."""
        end = self.clock.now() + within
        while not holds():
            assert self.clock.now() < end, "never came true"
            self.go(10)

    def until_out(self):
        """A call in doubt is looked up, and goes again where the store does not tell."""
        self.until(lambda: self.relay.awaiting_response)

    def go(self, span=0):
        self.clock.by += span
        self.loop.call_after(0, lambda: None)
        self.loop.turn()


class Channel:
    """What waits in the channel to the proxies: all that was carried out, less what left at its pace, a call
    after the other.  Marks are answered once all of a call has left."""

    def __init__(self, room, pace, marks_told=True):
        self.room, self.pace, self.marks_told = room, pace, marks_told
        self.calls, self.most, self.at = [], 0.0, room.clock.now()  # calls: lines that wait, the mark

    def carried_out(self):
        """The call that is out is."""
        self.drain()
        orders = self.room.relay.pending_calls[0]
        stored_tables.apply_orders(self.room.store, orders)
        lines = (len(orders) + self.room.relay.backlog.overhead_lines) * self.room.proxies
        self.calls.append([lines, orders[-1].marker if isinstance(orders[-1], face.UpdateMarker) else None])
        self.most = max(self.most, sum(lines for lines, _ in self.calls))

    def drain(self):
        now = self.room.clock.now()
        leaves, self.at = (now - self.at) * self.pace / SECOND, now
        while self.calls and leaves > 0:
            gone = min(leaves, self.calls[0][0])
            self.calls[0][0] -= gone
            leaves -= gone
            if not self.calls[0][0]:
                _, mark = self.calls.pop(0)
                for proxy in range(self.room.proxies if self.marks_told and mark is not None else 0):
                    self.room.relay.acknowledge_marker(proxy, mark)
