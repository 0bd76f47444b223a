"""Seats for the sidecar's RPCs: allocated before an RPC is sent, shown to the server, released at its end.

A request to a server carries its pass in `X-Seat` (fleet/seats/server_clock.py). Any answer may carry
`X-Node: BOOT CLOCK`, the server's boot id and its monotonic clock in tenths of a ms. An answer with
`X-Seat-Refused: unread|late|old|twice` says that the server found no valid seat and has started nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from .. import request
from ..config.texts import Text
from ..encoding.rows import digest
from ..fleet.seats.allocator import Allocation, SeatAllocator
from ..fleet.seats.contract import Pass
from ..fleet.seats.server_clock import ServerClocks, Verdict, format_pass
from ..log import Log
from ..net.clock import Clock
from .heads import AnswerHead
from .servers import Server

SEAT = b"x-seat"
NODE = b"x-node"
REFUSED = b"x-seat-refused"
NOT_RUN = frozenset(verdict.value.encode() for verdict in Verdict if verdict.did_not_run)


class Seating:
    """Allocates seats from this process's member of the fleet and translates them for the servers."""

    SEAT_HEADERS = frozenset((SEAT,))  # removed from client requests: clients have no seats

    def __init__(
        self, text: Text, log: Log, clock: Clock, allocator: Callable[[], SeatAllocator | None]
    ) -> None:
        """`allocator()` returns the member's allocator, None while the member does not take part."""
        self.feature_by_rpc = text.seats
        self.log = log
        self.clock = clock
        self.allocator = allocator
        self.feature_rows = (
            {row.feature: row for row in text.fleet.parts.get("seats", [])} if text.fleet else {}
        )
        self.server_clocks = ServerClocks(text.fleet.drift if text.fleet else 0.0)

    def allocate(self, rpc, server: Server) -> Allocation | None:
        """Returns a seat for an attempt at this server, None if none is available.

        The seat expires at the RPC's deadline at the latest.
        """
        feature = self.feature_by_rpc[rpc.route.rpc.name]
        allocator = self.allocator()
        now = self.clock.now()
        if allocator is None:
            self.log.count("seats_without_fleet")
            return None
        row = self.feature_rows[feature]
        tenant, user = (self.header_value(rpc, name) for name in (row.tenant_header, row.user_header))
        found = allocator.allocate(
            now,
            feature,
            tenant,
            self.server_key(server) if allocator.kind(feature) == "node" else user,
            rpc.due_at - now,
            rpc.pool.boot.get("come_back", 0),
        )
        return found if isinstance(found, Allocation) else None

    @staticmethod
    def server_key(server: Server) -> str:
        """Returns the server's address; its name is that of a pool, and two pools may have the server."""
        return "{}:{}".format(*server.address)

    @staticmethod
    def header_value(rpc, name: str) -> str:
        """Returns the client's value of that header, or the digest of a value over 64 bytes.

        The value is stored for a while, so its size is limited.
        """
        values = rpc.head.values(name.lower().encode()) if name else ()
        value = values[0] if values else b""
        return value.decode("latin-1") if len(value) <= 64 else digest(value).hex()

    def seat_header(self, allocation: Allocation, server: Server) -> bytes:
        """Returns the header line with the pass, its deadline converted to the server's clock."""
        boot, until = self.server_clocks.server_deadline(self.server_key(server), allocation.until)
        return b"X-Seat: %b\r\n" % format_pass(Pass(allocation.given, boot, until, allocation.stamp)).encode(
            "latin-1"
        )

    def record_clock(self, server: Server, head: AnswerHead) -> None:
        """Stores the server's clock if the head of its answer has one."""
        if (header_text := head.value(NODE)) is not None:
            try:
                boot, clock = header_text.decode("ascii").split()
                self.server_clocks.heard(self.server_key(server), boot, int(clock), self.clock.now())
            except ValueError:
                self.log.warning("node_clock_unreadable", server=server.name, told=header_text[:80])

    def refusal_outcome(self, allocation: Allocation, head: AnswerHead) -> str:
        """Returns the outcome of an attempt whose seat the server refused, "" if it was not refused.

        If the seat was refused as old or as used twice, a copy of the RPC may be running.
        """
        header_text = head.value(REFUSED)
        if header_text is None:
            return ""
        self.log.count("seats_refused_at_server")
        if header_text not in NOT_RUN:
            return request.SENT
        self.release(allocation)
        return request.UNSENT

    def release(self, allocation: Allocation) -> None:
        """Releases the seat of a job that has ended or that certainly did not run.

        Otherwise a seat is not released but expires.
        """
        if (allocator := self.allocator()) is not None:
            allocator.release(self.clock.now(), allocation)
