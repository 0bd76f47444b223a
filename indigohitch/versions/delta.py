"""From what a relay may hold to what it must hold: the fewest lines, in an order that is safe at each step.

A slice's new lines go before its old ones are removed; slices that a draining backend leaves go first; a cold
backend's weight over all slices never passes the greater of what it has and what it is to have.  Where a
relay may hold one of several contents, a step has to be safe for each of them."""

from __future__ import annotations

from collections.abc import Sequence

from ..errors import InvalidRequestError
from .tables import Root, difference
from .terms import Guard, LineUpdate


def changes(froms: Sequence[Root], to: Root) -> dict[int, list[LineUpdate]]:
    """Lines to be set, by slice: those that differ from any of `froms`."""
    slices = sorted({slice for root in froms for slice, _, _ in difference(root, to)})
    found = {}
    for slice in slices:
        wanted, held = to.lines_of(slice), [root.lines_of(slice) for root in froms]
        names = sorted(set(wanted).union(*held))
        found[slice] = [
            LineUpdate(slice, name, wanted.get(name, 0))
            for name in names
            if any(lines.get(name, 0) != wanted.get(name, 0) for lines in held)
        ]
    return found


def ordered(froms: Sequence[Root], to: Root, guard: Guard) -> list[LineUpdate]:
    """Raises Unfit where no order is safe."""
    todo = changes(froms, to)
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
    return ColdSafeOrder(froms, to, guard, todo).walk(slices)


class ColdSafeOrder:
    """With cold backends in it: step by step, each held against every content that the relay may hold."""

    def __init__(
        self, froms: Sequence[Root], to: Root, guard: Guard, todo: dict[int, list[LineUpdate]]
    ) -> None:
        self.to, self.guard, self.todo = to, guard, todo
        self.held = [{slice: dict(root.lines_of(slice)) for slice in todo} for root in froms]
        self.gained = [dict.fromkeys(guard.cold, 0.0) for _ in froms]
        # A cold backend ends this much above where it began; it may not be higher on the way, nor above 0.
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

    def walk(self, slices: list[int]) -> list[LineUpdate]:
        while slices:
            before = len(self.steps)
            for slice in slices:
                self.todo[slice] = [update for update in self.todo[slice] if not self.took(update)]
            slices = [slice for slice in slices if self.todo[slice]]
            if slices and len(self.steps) == before:
                self.detour(slices)
        return self.steps

    def took(self, update: LineUpdate) -> bool:
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
        lines = self.held[number][update.slice]
        if not update.weight:
            return not lines.get(update.backend) or len(lines) > 1 or not self.to.lines_of(update.slice)
        more = update.weight - lines.get(update.backend, 0)
        gained = self.gained[number].get(update.backend)
        return gained is None or more <= 0 or gained + more <= self.most[number][update.backend] + 1e-9

    def detour(self, slices: list[int]) -> None:
        """Cold backends wait for each other's place: a warm one stands in for a moment."""
        for slice in slices:
            if not any(
                update.backend in self.guard.cold and not update.weight for update in self.todo[slice]
            ):
                continue  # only a removal makes room
            wanted = self.to.lines_of(slice)
            for name in self.guard.warm:
                if (
                    name not in wanted
                    and not any(name in held[slice] for held in self.held)
                    and name not in self.guard.cold
                    and name not in self.guard.draining
                ):
                    self.took(LineUpdate(slice, name, 1.0))
                    self.todo[slice].append(LineUpdate(slice, name, 0))
                    return
        raise InvalidRequestError(
            "cold backends wait for each other's place, and no warm one can stand in",
            f"slice {slices[0]}",
            "wait until one of them is warm",
        )


def stripped(to: Root, guard: Guard) -> Root:
    """Without lines of cold backends, where another stays: what can be set whole over unknown lines."""
    if not guard.cold:
        return to
    found = {}
    for slice, table in to.items():
        lines = {name: weight for name, weight in table.lines.items() if name not in guard.cold}
        if lines and len(lines) < len(table.lines):
            found[slice] = lines
    return to.changed(found)
