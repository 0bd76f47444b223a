"""Operators' commands on versions, and the lines that answer them (USAGE).

This module decides and formats only; the control socket that would carry the commands is not part of it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from ..errors import InvalidRequestError
from ..net.clock import SECOND
from .cost import Price
from .publisher import VersionPublisher
from .tables import Table, difference
from .terms import Version

MAX_ANSWER_LINES = 200  # further lines are only counted
FLAGS = frozenset({"--dry-run", "--anyway"})
USAGE = (
    "list | show VERSION [SLICE] | diff VERSION VERSION | name NAME VERSION | pin | unpin [--anyway] | "
    "rollback VERSION [--dry-run] [--anyway]"
)


@dataclass(slots=True, frozen=True)
class Request:
    """A parsed command of an operator; `now` is in ticks."""

    now: int
    arguments: list[str]
    by: str  # name of the operator
    flags: set[str]


@dataclass(slots=True, frozen=True)
class Action:
    """What runs a command, and the numbers of arguments that it accepts."""

    run: Callable[[VersionPublisher, Request], list[str]]
    arguments: tuple[int, ...]  # accepted numbers of arguments


def answer(publisher: VersionPublisher, now: int, words: Sequence[str], by: str) -> list[str]:
    """Runs a command and returns the lines of its answer.

    Raises InvalidRequestError for a command that can't be carried out, and OSError if the store can't write.
    """
    flags = {word for word in words if word.startswith("--")}
    name, *rest = [word for word in words if word not in flags] or [""]
    action = ACTIONS.get(name)
    if action is None or flags - FLAGS or len(rest) not in action.arguments:
        raise InvalidRequestError(f"`{' '.join(words)}`", "", USAGE)
    return limit_lines(action.run(publisher, Request(now, rest, by, flags)))


def limit_lines(lines: list[str]) -> list[str]:
    """Returns at most MAX_ANSWER_LINES of the lines, and one that counts the rest."""
    return (
        lines
        if len(lines) <= MAX_ANSWER_LINES
        else [*lines[:MAX_ANSWER_LINES], f"and {len(lines) - MAX_ANSWER_LINES} more"]
    )


def version_line(publisher: VersionPublisher, version: Version) -> str:
    """Returns a line on the version: its id, lines, relays that hold it, cause and names."""
    names = [name for name, number in publisher.history.names.items() if number == version.number]
    holding = sum(version.root.digest in held for held in publisher.counted.values())
    marks = (["stands"] if version is publisher.current else []) + names
    return f"{version.version_id.text()}  {version.root.lines} lines  relays {holding}  {version.cause}" + (
        f"  [{', '.join(marks)}]" if marks else ""
    )


def list_versions(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `list`: the pin, the relays, and the kept versions, newest first."""
    head = (
        [f"pinned at {publisher.pin.to.version_id.text()} by {publisher.pin.by}"]
        if publisher.pin is not None
        else []
    )
    waiting = sum(not session.in_sync for session in publisher.sessions.values())
    head.append(f"{len(publisher.sessions)} relays, {waiting} on the way")
    return head + [
        version_line(publisher, version) for version in reversed(publisher.history.by_number.values())
    ]


def show(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `show`: a version and its slices, or one of them."""
    version = publisher.history.get(request.arguments[0])
    if len(request.arguments) == 2 and not request.arguments[1].isdigit():
        raise InvalidRequestError(f"slice {request.arguments[1]}", "", USAGE)
    slices = (
        [(int(request.arguments[1]), version.root.get(int(request.arguments[1])))]
        if len(request.arguments) == 2
        else version.root.items()
    )
    return [version_line(publisher, version)] + [
        f"slice {slice}: {table_text(table)}" for slice, table in islice(slices, MAX_ANSWER_LINES)
    ]


def table_text(table: Table | None) -> str:
    """Returns the weights of a table on one line."""
    return " ".join(f"{name}={weight:g}" for name, weight in table.lines.items()) if table else "none"


def diff(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `diff`: slices whose lines differ between two versions."""
    before, after = (publisher.history.get(which).root for which in request.arguments)
    return [
        f"slice {slice}: {table_text(old)} -> {table_text(new)}"
        for slice, old, new in difference(before, after)
    ] or ["the same lines"]


def name(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `name`: names a kept version."""
    version = publisher.history.get(request.arguments[1])
    publisher.store.name(request.arguments[0], version.number)
    return [version_line(publisher, version)]


def pin(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `pin`: pins the current version."""
    publisher.pin_current(request.now, request.by)
    return [f"pinned at {publisher.pin.to.version_id.text()}: only drains and gone backends change it"]


def unpin(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `unpin`: publishes what the module wants by now; `--anyway` even if that content was halted."""
    if publisher.pin is None:
        raise InvalidRequestError("nothing is pinned", "", "`list` says what stands")
    set_aside = frozenset({"blast", "halted"} if "--anyway" in request.flags else {"blast"})
    made = publisher.unpin(request.now, request.by, set_aside)
    return [fault.text() for fault in publisher.faults] or [
        f"unpinned, {made.version_id.text()} goes out" if made is not None else "unpinned, nothing to send"
    ]


def rollback(publisher: VersionPublisher, request: Request) -> list[str]:
    """Answers `rollback`: returns to a version, or with `--dry-run` says what that would send and cost."""
    set_aside = frozenset({"blast", "size"} if "--anyway" in request.flags else ())
    if "--dry-run" in request.flags:
        plan = publisher.plan_rollback(request.arguments[0], set_aside)
        amended = plan.amended
        answer_lines = ["dry run, nothing is sent"] + [price_text(one) for one in plan.prices]
    else:
        done = publisher.rollback(request.now, request.arguments[0], request.by, set_aside)
        amended, made = done.amended, done.version
        answer_lines = ["pinned, nothing to send"]
        if amended.faults:
            answer_lines = ["nothing was changed"]
        elif made is not None:
            answer_lines = [f"{made.version_id.text()} goes out, pinned"]
    return (
        answer_lines
        + [f"stopped by {fault.text()}" for fault in amended.faults]
        + [f"amended: {how}" for how in amended.notes]
    )


def price_text(one: Price) -> str:
    """Returns the price of one way as a line of a dry run."""
    return f"{one.way}: {one.lines} lines, {one.messages} messages and {one.time / SECOND:.1f} s a relay"


ACTIONS = {
    "list": Action(list_versions, (0,)),
    "show": Action(show, (1, 2)),
    "diff": Action(diff, (2,)),
    "name": Action(name, (2,)),
    "pin": Action(pin, (0,)),
    "unpin": Action(unpin, (0,)),
    "rollback": Action(rollback, (1,)),
}
