"""One accepted connection: what it says until it has named its zone, and as a collector after that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..log import Log
from ..net.connection import Connection
from ..net.loop import EventLoop
from .messages import (
    GarbledConnectionError,
    InvalidLineError,
    KnownNames,
    parse_message,
    parse_report,
    parse_text,
)


class ConnectionOwner(Protocol):
    """What a caller needs of the table that holds all of them."""

    loop: EventLoop
    log: Log
    known: KnownNames
    hear: Callable

    def joined(self, connection: Connection) -> None: ...
    def gone(self, connection: Connection) -> None: ...
    def drop(self, connection: Connection, event: str, **fields) -> None: ...


class InboundConnection:
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

    def __init__(self, collectors: ConnectionOwner) -> None:
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

    def on_data(self, connection: Connection) -> bool:
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
            kind, words = parse_message(line)
            if kind == "hb":
                self.asked += 1
                return  # shows life, not that it is a collector: its time runs on
            if kind == "telemetry":
                self.join(connection, parse_text(words, "site"))
            elif not self.zone:
                hub.drop(connection, "unidentified_connection_rejected", line=line[:80])
                return
            else:
                hub.hear(parse_report(kind, words, hub.known))
                hub.log.count(f"lines_{kind}")
        except GarbledConnectionError as bad:
            hub.drop(connection, "connection_garbled", **bad.log_fields(), line=line[:80])
            return
        except InvalidLineError as bad:
            self.spoilt += 1
            hub.log.warning("line_invalid", **bad.log_fields(), line=line[:80], zone=self.zone)
            if not self.zone or self.spoilt >= self.SPOILT:
                hub.drop(connection, "connection_sent_only_invalid_lines")
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
            raise InvalidLineError("site: no such zone")
        if not self.zone:
            self.zone = zone
            connection.incoming.allow(self.MESSAGE + self.STRANGER_LINE)
            self.begin(connection)
            self.collectors.joined(connection)

    def on_closed(self, connection: Connection, why: str) -> None:
        log = self.collectors.log
        if len(connection.incoming):
            log.warning("line_truncated", zone=self.zone)
        log.count(f"accepted_{why}")
        self.collectors.gone(connection)
