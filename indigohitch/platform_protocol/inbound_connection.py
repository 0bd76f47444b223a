"""One accepted connection, unidentified until it names its zone and a collector after that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..log import Log
from ..net.connection import Connection
from ..net.loop import EventLoop
from .messages import (
    CorruptConnectionError,
    InvalidLineError,
    KnownNames,
    parse_message,
    parse_report,
    parse_text,
)

# The counter of closed connections is `accepted_REASON`; these reasons have another name there.
COUNTER_NAMES_BY_REASON = {"flooded": "unread_limit_exceeded"}


class ConnectionOwner(Protocol):
    """The table of all accepted connections, as one of them uses it."""

    loop: EventLoop
    log: Log
    known_names: KnownNames
    add_event: Callable

    def on_identified(self, connection: Connection) -> None:
        """Move a connection that has named its zone to the collectors."""

    def remove(self, connection: Connection) -> None:
        """Forget a closed connection."""

    def drop(self, connection: Connection, event: str, **fields: object) -> None:
        """Log the event with its fields and close the connection."""


class InboundConnection:
    """The reader of one accepted connection.

    Until it has named its zone it is unidentified, and may only do so or send a heartbeat; anything else
    closes it with `reject`.
    """

    MAX_UNIDENTIFIED_LINE = 4096  # enough for any line that names a zone
    MAX_LINE = 1 << 20  # the protocol's bound on a message
    # Invalid lines in a row that close a connection.  On bad days about one line in forty was invalid, so
    # this many in a row do not occur by chance.
    MAX_INVALID_LINES = 20
    # Bounds on reads per turn of the event loop.  An unidentified connection needs only the shortest
    # messages.  A collector sends its totals of a period at once, and half of them would look like a jump in
    # demand.
    UNIDENTIFIED_READS = 1
    UNIDENTIFIED_READ_BYTES = 256
    READS = 16
    READ_BYTES = 4096
    # Bounds on queued output, enough to answer the heartbeats of one read.  Unidentified connections
    # stay within the first block of their ring buffer, as the pool is for collectors.
    UNIDENTIFIED_OUTPUT_BYTES = 4096
    OUTPUT_BYTES = 8192

    def __init__(self, owner: ConnectionOwner) -> None:
        """Start unidentified, connected now by the clock of the owner's loop."""
        self.owner = owner
        self.zone = ""
        self.connected_at = owner.loop.clock.now()
        self.last_line_at = self.connected_at
        self.line_started_at = 0  # when the incomplete line began, 0 if there is none
        self.invalid_line_count = 0  # since the last valid line
        self.pending_heartbeats = 0  # received and not answered yet

    def apply_limits(self, connection: Connection) -> None:
        """Set the bounds on reads and queued output for this kind of connection."""
        connection.outgoing.set_max_size(self.OUTPUT_BYTES if self.zone else self.UNIDENTIFIED_OUTPUT_BYTES)
        if self.zone:
            connection.limit_reads(self.READS, self.READ_BYTES, low_priority=False)
        else:
            connection.limit_reads(self.UNIDENTIFIED_READS, self.UNIDENTIFIED_READ_BYTES, low_priority=True)

    def on_data(self, connection: Connection) -> bool:
        """Handle the complete lines; return whether one was a heartbeat, which ends this turn's reads."""
        ring = connection.incoming
        owner = self.owner
        while connection.open and (line := ring.line()) is not None:
            self.line_started_at = 0
            if line == b"hb":
                self.pending_heartbeats += 1
            elif line:
                self.handle_line(connection, line)
        has_heartbeats = self.write_heartbeats(connection)
        if not connection.open:
            return has_heartbeats
        if len(ring) > (self.MAX_LINE if self.zone else self.MAX_UNIDENTIFIED_LINE) or ring.full:
            owner.drop(connection, "line_too_long")
        elif not len(ring):
            self.line_started_at = 0
        elif not self.line_started_at:
            self.line_started_at = owner.loop.clock.now()
        return has_heartbeats

    def handle_line(self, connection: Connection, line: bytes) -> None:
        """Handle one line; an invalid one is counted and logged, and may close the connection."""
        owner = self.owner
        try:
            kind, fields = parse_message(line)
            if kind == "hb":
                self.pending_heartbeats += 1
                return  # does not identify a collector: the identification timeout keeps running
            if kind == "telemetry":
                self.identify(connection, parse_text(fields, "site"))
            elif not self.zone:
                owner.drop(connection, "unidentified_connection_rejected", line=line[:80])
                return
            else:
                owner.add_event(parse_report(kind, fields, owner.known_names))
                owner.log.count(f"lines_{kind}")
        except CorruptConnectionError as error:
            owner.drop(connection, "connection_garbled", **error.log_fields(), line=line[:80])
            return
        except InvalidLineError as error:
            self.invalid_line_count += 1
            owner.log.warning("line_invalid", **error.log_fields(), line=line[:80], zone=self.zone)
            if not self.zone or self.invalid_line_count >= self.MAX_INVALID_LINES:
                owner.drop(connection, "connection_sent_only_invalid_lines")
            return
        self.invalid_line_count = 0
        self.last_line_at = owner.loop.clock.now()

    def write_heartbeats(self, connection: Connection) -> bool:
        """Answer all pending heartbeats with one write; return whether there were any."""
        pending = self.pending_heartbeats
        self.pending_heartbeats = 0
        if pending and connection.open:
            connection.write(b"hb_ok\r\n" * pending)
            self.owner.log.count("heartbeats_answered", pending)
        return pending > 0

    def identify(self, connection: Connection, zone: str) -> None:
        """Make the connection a collector of the zone; raises InvalidLineError for an unknown zone."""
        if zone not in self.owner.known_names.zones:
            raise InvalidLineError("site: no such zone")
        if not self.zone:
            self.zone = zone
            connection.incoming.set_max_size(self.MAX_LINE + self.MAX_UNIDENTIFIED_LINE)
            self.apply_limits(connection)
            self.owner.on_identified(connection)

    def on_closed(self, connection: Connection, why: str) -> None:
        """Count the closed connection by its reason and remove it from the table."""
        log = self.owner.log
        if len(connection.incoming):
            log.warning("line_truncated", zone=self.zone)
        log.count(f"accepted_{COUNTER_NAMES_BY_REASON.get(why, why)}")
        self.owner.remove(connection)
