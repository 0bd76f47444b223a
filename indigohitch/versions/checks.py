"""Checks before a version leaves: each a named rule that gives its reasons.  No I/O.

Each looks only at the slices that the version changes against the last good one: what news of backends made
of unchanged lines is the module's to order, and amends.py's on a way back."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from .tables import Root, difference
from .terms import Guard

# Of all slices, the most that one version may change.  A backend that dies on its own takes a few hundredths
# of the slices with it; a table that is bad changes nearly all.
BLAST = 0.3
FEW = 20  # changes so few are never a blast, whatever share of a small fleet they are


@dataclass(slots=True, frozen=True)
class Facts:
    """What the program knows beside the tables.  `states`: of listed backends, "ready", "draining" or "gone";
    `slices`: those that must have an owner; `repeats`: tries allowed, by method, and `idempotent` ones."""

    states: Mapping[str, str]
    slices: frozenset[int] = frozenset()
    cold: Mapping[str, float] = field(default_factory=dict)
    most_lines: int = 1 << 20
    blast: float = BLAST
    tries: Mapping[str, int] = field(default_factory=dict)
    idempotent: frozenset[str] = frozenset()

    def guard(self) -> Guard:
        """Stand-ins on the way: three are enough, and few to look at."""
        ready = (name for name, state in self.states.items() if state == "ready" and name not in self.cold)
        return Guard(
            frozenset(n for n, state in self.states.items() if state == "draining"),
            dict(self.cold),
            tuple(name for name, _ in zip(ready, range(3), strict=False)),
        )


@dataclass(slots=True, frozen=True)
class Fault:
    rule: str
    where: str  # the line
    why: str

    def text(self) -> str:
        return f"{self.rule}: {self.where}: {self.why}"


def owner(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    gone = {slice for slice, _, table in difference(was, now) if table is None}
    for slice in sorted(facts.slices if was.slices < len(facts.slices) else facts.slices & gone):
        if now.get(slice) is None:
            yield Fault("owner", f"slice {slice}", "no backend answers for it")


def lines_to(was: Root, now: Root, facts: Facts, state: str | None) -> Iterator[tuple[int, str]]:
    for slice, _, table in difference(was, now):
        for backend in table.lines if table is not None else ():
            if facts.states.get(backend) == state:
                yield slice, backend


def listed(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    for slice, backend in lines_to(was, now, facts, None):
        yield Fault("listed", f"slice {slice} {backend}", "discovery does not list it")


def gone(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    for slice, backend in lines_to(was, now, facts, "gone"):
        yield Fault("gone", f"slice {slice} {backend}", "it is gone")


def draining(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """What it has may stay for the grace; nothing new goes to it."""
    for slice, backend in lines_to(was, now, facts, "draining"):
        if now.lines_of(slice)[backend] > was.lines_of(slice).get(backend, 0):
            yield Fault("draining", f"slice {slice} {backend}", "it is to lose lines, not to get them")


def size(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    if now.lines > facts.most_lines:
        yield Fault("size", "all slices", f"{now.lines} lines, a relay takes {facts.most_lines}")


def cold(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """By what it gains: a whole sum is only taken for backends that gain."""
    gains: dict[str, float] = {}
    for _, before, after in difference(was, now) if facts.cold else ():
        for name in facts.cold:
            gains[name] = (
                gains.get(name, 0)
                + (after.lines.get(name, 0) if after else 0)
                - (before.lines.get(name, 0) if before else 0)
            )
    gaining = {name: 0.0 for name, gain in gains.items() if gain > 0}
    for _, table in now.items() if gaining else ():
        for name in gaining:
            gaining[name] += table.lines.get(name, 0)
    for name, weight in gaining.items():
        if weight > facts.cold[name] + 1e-9:
            yield Fault("cold", name, f"weight {weight:g} in all, while cold it takes {facts.cold[name]:g}")


def blast(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Lines of gone and draining backends that only leave are not counted: they have to."""
    bad, count = {name for name, state in facts.states.items() if state != "ready"}, 0
    for _, before, _ in difference(was, now):
        count += before is not None and bad.isdisjoint(before.lines)
    if count > max(FEW, facts.blast * was.slices):
        yield Fault("blast", "all slices", f"{count} of {was.slices} change at once")


def repeats(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    for method, tries in facts.tries.items():
        if tries > 1 and method not in facts.idempotent:
            yield Fault("repeats", method, "not idempotent, and may be tried again after any failure")


Rule = Callable[[Root, Root, Facts], Iterator[Fault]]
# By the name that faults carry and by which operators set one aside, whatever its function is called.
RULES: dict[str, Rule] = {
    "owner": owner,
    "listed": listed,
    "gone": gone,
    "draining": draining,
    "size": size,
    "cold": cold,
    "blast": blast,
    "repeats": repeats,
}


def faults(was: Root, now: Root, facts: Facts, but: frozenset[str] = frozenset()) -> list[Fault]:
    """Empty: it may leave.  `but`: rules that an operator sets aside for this one version, by name; no one
    can set aside what harms RPCs (`owner`, `listed`, `gone`, `repeats`)."""
    aside = but & {"blast", "size"}
    return [fault for name, rule in RULES.items() if name not in aside for fault in rule(was, now, facts)]


def weights(lines: Mapping[int, Mapping[str, object]]) -> list[Fault]:
    """Before a table is made of them: what is no number, or a slice whose weights are all 0."""
    found = []
    for slice, some in lines.items():
        for name, weight in some.items():
            if (
                not isinstance(weight, int | float)
                or isinstance(weight, bool)
                or not 0 <= weight < float("inf")
            ):
                found.append(Fault("weights", f"slice {slice} {name}", f"{weight!r} is no weight"))
        if some and all(weight == 0 for weight in some.values()):
            found.append(Fault("weights", f"slice {slice}", "all weights are 0"))
    return found
