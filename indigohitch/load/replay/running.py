"""One replay from its checks to its report: what is left of an earlier run, the loop, and what became of the
non-idempotent requests that nobody answered."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ...net.clock import SECOND
from ...net.file_limits import raise_file_limit
from ..trace import Trace
from . import standins
from .drive import Driver, Job
from .figures import Figures
from .journal import Journal
from .safety import may_begin
from .schedule import Pace, Plan

SETTLE = 1.0  # seconds until what an earlier process wrote has been acted on, or never will
ROUNDS = 3  # of asking what was acted on and sending what was not


@dataclass
class Wanted:
    """What the command line asks for."""

    to: tuple[str, int]
    plan: Plan
    servers: list[tuple[str, int]]  # that have to prove to be stand-ins
    allowed: bool = False
    journal: str = ""
    resume: bool = False
    rate: float = 0.0
    connections: int = 512
    tell: Callable[[Driver], None] = field(default=lambda driver: None)
    started: Callable[[Driver], None] = field(default=lambda driver: None)


def selected(trace: Trace, plan: Plan) -> Iterator[Job]:
    return plan.due(trace.requests(plan.start, plan.end))


def span(trace: Trace, plan: Plan) -> int:
    """Of the schedule.  With gaps that are cut all of it has to be read."""
    if plan.longest_gap:
        return max(
            (
                due
                for due, _, _ in selected(trace, Plan(plan.speed, plan.start, plan.end, (), plan.longest_gap))
            ),
            default=0,
        )
    end = trace.head.span if plan.end is None else min(plan.end, trace.head.span)
    return round(max(0, end - plan.start) / plan.speed)


def left(jobs: Iterator[Job], journal: Journal | None, resume: bool) -> Iterator[Job]:
    """What is still to be sent.  A resumed replay goes on where the last one sent its last non-idempotent
    request; those of them before that never went are sent first."""
    if journal is None or not resume or not journal.sending:
        done = journal.acted if journal is not None else ()
        yield from (job for job in jobs if not job[2].unsafe or job[1] not in done)
        return
    reached, begun, first = max(journal.sending), 0, True
    for due, number, request in jobs:
        if number <= reached:
            if request.unsafe and number not in journal.acted:
                yield 0, number, request
            continue
        if first:
            begun, first = due, False
        yield due - begun, number, request


def settle(journal: Journal, servers: list[tuple[str, int]], name: str) -> dict[int, int]:
    """Ask the stand-ins about what is open; returns how often each number was acted on."""
    acts = standins.acts(servers, name)
    for number in journal.open_ones():
        if acts.get(number):
            journal.done(number)
    return acts


def run(trace: Trace, wanted: Wanted) -> tuple[Figures, dict]:
    """Raises Refused, Unusable, OSError, Damaged.  Returns the figures, and what else is to be said."""
    plan, name = wanted.plan, trace.identity[:12]
    raise_file_limit(wanted.connections + 64)  # with fewer, requests wait as at the ceiling
    unsafe = next((request for _, _, request in selected(trace, plan) if request.unsafe), None)
    proven = standins.proven(wanted.servers)
    may_begin(wanted.to[0], proven, wanted.allowed, bool(wanted.journal), unsafe, trace.head.sources)
    journal = None
    if wanted.journal and unsafe is not None:
        journal = Journal(wanted.journal, trace.identity, plan.text())
        if journal.open_ones():
            time.sleep(SETTLE)
            settle(journal, wanted.servers, name)
    figures = Figures(span(trace, plan))
    jobs = left(selected(trace, plan), journal, wanted.resume)
    driver = Driver(wanted.to, jobs, figures, Pace(wanted.rate), wanted.connections, journal, name)
    driver.tell = lambda: wanted.tell(driver)
    wanted.started(driver)
    driver.run()
    told = {"stopped": driver.stopped, "proven": proven}
    if journal is not None:
        told |= reconcile(trace, wanted, journal, driver, name)
        journal.close()
    return figures, told


def reconcile(trace: Trace, wanted: Wanted, journal: Journal, driver: Driver, name: str) -> dict:
    """Each recorded non-idempotent request once: what was sent and not answered is asked of the stand-ins,
    and sent again only where none of them acted on it."""
    again = 0
    for _ in range(ROUNDS):
        if driver.stopped or not journal.open_ones():
            break
        time.sleep(SETTLE)
        settle(journal, wanted.servers, name)
        numbers = set(journal.open_ones())
        if not numbers:
            break
        again += len(numbers)
        jobs = [
            (0, number, request) for _, number, request in selected(trace, wanted.plan) if number in numbers
        ]
        extra = Driver(
            wanted.to, iter(jobs), Figures(SECOND), Pace(wanted.rate), wanted.connections, journal, name
        )
        wanted.started(extra)
        extra.run()
        driver.stopped |= extra.stopped
    acts = settle(journal, wanted.servers, name)
    return {
        "reserves_sent": len(journal.sending),
        "reserves_acted": len(journal.acted),
        "reserves_open": len(journal.open_ones()),
        "reserves_sent_again": again,
        "reserves_twice": sum(count > 1 for count in acts.values()),
    }
