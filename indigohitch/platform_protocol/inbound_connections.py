"""All that connect to the coordinator's address: who is let in, who gives way, and who has had its time."""

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
    # Who has not named a zone by then has had its time: it is owed an end within 3 s, and a collector names
    # its zone with its first bytes.
    IDENTIFY_TIMEOUT = SECOND * 3 // 2
    # A collector reports every few seconds while there is traffic.  Silent for so long, its machine may have
    # vanished without a word; one whose line does not go on is stuck, and comes back anew.
    IDLE_TIMEOUT = 120 * SECOND
    LINE_TIMEOUT = 3 * SECOND
    SWEEP_INTERVAL = SECOND // 5
    # What is still heard at the end.  Strangers: so many bytes of all together, as many who flood must not
    # delay it, and a pause of the machine must not cost the others their answer.  Collectors: for so long.
    FINAL_READ_BYTES = 50 * InboundConnection.UNIDENTIFIED_READ_BYTES
    FINAL_READ_DURATION = SECOND // 20
    # Connections of a zone: its collector's, the one before that broke in silence, and two to spare.
    MAX_PER_ZONE = 4

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        hear: Callable,
        at: tuple[str, int],
        limits: ResourceLimits,
        known: KnownNames,
        listening: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.log = log
        self.add_event = hear
        self.max_connections = limits.inbound_connections
        self.known_names = known
        self.pool = BufferPool(limits.inbound_pool_bytes)
        # Oldest first, both.
        self.unidentified: OrderedDict[Connection, None] = OrderedDict()
        self.collectors: OrderedDict[Connection, None] = OrderedDict()
        self.listener = Listener(
            loop, at, self.accept, lambda why: log.warning("accept_failed", why=why), listening
        )
        self.sweep_timer: Deadline = loop.call_after(self.SWEEP_INTERVAL, self.drop_overdue)

    def accept(self, sock: socket.socket) -> bool:
        while len(self.unidentified) + len(self.collectors) >= self.max_connections:
            # Strangers may fill the table; one who comes now may be a collector, and so may the oldest, if
            # what it said has not been read yet.
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
        """The oldest of a zone that has another one since: a zone without any must find a place."""
        last = {c.reader.zone: c for c in self.collectors}
        return next((c for c in self.collectors if last[c.reader.zone] is not c), None)

    def adopt(
        self,
        sock: socket.socket,
        rest: bytes,
        zone: str,
        began: int,
        heard_at: int,
        unfinished: int,
        spoilt: int,
    ) -> None:
        """A caller of the process before this one, with what it said that was not read."""
        caller = InboundConnection(self)
        bound = InboundConnection.MAX_UNIDENTIFIED_LINE + (InboundConnection.MAX_LINE if zone else 0)
        connection = Connection.accepted(self.loop, sock, caller, bound, self.pool)
        (self.collectors if zone else self.unidentified)[connection] = None
        caller.zone, caller.connected_at, caller.last_line_at = zone, began, heard_at
        caller.line_started_at, caller.invalid_line_count = unfinished, spoilt
        caller.apply_limits(connection)
        if not connection.incoming.push(rest):
            self.drop(connection, "accepted_no_memory")  # its owner comes again, and says it whole
        elif rest:
            caller.on_data(connection)

    def on_identified(self, connection: Connection) -> None:
        zone = connection.reader.zone
        self.unidentified.pop(connection, None)
        self.collectors[connection] = None
        self.log.warning("collector", zone=zone)  # at a bounded rate: some join again and again
        same = [c for c in self.collectors if c.reader.zone == zone]
        if len(same) > self.MAX_PER_ZONE:
            self.drop(same[0], "collector_replaced")

    def remove(self, connection: Connection) -> None:
        self.unidentified.pop(connection, None)
        self.collectors.pop(connection, None)

    def drop(self, connection: Connection, event: str, **fields) -> None:
        """A stranger hears that it is not wanted; nothing is ever written to a collector."""
        self.log.warning(event, zone=connection.reader.zone, **fields)
        connection.reader.write_heartbeats(connection)
        if not connection.reader.zone:
            connection.write(b"reject\r\n")
        connection.close()
        self.remove(connection)

    def drop_overdue(self) -> None:
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
        """Who has connected and what they said by now is heard and answered once more."""
        self.sweep_timer.cancel()
        self.listener.accept_last()
        self.listener.close()
        self.drain_unidentified()
        self.drain_collectors()
        for connection in [*self.collectors, *self.unidentified]:
            connection.close()

    def drain_unidentified(self) -> None:
        left = self.FINAL_READ_BYTES
        for connection in list(self.unidentified):
            if left <= 0:
                return
            before = connection.received
            self.loop.guarded(connection.ready, True, False)
            left -= connection.received - before

    def drain_collectors(self) -> None:
        until = self.loop.clock.now() + self.FINAL_READ_DURATION
        for connection in list(self.collectors):
            if self.loop.clock.now() >= until:
                return
            self.loop.guarded(connection.ready, True, False)
