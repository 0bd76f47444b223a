"""A way back: an old version made fit for now, and the words that say how it was amended.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from .checks import Facts, Fault, faults
from .tables import Root
from .terms import Version


@dataclass(slots=True)
class Amended:
    root: Root
    said: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)  # what no amendment could cure: it must not leave


def amended(old: Version, current: Root, facts: Facts, but: frozenset[str] = frozenset()) -> Amended:
    """`old` without backends that are gone, unlisted or draining, with cold ones within their caps; a slice
    that is left without lines takes those it has now, of ready backends only.  The rules of checks.py then
    hold it against `current`: a rollback is no way round them."""
    found = Amended(old.root)
    found.root = cold_within(unfit_out(old.root, current, facts, found.said), current, facts, found.said)
    found.root = owners_in(found.root, current, facts, found.said)
    found.faults = faults(current, found.root, facts, but)
    return found


def ready(facts: Facts, name: str) -> bool:
    return facts.states.get(name) == "ready"


def in_place(slice: int, current: Root, facts: Facts, warm: bool = False) -> dict[str, float]:
    """What it has now, as far as that is fit."""
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


def unfit_out(root: Root, current: Root, facts: Facts, said: list[str]) -> Root:
    changes = {}
    for slice, table in root.items():
        bad = [name for name in table.lines if not ready(facts, name)]
        if not bad:
            continue
        lines = {name: weight for name, weight in table.lines.items() if name not in bad}
        changes[slice] = lines or in_place(slice, current, facts)
        for name in bad:
            state = facts.states.get(name, "not listed")
            instead = ", ".join(changes[slice]) or "none"
            said.append(f"slice {slice}: {name} is {state}, in its place {instead}")
    return root.changed(changes)


def cold_within(root: Root, current: Root, facts: Facts, said: list[str]) -> Root:
    """Lines of cold backends in the order of slices until the cap is full; what it has already comes first,
    since it need not be moved."""
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
        said.append(f"slice {slice}: {name} is cold and at its cap")
    for slice, lines in changes.items():
        if not lines:
            lines.update(in_place(slice, current, facts, warm=True))
    return root.changed(changes)


def owners_in(root: Root, current: Root, facts: Facts, said: list[str]) -> Root:
    """Slices that were not there then."""
    changes = {}
    for slice in sorted(facts.slices if root.slices < len(facts.slices) else ()):
        if root.get(slice) is None and (lines := in_place(slice, current, facts)):
            changes[slice] = lines
            said.append(f"slice {slice}: it had no lines then, it keeps {', '.join(lines)}")
    return root.changed(changes)
