"""What a call to the relay holds: orders in its words, what is void among them, and what its answer says."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from urllib.parse import urlencode
from xml.etree import ElementTree

from .. import interface as face
from ..net.http_exchange import HttpResponse

MAX_CALL_BYTES = 60_000  # of orders that a call may carry, says the protocol
FORM_CONTENT_TYPE = "application/x-www-form-urlencoded"
UNSUPPORTED_ORDERS = {
    face.BindTable: "Bind",
    face.SendToPeer: "TellPeer",
}  # orders without a word; the log's names for them


def encode_form(orders: str) -> bytes:
    """A call's body; `orders` in the relay's words, in turn."""
    return urlencode({"Action": "CommitChanges", "orders": orders}).encode("ascii")


def encode_order(order: face.Order, methods: Sequence[str]) -> str:
    """An order in the relay's words."""
    match order:
        case face.SetRoute(table, backend, weight):
            return f"put,{table},{backend},{weight}"
        case face.ClearTable(table):
            return f"wipe,{table}"
        case face.EjectBackend(backend, out):
            return f"{'eject' if out else 'uneject'},{backend}"
        case face.SetAdmission(table, places, level, tries):
            whose = "*" if table == face.ALL_TABLES else table
            return f"gate,{whose},{'+'.join(methods[p] for p in places) or '*'},{level},{tries}"
        case face.UpdateMarker(mark, everyone):
            return f"fence,{mark},{int(everyone)}"
    raise TypeError(f"not an order for the relay: {order}")


def order_key(order: face.Order) -> tuple:
    """What an order sets: a later one of the same key makes it void."""
    match order:
        case face.SetRoute(table, backend, _):
            return "line", table, backend
        case face.SetAdmission(table, places, _, _):
            return "level", table, places
        case face.EjectBackend(backend, _):
            return "out", backend
        case face.ClearTable(table):
            return "table", table
    return ("mark",)


def merge_orders(orders: Sequence[face.Order]) -> list[face.Order]:
    """The same end with no order that a later one makes void.  Lines of a table stand together, at the place
    of the last: where they go in several calls, no table is without a line in between."""
    last: dict[tuple, face.Order] = {}
    lines: dict[int, dict[tuple, None]] = {}  # keys of each table's lines
    for order in orders:
        if isinstance(order, face.ClearTable):
            for old in [k for k in last if k[0] in ("line", "level") and k[1] == order.table]:
                del last[old]
            lines.pop(order.table, None)
        if isinstance(order, face.SetRoute):
            before = lines.setdefault(order.table, {})
            before.pop(order_key(order), None)
            for old in before:
                last[old] = last.pop(old)
            before[order_key(order)] = None
        last.pop(order_key(order), None)
        last[order_key(order)] = order
    return list(last.values())


def split_by_size(orders: Sequence[face.Order], methods: Sequence[str]) -> Iterator[list[face.Order]]:
    """One reply of the module: a call of its own, or several where it is too long for one."""
    call, room = [], MAX_CALL_BYTES + 1
    for order in orders:
        size = len(encode_order(order, methods)) + 1
        if room < size:
            yield call
            call, room = [], MAX_CALL_BYTES + 1
        call.append(order)
        room -= size
    yield call


def split_index(orders: Sequence[face.Order], most: int) -> int:
    """How many of the orders make a call of at most `most`, one at least; lines of a table stay together."""
    at = most = max(1, most)
    if most >= len(orders):
        return len(orders)
    while at and _same_table(orders[at - 1], orders[at]):
        at -= 1
    return at or most


def _same_table(first: face.Order, second: face.Order) -> bool:
    return (
        isinstance(first, face.SetRoute) and isinstance(second, face.SetRoute) and first.table == second.table
    )


def parse_response(answer: HttpResponse) -> int | str:
    """How many orders were taken, or the name of the error; ValueError: nothing that can be read."""
    if answer.outcome != "answered":
        raise ValueError(answer.outcome)
    if b"<!" in answer.body:  # entities can swell without bound, no answer needs them
        raise ValueError("a document type")
    try:
        root = ElementTree.fromstring(answer.body)
    except ElementTree.ParseError as bad:
        raise ValueError(f"no XML: {bad}") from None
    if (code := root.findtext(".//Code")) is not None:
        return code.strip()
    count = (root.findtext(".//results/item/ok_count") or "").strip()
    if answer.status != 200 or not (count.isascii() and count.isdigit()):
        raise ValueError(f"status {answer.status}, no count")
    return int(count)
