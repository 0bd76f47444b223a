"""What must hold for the subscribers of one process, looked at in that process."""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field

from .intended import Services
from .sizes import PROMISED

LIMIT = int(PROMISED * 10_000)  # tenths of a millisecond


@dataclass
class Facts:
    """Times as in records.clock."""

    changes: list[tuple[int, int, tuple[str, ...]]]  # entry, when it was asked for, services that it changed
    away: dict[str, list[tuple[int, int]]]  # by subscriber: when it could not be reached
    intended: Services
    until: int  # the end of the run


@dataclass
class Judged:
    latencies: array = field(default_factory=lambda: array("i"))
    late: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    older: int = 0
    wholes: int = 0
    recovered: int = 0  # the longest, tenths of a millisecond
    longest: str = ""  # whose that was
    resumed: int = 0  # outages that ended
    excused: int = 0  # changes that came while the subscriber could not be reached


def judged(facts: Facts, subscribers: list) -> Judged:
    found = Judged()
    by_service: dict[str, list[tuple[int, int]]] = {}
    for index, asked, services in facts.changes:
        for service in services:
            by_service.setdefault(service, []).append((index, asked))
    for one in subscribers:
        away = facts.away.get(one.name, [])
        mine = {change for service in one.machine.services for change in by_service.get(service, ())}
        judge_changes(found, one, sorted(mine), away)
        judge_outages(found, one, sorted(mine), away)
        found.older += one.record.older
        found.wholes += one.record.wholes
        if why := differs(one, facts.intended):
            found.wrong.append(f"{one.name}: {why}")
    return found


def judge_changes(found: Judged, one, mine: list[tuple[int, int]], away: list[tuple[int, int]]) -> None:
    for index, asked in mine:
        if asked < one.record.since or any(asked + LIMIT > begin and asked < end for begin, end in away):
            found.excused += 1
            continue
        at = one.record.in_force(index)
        if at is not None:
            found.latencies.append(at - asked)
        if at is None or at - asked > LIMIT:
            took = "never" if at is None else f"{(at - asked) / 10:.0f} ms"
            found.late.append(f"{one.name}: entry {index} in force after {took}")


def judge_outages(found: Judged, one, mine: list[tuple[int, int]], away: list[tuple[int, int]]) -> None:
    """Without a distributor though it could reach one; and from the end of being away to having all that was
    asked for until then."""
    for lost, again in one.record.outages:
        if not any(again > begin and lost < end for begin, end in away):
            recovered(found, one, lost, again)
            found.resumed += 1
    for _, end in away:
        if any(begin < end < other for begin, other in away):
            continue  # another fault holds it still
        missed = [index for index, asked in mine if asked < end]
        at = one.record.in_force(missed[-1]) if missed else None
        if at is not None:
            recovered(found, one, end, at)


def recovered(found: Judged, one, since: int, at: int) -> None:
    if at - since > found.recovered:
        found.recovered = at - since
        found.longest = f"{one.name} from {since / 10_000:.1f} to {at / 10_000:.1f} s"


def differs(one, intended: Services) -> str:
    """What it holds against what is intended, value by value."""
    for service in sorted(one.machine.services):
        held = {key: body.decode() for key, body in one.machine.resources(service).items()}
        if held != intended[service]:
            keys = {key for key, _ in held.items() ^ intended[service].items()}
            return f"{service}: {len(keys)} differ, as {min(keys)}"
    extra = set(one.machine.scope.services) - set(one.machine.services)
    return f"it holds {min(extra)}, which it does not reach" if extra else ""
