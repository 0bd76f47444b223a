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

# Counters of closed connections have the reason in their names; those that the glossary names otherwise.
COUNTED_AS = {"flooded": "unread_limit_exceeded"}


class ConnectionOwner(Protocol):
    """What a caller needs of the table that holds all of them."""

    loop: EventLoop
    log: Log
    known_names: KnownNames
    add_event: Callable

    def on_identified(self, connection: Connection) -> None: ...
    def remove(self, connection: Connection) -> None: ...
    def drop(self, connection: Connection, event: str, **fields) -> None: ...


class InboundConnection:
    """One accepted connection.  Until it has named its zone it is a stranger, and may do so or ask for a
    sign of life; anything else ends it with `reject`."""

    MAX_UNIDENTIFIED_LINE = 4096  # the longest that one needs who has not named a zone yet
    MAX_LINE = 1 << 20  # the protocol's bound on a message
    # Spoilt lines in a row that end a connection: of forty lines about one came spoilt on bad days, so this
    # many never come by chance; a connection that goes on like that is of no use to its owner either.
    MAX_INVALID_LINES = 20
    # What one may bring a turn: a stranger the shortest messages there are, a collector the sums of a period
    # at once (half of them would look like a jump of demand).
    UNIDENTIFIED_READS = 1
    UNIDENTIFIED_READ_BYTES = 256
    READS = 16
    READ_BYTES = 4096
    # Answers that wait to be written, to all that one read may ask for.  A stranger's stay in the first block
    # of its ring: the pool is for collectors.
    UNIDENTIFIED_OUTPUT_BYTES = 4096
    OUTPUT_BYTES = 8192

    def __init__(self, collectors: ConnectionOwner) -> None:
        self.owner, self.zone = collectors, ""
        self.connected_at = self.last_line_at = collectors.loop.clock.now()
        self.line_started_at = 0  # when the line began that has not all come, 0: none
        self.invalid_line_count = 0  # lines dropped since the last good one
        self.pending_heartbeats = 0  # signs of life that are asked for and not answered yet

    def apply_limits(self, connection: Connection) -> None:
        connection.outgoing.allow(self.OUTPUT_BYTES if self.zone else self.UNIDENTIFIED_OUTPUT_BYTES)
        if self.zone:
            connection.pace(self.READS, self.READ_BYTES, crowd=False)
        else:
            connection.pace(self.UNIDENTIFIED_READS, self.UNIDENTIFIED_READ_BYTES, crowd=True)

    def on_data(self, connection: Connection) -> bool:
        """What asks for signs of life is read once a turn, whoever it is."""
        ring, hub = connection.incoming, self.owner
        while connection.open and (line := ring.line()) is not None:
            self.line_started_at = 0
            if line == b"hb":
                self.pending_heartbeats += 1
            elif line:
                self.handle_line(connection, line)
        asked = self.write_heartbeats(connection)
        if not connection.open:
            return asked
        if len(ring) > (self.MAX_LINE if self.zone else self.MAX_UNIDENTIFIED_LINE) or ring.full:
            hub.drop(connection, "line_too_long")
        elif not len(ring):
            self.line_started_at = 0
        elif not self.line_started_at:
            self.line_started_at = hub.loop.clock.now()
        return asked

    def handle_line(self, connection: Connection, line: bytes) -> None:
        hub = self.owner
        try:
            kind, words = parse_message(line)
            if kind == "hb":
                self.pending_heartbeats += 1
                return  # shows life, not that it is a collector: its time runs on
            if kind == "telemetry":
                self.identify(connection, parse_text(words, "site"))
            elif not self.zone:
                hub.drop(connection, "unidentified_connection_rejected", line=line[:80])
                return
            else:
                hub.add_event(parse_report(kind, words, hub.known_names))
                hub.log.count(f"lines_{kind}")
        except GarbledConnectionError as bad:
            hub.drop(connection, "connection_garbled", **bad.log_fields(), line=line[:80])
            return
        except InvalidLineError as bad:
            self.invalid_line_count += 1
            hub.log.warning("line_invalid", **bad.log_fields(), line=line[:80], zone=self.zone)
            if not self.zone or self.invalid_line_count >= self.MAX_INVALID_LINES:
                hub.drop(connection, "connection_sent_only_invalid_lines")
            return
        self.invalid_line_count, self.last_line_at = 0, hub.loop.clock.now()

    def write_heartbeats(self, connection: Connection) -> bool:
        """All that one read asked for with one write; whether it asked."""
        asked, self.pending_heartbeats = self.pending_heartbeats, 0
        if asked and connection.open:
            connection.write(b"hb_ok\r\n" * asked)
            self.owner.log.count("heartbeats_answered", asked)
        return asked > 0

    def identify(self, connection: Connection, zone: str) -> None:
        if zone not in self.owner.known_names.zones:
            raise InvalidLineError("site: no such zone")
        if not self.zone:
            self.zone = zone
            connection.incoming.allow(self.MAX_LINE + self.MAX_UNIDENTIFIED_LINE)
            self.apply_limits(connection)
            self.owner.on_identified(connection)

    def on_closed(self, connection: Connection, why: str) -> None:
        log = self.owner.log
        if len(connection.incoming):
            log.warning("line_truncated", zone=self.zone)
        log.count(f"accepted_{COUNTED_AS.get(why, why)}")
        self.owner.remove(connection)
