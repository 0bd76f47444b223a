"""What connects to the coordinator's address: collectors with their lines, and strangers."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable

from ..log import Log
from ..net.clock import SECOND
from ..net.connection import Connection, Listener
from ..net.loop import Deadline, Loop
from ..net.ring import Pool
from .limits import Limits
from .words import Garbled, Known, Unreadable, report, split, text


class Caller:
    """One accepted connection.  Until it has named its zone it is a stranger, and may do so or ask for a
    sign of life; anything else ends it with `reject`."""

    STRANGER_LINE = 4096  # the longest that one needs who has not named a zone yet
    MESSAGE = 1 << 20  # the protocol's bound on a message
    # Spoilt lines in a row that end a connection: of forty lines about one came spoilt on bad days, so this
    # many never come by chance; a connection that goes on like that is of no use to its owner either.
    SPOILT = 20
    # What one may bring a turn: a stranger the shortest messages there are, a collector the sums of a period
    # at once (half of them would look like a jump of demand).
    STRANGER_READS, STRANGER_STEP = 1, 256
    READS, STEP = 16, 4096
    # Answers that wait to be written, to all that one read may ask for.  A stranger's stay in the first block
    # of its ring: the pool is for collectors.
    STRANGER_OWED, OWED = 4096, 8192

    def __init__(self, collectors: Collectors) -> None:
        self.collectors, self.zone = collectors, ""
        self.began = self.heard_at = collectors.loop.clock.now()
        self.unfinished_since = 0  # when the line began that has not all come, 0: none
        self.spoilt = 0  # lines dropped since the last good one
        self.asked = 0  # signs of life that are asked for and not answered yet

    def begin(self, connection: Connection) -> None:
        connection.outgoing.allow(self.OWED if self.zone else self.STRANGER_OWED)
        if self.zone:
            connection.pace(self.READS, self.STEP, crowd=False)
        else:
            connection.pace(self.STRANGER_READS, self.STRANGER_STEP, crowd=True)

    def heard(self, connection: Connection) -> bool:
        """What asks for signs of life is read once a turn, whoever it is."""
        ring, hub = connection.incoming, self.collectors
        while connection.open and (line := ring.line()) is not None:
            self.unfinished_since = 0
            if line == b"hb":
                self.asked += 1
            elif line:
                self.line(connection, line)
        asked = self.answer(connection)
        if not connection.open:
            return asked
        if len(ring) > (self.MESSAGE if self.zone else self.STRANGER_LINE) or ring.full:
            hub.drop(connection, "line_too_long")
        elif not len(ring):
            self.unfinished_since = 0
        elif not self.unfinished_since:
            self.unfinished_since = hub.loop.clock.now()
        return asked

    def line(self, connection: Connection, line: bytes) -> None:
        hub = self.collectors
        try:
            kind, words = split(line)
            if kind == "hb":
                self.asked += 1
                return  # shows life, not that it is a collector: its time runs on
            if kind == "telemetry":
                self.join(connection, text(words, "site"))
            elif not self.zone:
                hub.drop(connection, "stranger_rejected", line=line[:80])
                return
            else:
                hub.hear(report(kind, words, hub.known))
                hub.log.count(f"lines_{kind}")
        except Garbled as bad:
            hub.drop(connection, "connection_garbled", **bad.fields(), line=line[:80])
            return
        except Unreadable as bad:
            self.spoilt += 1
            hub.log.trouble("line_spoilt", **bad.fields(), line=line[:80], zone=self.zone)
            if not self.zone or self.spoilt >= self.SPOILT:
                hub.drop(connection, "lines_all_spoilt")
            return
        self.spoilt, self.heard_at = 0, hub.loop.clock.now()

    def answer(self, connection: Connection) -> bool:
        """All that one read asked for with one write; whether it asked."""
        asked, self.asked = self.asked, 0
        if asked and connection.open:
            connection.write(b"hb_ok\r\n" * asked)
            self.collectors.log.count("heartbeats_answered", asked)
        return asked > 0

    def join(self, connection: Connection, zone: str) -> None:
        if zone not in self.collectors.known.zones:
            raise Unreadable("site: no such zone")
        if not self.zone:
            self.zone = zone
            connection.incoming.allow(self.MESSAGE + self.STRANGER_LINE)
            self.begin(connection)
            self.collectors.joined(connection)

    def closed(self, connection: Connection, why: str) -> None:
        log = self.collectors.log
        if len(connection.incoming):
            log.trouble("line_cut_off", zone=self.zone)
        log.count(f"accepted_{why}")
        self.collectors.gone(connection)


class Collectors:
    # Who has not named a zone by then has had its time: it is owed an end within 3 s, and a collector names
    # its zone with its first bytes.
    STRANGER = SECOND * 3 // 2
    # A collector reports every few seconds while there is traffic.  Silent for so long, its machine may have
    # vanished without a word; one whose line does not go on is stuck, and comes back anew.
    SILENCE, UNFINISHED = 120 * SECOND, 3 * SECOND
    SWEEP = SECOND // 5
    LAST = SECOND // 20  # for what they said before the end: many who flood must not delay it
    # Connections of a zone: its collector's, the one before that broke in silence, and two to spare.
    ZONE = 4

    def __init__(
        self,
        loop: Loop,
        log: Log,
        hear: Callable,
        at: tuple[str, int],
        limits: Limits,
        known: Known,
        listening: socket.socket | None = None,
    ) -> None:
        self.loop, self.log, self.hear, self.most, self.known = loop, log, hear, limits.callers, known
        self.pool = Pool(limits.callers_pool)
        # Oldest first, both.
        self.strangers: OrderedDict[Connection, None] = OrderedDict()
        self.members: OrderedDict[Connection, None] = OrderedDict()
        self.listener = Listener(
            loop, at, self.greet, lambda why: log.trouble("accept_failed", why=why), listening
        )
        self.sweep: Deadline = loop.after(self.SWEEP, self.drop_late)

    def greet(self, sock: socket.socket) -> bool:
        while len(self.strangers) + len(self.members) >= self.most:
            # Strangers may fill the table; one who comes now may be a collector, and so may the oldest, if
            # what it said has not been read yet.
            oldest = next(iter(self.strangers), None)
            if oldest is None:
                if (spare := self.spare_member()) is None:
                    self.log.trouble("accepted_too_many")
                    return False
                self.drop(spare, "collector_dropped_for_room")
                continue
            oldest.ready(True, False)
            if oldest in self.strangers:
                self.drop(oldest, "stranger_dropped_for_room")
        connection = Connection.accepted(self.loop, sock, Caller(self), Caller.STRANGER_LINE, self.pool)
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
        caller = Caller(self)
        bound = Caller.STRANGER_LINE + (Caller.MESSAGE if zone else 0)
        connection = Connection.accepted(self.loop, sock, caller, bound, self.pool)
        (self.members if zone else self.strangers)[connection] = None
        caller.zone, caller.began, caller.heard_at = zone, began, heard_at
        caller.unfinished_since, caller.spoilt = unfinished, spoilt
        caller.begin(connection)
        if not connection.incoming.push(rest):
            self.drop(connection, "accepted_no_memory")  # its owner comes again, and says it whole
        elif rest:
            caller.heard(connection)

    def joined(self, connection: Connection) -> None:
        zone = connection.reader.zone
        self.strangers.pop(connection, None)
        self.members[connection] = None
        self.log.trouble("collector", zone=zone)  # at a bounded rate: some join again and again
        same = [c for c in self.members if c.reader.zone == zone]
        if len(same) > self.ZONE:
            self.drop(same[0], "collector_replaced")

    def gone(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)
        self.members.pop(connection, None)

    def drop(self, connection: Connection, event: str, **fields) -> None:
        """A stranger hears that it is not wanted; nothing is ever written to a collector."""
        self.log.trouble(event, zone=connection.reader.zone, **fields)
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
            self.drop(connection, "stranger_timed_out")
        for connection in list(self.members):
            caller = connection.reader
            if now - caller.heard_at > self.SILENCE:
                self.drop(connection, "silent_caller_dropped")
            elif caller.unfinished_since and now - caller.unfinished_since > self.UNFINISHED:
                self.drop(connection, "line_unfinished")
        self.sweep = self.loop.after(self.SWEEP, self.drop_late)

    def close(self) -> None:
        """Who has connected and what they said by now is heard and answered once more."""
        self.sweep.cancel()
        self.listener.accept_last()
        self.listener.close()
        until = self.loop.clock.now() + self.LAST
        for connection in [*self.members, *self.strangers]:
            if connection.open and self.loop.clock.now() < until:
                self.loop.guarded(connection.ready, True, False)
            connection.close()
