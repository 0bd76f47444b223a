"""Connects the platform's protocol with the decision module; makes no decisions itself."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from .. import interface as face
from ..event_batch import EventBatch
from ..log import Log
from ..logic import Coordinator
from ..logic.call_scheduling import urgent_tables
from ..logic.list_age import should_ask_again_at_once
from ..logic.ownership_transfer import requires_continuous_ownership
from ..net.clock import SECOND
from ..net.connection import parse_address
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool
from .backend_list_log import log_list
from .backend_source import BackendSource, ListCallback
from .backend_start_times import BackendStartTimes
from .configuration_changes import changed_entry_names
from .discovery import Discovery
from .drain_monitor import DrainMonitor
from .front_configuration import FrontConfiguration, configured_backlog, numeric_setting
from .inbound_connections import InboundConnections
from .messages import KnownNames
from .order_execution import OrderExecutor
from .ownership_guard import OwnershipGuard
from .probes import HealthProbes
from .relay import Relay
from .relay_watch import RelayWatch
from .store_mirror import StoreMirror


class Front:
    """A running front: the decision module with its connections and the state of the platform."""

    MAX_REMOVED_IDS = 256  # unlisted ids still accepted, as many as the decision module keeps
    RESTART_DELAY = SECOND // 2  # before a new module gets the full state: the same error may recur at once
    _read = staticmethod(FrontConfiguration.from_document)

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        document: dict[str, Any],
        listening: socket.socket | None = None,
        source: Callable[[ListCallback], BackendSource] | None = None,
    ) -> None:
        """Create a front from its configuration; `source` replaces discovery as the source of backends.

        Raises ValueError or KeyError if the configuration can't be parsed, OSError if listening fails.
        """
        self.loop = loop
        self.log = log
        self.configuration = document
        parsed = self._read(document)
        self.seed = parsed.seed
        self.settings = parsed.settings
        self.addresses = parsed.backend_addresses
        loop.pool = BufferPool(parsed.limits.outbound_pool_bytes)
        self.start_times = BackendStartTimes()
        known = self.start_times.to_local_clock(parsed.known_backends, loop.clock.now(), loop.clock.wall())
        self.entries = {entry.backend: entry for entry in known.entries}
        # Oldest first.  Removed backends stay for a while, as reports on them arrive late.
        self.known_backend_ids = dict.fromkeys(self.entries)
        self.event_batch = EventBatch(loop, self.settings.get("batch_gap", 0), self.handle)
        self.add_events = self.event_batch.add
        self.add_events(known)
        self.coordinator = Coordinator(self.seed, self.settings)
        self.restart_pending = False
        self.discovery: BackendSource = (
            source(self.on_backend_list)
            if source is not None
            else Discovery(loop, log, parsed.discovery_address, known.version, self.on_backend_list)
        )
        self.probes = HealthProbes(
            loop, log, bool(parsed.load_report_columns), parsed.limits.probes, self.add_events
        )
        self.relay = Relay(
            loop,
            log,
            parsed.store_address,
            [method.name for method in self.settings["methods"]],
            self.settings.get("messages_most", 0),
            self.settings.get("counted_over", 0),
            configured_backlog(self.settings, lambda: self.store_mirror.proxies),
        )
        self.ownership_guard = OwnershipGuard(loop, log, requires_continuous_ownership(self.settings))
        self.store_mirror = StoreMirror(
            loop,
            log,
            self.on_relay_events,
            self.relay.pending,
            partial(self.relay.enqueue, joins=True),  # repairs arrive one slice at a time
            self.ownership_guard,
        )
        self.store_mirror.revoke_orders = self.relay.revocations.revoke
        self.relay.on_applied = self._on_orders_applied
        self.relay.on_dropped = self.store_mirror.on_dropped
        self.relay.revocations.on_applied = self.store_mirror.on_revoked_applied
        self.drain_monitor = DrainMonitor(
            loop,
            log,
            numeric_setting(self.settings, "drain_grace"),
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
        self.relay_watch = RelayWatch(loop, log, parsed.store_address, self.store_mirror)
        self.relay.in_flight_call.read_stored_tables = lambda: self.store_mirror.tables
        self.relay.outbox.urgent_tables = lambda orders: urgent_tables(
            self.coordinator, orders, self.store_mirror.tables
        )
        self.relay_watch.on_reopened = self._on_store_in_reach
        self.relay.on_unresolved_drop = self.relay_watch.restart
        self.ownership_guard.request_snapshot = self.relay_watch.restart
        if self.ownership_guard.requires_continuity:
            self.relay.is_ownership_current = self.relay_watch.is_current
        self.order_executor = OrderExecutor(
            loop,
            log,
            self.event_batch,
            self.discovery,
            self.probes,
            self.relay,
            self._address_of,
        )
        self.known_names = KnownNames.of(self.settings, known.entries, self.known_backend_ids)
        self.inbound = InboundConnections(
            loop,
            log,
            self.add_events,
            parse_address(document["listen"]),
            parsed.limits,
            self.known_names,
            listening,
        )

    def _address_of(self, backend: str) -> str | None:
        return self.addresses.get(backend)

    def start(self) -> None:
        """Open the watch on the store."""
        self.relay_watch.open()

    def reload(self, document: dict[str, Any]) -> None:
        """Move discovery, the relay and the watch on the store to the addresses of a new configuration.

        Other differences need a restart and are logged by name.
        """
        parsed = self._read(document)
        needs_restart = changed_entry_names(self.configuration, document)
        moved = [
            self.discovery.move(parsed.discovery_address),
            self.relay.move(parsed.store_address),
            self.relay_watch.move(parsed.store_address),
        ]
        self.log.count("reloads")
        self.log.event(
            "reloaded", moved=any(moved), **({"needs_restart": needs_restart} if needs_restart else {})
        )

    def handle(self, now: int, events: list[face.Event]) -> None:
        """Pass a batch of events to the decision module and execute its orders."""
        self.log.count("decision_rounds")
        self.log.count("events", len(events))
        try:
            orders = self.coordinator.handle(now, events)
        except Exception as error:
            self._restart_module(error)
        else:
            self.execute_orders(orders)

    def _restart_module(self, error: Exception) -> None:
        """Replace a decision module that failed, so that its defect does not end the service."""
        self.loop.failed(error)
        self.log.count("decision_module_restarted")
        self.coordinator = Coordinator(self.seed, self.settings)
        if not self.restart_pending:
            self.restart_pending = True
            self.loop.call_after(self.RESTART_DELAY, self.replay_state)

    def replay_state(self) -> None:
        """Report the current backends, proxies and tables to a new decision module."""
        self.restart_pending = False
        self.add_events(face.BackendList("remembered", self.discovery.version, tuple(self.entries.values())))
        self.store_mirror.report_all()

    def execute_orders(self, orders: list[face.Order]) -> None:
        """Execute the orders of one round."""
        self.order_executor.execute(self.ownership_guard.withhold(orders))

    def _on_store_in_reach(self) -> None:
        if should_ask_again_at_once(self.coordinator):
            self.discovery.subscribe(True)

    def _on_orders_applied(self, orders: list[face.Order]) -> None:
        self.store_mirror.apply(orders)
        self.drain_monitor.on_applied(orders)

    def on_relay_events(self, *events: face.Event) -> None:
        """Apply events of the store to the relay and pass them to the decision module."""
        for event in events:
            match event:
                case face.UpdateAcknowledged(proxy, marker):
                    self.relay.acknowledge_marker(proxy, marker)
                case face.ProxyLeft(proxy):
                    self.relay.on_proxy_left(proxy)
                case face.StoredRoute(_, backend):  # reports on it may arrive before a list that has it
                    self.known_backend_ids.setdefault(backend)
        self.add_events(*events)

    def on_backend_list(self, received: face.BackendList, addresses: dict[str, str]) -> None:
        """Apply a list from the source of backends and pass it to the decision module."""
        update = self.start_times.to_local_clock(received, self.loop.clock.now(), self.loop.clock.wall())
        log_list(self.log, self.entries, update)
        if update.scope == "full":
            self.entries.clear()
            self.addresses = {}
        self.addresses |= addresses
        for entry in update.entries:
            self.entries[entry.backend] = entry
            self.known_backend_ids.pop(entry.backend, None)
            self.known_backend_ids[entry.backend] = None
            if entry.state == "gone":  # otherwise the ids of replaced machines would accumulate
                del self.entries[entry.backend], self.addresses[entry.backend]
        removed = [backend for backend in self.known_backend_ids if backend not in self.entries]
        for backend in removed[: -self.MAX_REMOVED_IDS]:
            del self.known_backend_ids[backend]
        self.drain_monitor.on_backend_list(update)
        self.add_events(update)

    def close(self) -> None:
        """Close all connections."""
        for component in (self.relay_watch, self.relay, self.discovery, self.probes, self.inbound):
            component.close()
