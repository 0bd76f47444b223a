"""Between the platform's protocol and the decision module: what is heard becomes events, orders become
calls.  It decides nothing."""
from __future__ import annotations

import resource

from .. import interface as face
from ..bootstrap import bootstrap
from ..log import Log
from ..logic import Coordinator
from ..net.clock import SECOND
from ..net.connection import address
from ..net.loop import Deadline, Loop
from . import tables
from .collectors import Collectors
from .discovery import Discovery, read_list
from .gather import Gathering
from .news import News
from .probes import Probes
from .relay import Relay


class Front:
    # Descriptors kept from those who call: the relay holds 32 of ours, discovery needs two, the log, the
    # listener, the selector and the like ten, and the rest is for a probe of every backend at once.
    RESERVE = 160
    # A slice and its lines come one by one and perhaps in pieces; the module hears of them together.
    SETTLE = SECOND // 20

    def __init__(self, loop: Loop, log: Log, found: dict) -> None:
        """Of the configuration `found`, ValueError and KeyError tell what can't be read; of the address
        to listen on, OSError."""
        self.loop, self.log = loop, log
        self.seed = int(str(found["seed"]), 16)
        self.boot, columns = bootstrap(found["settings"])
        known, self.addresses = read_list(found["known"], remembered=True)
        self.listed = {entry.backend: entry for entry in known.entries}
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.stood: tables.Tables = {}          # what stands in the store, by slice in charge
        self.opening: Opening | None = None     # news that have just begun
        self.begun = False                      # they have told once what stands
        self.owned: tables.Tables = {}          # slices given, not told to the module yet
        self.settling: Deadline | None = None
        self.lost: set[int] = set()             # tables whose orders were dropped: to be told anew
        self.gathering = Gathering(loop, self.boot.get("batch_gap", 0), self.handle)
        self.hear = self.gathering.add
        self.hear(known)
        self.coordinator = Coordinator(self.seed, self.boot)
        store = address(found["store"]["address"])
        self.discovery = Discovery(loop, log, address(found["discovery"]), known.version, self.hear_list)
        self.probes = Probes(loop, log, bool(columns), self.hear)
        methods = [method.name for method in self.boot["methods"]]
        self.relay = Relay(loop, log, store, methods, self.stands, self.dropped)
        self.news_link = News(loop, log, store, self)
        self.collectors = Collectors(loop, log, self.hear, address(found["listen"]),
                                     max(16, self._descriptors(found) - self.RESERVE))

    @staticmethod
    def _descriptors(found: dict) -> int:
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        told = int(found["limits"]["sockets"])
        return told if allowed == resource.RLIM_INFINITY else min(told, allowed)

    def start(self) -> None:
        self.news_link.open()

    # ---- to the module -----------------------------------------------------------------------------

    def handle(self, now: int, events: list[face.Event]) -> None:
        self.log.count("handled")
        self.log.count("events", len(events))
        try:
            orders = self.coordinator.handle(now, events)
        except Exception as broken:
            self._begin_anew(broken)
        else:
            self._carry(orders)

    def _begin_anew(self, broken: Exception) -> None:
        """A defect of the module must not end the service: a new one is told what stands."""
        self.loop.failed(broken)
        self.log.count("module_begun_anew")
        self.coordinator = Coordinator(self.seed, self.boot)
        self.loop.after(SECOND // 2, self._tell_all)    # not at once: what broke it may still be there

    def _tell_all(self) -> None:
        self.hear(face.BackendList("remembered", self.discovery.version, tuple(self.listed.values())))
        self._tell(self.ahead())
        self.hear(*self.proxies.values())

    def _tell(self, numbers) -> None:
        """The module hears of these slices as if they were given now."""
        ahead = self.ahead()
        if levels := tables.levels_reset(numbers, ahead):
            self.relay.order(levels)
        for number in numbers:
            self.hear(*tables.given(number, ahead[number]))

    def _carry(self, orders: list[face.Order]) -> None:
        call = []
        for order in orders:
            match order:
                case face.SetLine() | face.ClearTable() | face.SetLevel() | face.Withdraw() | face.Mark():
                    call.append(order)
                case face.SetTimer(due, tag):
                    self.loop.at(due, lambda tag=tag: self.hear(face.TimerDue(tag)))
                case face.Probe(backend):
                    self.probes.send(backend, self.addresses.get(backend))
                case face.Subscribe(on):
                    self.discovery.subscribe(on)
                case face.FetchList():
                    self.discovery.fetch()
                case face.LogLine(text):
                    self.log.event("decision", text=text)
                case _:                         # Bind, TellPeer: the protocol has no word for them
                    self.log.trouble("order_without_a_call", order=type(order).__name__)
        if call:
            self.log.count("orders", len(call))
            self.relay.order(call)

    # ---- discovery ---------------------------------------------------------------------------------

    def hear_list(self, news: face.BackendList, addresses: dict[str, str]) -> None:
        if news.scope == "full":
            self.listed, self.addresses = {}, {}
        for entry in news.entries:
            self.listed[entry.backend] = entry
        self.addresses |= addresses
        self.hear(news)

    # ---- the relay's news --------------------------------------------------------------------------

    def news_opening(self) -> None:
        self._settled()
        self.opening = Opening()

    def news(self, event: face.Event) -> None:
        match event:
            case face.ProxyJoined(proxy):
                if self.opening is not None:
                    self.opening.proxies.add(proxy)
                self.proxies[proxy] = event
                self.hear(event)
            case face.ProxyLeft(proxy):
                if self.opening is not None:
                    self.opening.proxies.discard(proxy)
                if self.proxies.pop(proxy, None) is not None:
                    self.hear(event)
            case face.Charge(number, True):
                self.owned[number] = tables.Table()
                self._settle_soon()
            case face.Charge(number, False):
                self._settled()
                if self.opening is not None:
                    self.opening.slices.discard(number)
                if self.stood.pop(number, None) is not None:
                    self.hear(event)
            case face.StoredLine(number, backend, weight):
                if number not in self.owned and number not in self.stood:
                    self.log.trouble("line_of_a_slice_not_given", slice=number)
                    return
                # One that comes late joins those told before.
                if number not in self.owned:
                    self.owned[number] = tables.copy(self.stood)[number]
                self.owned[number].lines[backend] = weight
                self._settle_soon()
            case _:
                self.hear(event)

    def _settle_soon(self) -> None:
        if self.settling is not None:
            self.settling.cancel()
        self.settling = self.loop.after(self.SETTLE, self._settled)

    def _settled(self) -> None:
        """The lines of the slices given have all come: tell the module, but of what it knows already."""
        if self.settling is not None:
            self.settling.cancel()
            self.settling = None
        before, fresh = self.ahead(), self.owned
        self.owned = {}
        self.stood |= fresh
        if self.opening is not None:
            # What was answered since the stream was asked for may or may not be in what it tells.
            tables.carry_out(fresh, self.opening.answered)
            self.opening.slices |= set(fresh)
        after = self.ahead()
        self._tell([n for n in fresh if self.opening is None or n not in before
                    or before[n].lines != after[n].lines])

    def news_alive(self) -> None:
        """The first sign of life ends the start: who has not been named in it is gone."""
        if self.opening is None:
            return
        self._settled()
        opening, self.opening, self.begun = self.opening, None, True
        for proxy in [p for p in self.proxies if p not in opening.proxies]:
            del self.proxies[proxy]
            self.hear(face.ProxyLeft(proxy))
        for number in [n for n in self.stood if n not in opening.slices]:
            del self.stood[number]
            self.hear(face.Charge(number, False))
        self.log.event("news_begun", proxies=len(self.proxies), slices=len(self.stood))

    # ---- what becomes of orders ---------------------------------------------------------------------

    def ahead(self) -> tables.Tables:
        """What will stand once all that is ordered does: what the module takes for standing."""
        ahead = tables.copy(self.stood)
        tables.carry_out(ahead, self.relay.pending())
        return ahead

    def stands(self, orders: list[face.Order]) -> None:
        tables.carry_out(self.stood, orders)
        if self.opening is not None:
            self.opening.answered += orders

    def dropped(self, orders: list[face.Order]) -> None:
        """Orders that will never stand: the module is told what does, a second later, as it may well
        order the same again."""
        if not self.lost:
            self.loop.after(SECOND, self._tell_lost)
        self.lost |= tables.touched(orders)

    def _tell_lost(self) -> None:
        lost, self.lost = self.lost, set()
        self._tell(sorted(lost & set(self.stood)))
        if face.ALL_TABLES in lost:             # one that joins is told the level for all
            self.hear(*self.proxies.values())

    def close(self) -> None:
        for part in (self.news_link, self.relay, self.discovery, self.probes, self.collectors):
            part.close()


class Opening:
    """The start of the news, until its first sign of life."""

    def __init__(self) -> None:
        self.proxies: set[int] = set()          # named in it
        self.slices: set[int] = set()
        self.answered: list[face.Order] = []    # orders answered since it was asked for
