"""Decisions about a single RPC at its proxy: admission, choice of backend, retries and final status.

The reasons are in docs/design.md.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Collection
from itertools import accumulate
from typing import Protocol

# Outcomes of an attempt.
UNSENT = "unsent"  # no byte was sent on an established connection
CLOSED_IN_TRANSIT = "crossed"  # a reused connection closed during the send, without any response byte
SENT = "sent"  # any other outcome: the RPC may have run


class Server(Protocol):
    """State of a backend that route selection reads."""

    withdrawn: bool  # whether it is ejected
    held: int  # RPCs that this proxy has in flight to it


class RouteTable:
    """Holds the routes, admission ratios and retry level of one table, as the orders set them."""

    __slots__ = ("servers", "weights", "cumulative_weights", "level", "levels", "retry_level")

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.weights: list[float] = []
        self.cumulative_weights: list[float] = []
        self.level = 1.0  # admission ratio
        self.levels: dict[str, float] = {}  # admission ratios of methods that have one of their own
        self.retry_level = 1  # as in the order SetAdmission

    def set(self, server: Server, weight: float) -> None:
        """Sets the weight of the route to a server; 0 removes the route."""
        if server in self.servers:
            index = self.servers.index(server)
            del self.servers[index]
            del self.weights[index]
        if weight > 0:
            self.servers.append(server)
            self.weights.append(weight)
        self.cumulative_weights = list(accumulate(self.weights))

    def clear(self) -> None:
        """Removes all routes and admission ratios; the retry level stays."""
        self.servers = []
        self.weights = []
        self.cumulative_weights = []
        self.level = 1.0
        self.levels = {}

    def pick(self, uniform: Callable[[], float], tried: Collection[Server] = ()) -> Server | None:
        """Returns the less loaded of two servers drawn by weight, or None without a usable route.

        The load of a server is its number of RPCs in flight. A server in `tried` is returned only if no other
        one is usable.
        """
        servers = self.servers
        if len(servers) < 2:
            return next((server for server in servers if not server.withdrawn), None)
        candidates = [
            servers[
                bisect(self.cumulative_weights, uniform() * self.cumulative_weights[-1], 0, len(servers) - 1)
            ]
            for _ in "ab"
        ]
        eligible = (
            [server for server in candidates if not server.withdrawn and server not in tried]
            or [server for server in servers if not server.withdrawn and server not in tried]
            or [server for server in servers if not server.withdrawn]
        )
        return min(eligible, key=lambda server: server.held, default=None)

    def admits(self, method: str, uniform: Callable[[], float]) -> bool:
        """Returns whether an RPC of this method is admitted, at random where its ratio is below 1."""
        level = self.levels.get(method, self.level) if self.levels else self.level
        return level >= 1.0 or uniform() < level


def should_retry(
    table: RouteTable, repeat: str, outcome: str, attempts: int, is_buffered: bool, remaining: int
) -> bool:
    """Returns whether to attempt the RPC again.

    `attempts` is the number of attempts made, `is_buffered` tells that the whole request is still in memory,
    and `remaining` is the time to the deadline in ticks. A non-idempotent RPC is retried only if no byte of
    it can have been processed. An idempotent one may run twice: it is also retried after a reused connection
    closed in transit, and after any other failure where the retry level allows that.
    """
    if remaining <= 0 or not is_buffered or attempts > (0, 1, 1, 2)[table.retry_level]:
        return False
    if repeat != "idempotent":
        return outcome == UNSENT
    return outcome in (UNSENT, CLOSED_IN_TRANSIT) or table.retry_level >= 2


def final_status(outcome: str, remaining: int, settings: dict) -> tuple[int, int | None]:
    """Returns the final HTTP status and the value of Retry-After in seconds, where the settings have one."""
    if remaining <= 0:
        return 504, None  # the deadline has passed: the client no longer waits
    if outcome in (UNSENT, "no_line", "pushed_back", "no_seat"):
        retry_after = settings.get("come_back")  # the RPC never ran, so the client may retry
        return 503, None if retry_after is None else max(1, -(-retry_after // 10_000))
    return 502, None  # the RPC may have run: a Retry-After would invite a duplicate
