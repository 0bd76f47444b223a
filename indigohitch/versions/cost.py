"""Costs of the ways to the wanted table: a delta, a chain of cached deltas, or a full replacement. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from . import delta
from .delta import without_cold_lines
from .ranges import replacements_for
from .tables import Root
from .terms import Channel, Guard, LineUpdate

# Costs in lines sent. A message's header and answer take as many bytes as about twenty lines; a line that has
# to be computed first costs a tenth of one that is sent (benchmarks/versions.py).
MESSAGE_COST_LINES, WORK_COST_LINES = 20.0, 0.1
MAX_CACHED_DELTAS = 256  # 5,000 relays are at a few versions, or at some dozens in a storm


@dataclass(slots=True, frozen=True)
class Price:
    """What one way costs; `time` is in ticks."""

    way: str  # "delta", "chain" or "full"
    lines: int
    messages: int
    time: int  # until the last message is answered, by the window and the stalls
    cost: float


def price_of(way: str, lines: int, channel: Channel, work: float = 0.0, messages: int | None = None) -> Price:
    """Returns the price of sending that many lines, `work` of which have to be computed first."""
    messages = ceil(lines / channel.lines) if messages is None else messages
    stalls, windows = lines * channel.stall, max(0, ceil(messages / channel.messages) - 1)
    return Price(
        way,
        lines,
        messages,
        max(stalls, windows * Channel.WINDOW),
        lines + MESSAGE_COST_LINES * messages + WORK_COST_LINES * work,
    )


def full_price(start: Root | None, to: Root, guard: Guard, channel: Channel) -> Price:
    """Returns the price of a replacement: of the parts that differ, or of all if `start` is unknown."""
    ranges = replacements_for(
        without_cold_lines(to, guard), start.parts() if start is not None else (), channel.lines
    )
    lines = sum(one.lines() for one in ranges)
    return price_of("full", lines, channel, 0, ceil(lines / channel.lines) + 1)


class Planner:
    """Caches deltas, since many relays ask for the same one.

    A chain of cached deltas is priced for operators to see but never sent: it is never shorter than the delta
    that it would save computing, and its links may set lines of a backend that has gone since.
    """

    def __init__(self, channel: Channel, max_cached: int = MAX_CACHED_DELTAS) -> None:
        self.channel, self.max_cached = channel, max_cached
        self.cached: OrderedDict[tuple, list[LineUpdate]] = OrderedDict()
        self.guard = Guard()
        self.hits = 0

    def plan(self, starts: Sequence[Root], to: Root, guard: Guard) -> list[LineUpdate]:
        """Returns the ordered delta, cached if possible; raises InvalidRequestError if no order is safe."""
        if guard != self.guard:
            self.cached.clear()
            self.guard = guard
        key = tuple(root.digest for root in starts), to.digest
        if key in self.cached:
            self.hits += 1
            self.cached.move_to_end(key)
            return self.cached[key]
        self.cached[key] = delta.ordered(starts, to, guard)
        if len(self.cached) > self.max_cached:
            self.cached.popitem(last=False)
        return self.cached[key]

    def chain(self, start: Root, to: Root, most: int = 4) -> list[list[LineUpdate]] | None:
        """Returns the shortest chain of at most `most` cached deltas from `start` to `to`, or None."""
        ways: dict[bytes, list[list[LineUpdate]]] = {start.digest: []}
        for _ in range(most):
            fresh: dict[bytes, list[list[LineUpdate]]] = {}
            for (starts, end), updates in self.cached.items():
                if len(starts) == 1 and starts[0] in ways and end not in ways:
                    way = [*ways[starts[0]], updates]
                    if end not in fresh or sum(map(len, way)) < sum(map(len, fresh[end])):
                        fresh[end] = way
            ways |= fresh
            if to.digest in ways:
                return ways[to.digest]
        return None

    def prices(self, start: Root | None, to: Root) -> list[Price]:
        """Returns prices, cheapest first; where `start` is not known there is only the full one."""
        prices = [full_price(start, to, self.guard, self.channel)]
        if start is not None:
            lines = sum(len(updates) for updates in delta.changes([start], to).values())
            prices.append(price_of("delta", lines, self.channel, lines))
            if (way := self.chain(start, to)) is not None:
                prices.append(price_of("chain", sum(map(len, way)), self.channel))
        return sorted(prices, key=lambda one: (one.cost, one.way != "delta"))
