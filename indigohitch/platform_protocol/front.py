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
from .configuration_changes import names_of_changes
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
    MAX_REMOVED_IDS = 256  # ids off the list that may still be named, as many as the module keeps
    RESTART_DELAY = SECOND // 2  # until a new module is told all: what broke the last one may still be there

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
        self.configuration = found
        self.seed, limits, self.settings, columns, known, self.addresses, store, discovery = self._read(found)
        loop.pool = BufferPool(limits.outbound_pool_bytes)
        self.start_times = BackendStartTimes()
        known = self.start_times.to_local_clock(known, loop.clock.now(), loop.clock.wall())
        self.entries = {entry.backend: entry for entry in known.entries}
        self.known_backend_ids = dict.fromkeys(self.entries)  # oldest first: reports on those gone come late
        self.event_batch = EventBatch(loop, self.settings.get("batch_gap", 0), self.handle)
        self.add_events = self.event_batch.add
        self.add_events(known)
        self.coordinator, self.restart_pending = Coordinator(self.seed, self.settings), False
        self.discovery: BackendSource = (
            source(self.on_backend_list)
            if source is not None
            else Discovery(loop, log, discovery, known.version, self.on_backend_list)
        )
        self.probes = HealthProbes(loop, log, bool(columns), limits.probes, self.add_events)
        self.relay = Relay(
            loop,
            log,
            store,
            [method.name for method in self.settings["methods"]],
            self.settings.get("messages_most", 0),
            self.settings.get("counted_over", 0),
            ChannelBacklog(
                self._numeric_setting("queue_cap") * MAX_PENDING_SHARE,
                self._numeric_setting("lines_per_s") * UNACKNOWLEDGED_DRAIN_SHARE,
                self._numeric_setting("envelope"),
                lambda: self.store_mirror.proxies,
            ),
        )
        self.store_mirror = StoreMirror(
            loop, log, self.on_relay_events, self.relay.pending, self._order_repairs
        )
        self.relay.on_applied = self._on_orders_applied
        self.relay.on_dropped = self.store_mirror.on_dropped
        self.drain_monitor = DrainMonitor(
            loop,
            log,
            self._numeric_setting("drain_grace"),
            lambda: self.store_mirror.tables,
            lambda: len(self.relay.pending_calls),
            not self.settings.get("dropped_stay_open"),
        )
        self.store_mirror.on_slice_acquired = self.drain_monitor.on_slice_acquired
        self.store_mirror.on_watch_broken = self.drain_monitor.on_watch_lost
        self.relay.on_call_failed = self.drain_monitor.on_call_failed
        self.relay.invariants.has_stored_state = lambda: (
            self.store_mirror.has_started or bool(self.store_mirror.tables)
        )
        self.relay.invariants.is_grace_over = self.drain_monitor.is_grace_over
        self.relay_watch = RelayWatch(loop, log, store, self.store_mirror)
        self.relay.in_flight_call.read_stored_tables = lambda: self.store_mirror.tables
        self.relay.outbox.urgent = lambda orders: urgent_tables(
            self.coordinator, orders, self.store_mirror.tables
        )
        self.relay.on_unresolved_drop = self.relay_watch.restart
        zones, slices = self.settings.get("zones"), self.settings.get("slices")
        self.known_names = KnownNames(
            frozenset(zones if zones is not None else (e.zone for e in known.entries)),
            frozenset(method.name for method in self.settings["methods"]),
            slices if slices else face.ALL_TABLES,
            self.known_backend_ids,
        )
        self.inbound = InboundConnections(
            loop, log, self.add_events, parse_address(found["listen"]), limits, self.known_names, listening
        )

    @staticmethod
    def _read(found: dict) -> tuple:
        """All that is read of a configuration, before any of it counts."""
        boot, columns = parse_settings(found["settings"])
        boot["discovery"] = "ask"  # on sockets nothing comes unasked, also where the settings say `push`
        known, addresses = parse_backend_list(found["known"], remembered=True)
        return (
            int(str(found["seed"]), 16),
            ResourceLimits.from_config(found["limits"]),
            boot,
            columns,
            known,
            addresses,
            parse_address(found["store"]["address"]),
            parse_address(found["discovery"]),
        )

    def _numeric_setting(self, name: str) -> float:
        """Of the settings; what is no number bounds nothing here, and breaks the module's turns."""
        value = self.settings.get(name, 0)
        return value if isinstance(value, (int, float)) else 0

    def start(self) -> None:
        self.relay_watch.open()

    def reload(self, found: dict) -> None:
        """Go over to a new configuration: discovery, the relay's calls and its news move to the addresses in
        it.  All else stays as it is; what differs there is logged by name, as it takes a restart."""
        *_, store, discovery = self._read(found)
        left = names_of_changes(self.configuration, found)
        moved = [
            part.move(to)
            for part, to in ((self.discovery, discovery), (self.relay, store), (self.relay_watch, store))
        ]
        self.log.count("reloads")
        self.log.event("reloaded", moved=any(moved), **({"needs_restart": left} if left else {}))

    def handle(self, now: int, events: list[face.Event]) -> None:
        self.log.count("decision_rounds")
        self.log.count("events", len(events))
        try:
            orders = self.coordinator.handle(now, events)
        except Exception as broken:
            self._restart_module(broken)
        else:
            self.execute_orders(orders)

    def _restart_module(self, broken: Exception) -> None:
        """A defect of the module must not end the service: a new one is told what stands."""
        self.loop.failed(broken)
        self.log.count("decision_module_restarted")
        self.coordinator = Coordinator(self.seed, self.settings)
        if not self.restart_pending:
            self.restart_pending = True
            self.loop.call_after(self.RESTART_DELAY, self.replay_state)

    def replay_state(self) -> None:
        self.restart_pending = False
        self.add_events(face.BackendList("remembered", self.discovery.version, tuple(self.entries.values())))
        self.store_mirror.report_all()

    def execute_orders(self, orders: list[face.Order]) -> None:
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
                    self.loop.call_at(due, lambda tag=tag: self.event_batch.add_timer(face.TimerFired(tag)))
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

    def _order_repairs(self, orders: list[face.Order]) -> None:
        """What makes an event true, a slice at a time: many slices are one call."""
        self.relay.order(orders, joins=True)

    def _on_orders_applied(self, orders: list[face.Order]) -> None:
        self.store_mirror.apply(orders)
        self.drain_monitor.on_applied(orders)

    def on_relay_events(self, *events: face.Event) -> None:
        for event in events:
            match event:
                case face.UpdateAcknowledged(proxy, mark):
                    self.relay.acknowledge_marker(proxy, mark)
                case face.ProxyLeft(proxy):
                    self.relay.on_proxy_left(proxy)
        self.add_events(*events)

    def on_backend_list(self, news: face.BackendList, addresses: dict[str, str]) -> None:
        news = self.start_times.to_local_clock(news, self.loop.clock.now(), self.loop.clock.wall())
        log_list(self.log, self.entries, news)
        if news.scope == "full":
            self.entries.clear()
            self.addresses = {}
        self.addresses |= addresses
        for entry in news.entries:
            self.entries[entry.backend] = entry
            self.known_backend_ids.pop(entry.backend, None)
            self.known_backend_ids[entry.backend] = None
            if entry.state == "gone":  # or the ids of replaced machines would pile up
                del self.entries[entry.backend], self.addresses[entry.backend]
        for id in [id for id in self.known_backend_ids if id not in self.entries][: -self.MAX_REMOVED_IDS]:
            del self.known_backend_ids[id]
        self.drain_monitor.on_backend_list(news)
        self.add_events(news)

    def close(self) -> None:
        for part in (self.relay_watch, self.relay, self.discovery, self.probes, self.inbound):
            part.close()
