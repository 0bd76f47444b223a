"""The decisions on one RPC at its proxy: its line, whether it is let in or tried again, and its final answer.
`server`: any object with `withdrawn` and `held` (own RPCs out at it).  Why: docs/design.md."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from itertools import accumulate

# What can have become of a try.  UNSENT: not one byte went out on a connection that stood.  CROSSED: a kept
# connection ended or was reset as the RPC went out, without a byte of an answer.  SENT: all other ends.
UNSENT, CLOSED_IN_TRANSIT, SENT = "unsent", "crossed", "sent"


class RouteTable:
    """What the orders made of one slice: its lines, what share is let in, and further tries."""

    __slots__ = ("servers", "weights", "edges", "level", "levels", "tries")

    def __init__(self) -> None:
        self.servers, self.weights, self.edges = [], [], []
        self.level, self.levels, self.tries = 1.0, {}, 1  # levels: by method, where one is set

    def set(self, server, weight: float) -> None:
        if server in self.servers:
            at = self.servers.index(server)
            del self.servers[at], self.weights[at]
        if weight > 0:
            self.servers.append(server)
            self.weights.append(weight)
        self.edges = list(accumulate(self.weights))

    def clear(self) -> None:
        self.servers, self.weights, self.edges, self.level, self.levels = [], [], [], 1.0, {}

    def pick(self, uniform: Callable[[], float], tried=()):
        """Two drawn by weight, of these the one with less out (the design's proxies do so); None: no line."""
        servers = self.servers
        if len(servers) < 2:
            return next((s for s in servers if not s.withdrawn), None)
        drawn = [servers[bisect(self.edges, uniform() * self.edges[-1], 0, len(servers) - 1)] for _ in "ab"]
        fit = (
            [s for s in drawn if not s.withdrawn and s not in tried]
            or [s for s in servers if not s.withdrawn and s not in tried]
            or [s for s in servers if not s.withdrawn]
        )
        return min(fit, key=lambda s: s.held, default=None)

    def lets_in(self, method, uniform: Callable[[], float]) -> bool:
        level = self.levels.get(method, self.level) if self.levels else self.level
        return level >= 1.0 or uniform() < level


def should_retry(table: RouteTable, repeat: str, outcome: str, tried: int, whole: bool, left: int) -> bool:
    """Another try?  `tried` were made, `whole`: all of the RPC is still in hand, `left` of its deadline.

    A non-idempotent RPC goes out again only if not one byte of it can have been acted on, whatever the
    orders say.  For an idempotent one the level of further tries decides; a kept connection that its server
    closed just then counts as proof enough for it, as it may run twice."""
    if left <= 0 or not whole or tried > (0, 1, 1, 2)[table.tries]:
        return False
    if repeat != "idempotent":
        return outcome == UNSENT
    return outcome in (UNSENT, CLOSED_IN_TRANSIT) or table.tries >= 2


def final_status(outcome: str, left: int, boot: dict) -> tuple[int, int | None]:
    """The final answer, at once: its status, and in how many seconds to return where the settings tell."""
    if left <= 0:
        return 504, None  # its deadline has passed: who asked has gone
    if outcome in (UNSENT, "no_line", "pushed_back", "no_seat"):
        back = boot.get("come_back")  # nothing of it ran, so it may come again
        return 503, None if back is None else max(1, -(-back // 10_000))
    return 502, None  # it may have run: no word that invites a repeat
