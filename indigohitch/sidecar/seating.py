"""Seats for the sidecar's RPCs: asked for before one goes out, shown to the server, given back at its end.

Towards a server: `X-Seat` holds the pass (fleet/seats/server_clock.py).  From it: `X-Node: BOOT CLOCK`, its
boot id and its monotonic clock in tenths of a ms, with any answer; `X-Seat-Refused: unread|late|old|twice`
where it took the RPC for one without a valid seat, and has begun nothing."""

from __future__ import annotations

from collections.abc import Callable

from .. import request
from ..config.texts import Text
from ..encoding.rows import digest
from ..fleet.seats.allocator import Allocation, SeatAllocator
from ..fleet.seats.contract import Pass
from ..fleet.seats.server_clock import ServerClocks, Verdict, format_pass
from ..log import Log

SEAT, NODE, REFUSED = b"x-seat", b"x-node", b"x-seat-refused"
UNRUN = frozenset(verdict.value.encode() for verdict in Verdict if verdict.did_not_run)


class Seating:
    OWN = frozenset((SEAT,))  # a client has none to show

    def __init__(self, text: Text, log: Log, clock, allocator: Callable[[], SeatAllocator | None]) -> None:
        """`allocator()`: of the member in this process, None while it takes no part."""
        self.needed, self.log, self.clock, self.allocator = text.seats, log, clock, allocator
        self.rows = {row.feature: row for row in text.fleet.parts.get("seats", [])} if text.fleet else {}
        self.nodes = ServerClocks(text.fleet.drift if text.fleet else 0.0)

    def take(self, rpc, server) -> Allocation | None:
        """A seat for a try of this RPC at that server, until its deadline at most; None: there is none."""
        feature, allocator = self.needed[rpc.route.rpc.name], self.allocator()
        now = self.clock.now()
        if allocator is None:
            self.log.count("seats_without_fleet")
            return None
        row = self.rows[feature]
        tenant, user = (self.named(rpc, name) for name in (row.tenant_header, row.user_header))
        found = allocator.allocate(
            now,
            feature,
            tenant,
            self.node(server) if allocator.kind(feature) == "node" else user,
            rpc.due - now,
            rpc.pool.boot.get("come_back", 0),
        )
        return found if isinstance(found, Allocation) else None

    @staticmethod
    def node(server) -> str:
        """Names are of a pool; the same server may stand in two."""
        return "{}:{}".format(*server.address)

    @staticmethod
    def named(rpc, name: str) -> str:
        """What the client says in that header; of a long one its digest, as it is kept for a while."""
        values = rpc.head.values(name.lower().encode()) if name else ()
        value = values[0] if values else b""
        return value.decode("latin-1") if len(value) <= 64 else digest(value).hex()

    def shown(self, allocation: Allocation, server) -> bytes:
        """The header's line."""
        boot, until = self.nodes.server_deadline(self.node(server), allocation.until)
        return b"X-Seat: %b\r\n" % format_pass(Pass(allocation.given, boot, until, allocation.stamp)).encode(
            "latin-1"
        )

    def heard(self, server, head) -> None:
        """The clock that an answer's head tells."""
        if (told := head.value(NODE)) is not None:
            try:
                boot, clock = told.decode("ascii").split()
                self.nodes.heard(self.node(server), boot, int(clock), self.clock.now())
            except ValueError:
                self.log.warning("node_clock_unreadable", server=server.name, told=told[:80])

    def refused(self, allocation: Allocation, head) -> str:
        """What became of a try that the server took for one without a seat; "" where it did not.  Of one
        refused as old or doubled a copy may run."""
        told = head.value(REFUSED)
        if told is None:
            return ""
        self.log.count("seats_refused_at_server")
        if told not in UNRUN:
            return request.SENT
        self.over(allocation)
        return request.UNSENT

    def over(self, allocation: Allocation) -> None:
        """Its job is over, or nothing of it ran, for certain.  Else nothing is told: it ends by itself."""
        if (allocator := self.allocator()) is not None:
            allocator.release(self.clock.now(), allocation)
