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
    STRANGER = SECOND * 3 // 2
    # A collector reports every few seconds while there is traffic.  Silent for so long, its machine may have
    # vanished without a word; one whose line does not go on is stuck, and comes back anew.
    SILENCE, UNFINISHED = 120 * SECOND, 3 * SECOND
    SWEEP = SECOND // 5
    # What is still heard at the end.  Strangers: so many bytes of all together, as many who flood must not
    # delay it, and a pause of the machine must not cost the others their answer.  Collectors: for so long.
    LAST_BYTES = 50 * InboundConnection.STRANGER_STEP
    LAST = SECOND // 20
    # Connections of a zone: its collector's, the one before that broke in silence, and two to spare.
    ZONE = 4

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
        self.loop, self.log, self.hear, self.most, self.known = loop, log, hear, limits.callers, known
        self.pool = BufferPool(limits.callers_pool)
        # Oldest first, both.
        self.strangers: OrderedDict[Connection, None] = OrderedDict()
        self.members: OrderedDict[Connection, None] = OrderedDict()
        self.listener = Listener(
            loop, at, self.greet, lambda why: log.warning("accept_failed", why=why), listening
        )
        self.sweep: Deadline = loop.call_after(self.SWEEP, self.drop_late)

    def greet(self, sock: socket.socket) -> bool:
        while len(self.strangers) + len(self.members) >= self.most:
            # Strangers may fill the table; one who comes now may be a collector, and so may the oldest, if
            # what it said has not been read yet.
            oldest = next(iter(self.strangers), None)
            if oldest is None:
                if (spare := self.spare_member()) is None:
                    self.log.warning("connection_limit_reached")
                    return False
                self.drop(spare, "collector_evicted")
                continue
            oldest.ready(True, False)
            if oldest in self.strangers:
                self.drop(oldest, "unidentified_connection_evicted")
        connection = Connection.accepted(
            self.loop, sock, InboundConnection(self), InboundConnection.STRANGER_LINE, self.pool
        )
        connection.reader.begin(connection)
        self.strangers[connection] = None
        self.log.count("accepted")
        return True

    def spare_member(self) -> Connection | None:
        """The oldest of a zone that has another one since: a zone without any must find a place."""
        last = {c.reader.zone: c for c in self.members}
        return next((c for c in self.members if last[c.reader.zone] is not c), None)

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
        bound = InboundConnection.STRANGER_LINE + (InboundConnection.MESSAGE if zone else 0)
        connection = Connection.accepted(self.loop, sock, caller, bound, self.pool)
        (self.members if zone else self.strangers)[connection] = None
        caller.zone, caller.began, caller.heard_at = zone, began, heard_at
        caller.unfinished_since, caller.spoilt = unfinished, spoilt
        caller.begin(connection)
        if not connection.incoming.push(rest):
            self.drop(connection, "accepted_no_memory")  # its owner comes again, and says it whole
        elif rest:
            caller.on_data(connection)

    def joined(self, connection: Connection) -> None:
        zone = connection.reader.zone
        self.strangers.pop(connection, None)
        self.members[connection] = None
        self.log.warning("collector", zone=zone)  # at a bounded rate: some join again and again
        same = [c for c in self.members if c.reader.zone == zone]
        if len(same) > self.ZONE:
            self.drop(same[0], "collector_replaced")

    def gone(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)
        self.members.pop(connection, None)

    def drop(self, connection: Connection, event: str, **fields) -> None:
        """A stranger hears that it is not wanted; nothing is ever written to a collector."""
        self.log.warning(event, zone=connection.reader.zone, **fields)
        connection.reader.answer(connection)
        if not connection.reader.zone:
            connection.write(b"reject\r\n")
        connection.close()
        self.gone(connection)

    def drop_late(self) -> None:
        now = self.loop.clock.now()
        for connection in list(self.strangers):
            if now - connection.reader.began <= self.STRANGER:
                break
            self.drop(connection, "unidentified_connection_timed_out")
        for connection in list(self.members):
            caller = connection.reader
            if now - caller.heard_at > self.SILENCE:
                self.drop(connection, "idle_collector_dropped")
            elif caller.unfinished_since and now - caller.unfinished_since > self.UNFINISHED:
                self.drop(connection, "line_unfinished")
        self.sweep = self.loop.call_after(self.SWEEP, self.drop_late)

    def close(self) -> None:
        """Who has connected and what they said by now is heard and answered once more."""
        self.sweep.cancel()
        self.listener.accept_last()
        self.listener.close()
        self.hear_strangers_last()
        self.hear_collectors_last()
        for connection in [*self.members, *self.strangers]:
            connection.close()

    def hear_strangers_last(self) -> None:
        left = self.LAST_BYTES
        for connection in list(self.strangers):
            if left <= 0:
                return
            before = connection.received
            self.loop.guarded(connection.ready, True, False)
            left -= connection.received - before

    def hear_collectors_last(self) -> None:
        until = self.loop.clock.now() + self.LAST
        for connection in list(self.members):
            if self.loop.clock.now() >= until:
                return
            self.loop.guarded(connection.ready, True, False)
