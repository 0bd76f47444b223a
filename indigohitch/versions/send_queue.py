"""The steps that lead a client from what it holds to its target, in messages of a bounded size.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from . import delta
from .ranges import shorter, whole
from .tables import Root
from .terms import Channel, Guard, Put, Whole

Plan = Callable[[Sequence[Root], Root, Guard], list[Put]]


@dataclass(slots=True, frozen=True)
class Chunk:
    """The steps of one message."""

    puts: tuple[Put, ...] = ()
    wholes: tuple[Whole, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.puts or self.wholes)


class SendQueue:
    """`plan`: delta.ordered, or one that remembers."""

    def __init__(self, channel: Channel, plan: Plan) -> None:
        self.channel, self.plan = channel, plan
        self.puts: deque[Put] = deque()  # the way to `planned`
        self.wholes: deque[Whole] = deque()  # ranges of slices; these go first
        self.planned: Root | None = None

    def clear(self) -> None:
        self.clear_puts()
        self.wholes.clear()

    def clear_puts(self) -> None:
        self.puts.clear()
        self.planned = None

    def plan_whole(self, goal: Root, parts: Sequence[bytes]) -> None:
        """All of `goal`, but for parts that the client says it has."""
        self.wholes.extend(whole(goal, parts, self.channel.lines))

    def plan_delta(self, roots: Sequence[Root], to: Root, guard: Guard) -> None:
        """From whichever of `roots` the client holds.  Raises Unfit where no order of steps is safe."""
        puts, self.planned = self.plan(roots, to, guard), to
        if len(roots) == 1 and (ranges := shorter(puts, roots[0], to, guard, self.channel)):
            self.wholes.extend(ranges)
            puts = self.plan([delta.stripped(to, guard)], to, guard)
        self.puts = deque(puts)

    def urgent(self, draining: frozenset[str]) -> bool:
        """A draining backend's lines wait to go, or may: the window's reserve is for these."""
        return bool(draining and self.wholes) or any(
            put.backend in draining for put in islice(self.puts, self.channel.lines)
        )

    def next_chunk(self) -> Chunk:
        """As many steps as one message takes; a range set whole goes alone if it is larger."""
        puts, wholes, room = [], [], self.channel.lines
        while self.wholes and (self.wholes[0].lines() <= room or not wholes):
            room -= max(self.wholes[0].lines(), 1)
            wholes.append(self.wholes.popleft())
        while self.puts and not wholes and len(puts) < room:
            puts.append(self.puts.popleft())
        return Chunk(tuple(puts), tuple(wholes))
