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

    # Time for a connection to name its zone before it is closed.  The protocol requires it within 3 s, and a
    # collector names its zone with its first bytes.
    IDENTIFY_TIMEOUT = SECOND * 3 // 2
    # A collector reports every few seconds while there is traffic.  The machine of an idle one may be gone;
    # one that does not complete a line is stuck, and reconnects when it is dropped.
    IDLE_TIMEOUT = 120 * SECOND
    LINE_TIMEOUT = 3 * SECOND
    SWEEP_INTERVAL = SECOND // 5
    # Bounds on the last reads at shutdown.  Unidentified connections have a total of bytes, so that a flood
    # does not delay the shutdown and a pause of the machine costs no peer its answer.  Collectors have a
    # duration.
    FINAL_READ_BYTES = 50 * InboundConnection.UNIDENTIFIED_READ_BYTES
    FINAL_READ_DURATION = SECOND // 20
    # Connections per zone: that of its collector, a previous one whose loss was not noticed, and two
    # spare ones.
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
        # Both are ordered oldest first.
        self.unidentified: OrderedDict[Connection, None] = OrderedDict()
        self.collectors: OrderedDict[Connection, None] = OrderedDict()
        self.listener = Listener(
            loop, address, self.accept, lambda why: log.warning("accept_failed", why=why), listening
        )
        self.sweep_timer: Deadline = loop.call_after(self.SWEEP_INTERVAL, self.drop_overdue)

    def accept(self, sock: socket.socket) -> bool:
        """Add a connection, evicting another at the limit; return False if none can be evicted."""
        while len(self.unidentified) + len(self.collectors) >= self.max_connections:
            # Unidentified connections may fill the table.  The new connection may be a collector's, and so
            # may the oldest one, if its data has not been read yet.
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
        """Return the oldest collector whose zone has a newer one, or None."""
        newest = {c.reader.zone: c for c in self.collectors}
        return next((c for c in self.collectors if newest[c.reader.zone] is not c), None)

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
        reader = InboundConnection(self)
        max_buffered = InboundConnection.MAX_UNIDENTIFIED_LINE + (InboundConnection.MAX_LINE if zone else 0)
        connection = Connection.accepted(self.loop, sock, reader, max_buffered, self.pool)
        (self.collectors if zone else self.unidentified)[connection] = None
        reader.zone = zone
        reader.connected_at = connected_at
        reader.last_line_at = last_line_at
        reader.line_started_at = line_started_at
        reader.invalid_line_count = invalid_line_count
        reader.apply_limits(connection)
        if not connection.incoming.push(unread):
            self.drop(connection, "accepted_no_memory")  # the peer connects and sends again
        elif unread:
            reader.on_data(connection)

    def on_identified(self, connection: Connection) -> None:
        """Move a connection that has named its zone to the collectors."""
        zone = connection.reader.zone
        self.unidentified.pop(connection, None)
        self.collectors[connection] = None
        self.log.warning("collector", zone=zone)  # rate-limited, as some reconnect repeatedly
        of_zone = [c for c in self.collectors if c.reader.zone == zone]
        if len(of_zone) > self.MAX_PER_ZONE:
            self.drop(of_zone[0], "collector_replaced")

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
            reader = connection.reader
            if now - reader.last_line_at > self.IDLE_TIMEOUT:
                self.drop(connection, "idle_collector_dropped")
            elif reader.line_started_at and now - reader.line_started_at > self.LINE_TIMEOUT:
                self.drop(connection, "line_unfinished")
        self.sweep_timer = self.loop.call_after(self.SWEEP_INTERVAL, self.drop_overdue)

    def close(self) -> None:
        """Read and answer what was received until now, then close everything."""
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
            received_before = connection.received
            self.loop.guarded(connection.ready, True, False)
            remaining -= connection.received - received_before

    def drain_collectors(self) -> None:
        """Read the collectors once more, for FINAL_READ_DURATION at most."""
        deadline = self.loop.clock.now() + self.FINAL_READ_DURATION
        for connection in list(self.collectors):
            if self.loop.clock.now() >= deadline:
                return
            self.loop.guarded(connection.ready, True, False)
