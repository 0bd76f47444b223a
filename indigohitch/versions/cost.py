"""What a way to the wanted table costs: straight, by a chain of deltas made already, or all anew.  No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from . import delta
from .delta import stripped
from .ranges import replacements_for
from .tables import Root
from .terms import Channel, Guard, LineUpdate

# Units are lines sent.  A message costs its head and an answer: about that of twenty lines, in bytes; a line
# that has to be worked out first costs a tenth of one that is sent (benchmarks/versions.py).
MESSAGE, WORK = 20.0, 0.1
KEPT = 256  # deltas; 5,000 relays are at a handful of versions, a storm at some dozens


@dataclass(slots=True, frozen=True)
class Price:
    way: str  # "delta", "chain" or "full"
    lines: int
    messages: int
    time: int  # until the last message is answered for, by the window and the stalls
    cost: float


def price(way: str, lines: int, channel: Channel, work: float = 0.0, messages: int | None = None) -> Price:
    messages = ceil(lines / channel.lines) if messages is None else messages
    stalls, windows = lines * channel.stall, max(0, ceil(messages / channel.messages) - 1)
    return Price(
        way, lines, messages, max(stalls, windows * Channel.WINDOW), lines + MESSAGE * messages + WORK * work
    )


def full(start: Root | None, to: Root, guard: Guard, channel: Channel) -> Price:
    """All anew, in ranges: where the content is known, only of the parts that differ."""
    ranges = replacements_for(stripped(to, guard), start.parts() if start is not None else (), channel.lines)
    lines = sum(one.lines() for one in ranges)
    return price("full", lines, channel, 0, ceil(lines / channel.lines) + 1)


class Planner:
    """Remembers deltas made, since relays come in crowds.  A chain of such is priced beside the others, for
    an operator to see; it is not sent, since it is never shorter than the delta that it would save working
    out, and its links may set lines of a backend that has gone since."""

    def __init__(self, channel: Channel, kept: int = KEPT) -> None:
        self.channel, self.kept = channel, kept
        self.made: OrderedDict[tuple, list[LineUpdate]] = OrderedDict()
        self.guard = Guard()
        self.hits = 0

    def plan(self, froms: Sequence[Root], to: Root, guard: Guard) -> list[LineUpdate]:
        """Raises Unfit."""
        if guard != self.guard:
            self.made.clear()
            self.guard = guard
        key = tuple(root.digest for root in froms), to.digest
        if key in self.made:
            self.hits += 1
            self.made.move_to_end(key)
            return self.made[key]
        self.made[key] = delta.ordered(froms, to, guard)
        if len(self.made) > self.kept:
            self.made.popitem(last=False)
        return self.made[key]

    def chain(self, start: Root, to: Root, most: int = 4) -> list[list[LineUpdate]] | None:
        """The shortest chain of deltas made already that leads there; None: there is none of `most` links."""
        ways: dict[bytes, list[list[LineUpdate]]] = {start.digest: []}
        for _ in range(most):
            fresh: dict[bytes, list[list[LineUpdate]]] = {}
            for (froms, end), updates in self.made.items():
                if len(froms) == 1 and froms[0] in ways and end not in ways:
                    way = [*ways[froms[0]], updates]
                    if end not in fresh or sum(map(len, way)) < sum(map(len, fresh[end])):
                        fresh[end] = way
            ways |= fresh
            if to.digest in ways:
                return ways[to.digest]
        return None

    def prices(self, start: Root | None, to: Root) -> list[Price]:
        """The cheapest first; of a relay whose content is not known there is only the full one."""
        found = [full(start, to, self.guard, self.channel)]
        if start is not None:
            lines = sum(len(updates) for updates in delta.changes([start], to).values())
            found.append(price("delta", lines, self.channel, lines))
            if (way := self.chain(start, to)) is not None:
                found.append(price("chain", sum(map(len, way)), self.channel))
        return sorted(found, key=lambda one: (one.cost, one.way != "delta"))
