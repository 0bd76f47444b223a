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
from .words import REPORTS, Unreadable, text


class Caller:
    """One accepted connection.  Until it has named its zone it is a stranger."""
    STRANGER_LINE = 4096        # the longest that one needs who has not named a zone yet
    MESSAGE = 1 << 20           # the protocol's bound on a message

    def __init__(self, collectors: Collectors) -> None:
        self.collectors, self.zone = collectors, ""
        self.skipping = False                   # in a line that was too long: drop the rest of it
        self.heard_at = collectors.loop.clock.now()

    def heard(self, connection: Connection) -> None:
        ring, log = connection.incoming, self.collectors.log
        while connection.open and (line := ring.line()) is not None:
            if self.skipping:
                self.skipping = False
            elif line:
                self.line(connection, line)
        if not connection.open:
            return
        if self.skipping:
            ring.take()
        elif len(ring) > (self.MESSAGE if self.zone else self.STRANGER_LINE) or ring.full:
            log.trouble("line_too_long", bytes=len(ring), zone=self.zone)
            ring.take()
            self.skipping = True

    def line(self, connection: Connection, line: bytes) -> None:
        log = self.collectors.log
        try:
            kind, *rest = line.decode("utf-8").split()
            words = dict(word.split("=", 1) for word in rest)
            if kind == "hb":
                connection.write(b"hb_ok\r\n")
                log.count("heartbeats_answered")
            elif kind == "telemetry":
                self.zone = text(words, "site")
                self.collectors.named(connection)
                log.event("collector", zone=self.zone)
            elif kind in REPORTS:
                self.collectors.hear(REPORTS[kind](words))
                log.count(f"lines_{kind}")
            else:
                log.trouble("line_of_unknown_kind", line=line[:80])
                return
        except (ValueError, Unreadable) as bad:     # not UTF-8, no pairs, a value missing or unreadable
            log.trouble("line_unreadable", why=str(bad), line=line[:80])
            return
        self.heard_at = self.collectors.loop.clock.now()

    def closed(self, connection: Connection, why: str) -> None:
        log = self.collectors.log
        if len(connection.incoming) and not self.skipping:
            log.trouble("line_cut_off", zone=self.zone)
        log.count(f"accepted_{why}")
        self.collectors.gone(connection)


class Collectors:
    # Who has said nothing readable for so long is dropped: its machine may have vanished without a word.
    # A collector reports every few seconds while there is traffic; a health checker may be slow.
    STRANGER_SILENCE, SILENCE = 20 * SECOND, 120 * SECOND
    SWEEP = 5 * SECOND
    POOL = 32 << 20             # for all that callers have sent half; of the 192 MB the program takes 30

    def __init__(self, loop: Loop, log: Log, hear: Callable, at: tuple[str, int], most: int) -> None:
        self.loop, self.log, self.hear, self.most = loop, log, hear, most
        self.pool = Pool(self.POOL)
        self.strangers: OrderedDict[Connection, None] = OrderedDict()       # oldest first
        self.known: set[Connection] = set()
        self.listener = Listener(loop, at, self.greet, lambda why: log.trouble("accept_failed", why=why))
        self.sweep: Deadline = loop.after(self.SWEEP, self.drop_silent)

    def greet(self, sock: socket.socket) -> bool:
        if len(self.strangers) + len(self.known) >= self.most:
            if not self.strangers:
                self.log.trouble("accepted_too_many")
                return False
            # Strangers may fill the table; one who comes now may be a collector, the oldest is likely none.
            self.drop(next(iter(self.strangers)), "stranger_dropped_for_room")
        caller = Caller(self)
        connection = Connection.accepted(self.loop, sock, caller, Caller.MESSAGE + Caller.STRANGER_LINE,
                                         self.pool)
        self.strangers[connection] = None
        self.log.count("accepted")
        return True

    def named(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)
        self.known.add(connection)

    def gone(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)
        self.known.discard(connection)

    def drop(self, connection: Connection, why: str) -> None:
        self.log.trouble(why, zone=connection.reader.zone)
        connection.close()
        self.gone(connection)

    def drop_silent(self) -> None:
        now = self.loop.clock.now()
        for group, span in ((self.strangers, self.STRANGER_SILENCE), (self.known, self.SILENCE)):
            for connection in [c for c in group if now - c.reader.heard_at > span]:
                self.drop(connection, "silent_caller_dropped")
        self.sweep = self.loop.after(self.SWEEP, self.drop_silent)

    def close(self) -> None:
        self.sweep.cancel()
        self.listener.close()
        for connection in [*self.strangers, *self.known]:
            connection.close()
