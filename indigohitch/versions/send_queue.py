"""The steps that lead a client from what it holds to its target, in messages of limited size. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from . import delta
from .ranges import replacements_for, shorter_replacements
from .tables import Root
from .terms import Channel, Guard, LineUpdate, RangeReplacement

Plan = Callable[[Sequence[Root], Root, Guard], list[LineUpdate]]


@dataclass(slots=True, frozen=True)
class Chunk:
    """The steps of one message; false if there are none."""

    updates: tuple[LineUpdate, ...] = ()
    replacements: tuple[RangeReplacement, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.updates or self.replacements)


class SendQueue:
    """Steps not sent yet; `plan` is delta.ordered, or a cached variant of it."""

    def __init__(self, channel: Channel, plan: Plan) -> None:
        self.channel, self.plan = channel, plan
        self.updates: deque[LineUpdate] = deque()  # the steps to `planned`
        self.replacements: deque[RangeReplacement] = deque()  # ranges of slices; these go first
        self.planned: Root | None = None

    def clear(self) -> None:
        """Discards all steps."""
        self.clear_updates()
        self.replacements.clear()

    def clear_updates(self) -> None:
        """Discards the updates, but not the replacements."""
        self.updates.clear()
        self.planned = None

    def plan_replacement(self, goal: Root, parts: Sequence[bytes]) -> None:
        """Queues a replacement by all of `goal`, except for parts that the client reports it has."""
        self.replacements.extend(replacements_for(goal, parts, self.channel.lines))

    def plan_delta(self, roots: Sequence[Root], to: Root, guard: Guard) -> None:
        """Queues a delta that is safe from each of `roots`; raises InvalidRequestError if there is none."""
        updates, self.planned = self.plan(roots, to, guard), to
        if len(roots) == 1 and (ranges := shorter_replacements(updates, roots[0], to, guard, self.channel)):
            self.replacements.extend(ranges)
            updates = self.plan([delta.without_cold_lines(to, guard)], to, guard)
        self.updates = deque(updates)

    def urgent(self, draining: frozenset[str]) -> bool:
        """Returns whether lines of a draining backend wait, or may; these may use the window's reserve."""
        return bool(draining and self.replacements) or any(
            update.backend in draining for update in islice(self.updates, self.channel.lines)
        )

    def next_chunk(self) -> Chunk:
        """Removes and returns the steps of one message; a replacement larger than a message goes alone."""
        updates, replacements, room = [], [], self.channel.lines
        while self.replacements and (self.replacements[0].lines() <= room or not replacements):
            room -= max(self.replacements[0].lines(), 1)
            replacements.append(self.replacements.popleft())
        while self.updates and not replacements and len(updates) < room:
            updates.append(self.updates.popleft())
        return Chunk(tuple(updates), tuple(replacements))
