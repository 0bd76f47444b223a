"""Whose update goes next.  Each subscription that waits has one place; a large update goes only while there
is room for it, so that a zone that comes back at once doesn't fill the memory of the distributor.  No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from .limits import Limits


class Admission:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.ready: dict[int, None] = {}  # connections in turn
        self.large: dict[int, int] = {}  # connections whose update waits for room, in turn; its bytes
        self.paced: list[tuple[int, int]] = []  # a heap: when, connection
        self.waits: set[int] = set()  # connections in `paced`
        self.out: dict[int, int] = {}  # bytes of large updates that are out, by connection
        self.large_bytes = 0

    def want(self, connection: int) -> None:
        """It has something to be told."""
        if connection not in self.large and connection not in self.waits:
            self.ready[connection] = None

    def pace(self, connection: int, until: int) -> None:
        self.ready.pop(connection, None)
        self.waits.add(connection)
        heapq.heappush(self.paced, (until, connection))

    def fits(self, connection: int, size: int) -> bool:
        """False: it waits for room, behind those that waited before it.  One that is larger than all room
        goes alone."""
        if size <= self.limits.small_bytes:
            return True
        turn = not self.large or next(iter(self.large)) == connection
        if turn and self.has_room(size):
            return True
        self.large[connection] = size
        return False

    def has_room(self, size: int) -> bool:
        return not self.large_bytes or self.large_bytes + size <= self.limits.large_bytes

    def sent(self, connection: int, size: int) -> None:
        self.large.pop(connection, None)
        if size > self.limits.small_bytes:
            self.out[connection] = size
            self.large_bytes += size

    def answered(self, connection: int) -> None:
        """What was out there is so no more."""
        self.large_bytes -= self.out.pop(connection, 0)

    def left(self, connection: int) -> None:
        self.answered(connection)
        self.ready.pop(connection, None)
        self.large.pop(connection, None)

    def turn(self, now: int, serve: Callable[[int], bool]) -> None:
        """Serves up to so many; `serve` tells whether it sent anything."""
        while self.paced and self.paced[0][0] <= now:
            _, connection = heapq.heappop(self.paced)
            self.waits.discard(connection)
            self.ready[connection] = None
        left = self.limits.sends
        while left and self.large:
            connection, size = next(iter(self.large.items()))
            if not self.has_room(size) or not serve(connection):
                break
            left -= 1
        while left and self.ready:
            connection = next(iter(self.ready))
            del self.ready[connection]
            left -= serve(connection)

    def due(self, now: int) -> int | None:
        if self.ready:
            return now
        return self.paced[0][0] if self.paced else None
