"""The decisions on one RPC at its proxy: its route, its admission, its retries and its final status.

The reasons are in docs/design.md.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Collection
from itertools import accumulate
from typing import Protocol

# The outcomes of an attempt.
UNSENT = "unsent"  # no byte went out on an established connection
CLOSED_IN_TRANSIT = "crossed"  # a kept connection ended as the RPC went out, without a byte of a response
SENT = "sent"  # all others


class Server(Protocol):
    """A backend as a proxy sees it."""

    withdrawn: bool  # whether it is ejected
    held: int  # this proxy's RPCs in flight to it


class RouteTable:
    """The routes of one slice, its admission ratios and its retry level, as the orders set them."""

    __slots__ = ("servers", "weights", "edges", "level", "levels", "retry_level")

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.weights: list[float] = []
        self.edges: list[float] = []  # the cumulated weights
        self.level = 1.0  # the admission ratio
        self.levels: dict[str, float] = {}  # by method, where one is set
        self.retry_level = 1  # the retry level

    def set(self, server: Server, weight: float) -> None:
        """Set the weight of the route to a server; 0 removes the route."""
        if server in self.servers:
            index = self.servers.index(server)
            del self.servers[index]
            del self.weights[index]
        if weight > 0:
            self.servers.append(server)
            self.weights.append(weight)
        self.edges = list(accumulate(self.weights))

    def clear(self) -> None:
        """Remove all routes and admission ratios; the retry level stays."""
        self.servers = []
        self.weights = []
        self.edges = []
        self.level = 1.0
        self.levels = {}

    def pick(self, uniform: Callable[[], float], tried: Collection[Server] = ()) -> Server | None:
        """Return the server with fewer RPCs in flight of two drawn by weight; None: there is no route.

        Servers in `tried` are chosen only if there is no other.
        """
        servers = self.servers
        if len(servers) < 2:
            return next((server for server in servers if not server.withdrawn), None)
        drawn = [servers[bisect(self.edges, uniform() * self.edges[-1], 0, len(servers) - 1)] for _ in "ab"]
        fit = (
            [server for server in drawn if not server.withdrawn and server not in tried]
            or [server for server in servers if not server.withdrawn and server not in tried]
            or [server for server in servers if not server.withdrawn]
        )
        return min(fit, key=lambda server: server.held, default=None)

    def admits(self, method: str, uniform: Callable[[], float]) -> bool:
        """Return whether an RPC of this method is admitted; draws a number where the ratio is below 1."""
        level = self.levels.get(method, self.level) if self.levels else self.level
        return level >= 1.0 or uniform() < level


def should_retry(
    table: RouteTable, repeat: str, outcome: str, attempts: int, is_buffered: bool, remaining: int
) -> bool:
    """Return whether to attempt the RPC again.

    So many `attempts` were made, `is_buffered` means that the whole request is still in memory, and
    `remaining` are the ticks up to the deadline. A non-idempotent RPC is retried only if no byte of it can
    have been processed. For an idempotent one the retry level decides; a kept connection that its server
    closed in transit is proof enough for it, as it may run twice.
    """
    if remaining <= 0 or not is_buffered or attempts > (0, 1, 1, 2)[table.retry_level]:
        return False
    if repeat != "idempotent":
        return outcome == UNSENT
    return outcome in (UNSENT, CLOSED_IN_TRANSIT) or table.retry_level >= 2


def final_status(outcome: str, remaining: int, boot: dict) -> tuple[int, int | None]:
    """Return the final HTTP status and, where the settings give it, the seconds for Retry-After."""
    if remaining <= 0:
        return 504, None  # its deadline has passed: the client no longer waits
    if outcome in (UNSENT, "no_line", "pushed_back", "no_seat"):
        retry_after = boot.get("come_back")  # nothing of it ran, so the client may retry
        return 503, None if retry_after is None else max(1, -(-retry_after // 10_000))
    return 502, None  # it may have run: no Retry-After that invites a retry
