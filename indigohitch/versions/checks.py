"""Checks of a version before it is published: named rules that state why they fail. No I/O.

Each rule looks only at slices that differ from the last good version. Unchanged lines that became unfit
because a backend's state changed are left to the module's orders, and on a rollback to amends.py.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from .tables import Root, difference
from .terms import Guard

# The largest share of slices that one version may change. The failure of one backend changes a few hundredths
# of the slices; a faulty table changes nearly all.
MAX_CHANGED_SHARE = 0.3
SMALL_CHANGE_SLICES = 20  # so few never fail the check, whatever their share in a small fleet


@dataclass(slots=True, frozen=True)
class Facts:
    """What the program knows besides the tables.

    `states`: "ready", "draining" or "gone" for each listed backend; `slices`: those that must have an owner;
    `cold`: the largest weight of each cold backend; `tries`: allowed tries by method; `idempotent`: methods
    safe to repeat.
    """

    states: Mapping[str, str]
    slices: frozenset[int] = frozenset()
    cold: Mapping[str, float] = field(default_factory=dict)
    most_lines: int = 1 << 20
    blast: float = MAX_CHANGED_SHARE
    tries: Mapping[str, int] = field(default_factory=dict)
    idempotent: frozenset[str] = frozenset()

    def guard(self) -> Guard:
        """Returns the restrictions for deltas; three warm stand-ins are enough and quick to try."""
        ready = (name for name, state in self.states.items() if state == "ready" and name not in self.cold)
        return Guard(
            frozenset(name for name, state in self.states.items() if state == "draining"),
            dict(self.cold),
            tuple(name for name, _ in zip(ready, range(3), strict=False)),
        )


@dataclass(slots=True, frozen=True)
class Fault:
    """A failed check: the rule, the line it concerns and the reason."""

    rule: str
    where: str  # slice and backend, or what else it concerns
    why: str

    def text(self) -> str:
        """Returns the rule, the location and the reason, as logged and shown to operators."""
        return f"{self.rule}: {self.where}: {self.why}"


def owner(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields slices that must have an owner and have no line."""
    gone = {slice for slice, _, table in difference(was, now) if table is None}
    for slice in sorted(facts.slices if was.slices < len(facts.slices) else facts.slices & gone):
        if now.get(slice) is None:
            yield Fault("owner", f"slice {slice}", "no backend answers for it")


def lines_in_state(was: Root, now: Root, facts: Facts, state: str | None) -> Iterator[tuple[int, str]]:
    """Yields slice and backend of changed lines whose backend is in `state` (None: not listed)."""
    for slice, _, table in difference(was, now):
        for backend in table.lines if table is not None else ():
            if facts.states.get(backend) == state:
                yield slice, backend


def listed(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields changed lines of backends that discovery does not list."""
    for slice, backend in lines_in_state(was, now, facts, None):
        yield Fault("listed", f"slice {slice} {backend}", "discovery does not list it")


def gone(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields changed lines of backends that are gone."""
    for slice, backend in lines_in_state(was, now, facts, "gone"):
        yield Fault("gone", f"slice {slice} {backend}", "it is gone")


def draining(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields lines that a draining backend gains; those it has may stay for the grace period."""
    for slice, backend in lines_in_state(was, now, facts, "draining"):
        if now.lines_of(slice)[backend] > was.lines_of(slice).get(backend, 0):
            yield Fault("draining", f"slice {slice} {backend}", "it is to lose lines, not to get them")


def size(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields a fault if there are more lines than a relay takes."""
    if now.lines > facts.most_lines:
        yield Fault("size", "all slices", f"{now.lines} lines, a relay takes {facts.most_lines}")


def cold(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields cold backends that gain weight beyond their limit.

    The sum over all slices is computed only for backends that gain.
    """
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
    """Yields a fault if too many slices change; those that leave gone or draining backends don't count."""
    bad, count = {name for name, state in facts.states.items() if state != "ready"}, 0
    for _, before, _ in difference(was, now):
        count += before is not None and bad.isdisjoint(before.lines)
    if count > max(SMALL_CHANGE_SLICES, facts.blast * was.slices):
        yield Fault("blast", "all slices", f"{count} of {was.slices} change at once")


def repeats(was: Root, now: Root, facts: Facts) -> Iterator[Fault]:
    """Yields methods that may be tried more than once without being idempotent."""
    for method, tries in facts.tries.items():
        if tries > 1 and method not in facts.idempotent:
            yield Fault("repeats", method, "not idempotent, and may be tried again after any failure")


Rule = Callable[[Root, Root, Facts], Iterator[Fault]]
# The keys are the names in faults and in operators' commands; they don't depend on the functions' names.
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


def faults(was: Root, now: Root, facts: Facts, set_aside: frozenset[str] = frozenset()) -> list[Fault]:
    """Returns what forbids publishing `now` after `was`; empty if nothing does.

    `set_aside` names the rules that an operator sets aside for this one version. Only `blast` and `size` can
    be set aside, never a rule that protects RPCs (`owner`, `listed`, `gone`, `repeats`) or the others.
    """
    skipped = set_aside & {"blast", "size"}
    return [fault for name, rule in RULES.items() if name not in skipped for fault in rule(was, now, facts)]


def weights(lines: Mapping[int, Mapping[str, object]]) -> list[Fault]:
    """Returns faults of ordered lines: invalid weights, and slices whose weights are all 0."""
    faults = []
    for slice, by_backend in lines.items():
        for name, weight in by_backend.items():
            if (
                not isinstance(weight, int | float)
                or isinstance(weight, bool)
                or not 0 <= weight < float("inf")
            ):
                faults.append(Fault("weights", f"slice {slice} {name}", f"{weight!r} is no weight"))
        if by_backend and all(weight == 0 for weight in by_backend.values()):
            faults.append(Fault("weights", f"slice {slice}", "all weights are 0"))
    return faults
