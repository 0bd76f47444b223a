"""Amends an old version so that it is fit to be published now, and notes how. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from .checks import Facts, Fault, faults
from .tables import Root
from .terms import Version


@dataclass(slots=True)
class Amended:
    """The amended content, with a note for operators on each change."""

    root: Root
    notes: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)  # what amending could not fix; it must not be published


def amended(old: Version, current: Root, facts: Facts, set_aside: frozenset[str] = frozenset()) -> Amended:
    """Returns `old` without gone, unlisted or draining backends, and with cold ones within their limits.

    A slice that is left without lines takes its present ones, of ready backends only. The rules of checks.py
    are then applied against `current`, so that a rollback does not bypass them.
    """
    result = Amended(old.root)
    result.root = cap_cold_lines(
        replace_unfit_lines(old.root, current, facts, result.notes), current, facts, result.notes
    )
    result.root = fill_empty_slices(result.root, current, facts, result.notes)
    result.faults = faults(current, result.root, facts, set_aside)
    return result


def ready(facts: Facts, name: str) -> bool:
    """Returns whether the backend is listed and ready."""
    return facts.states.get(name) == "ready"


def fallback_lines(slice: int, current: Root, facts: Facts, warm: bool = False) -> dict[str, float]:
    """Returns the slice's present lines of ready backends, or a line to a ready backend that is not cold."""
    now = current.lines_of(slice)
    fit = {
        name: weight
        for name, weight in now.items()
        if ready(facts, name) and not (warm and name in facts.cold)
    }
    if fit:
        return fit
    spare = sorted(name for name in facts.states if ready(facts, name) and name not in facts.cold)
    return {spare[slice % len(spare)]: 1.0} if spare else {}


def replace_unfit_lines(root: Root, current: Root, facts: Facts, notes: list[str]) -> Root:
    """Returns the root without lines of backends that are not ready; slices left empty get fallback lines."""
    changes = {}
    for slice, table in root.items():
        bad = [name for name in table.lines if not ready(facts, name)]
        if not bad:
            continue
        lines = {name: weight for name, weight in table.lines.items() if name not in bad}
        changes[slice] = lines or fallback_lines(slice, current, facts)
        for name in bad:
            state = facts.states.get(name, "not listed")
            instead = ", ".join(changes[slice]) or "none"
            notes.append(f"slice {slice}: {name} is {state}, in its place {instead}")
    return root.changed(changes)


def cap_cold_lines(root: Root, current: Root, facts: Facts, notes: list[str]) -> Root:
    """Returns the root with lines of cold backends only up to their limits.

    Lines are kept in the order of slices until the limit is reached; those in place already come first, since
    they need not be moved.
    """
    if not facts.cold:
        return root
    room = dict(facts.cold)
    wanted = [
        (current.lines_of(slice).get(name, 0) != weight, slice, name, weight)
        for slice, table in root.items()
        for name, weight in table.lines.items()
        if name in room
    ]
    changes: dict[int, dict[str, float]] = {}
    for _, slice, name, weight in sorted(wanted):
        if weight <= room[name] + 1e-9:
            room[name] -= weight
            continue
        lines = changes.setdefault(slice, dict(root.lines_of(slice)))
        del lines[name]
        notes.append(f"slice {slice}: {name} is cold and at its cap")
    for slice, lines in changes.items():
        if not lines:
            lines.update(fallback_lines(slice, current, facts, warm=True))
    return root.changed(changes)


def fill_empty_slices(root: Root, current: Root, facts: Facts, notes: list[str]) -> Root:
    """Returns the root with fallback lines in slices that had none in the old version."""
    changes = {}
    for slice in sorted(facts.slices if root.slices < len(facts.slices) else ()):
        if root.get(slice) is None and (lines := fallback_lines(slice, current, facts)):
            changes[slice] = lines
            notes.append(f"slice {slice}: it had no lines then, it keeps {', '.join(lines)}")
    return root.changed(changes)
