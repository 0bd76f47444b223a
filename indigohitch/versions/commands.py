"""What an operator asks of the versions, and the lines that answer (USAGE).

Decides and words only; the control socket that would carry it is not here."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import islice

from ..errors import Unfit
from ..net.clock import SECOND
from .cost import Price
from .publisher import VersionPublisher
from .tables import difference
from .terms import Version

MOST = 200  # lines of an answer; the rest is counted
USAGE = (
    "list | show VERSION [SLICE] | diff VERSION VERSION | name NAME VERSION | pin | unpin [--anyway] | "
    "rollback VERSION [--dry-run] [--anyway]"
)


def answer(publisher: VersionPublisher, now: int, words: Sequence[str], by: str) -> list[str]:
    """Raises Unfit for what can't be, OSError where the store can't write."""
    flags = {word for word in words if word.startswith("--")}
    name, *rest = [word for word in words if word not in flags] or [""]
    called = COMMANDS.get(name)
    if called is None or flags - {"--dry-run", "--anyway"} or len(rest) not in called[1]:
        raise Unfit(f"`{' '.join(words)}`", "", USAGE)
    return cut(called[0](publisher, now, rest, by, flags))


def cut(lines: list[str]) -> list[str]:
    return lines if len(lines) <= MOST else [*lines[:MOST], f"and {len(lines) - MOST} more"]


def entry(publisher: VersionPublisher, version: Version) -> str:
    names = [name for name, number in publisher.history.names.items() if number == version.number]
    holding = sum(version.root.digest in held for held in publisher.counted.values())
    marks = (["stands"] if version is publisher.current else []) + names
    return f"{version.mark.text()}  {version.root.lines} lines  relays {holding}  {version.cause}" + (
        f"  [{', '.join(marks)}]" if marks else ""
    )


def listed(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    head = (
        [f"pinned at {publisher.pin.to.mark.text()} by {publisher.pin.by}"]
        if publisher.pin is not None
        else []
    )
    waiting = sum(not session.in_sync for session in publisher.sessions.values())
    head.append(f"{len(publisher.sessions)} relays, {waiting} on the way")
    return head + [entry(publisher, version) for version in reversed(publisher.history.by_number.values())]


def show(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    version = publisher.history.get(rest[0])
    if len(rest) == 2 and not rest[1].isdigit():
        raise Unfit(f"slice {rest[1]}", "", USAGE)
    some = [(int(rest[1]), version.root.get(int(rest[1])))] if len(rest) == 2 else version.root.items()
    return [entry(publisher, version)] + [
        f"slice {slice}: {lines(table)}" for slice, table in islice(some, MOST)
    ]


def lines(table) -> str:
    return " ".join(f"{name}={weight:g}" for name, weight in table.lines.items()) if table else "none"


def diff(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    a, b = (publisher.history.get(which).root for which in rest)
    return [f"slice {slice}: {lines(was)} -> {lines(then)}" for slice, was, then in difference(a, b)] or [
        "the same lines"
    ]


def name(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    version = publisher.history.get(rest[1])
    publisher.store.name(rest[0], version.number)
    return [entry(publisher, version)]


def pin(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    publisher.pin_current(now, by)
    return [f"pinned at {publisher.pin.to.mark.text()}: only drains and gone backends change it"]


def unpin(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    if publisher.pin is None:
        raise Unfit("nothing is pinned", "", "`list` says what stands")
    aside = frozenset({"blast", "halted"} if "--anyway" in flags else {"blast"})
    made = publisher.unpin(now, by, aside)
    return [fault.text() for fault in publisher.faults] or [
        f"unpinned, {made.mark.text()} goes out" if made is not None else "unpinned, nothing to send"
    ]


def rollback(publisher: VersionPublisher, now: int, rest: list[str], by: str, flags: set[str]) -> list[str]:
    aside = frozenset({"blast", "size"} if "--anyway" in flags else ())
    if "--dry-run" in flags:
        plan = publisher.plan_rollback(rest[0], aside)
        found = plan.amended
        said = ["dry run, nothing is sent"] + [price(one) for one in plan.prices]
    else:
        done = publisher.rollback(now, rest[0], by, aside)
        found, made = done.amended, done.version
        said = [f"{made.mark.text()} goes out, pinned" if made is not None else "pinned, nothing to send"]
        said = ["nothing was changed"] if found.faults else said
    return (
        said
        + [f"stopped by {fault.text()}" for fault in found.faults]
        + [f"amended: {how}" for how in found.said]
    )


def price(one: Price) -> str:
    return f"{one.way}: {one.lines} lines, {one.messages} messages and {one.time / SECOND:.1f} s a relay"


Command = Callable[[VersionPublisher, int, list[str], str, set[str]], list[str]]
COMMANDS: dict[str, tuple[Command, tuple[int, ...]]] = {
    "list": (listed, (0,)),
    "show": (show, (1, 2)),
    "diff": (diff, (2,)),
    "name": (name, (2,)),
    "pin": (pin, (0,)),
    "unpin": (unpin, (0,)),
    "rollback": (rollback, (1,)),
}
