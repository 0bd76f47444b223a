"""Produces log lines, and the fields of each event in the source, for comparison with golden files."""

import ast
import os
from pathlib import Path
from types import SimpleNamespace

from pytest import MonkeyPatch

from golden_wire import order
from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.http_response import HttpResponse
from indigohitch.platform_protocol import stored_tables
from indigohitch.platform_protocol.backend_list_log import log_list
from indigohitch.platform_protocol.call_log import CallLog, ChannelOccupancy
from indigohitch.platform_protocol.invariants import Invariant, InvariantChecker
from indigohitch.platform_protocol.order_execution import OrderExecutor
from listroom import Hands
from log_names import former_line, former_pattern
from relay_room import Room

PACKAGE = Path(__file__).resolve().parent.parent / "indigohitch"
# Functions whose first or second argument names an event.
EVENT_FUNCTIONS = (
    "event",
    "warning",
    "trouble",
    "log_waiting",
    "drop",
    "Note",
)
COUNT_FUNCTIONS = ("count",)


class RecordedLog(Log):
    """A log with a stopped clock that keeps its lines."""

    def __init__(self) -> None:
        super().__init__(Hands(), "n0", os.memfd_create("log"))

    def lines(self) -> list[str]:
        data = os.pread(self.output_fd, 1 << 22, 0)
        os.close(self.output_fd)
        return [former_line(line) for line in data.decode("latin-1").splitlines()]


def lines(given: list) -> list[str]:
    """Return the lines that a list of log calls writes; a call is a job, an event, its fields and a count."""
    log = RecordedLog()
    for job, event, fields, times in given:
        fields = {name: value.encode() if name == "line" else value for name, value in fields.items()}
        for _ in range(times):
            match job:
                case "event":
                    log.event(event, **fields)
                case "trouble":
                    log.warning(event, **fields)
                case "count":
                    log.count(event, fields["by"])
                case "counters":
                    log.counters()
                case "later":
                    log.clock.time += fields["tenths"]
    return log.lines()


def _call_log(log: RecordedLog) -> None:
    call_log = CallLog(log)
    orders = [face.ClearTable(1), face.ClearTable(2)]
    occupancy = ChannelOccupancy(3, 40, 2)
    call_log.start_call()
    call_log.log_sent(orders, 12, occupancy)
    call_log.log_waiting("call_held_back", occupancy, 125)
    call_log.log_waiting("call_waits_for_the_channel", occupancy, 30, lines=9)
    call_log.log_unresolved("reset", orders, HttpResponse("reset", 0, b"", 215))
    call_log.log_sent(orders, 12, occupancy)
    call_log.log_applied(2, "answer")


def _list_log(log: RecordedLog) -> None:
    known_entry = face.BackendEntry("b1", "ready", 1.0, "east", 0, "std", 0)
    states = (("b1", "draining"), ("b2", "gone"), ("b3", "ready"))
    entries = [face.BackendEntry(id, state, 1.0, "east", 0, "std", 0) for id, state in states]
    for scope in ("changes", "full", "remembered", "failed"):
        log_list(log, {"b1": known_entry}, face.BackendList(scope, 42, tuple(entries)))


def _invariants(log: RecordedLog) -> None:
    checker = InvariantChecker(log, 1, 1, SimpleNamespace(most=0, lines=0))
    for invariant in Invariant:
        checker._report_violation(invariant, orders=1)
    checker.report_late_routes([face.SetRoute(1, "b2", 1.0), face.SetRoute(2, "b1", 1.0)])
    checker.report_exit(1, 2)
    log.counters()


def _orders_without_a_call(log: RecordedLog) -> None:
    """Execute orders that no call can carry, and a log line of the decision module."""
    relay = SimpleNamespace(reconsider=lambda: None)
    executor = OrderExecutor(None, log, None, None, None, relay, None)
    orders = [
        {"order": "bind", "proxy": 1, "table": 2, "methods": []},
        {"order": "tell peer", "peer": 1, "body": "x"},
        {"order": "log line", "text": "as decided"},
    ]
    executor.execute([order(one) for one in orders])


def _lose_response(log: RecordedLog, lines_after: dict[str, float]) -> None:
    """Make a call and lose its response, while the store holds the lines `lines_after`."""
    with MonkeyPatch.context() as patch:
        room = Room(patch)
        room.relay.log = log
        room.known_tables[1] = stored_tables.StoredTable({"b0": 1.0})
        room.store[1] = stored_tables.StoredTable(lines_after)
        room.relay.enqueue([face.SetRoute(1, "b0", 0.0), face.SetRoute(1, "b1", 2.0)])
        calls_before = log.counts["relay_calls"]
        room.answer("reset")
        room.until(lambda: log.counts["relay_calls"] > calls_before or not room.relay.pending_calls)
        room.loop.close()


def _unresolved_calls(log: RecordedLog) -> None:
    """Lose the response of a call that the store shows as executed, and of one that it does not."""
    _lose_response(log, {"b1": 2.0})
    _lose_response(log, {"b0": 1.0})


JOBS = {
    "calls to the relay": _call_log,
    "lists": _list_log,
    "invariants": _invariants,
    "orders that no call carries": _orders_without_a_call,
    "calls in doubt": _unresolved_calls,
}


def job(given: str) -> list[str]:
    """Return the lines that a part of the program writes."""
    log = RecordedLog()
    JOBS[given](log)
    return log.lines()


def _function_name(call: ast.Call) -> str:
    return call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")


def _pattern(argument: ast.expr) -> str | None:
    """Return a string of the source, with {} for each replacement field."""
    if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
        return argument.value
    if isinstance(argument, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else "{}" for part in argument.values
        )
    return None


def _fields(call: ast.Call) -> list[str]:
    """Return the names of the fields, including the keys of a literal mapping, or ** for another mapping."""
    found = set()
    for keyword in call.keywords:
        if keyword.arg is not None:
            found.add(keyword.arg)
            continue
        mappings = [part for part in ast.walk(keyword.value) if isinstance(part, ast.Dict)]
        keys = {key.value for part in mappings for key in part.keys if isinstance(key, ast.Constant)}
        found |= keys or {"**"}
    return sorted(found)


def _inline_mappings(function: ast.FunctionDef) -> None:
    """Replace a variable that holds a conditional mapping by the mapping, in the calls of a function."""
    mappings = {
        node.targets[0].id: node.value
        for node in ast.walk(function)
        if isinstance(node, ast.Assign)
        and isinstance(node.targets[0], ast.Name)
        and isinstance(node.value, ast.IfExp)
    }
    for call in ast.walk(function):
        for keyword in call.keywords if isinstance(call, ast.Call) else ():
            mapping = mappings.get(keyword.value.id) if isinstance(keyword.value, ast.Name) else None
            if keyword.arg is None and mapping is not None:
                keyword.value = mapping


def _calls() -> list[ast.Call]:
    """Return all calls in the source of the package."""
    found: list[ast.Call] = []
    for path in sorted(PACKAGE.rglob("*.py")):
        tree = ast.parse(path.read_text())
        for function in [node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)]:
            _inline_mappings(function)
        found += [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return found


def told_by_source() -> list[list]:
    """Return each event that the source logs, with the names of its fields."""
    found = set()
    for call in _calls():
        names = [n for n in map(_pattern, call.args[:2]) if n and n.replace("{}", "x").isidentifier()]
        if _function_name(call) in EVENT_FUNCTIONS and names:
            found.add((former_pattern(names[0]), tuple(_fields(call))))
    return [[event, list(fields)] for event, fields in sorted(found)]


def counted_by_source() -> list[str]:
    """Return the name of each counter in the source."""
    names = [
        _pattern(argument)
        for call in _calls()
        if _function_name(call) in COUNT_FUNCTIONS
        for argument in call.args[:1]
    ]
    return sorted({former_pattern(name) for name in names if name and name.replace("{}", "x").isidentifier()})
