"""The steps that lead a client from what it holds to its target, in messages of a bounded size.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from . import delta
from .ranges import replacements_for, shorter
from .tables import Root
from .terms import Channel, Guard, LineUpdate, RangeReplacement

Plan = Callable[[Sequence[Root], Root, Guard], list[LineUpdate]]


@dataclass(slots=True, frozen=True)
class Chunk:
    """The steps of one message."""

    updates: tuple[LineUpdate, ...] = ()
    replacements: tuple[RangeReplacement, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.updates or self.replacements)


class SendQueue:
    """`plan`: delta.ordered, or one that remembers."""

    def __init__(self, channel: Channel, plan: Plan) -> None:
        self.channel, self.plan = channel, plan
        self.updates: deque[LineUpdate] = deque()  # the way to `planned`
        self.replacements: deque[RangeReplacement] = deque()  # ranges of slices; these go first
        self.planned: Root | None = None

    def clear(self) -> None:
        self.clear_updates()
        self.replacements.clear()

    def clear_updates(self) -> None:
        self.updates.clear()
        self.planned = None

    def plan_replacement(self, goal: Root, parts: Sequence[bytes]) -> None:
        """All of `goal`, but for parts that the client says it has."""
        self.replacements.extend(replacements_for(goal, parts, self.channel.lines))

    def plan_delta(self, roots: Sequence[Root], to: Root, guard: Guard) -> None:
        """From whichever of `roots` the client holds.  Raises Unfit where no order of steps is safe."""
        updates, self.planned = self.plan(roots, to, guard), to
        if len(roots) == 1 and (ranges := shorter(updates, roots[0], to, guard, self.channel)):
            self.replacements.extend(ranges)
            updates = self.plan([delta.stripped(to, guard)], to, guard)
        self.updates = deque(updates)

    def urgent(self, draining: frozenset[str]) -> bool:
        """A draining backend's lines wait to go, or may: the window's reserve is for these."""
        return bool(draining and self.replacements) or any(
            update.backend in draining for update in islice(self.updates, self.channel.lines)
        )

    def next_chunk(self) -> Chunk:
        """As many steps as one message takes; a range set whole goes alone if it is larger."""
        updates, replacements, room = [], [], self.channel.lines
        while self.replacements and (self.replacements[0].lines() <= room or not replacements):
            room -= max(self.replacements[0].lines(), 1)
            replacements.append(self.replacements.popleft())
        while self.updates and not replacements and len(updates) < room:
            updates.append(self.updates.popleft())
        return Chunk(tuple(updates), tuple(replacements))
