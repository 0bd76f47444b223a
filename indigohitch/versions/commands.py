"""What an operator asks of the versions, and the lines that answer (USAGE).

Decides and words only; the control socket that would carry it is not here."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from ..errors import InvalidRequestError
from ..net.clock import SECOND
from .cost import Price
from .publisher import VersionPublisher
from .tables import difference
from .terms import Version

MOST = 200  # lines of an answer; the rest is counted
FLAGS = frozenset({"--dry-run", "--anyway"})
USAGE = (
    "list | show VERSION [SLICE] | diff VERSION VERSION | name NAME VERSION | pin | unpin [--anyway] | "
    "rollback VERSION [--dry-run] [--anyway]"
)


@dataclass(slots=True, frozen=True)
class Request:
    """An operator's words, taken apart."""

    now: int
    arguments: list[str]
    by: str  # which operator
    flags: set[str]


@dataclass(slots=True, frozen=True)
class Action:
    run: Callable[[VersionPublisher, Request], list[str]]
    arguments: tuple[int, ...]  # how many it takes


def answer(publisher: VersionPublisher, now: int, words: Sequence[str], by: str) -> list[str]:
    """Raises Unfit for what can't be, OSError where the store can't write."""
    flags = {word for word in words if word.startswith("--")}
    name, *rest = [word for word in words if word not in flags] or [""]
    action = ACTIONS.get(name)
    if action is None or flags - FLAGS or len(rest) not in action.arguments:
        raise InvalidRequestError(f"`{' '.join(words)}`", "", USAGE)
    return cut(action.run(publisher, Request(now, rest, by, flags)))


def cut(lines: list[str]) -> list[str]:
    return lines if len(lines) <= MOST else [*lines[:MOST], f"and {len(lines) - MOST} more"]


def entry(publisher: VersionPublisher, version: Version) -> str:
    names = [name for name, number in publisher.history.names.items() if number == version.number]
    holding = sum(version.root.digest in held for held in publisher.counted.values())
    marks = (["stands"] if version is publisher.current else []) + names
    return f"{version.version_id.text()}  {version.root.lines} lines  relays {holding}  {version.cause}" + (
        f"  [{', '.join(marks)}]" if marks else ""
    )


def listed(publisher: VersionPublisher, request: Request) -> list[str]:
    head = (
        [f"pinned at {publisher.pin.to.version_id.text()} by {publisher.pin.by}"]
        if publisher.pin is not None
        else []
    )
    waiting = sum(not session.in_sync for session in publisher.sessions.values())
    head.append(f"{len(publisher.sessions)} relays, {waiting} on the way")
    return head + [entry(publisher, version) for version in reversed(publisher.history.by_number.values())]


def show(publisher: VersionPublisher, request: Request) -> list[str]:
    version = publisher.history.get(request.arguments[0])
    if len(request.arguments) == 2 and not request.arguments[1].isdigit():
        raise InvalidRequestError(f"slice {request.arguments[1]}", "", USAGE)
    some = (
        [(int(request.arguments[1]), version.root.get(int(request.arguments[1])))]
        if len(request.arguments) == 2
        else version.root.items()
    )
    return [entry(publisher, version)] + [
        f"slice {slice}: {lines(table)}" for slice, table in islice(some, MOST)
    ]


def lines(table) -> str:
    return " ".join(f"{name}={weight:g}" for name, weight in table.lines.items()) if table else "none"


def diff(publisher: VersionPublisher, request: Request) -> list[str]:
    a, b = (publisher.history.get(which).root for which in request.arguments)
    return [f"slice {slice}: {lines(was)} -> {lines(then)}" for slice, was, then in difference(a, b)] or [
        "the same lines"
    ]


def name(publisher: VersionPublisher, request: Request) -> list[str]:
    version = publisher.history.get(request.arguments[1])
    publisher.store.name(request.arguments[0], version.number)
    return [entry(publisher, version)]


def pin(publisher: VersionPublisher, request: Request) -> list[str]:
    publisher.pin_current(request.now, request.by)
    return [f"pinned at {publisher.pin.to.version_id.text()}: only drains and gone backends change it"]


def unpin(publisher: VersionPublisher, request: Request) -> list[str]:
    if publisher.pin is None:
        raise InvalidRequestError("nothing is pinned", "", "`list` says what stands")
    aside = frozenset({"blast", "halted"} if "--anyway" in request.flags else {"blast"})
    made = publisher.unpin(request.now, request.by, aside)
    return [fault.text() for fault in publisher.faults] or [
        f"unpinned, {made.version_id.text()} goes out" if made is not None else "unpinned, nothing to send"
    ]


def rollback(publisher: VersionPublisher, request: Request) -> list[str]:
    aside = frozenset({"blast", "size"} if "--anyway" in request.flags else ())
    if "--dry-run" in request.flags:
        plan = publisher.plan_rollback(request.arguments[0], aside)
        found = plan.amended
        said = ["dry run, nothing is sent"] + [price(one) for one in plan.prices]
    else:
        done = publisher.rollback(request.now, request.arguments[0], request.by, aside)
        found, made = done.amended, done.version
        said = ["pinned, nothing to send"]
        if found.faults:
            said = ["nothing was changed"]
        elif made is not None:
            said = [f"{made.version_id.text()} goes out, pinned"]
    return (
        said
        + [f"stopped by {fault.text()}" for fault in found.faults]
        + [f"amended: {how}" for how in found.said]
    )


def price(one: Price) -> str:
    return f"{one.way}: {one.lines} lines, {one.messages} messages and {one.time / SECOND:.1f} s a relay"


ACTIONS = {
    "list": Action(listed, (0,)),
    "show": Action(show, (1, 2)),
    "diff": Action(diff, (2,)),
    "name": Action(name, (2,)),
    "pin": Action(pin, (0,)),
    "unpin": Action(unpin, (0,)),
    "rollback": Action(rollback, (1,)),
}
