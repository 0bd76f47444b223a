"""Between the platform's protocol and the decision module: what is heard becomes events, orders become
calls.  It decides nothing."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .. import interface as face
from ..event_batch import EventBatch
from ..log import Log
from ..logic import Coordinator
from ..logic.call_scheduling import urgent_tables
from ..logic.update_channel import MAX_PENDING_SHARE, UNACKNOWLEDGED_DRAIN_SHARE
from ..net.clock import SECOND
from ..net.connection import parse_address
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool
from ..settings import parse_settings
from .backend_list_log import log_list
from .backend_source import BackendSource, ListCallback
from .backend_start_times import BackendStartTimes
from .call_codec import UNSUPPORTED_ORDERS
from .channel_backlog import ChannelBacklog
from .discovery import Discovery, parse_backend_list
from .drain_monitor import DrainMonitor
from .inbound_connections import InboundConnections
from .messages import KnownNames
from .probes import HealthProbes
from .relay import Relay
from .relay_watch import RelayWatch
from .resource_limits import ResourceLimits
from .store_mirror import StoreMirror


class Front:
    GONE = 256  # ids off the list that may still be named, as many as the module keeps
    ANEW = SECOND // 2  # until a new module is told all: what broke the last one may still be there

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        found: dict,
        listening: socket.socket | None = None,
        source: Callable[[ListCallback], BackendSource] | None = None,
    ) -> None:
        """Of the configuration `found`, ValueError and KeyError tell what can't be read; of the address
        to listen on, OSError.  `source`: of the backends, where that is not discovery."""
        self.loop, self.log = loop, log
        self.found = found
        self.seed, limits, self.boot, columns, known, self.addresses, store, discovery = self._read(found)
        loop.pool = BufferPool(limits.calls_pool)
        self.starts = BackendStartTimes()
        known = self.starts.carried_over(known, loop.clock.now(), loop.clock.wall())
        self.listed = {entry.backend: entry for entry in known.entries}
        self.heard_of = dict.fromkeys(self.listed)  # oldest first: reports on those gone come late
        self.gathering = EventBatch(loop, self.boot.get("batch_gap", 0), self.handle)
        self.hear = self.gathering.add
        self.hear(known)
        self.coordinator, self.anew = Coordinator(self.seed, self.boot), False
        self.discovery: BackendSource = (
            source(self.hear_list)
            if source is not None
            else Discovery(loop, log, discovery, known.version, self.hear_list)
        )
        self.probes = HealthProbes(loop, log, bool(columns), limits.probes, self.hear)
        self.relay = Relay(
            loop,
            log,
            store,
            [method.name for method in self.boot["methods"]],
            self.boot.get("messages_most", 0),
            self.boot.get("counted_over", 0),
            ChannelBacklog(
                self._figure("queue_cap") * MAX_PENDING_SHARE,
                self._figure("lines_per_s") * UNACKNOWLEDGED_DRAIN_SHARE,
                self._figure("envelope"),
                lambda: self.store_mirror.proxies,
            ),
        )
        self.store_mirror = StoreMirror(loop, log, self.hear_news, self.relay.pending, self._order_more)
        self.relay.on_applied, self.relay.on_dropped = self._stand, self.store_mirror.on_dropped
        self.drain_monitor = DrainMonitor(
            loop,
            log,
            self._figure("drain_grace"),
            lambda: self.store_mirror.tables,
            lambda: len(self.relay.pending_calls),
            not self.boot.get("dropped_stay_open"),
        )
        self.store_mirror.on_slice_acquired, self.store_mirror.on_watch_broken = (
            self.drain_monitor.on_slice_acquired,
            self.drain_monitor.on_watch_lost,
        )
        self.relay.on_call_failed = self.drain_monitor.on_call_failed
        self.relay.invariants.has_stored_state = lambda: (
            self.store_mirror.has_started or bool(self.store_mirror.tables)
        )
        self.relay.invariants.is_grace_over = self.drain_monitor.is_grace_over
        self.news = RelayWatch(loop, log, store, self.store_mirror)
        self.relay.in_flight_call.read_stored_tables = lambda: self.store_mirror.tables
        self.relay.outbox.urgent = lambda orders: urgent_tables(
            self.coordinator, orders, self.store_mirror.tables
        )
        self.relay.on_unresolved_drop = self.news.anew
        zones, slices = self.boot.get("zones"), self.boot.get("slices")
        self.known = KnownNames(
            frozenset(zones if zones is not None else (e.zone for e in known.entries)),
            frozenset(method.name for method in self.boot["methods"]),
            slices if slices else face.ALL_TABLES,
            self.heard_of,
        )
        self.collectors = InboundConnections(
            loop, log, self.hear, parse_address(found["listen"]), limits, self.known, listening
        )

    @staticmethod
    def _read(found: dict) -> tuple:
        """All that is read of a configuration, before any of it counts."""
        boot, columns = parse_settings(found["settings"])
        boot["discovery"] = "ask"  # on sockets nothing comes unasked, also where the settings say `push`
        known, addresses = parse_backend_list(found["known"], remembered=True)
        return (
            int(str(found["seed"]), 16),
            ResourceLimits.of(found["limits"]),
            boot,
            columns,
            known,
            addresses,
            parse_address(found["store"]["address"]),
            parse_address(found["discovery"]),
        )

    def _figure(self, name: str) -> float:
        """Of the settings; what is no number bounds nothing here, and breaks the module's turns."""
        value = self.boot.get(name, 0)
        return value if isinstance(value, (int, float)) else 0

    def start(self) -> None:
        self.news.open()

    def reload(self, found: dict) -> None:
        """Go over to a new configuration: discovery, the relay's calls and its news move to the addresses in
        it.  All else stays as it is; what differs there is logged by name, as it takes a restart."""
        *_, store, discovery = self._read(found)
        told = found["settings"], self.found["settings"]
        left = [
            name
            for name in sorted(found.keys() | self.found.keys())
            if name not in ("store", "discovery", "settings", "known", "seed")  # new with each start
            and found.get(name) != self.found.get(name)
        ]
        left += [
            f"settings.{name}"
            for name in sorted(told[0].keys() | told[1].keys())
            if told[0].get(name) != told[1].get(name)
        ]
        moved = [
            part.move(to)
            for part, to in ((self.discovery, discovery), (self.relay, store), (self.news, store))
        ]
        self.log.count("reloads")
        self.log.event("reloaded", moved=any(moved), **({"needs_restart": left} if left else {}))

    # ---- to the module -----------------------------------------------------------------------------

    def handle(self, now: int, events: list[face.Event]) -> None:
        self.log.count("decision_rounds")
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
        self.log.count("decision_module_restarted")
        self.coordinator = Coordinator(self.seed, self.boot)
        if not self.anew:
            self.anew = True
            self.loop.call_after(self.ANEW, self._tell_all)

    def _tell_all(self) -> None:
        self.anew = False
        self.hear(face.BackendList("remembered", self.discovery.version, tuple(self.listed.values())))
        self.store_mirror.report_all()

    def _carry(self, orders: list[face.Order]) -> None:
        call = []
        for order in orders:
            match order:
                case (
                    face.SetRoute()
                    | face.ClearTable()
                    | face.SetAdmission()
                    | face.EjectBackend()
                    | face.UpdateMarker()
                ):
                    call.append(order)
                case face.SetTimer(due, tag):
                    self.loop.call_at(due, lambda tag=tag: self.gathering.add_due(face.TimerFired(tag)))
                case face.ProbeBackend(backend):
                    self.probes.send(backend, self.addresses.get(backend))
                case face.WatchBackends(on):
                    self.discovery.subscribe(on)
                case face.FetchBackends():
                    self.discovery.fetch()
                case face.LogMessage(text):
                    self.log.event("decision", text=text)
                case _:  # Bind, TellPeer: the protocol has no word for them
                    self.log.warning(
                        "order_without_a_call", order=UNSUPPORTED_ORDERS.get(type(order), "unknown")
                    )
        if call:
            self.log.count("orders", len(call))
            self.relay.order(call)
        else:
            self.relay.reconsider()

    def _order_more(self, orders: list[face.Order]) -> None:
        """What makes an event true, a slice at a time: many slices are one call."""
        self.relay.order(orders, joins=True)

    def _stand(self, orders: list[face.Order]) -> None:
        self.store_mirror.apply(orders)
        self.drain_monitor.on_applied(orders)

    # ---- news --------------------------------------------------------------------------------------

    def hear_news(self, *events: face.Event) -> None:
        for event in events:
            match event:
                case face.UpdateAcknowledged(proxy, mark):
                    self.relay.acknowledge_marker(proxy, mark)
                case face.ProxyLeft(proxy):
                    self.relay.on_proxy_left(proxy)
        self.hear(*events)

    # ---- discovery ---------------------------------------------------------------------------------

    def hear_list(self, news: face.BackendList, addresses: dict[str, str]) -> None:
        news = self.starts.carried_over(news, self.loop.clock.now(), self.loop.clock.wall())
        log_list(self.log, self.listed, news)
        if news.scope == "full":
            self.listed.clear()
            self.addresses = {}
        self.addresses |= addresses
        for entry in news.entries:
            self.listed[entry.backend] = entry
            self.heard_of.pop(entry.backend, None)
            self.heard_of[entry.backend] = None
            if entry.state == "gone":  # or the ids of replaced machines would pile up
                del self.listed[entry.backend], self.addresses[entry.backend]
        for id in [id for id in self.heard_of if id not in self.listed][: -self.GONE]:
            del self.heard_of[id]
        self.drain_monitor.on_backend_list(news)
        self.hear(news)

    def close(self) -> None:
        for part in (self.news, self.relay, self.discovery, self.probes, self.collectors):
            part.close()
