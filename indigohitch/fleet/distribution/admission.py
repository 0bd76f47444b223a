"""Schedules the order in which updates are sent to subscriptions.  No I/O.

Each waiting connection is queued once.  A large update is sent only while there is capacity for it, so that
many subscribers that reconnect at once do not fill the memory of the distributor.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from .limits import Limits


class Admission:
    """Schedules updates by connection, within the limits of the distributor."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.ready_connections: dict[int, None] = {}  # in sending order
        # Bytes of large updates that wait for capacity, by connection, in sending order.
        self.waiting_large: dict[int, int] = {}
        self.pacing_heap: list[tuple[int, int]] = []  # (due time, connection)
        self.pacing: set[int] = set()  # connections in `pacing_heap`
        self.in_flight_bytes: dict[int, int] = {}  # bytes of unacknowledged large updates, by connection
        self.large_bytes = 0

    def enqueue(self, connection: int) -> None:
        """Queues a connection that has a pending update."""
        if connection not in self.waiting_large and connection not in self.pacing:
            self.ready_connections[connection] = None

    def delay(self, connection: int, due_at: int) -> None:
        """Delays a connection until `due_at`, because it was sent an update shortly before."""
        self.ready_connections.pop(connection, None)
        self.pacing.add(connection)
        heapq.heappush(self.pacing_heap, (due_at, connection))

    def may_send(self, connection: int, size: int) -> bool:
        """Returns whether an update of this size may be sent now; if not, queues it.

        An update that exceeds the whole capacity is sent when no other large update is in flight.
        """
        if size <= self.limits.small_bytes:
            return True
        is_next = not self.waiting_large or next(iter(self.waiting_large)) == connection
        if is_next and self.has_capacity(size):
            return True
        self.waiting_large[connection] = size
        return False

    def has_capacity(self, size: int) -> bool:
        """Returns whether a large update of this size fits beside those in flight."""
        return not self.large_bytes or self.large_bytes + size <= self.limits.large_bytes

    def on_sent(self, connection: int, size: int) -> None:
        """Counts an update as in flight."""
        self.waiting_large.pop(connection, None)
        if size > self.limits.small_bytes:
            self.in_flight_bytes[connection] = size
            self.large_bytes += size

    def on_acknowledged(self, connection: int) -> None:
        """Frees the capacity that the connection's update took."""
        self.large_bytes -= self.in_flight_bytes.pop(connection, 0)

    def remove(self, connection: int) -> None:
        """Removes a connection that has closed."""
        self.on_acknowledged(connection)
        self.ready_connections.pop(connection, None)
        self.waiting_large.pop(connection, None)

    def serve_ready(self, now: int, serve: Callable[[int], bool]) -> None:
        """Serves up to `max_sends_per_step` connections.

        `serve` returns whether it sent an update.
        """
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
        """Returns when to call `serve_ready` next, or None if only another event causes a call."""
        if self.ready_connections:
            return now
        return self.pacing_heap[0][0] if self.pacing_heap else None
