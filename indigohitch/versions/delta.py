"""Deltas from what a relay may hold to its target: the fewest lines, in an order that is safe at each step.

A slice's new lines are set before its old ones are removed; slices that a draining backend leaves come first;
a cold backend's weight over all slices never exceeds the greater of its weight before and after. Where a
relay may hold one of several contents, each step has to be safe for all of them.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..errors import InvalidRequestError
from .tables import Root, difference
from .terms import Guard, LineUpdate


def changes(starts: Sequence[Root], to: Root) -> dict[int, list[LineUpdate]]:
    """Returns the lines to set, by slice: those that differ from any of `starts`."""
    slices = sorted({slice for root in starts for slice, _, _ in difference(root, to)})
    by_slice = {}
    for slice in slices:
        wanted, held = to.lines_of(slice), [root.lines_of(slice) for root in starts]
        names = sorted(set(wanted).union(*held))
        by_slice[slice] = [
            LineUpdate(slice, name, wanted.get(name, 0))
            for name in names
            if any(lines.get(name, 0) != wanted.get(name, 0) for lines in held)
        ]
    return by_slice


def ordered(starts: Sequence[Root], to: Root, guard: Guard) -> list[LineUpdate]:
    """Returns the updates in a safe order; raises InvalidRequestError if there is none."""
    todo = changes(starts, to)
    for updates in todo.values():
        updates.sort(key=lambda update: (update.weight == 0, update.backend in guard.cold))
    first = {
        slice
        for slice, updates in todo.items()
        if any(update.backend in guard.draining and not update.weight for update in updates)
    }
    slices = sorted(todo, key=lambda slice: slice not in first)
    if not any(update.backend in guard.cold for updates in todo.values() for update in updates):
        return [update for slice in slices for update in todo[slice]]
    return ColdSafeOrder(starts, to, guard, todo).order_steps(slices)


class ColdSafeOrder:
    """Orders updates that involve cold backends; checks each against every content the relay may hold."""

    def __init__(
        self, starts: Sequence[Root], to: Root, guard: Guard, todo: dict[int, list[LineUpdate]]
    ) -> None:
        self.to, self.guard, self.todo = to, guard, todo
        self.held = [{slice: dict(root.lines_of(slice)) for slice in todo} for root in starts]
        self.gained = [dict.fromkeys(guard.cold, 0.0) for _ in starts]
        # The most that each cold backend may gain in between: its gain in the end, or 0 if it loses weight.
        self.most = [
            {
                name: max(
                    0.0, sum(to.lines_of(slice).get(name, 0) - held[slice].get(name, 0) for slice in todo)
                )
                for name in guard.cold
            }
            for held in self.held
        ]
        self.steps: list[LineUpdate] = []

    def order_steps(self, slices: list[int]) -> list[LineUpdate]:
        """Returns all updates in a safe order; raises InvalidRequestError if there is none."""
        while slices:
            before = len(self.steps)
            for slice in slices:
                self.todo[slice] = [update for update in self.todo[slice] if not self.take_if_safe(update)]
            slices = [slice for slice in slices if self.todo[slice]]
            if slices and len(self.steps) == before:
                self.use_stand_in(slices)
        return self.steps

    def take_if_safe(self, update: LineUpdate) -> bool:
        """Appends the update if it is safe for every content, and returns whether it did."""
        if not all(self.safe(number, update) for number in range(len(self.held))):
            return False
        for held, gained in zip(self.held, self.gained, strict=True):
            lines = held[update.slice]
            if update.backend in gained:
                gained[update.backend] += update.weight - lines.get(update.backend, 0)
            lines.pop(update.backend, None)
            if update.weight:
                lines[update.backend] = update.weight
        self.steps.append(update)
        return True

    def safe(self, number: int, update: LineUpdate) -> bool:
        """Returns whether the update is safe for that content.

        It must leave no slice empty and raise no cold backend above its limit.
        """
        lines = self.held[number][update.slice]
        if not update.weight:
            return not lines.get(update.backend) or len(lines) > 1 or not self.to.lines_of(update.slice)
        more = update.weight - lines.get(update.backend, 0)
        gained = self.gained[number].get(update.backend)
        return gained is None or more <= 0 or gained + more <= self.most[number][update.backend] + 1e-9

    def use_stand_in(self, slices: list[int]) -> None:
        """Adds a temporary warm line to a slice, for cold backends that wait for each other's place.

        Raises InvalidRequestError if no warm backend can stand in.
        """
        for slice in slices:
            if not any(
                update.backend in self.guard.cold and not update.weight for update in self.todo[slice]
            ):
                continue  # only the removal of a cold line makes room
            wanted = self.to.lines_of(slice)
            for name in self.guard.warm:
                if (
                    name not in wanted
                    and not any(name in held[slice] for held in self.held)
                    and name not in self.guard.cold
                    and name not in self.guard.draining
                ):
                    self.take_if_safe(LineUpdate(slice, name, 1.0))
                    self.todo[slice].append(LineUpdate(slice, name, 0))
                    return
        raise InvalidRequestError(
            "cold backends wait for each other's place, and no warm one can stand in",
            f"slice {slices[0]}",
            "wait until one of them is warm",
        )


def without_cold_lines(to: Root, guard: Guard) -> Root:
    """Returns `to` without lines of cold backends in slices that keep another backend.

    This is the content that may replace unknown lines as a whole.
    """
    if not guard.cold:
        return to
    without_cold = {}
    for slice, table in to.items():
        lines = {name: weight for name, weight in table.lines.items() if name not in guard.cold}
        if lines and len(lines) < len(table.lines):
            without_cold[slice] = lines
    return to.changed(without_cold)
