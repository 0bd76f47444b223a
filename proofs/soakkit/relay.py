"""The stand-in of relay and store: calls, news, the slices in charge, and the proxies' tables."""

from __future__ import annotations

import random
from collections.abc import Sequence
from urllib.parse import parse_qs, urlencode

from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop

from . import settings
from .channel import Channel, Order
from .http_server import Peer, Server
from .truth import Truth

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = "<?xml version='1.0'?><Response><results><item><ok_count>{}</ok_count></item></results></Response>"
ERROR = "<Response><Error><Code>{}</Code></Error></Response>"


class Relay:
    LIFE = SECOND  # between signs of life

    def __init__(self, loop: EventLoop, chance: random.Random, truth: Truth, known: Sequence[str]) -> None:
        self.loop, self.chance, self.truth, self.known = loop, chance, truth, set(known)
        self.server = Server(loop, self.asked, self.left)
        self.streams: dict[Peer, None] = {}
        self.silent: list[Peer] = []  # who asked while the relay was cut off
        self.tables: dict[int, dict[str, float]] = {
            number: {known[number % len(known)]: 1.0} for number in range(settings.SLICES)
        }
        self.in_charge: set[int] = set(self.tables)
        self.proxies: set[int] = set()
        self.channel = Channel(loop, chance, self.arrived)
        truth.tables.update({number: dict(lines) for number, lines in self.tables.items()})
        self.cut = False
        self.lose = 0.0  # share of the calls that break
        self.throttled = False
        self.mute = False  # the news say nothing
        self.calls = self.broken = 0
        loop.call_after(self.LIFE, self.show_life)

    # ---- calls and streams -------------------------------------------------------------------------

    def asked(self, peer: Peer, method: str, target: str, body: str) -> None:
        if self.cut:
            self.silent.append(peer)
        elif method == "GET":
            self.begin_stream(peer)
        else:
            self.call(peer, parse_qs(body)["orders"][0])

    def left(self, peer: Peer) -> None:
        self.streams.pop(peer, None)

    def call(self, peer: Peer, text: str) -> None:
        self.calls += 1
        if self.throttled:
            peer.answer(ERROR.format("Throttling"), "400 Bad Request")
            return
        orders = [order.split(",") for order in text.split(";")]
        if self.chance.random() >= self.lose:
            peer.answer(ANSWER.format(self.carry_out(orders)))
            return
        self.broken += 1
        if self.chance.random() < 0.5:
            self.carry_out(orders)
        how = self.chance.choice(["reset", "silent", "garbage"])
        self.truth.relay_broke_a_call(how)
        if how == "reset":
            peer.reset()
        elif how == "garbage":
            peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<<{[")

    def carry_out(self, orders: Sequence[Order]) -> int:
        """The orders up to the first that can't be used; those for slices not in charge change nothing."""
        taken = 0
        changing = []
        for order in orders:
            if not self.usable(order):
                break
            taken += 1
            if order[0] in ("put", "wipe"):
                if int(order[1]) not in self.in_charge:
                    continue
                apply(self.tables, order)
            changing.append(order)
        if changing:
            self.channel.send(changing, len(self.proxies))
        return taken

    def usable(self, order: Order) -> bool:
        """Whether the backend that it names, if any, was ever listed."""
        place = {"put": 2, "eject": 1, "uneject": 1}.get(order[0])
        return place is None or order[place] in self.known

    def arrived(self, orders: Sequence[Order]) -> None:
        """All proxies have applied a message."""
        for order in orders:
            if order[0] in ("put", "wipe"):
                apply(self.truth.tables, order)
            elif order[0] in ("eject", "uneject"):
                self.truth.shut_out(order[1], order[0] == "eject")
            elif order[0] == "fence":
                for proxy in self.proxies:
                    self.tell("done", id=proxy, seq=order[1], ms=12.5)
        self.truth.look()

    # ---- news --------------------------------------------------------------------------------------

    def begin_stream(self, peer: Peer) -> None:
        self.streams[peer] = None
        peer.write(HEAD)
        told = [
            event("attach", id=p, site=settings.ZONES[p % 3], rps=7.0, new=0) for p in sorted(self.proxies)
        ]
        for number in sorted(self.in_charge):
            told += self.charge_events(number)
        self.say(peer, "".join(told))

    def charge_events(self, number: int) -> list[str]:
        lines = self.tables[number].items()
        return [event("owner", range=number, flag=1)] + [
            event("entry", range=number, target=backend, rps=weight) for backend, weight in lines
        ]

    def say(self, peer: Peer, text: str) -> None:
        if text and not self.cut and not self.mute:
            data = text.encode()
            peer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def tell(self, kind: str, **words) -> None:
        for peer in list(self.streams):
            self.say(peer, event(kind, **words))

    def show_life(self) -> None:
        for peer in list(self.streams):
            self.say(peer, ":\n")
        self.loop.call_after(self.LIFE, self.show_life)

    def break_news(self, how: str) -> None:
        if self.cut or not self.streams:
            return
        self.truth.relay_broke_its_news()
        for peer in list(self.streams):
            if how == "garbage":
                peer.write(b"14\r\nevent: attach\ndata: \xff\n\n\r\n")
            peer.reset()

    # ---- proxies, slices and cuts ------------------------------------------------------------------

    def join(self) -> None:
        """All proxies join, with the tables that stand."""
        self.proxies = set(range(settings.PROXIES))
        self.channel.lost()
        self.truth.joined({number: dict(lines) for number, lines in self.tables.items()})
        for proxy in sorted(self.proxies):
            self.tell("attach", id=proxy, site=settings.ZONES[proxy % 3], rps=7.0, new=0)

    def leave(self) -> None:
        """Their streams break: what waits or travels is lost, and so are the rules' time limits."""
        for proxy in sorted(self.proxies):
            self.tell("detach", id=proxy)
        self.proxies = set()
        self.channel.lost()
        self.truth.left()

    def begin_cut(self) -> None:
        self.leave()
        self.cut = True

    def end_cut(self, taken_over: bool) -> None:
        """What was open is reset; slices that another coordinator had meanwhile come back a little later."""
        if taken_over:
            self.take_away()
        self.cut = False
        for peer in [*self.silent, *self.streams]:
            peer.reset()
        self.silent, self.streams = [], {}
        self.join()
        if taken_over:
            self.loop.call_after(SECOND * 15 // 100, self.give_back)

    def take_away(self) -> None:
        """Another coordinator has the slices, and moves what stands at backends that leave."""
        self.in_charge = set()
        self.truth.charge_lost()
        ready = self.truth.ready()
        for number, lines in self.tables.items():
            if ready and any(backend in self.truth.leaving for backend in lines):
                self.tables[number] = {self.chance.choice(ready): 1.0}

    def give_back(self) -> None:
        self.in_charge = set(self.tables)
        self.truth.charge_given({number: dict(lines) for number, lines in self.tables.items()})
        for number in sorted(self.in_charge):
            for peer in list(self.streams):
                self.say(peer, "".join(self.charge_events(number)))


def event(kind: str, **words) -> str:
    return f"event: {kind}\ndata: {urlencode(words)}\n\n"


def apply(tables: dict[int, dict[str, float]], order: Order) -> None:
    lines = tables[int(order[1])]
    if order[0] == "wipe":
        lines.clear()
        return
    lines.pop(order[2], None)
    if float(order[3]):
        lines[order[2]] = float(order[3])
