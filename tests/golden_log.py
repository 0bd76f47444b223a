"""The log as golden files hold it: lines as bytes, and the fields that each event is told with."""

import ast
import os
from pathlib import Path
from types import SimpleNamespace

from pytest import MonkeyPatch

from golden_wire import order
from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.http_exchange import HttpResponse
from indigohitch.platform_protocol import stored_tables
from indigohitch.platform_protocol.backend_list_log import log_list
from indigohitch.platform_protocol.call_log import CallLog, ChannelOccupancy
from indigohitch.platform_protocol.invariants import Invariant, InvariantChecker
from indigohitch.platform_protocol.order_execution import OrderExecutor
from listroom import Hands
from log_names import former_line, former_pattern
from relay_room import Room

PACKAGE = Path(__file__).resolve().parent.parent / "indigohitch"
TELLS = (
    "event",
    "warning",
    "trouble",
    "log_waiting",
    "drop",
    "Note",
)  # calls whose first or second word names an event
COUNTS = ("count",)


class Kept(Log):
    """A log whose lines are kept, under a clock that stands."""

    def __init__(self) -> None:
        super().__init__(Hands(), "n0", os.memfd_create("log"))

    def lines(self) -> list[str]:
        data = os.pread(self.output_fd, 1 << 22, 0)
        os.close(self.output_fd)
        return [former_line(line) for line in data.decode("latin-1").splitlines()]


def lines(given: list) -> list[str]:
    """What a row of calls writes; each is a job, an event and its fields."""
    log = Kept()
    for job, what, fields, times in given:
        fields = {name: value.encode() if name == "line" else value for name, value in fields.items()}
        for _ in range(times):
            match job:
                case "event":
                    log.event(what, **fields)
                case "trouble":
                    log.warning(what, **fields)
                case "count":
                    log.count(what, fields["by"])
                case "counters":
                    log.counters()
                case "later":
                    log.clock.time += fields["tenths"]
    return log.lines()


def _call_log(log: Kept) -> None:
    told, orders, full = CallLog(log), [face.ClearTable(1), face.ClearTable(2)], ChannelOccupancy(3, 40, 2)
    told.start_call()
    told.log_sent(orders, 12, full)
    told.log_waiting("call_held_back", full, 125)
    told.log_waiting("call_waits_for_the_channel", full, 30, lines=9)
    told.log_unresolved("reset", orders, HttpResponse("reset", 0, b"", 215))
    told.log_sent(orders, 12, full)
    told.log_applied(2, "answer")


def _list_log(log: Kept) -> None:
    held = face.BackendEntry("b1", "ready", 1.0, "east", 0, "std", 0)
    states = (("b1", "draining"), ("b2", "gone"), ("b3", "ready"))
    news = [face.BackendEntry(id, state, 1.0, "east", 0, "std", 0) for id, state in states]
    for scope in ("changes", "full", "remembered", "failed"):
        log_list(log, {"b1": held}, face.BackendList(scope, 42, tuple(news)))


def _invariants(log: Kept) -> None:
    guard = InvariantChecker(log, 1, 1, SimpleNamespace(most=0, lines=0))
    for invariant in Invariant:
        guard._report_violation(invariant, orders=1)
    guard.report_late_routes([face.SetRoute(1, "b2", 1.0), face.SetRoute(2, "b1", 1.0)])
    guard.report_exit(1, 2)
    log.counters()


def _not_carried(log: Kept) -> None:
    """Orders that the protocol has no word for, and the module's own lines."""
    relay = SimpleNamespace(reconsider=lambda: None)
    executor = OrderExecutor(None, log, None, None, None, relay, None)
    said = [
        {"order": "bind", "proxy": 1, "table": 2, "methods": []},
        {"order": "tell peer", "peer": 1, "body": "x"},
        {"order": "log line", "text": "as decided"},
    ]
    executor.execute([order(one) for one in said])


def _asked(log: Kept, after: dict[str, float]) -> None:
    """A call whose answer is lost, while the store has these lines."""
    with MonkeyPatch.context() as patch:
        room = Room(patch)
        room.relay.log = log
        room.stood[1] = stored_tables.StoredTable({"b0": 1.0})
        room.store[1] = stored_tables.StoredTable(after)
        room.relay.order([face.SetRoute(1, "b0", 0.0), face.SetRoute(1, "b1", 2.0)])
        calls = log.counts["relay_calls"]
        room.answer("reset")
        room.until(lambda: log.counts["relay_calls"] > calls or not room.relay.pending_calls)
        room.loop.close()


def _doubt(log: Kept) -> None:
    """A call in doubt that stands as the store tells, and one that was not carried out."""
    _asked(log, {"b1": 2.0})
    _asked(log, {"b0": 1.0})


JOBS = {
    "calls to the relay": _call_log,
    "lists": _list_log,
    "invariants": _invariants,
    "orders that no call carries": _not_carried,
    "calls in doubt": _doubt,
}


def job(given: str) -> list[str]:
    """What a part of the program writes."""
    log = Kept()
    JOBS[given](log)
    return log.lines()


def _named(call: ast.Call) -> str:
    return call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")


def _pattern(word: ast.expr) -> str | None:
    """A text in the source; what is filled in later is {}."""
    if isinstance(word, ast.Constant) and isinstance(word.value, str):
        return word.value
    if isinstance(word, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "{}" for part in word.values)
    return None


def _fields(call: ast.Call) -> list[str]:
    """The names of the fields; those of a mapping written in place as well, ** for one that is not."""
    found = set()
    for word in call.keywords:
        if word.arg is not None:
            found.add(word.arg)
            continue
        held = [part for part in ast.walk(word.value) if isinstance(part, ast.Dict)]
        keys = {key.value for part in held for key in part.keys if isinstance(key, ast.Constant)}
        found |= keys or {"**"}
    return sorted(found)


def _with_mappings_in_place(function: ast.FunctionDef) -> None:
    """A mapping on a condition that has a name in the function is read as if it were written in the call."""
    mappings = {
        node.targets[0].id: node.value
        for node in ast.walk(function)
        if isinstance(node, ast.Assign)
        and isinstance(node.targets[0], ast.Name)
        and isinstance(node.value, ast.IfExp)
    }
    for call in ast.walk(function):
        for word in call.keywords if isinstance(call, ast.Call) else ():
            named = mappings.get(word.value.id) if isinstance(word.value, ast.Name) else None
            if word.arg is None and named is not None:
                word.value = named


def _calls() -> list[ast.Call]:
    found: list[ast.Call] = []
    for path in sorted(PACKAGE.rglob("*.py")):
        tree = ast.parse(path.read_text())
        for function in [node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)]:
            _with_mappings_in_place(function)
        found += [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return found


def told_by_source() -> list[list]:
    """Each event that the source names in a call of the log, with the names of its fields."""
    found = set()
    for call in _calls():
        words = [w for w in map(_pattern, call.args[:2]) if w and w.replace("{}", "x").isidentifier()]
        if _named(call) in TELLS and words:
            found.add((former_pattern(words[0]), tuple(_fields(call))))
    return [[event, list(fields)] for event, fields in sorted(found)]


def counted_by_source() -> list[str]:
    """Each counter that the source names."""
    named = [_pattern(word) for call in _calls() if _named(call) in COUNTS for word in call.args[:1]]
    return sorted({former_pattern(word) for word in named if word and word.replace("{}", "x").isidentifier()})
