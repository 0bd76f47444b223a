"""Whose update goes next.  Each subscription that waits has one place; a large update goes only while there
is room for it, so that a zone that comes back at once doesn't fill the memory of the distributor.  No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from .limits import Limits


class Admission:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.ready_connections: dict[int, None] = {}  # connections in turn
        self.waiting_large: dict[int, int] = {}  # connections whose update waits for room, in turn; its bytes
        self.pacing_heap: list[tuple[int, int]] = []  # a heap: when, connection
        self.pacing: set[int] = set()  # connections in `paced`
        self.in_flight_bytes: dict[int, int] = {}  # bytes of large updates that are out, by connection
        self.large_bytes = 0

    def enqueue(self, connection: int) -> None:
        """It has something to be told."""
        if connection not in self.waiting_large and connection not in self.pacing:
            self.ready_connections[connection] = None

    def delay(self, connection: int, due_at: int) -> None:
        self.ready_connections.pop(connection, None)
        self.pacing.add(connection)
        heapq.heappush(self.pacing_heap, (due_at, connection))

    def may_send(self, connection: int, size: int) -> bool:
        """False: it waits for room, behind those that waited before it.  One that is larger than all room
        goes alone."""
        if size <= self.limits.small_bytes:
            return True
        is_next = not self.waiting_large or next(iter(self.waiting_large)) == connection
        if is_next and self.has_capacity(size):
            return True
        self.waiting_large[connection] = size
        return False

    def has_capacity(self, size: int) -> bool:
        return not self.large_bytes or self.large_bytes + size <= self.limits.large_bytes

    def on_sent(self, connection: int, size: int) -> None:
        self.waiting_large.pop(connection, None)
        if size > self.limits.small_bytes:
            self.in_flight_bytes[connection] = size
            self.large_bytes += size

    def on_acknowledged(self, connection: int) -> None:
        """What was out there is so no more."""
        self.large_bytes -= self.in_flight_bytes.pop(connection, 0)

    def remove(self, connection: int) -> None:
        self.on_acknowledged(connection)
        self.ready_connections.pop(connection, None)
        self.waiting_large.pop(connection, None)

    def serve_ready(self, now: int, serve: Callable[[int], bool]) -> None:
        """Serves up to so many; `serve` tells whether it sent anything."""
        while self.pacing_heap and self.pacing_heap[0][0] <= now:
            _, connection = heapq.heappop(self.pacing_heap)
            self.pacing.discard(connection)
            self.ready_connections[connection] = None
        remaining_sends = self.limits.max_sends_per_step
        while remaining_sends and self.waiting_large:
            connection, size = next(iter(self.waiting_large.items()))
            if not self.has_capacity(size) or not serve(connection):
                break
            remaining_sends -= 1
        while remaining_sends and self.ready_connections:
            connection = next(iter(self.ready_connections))
            del self.ready_connections[connection]
            remaining_sends -= serve(connection)

    def next_due(self, now: int) -> int | None:
        if self.ready_connections:
            return now
        return self.pacing_heap[0][0] if self.pacing_heap else None
