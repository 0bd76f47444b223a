"""All accepted connections: admission, eviction and timeouts."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable

from ..log import Log
from ..net.clock import SECOND
from ..net.connection import Connection
from ..net.listener import Listener
from ..net.loop import Deadline, EventLoop
from ..net.ring_buffer import BufferPool
from .inbound_connection import InboundConnection
from .messages import KnownNames
from .resource_limits import ResourceLimits


class InboundConnections:
    """The table of accepted connections, unidentified ones and collectors."""

    # A connection that has named no zone by then is closed: the protocol requires that within 3 s, and a
    # collector names its zone with its first bytes.
    IDENTIFY_TIMEOUT = SECOND * 3 // 2
    # A collector reports every few seconds while there is traffic.  One silent for so long may have lost its
    # machine; one with an incomplete line for so long is stuck, and connects again.
    IDLE_TIMEOUT = 120 * SECOND
    LINE_TIMEOUT = 3 * SECOND
    SWEEP_INTERVAL = SECOND // 5
    # Bounds on the last reads at the end.  Unidentified connections: bytes of all together, so that a flood
    # does not delay the end and a pause of the machine costs no peer its answer.  Collectors: a duration.
    FINAL_READ_BYTES = 50 * InboundConnection.UNIDENTIFIED_READ_BYTES
    FINAL_READ_DURATION = SECOND // 20
    # Connections of a zone: its collector's, a previous one that broke unnoticed, and two spare ones.
    MAX_PER_ZONE = 4

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        add_event: Callable,
        address: tuple[str, int],
        limits: ResourceLimits,
        known: KnownNames,
        listening: socket.socket | None = None,
    ) -> None:
        """Listen at `address`, or on a socket that listens already; `add_event` receives the reports."""
        self.loop = loop
        self.log = log
        self.add_event = add_event
        self.max_connections = limits.inbound_connections
        self.known_names = known
        self.pool = BufferPool(limits.inbound_pool_bytes)
        # Oldest first, both.
        self.unidentified: OrderedDict[Connection, None] = OrderedDict()
        self.collectors: OrderedDict[Connection, None] = OrderedDict()
        self.listener = Listener(
            loop, address, self.accept, lambda why: log.warning("accept_failed", why=why), listening
        )
        self.sweep_timer: Deadline = loop.call_after(self.SWEEP_INTERVAL, self.drop_overdue)

    def accept(self, sock: socket.socket) -> bool:
        """Take a connection in, evicting another at the limit; returns False where none can be evicted."""
        while len(self.unidentified) + len(self.collectors) >= self.max_connections:
            # Unidentified connections may fill the table.  The new one may be a collector, and so may the
            # oldest, if its data has not been read yet.
            oldest = next(iter(self.unidentified), None)
            if oldest is None:
                if (spare := self.find_spare_collector()) is None:
                    self.log.warning("connection_limit_reached")
                    return False
                self.drop(spare, "collector_evicted")
                continue
            oldest.ready(True, False)
            if oldest in self.unidentified:
                self.drop(oldest, "unidentified_connection_evicted")
        connection = Connection.accepted(
            self.loop, sock, InboundConnection(self), InboundConnection.MAX_UNIDENTIFIED_LINE, self.pool
        )
        connection.reader.apply_limits(connection)
        self.unidentified[connection] = None
        self.log.count("accepted")
        return True

    def find_spare_collector(self) -> Connection | None:
        """Return the oldest collector whose zone has a newer one; None if there is none."""
        last = {c.reader.zone: c for c in self.collectors}
        return next((c for c in self.collectors if last[c.reader.zone] is not c), None)

    def adopt(
        self,
        sock: socket.socket,
        unread: bytes,
        zone: str,
        connected_at: int,
        last_line_at: int,
        line_started_at: int,
        invalid_line_count: int,
    ) -> None:
        """Take over a connection of the previous process, with its state and its unread data."""
        caller = InboundConnection(self)
        bound = InboundConnection.MAX_UNIDENTIFIED_LINE + (InboundConnection.MAX_LINE if zone else 0)
        connection = Connection.accepted(self.loop, sock, caller, bound, self.pool)
        (self.collectors if zone else self.unidentified)[connection] = None
        caller.zone = zone
        caller.connected_at = connected_at
        caller.last_line_at = last_line_at
        caller.line_started_at = line_started_at
        caller.invalid_line_count = invalid_line_count
        caller.apply_limits(connection)
        if not connection.incoming.push(unread):
            self.drop(connection, "accepted_no_memory")  # the peer connects and sends again
        elif unread:
            caller.on_data(connection)

    def on_identified(self, connection: Connection) -> None:
        """Move a connection that has named its zone to the collectors."""
        zone = connection.reader.zone
        self.unidentified.pop(connection, None)
        self.collectors[connection] = None
        self.log.warning("collector", zone=zone)  # at a bounded rate: some reconnect repeatedly
        same = [c for c in self.collectors if c.reader.zone == zone]
        if len(same) > self.MAX_PER_ZONE:
            self.drop(same[0], "collector_replaced")

    def remove(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self.unidentified.pop(connection, None)
        self.collectors.pop(connection, None)

    def drop(self, connection: Connection, event: str, **fields: object) -> None:
        """Log the event and close the connection, an unidentified one with `reject`."""
        self.log.warning(event, zone=connection.reader.zone, **fields)
        connection.reader.write_heartbeats(connection)
        if not connection.reader.zone:
            connection.write(b"reject\r\n")
        connection.close()
        self.remove(connection)

    def drop_overdue(self) -> None:
        """Drop the connections that exceeded a timeout, and schedule the next sweep."""
        now = self.loop.clock.now()
        for connection in list(self.unidentified):
            if now - connection.reader.connected_at <= self.IDENTIFY_TIMEOUT:
                break
            self.drop(connection, "unidentified_connection_timed_out")
        for connection in list(self.collectors):
            caller = connection.reader
            if now - caller.last_line_at > self.IDLE_TIMEOUT:
                self.drop(connection, "idle_collector_dropped")
            elif caller.line_started_at and now - caller.line_started_at > self.LINE_TIMEOUT:
                self.drop(connection, "line_unfinished")
        self.sweep_timer = self.loop.call_after(self.SWEEP_INTERVAL, self.drop_overdue)

    def close(self) -> None:
        """Read and answer once more what was received until now, then close everything."""
        self.sweep_timer.cancel()
        self.listener.accept_last()
        self.listener.close()
        self.drain_unidentified()
        self.drain_collectors()
        for connection in [*self.collectors, *self.unidentified]:
            connection.close()

    def drain_unidentified(self) -> None:
        """Read the unidentified connections once more, up to FINAL_READ_BYTES together."""
        remaining = self.FINAL_READ_BYTES
        for connection in list(self.unidentified):
            if remaining <= 0:
                return
            before = connection.received
            self.loop.guarded(connection.ready, True, False)
            remaining -= connection.received - before

    def drain_collectors(self) -> None:
        """Read the collectors once more, for FINAL_READ_DURATION at most."""
        until = self.loop.clock.now() + self.FINAL_READ_DURATION
        for connection in list(self.collectors):
            if self.loop.clock.now() >= until:
                return
            self.loop.guarded(connection.ready, True, False)
