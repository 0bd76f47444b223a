"""Encoding of calls to the relay, merging of orders that override each other, and parsing of responses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from urllib.parse import urlencode
from xml.etree import ElementTree

from .. import interface as face
from ..net.http_exchange import HttpResponse

MAX_CALL_BYTES = 60_000  # limit of the protocol for the orders of one call
FORM_CONTENT_TYPE = "application/x-www-form-urlencoded"
UNSUPPORTED_ORDERS = {
    face.BindTable: "Bind",
    face.SendToPeer: "TellPeer",
}  # orders the relay has no command for; their names in the log


def encode_form(orders: str) -> bytes:
    """Return the form body of a call; `orders` is the encoded list of orders."""
    return urlencode({"Action": "CommitChanges", "orders": orders}).encode("ascii")


def encode_order(order: face.Order, methods: Sequence[str]) -> str:
    """Return an order as text for the relay; TypeError if the relay has no command for it."""
    match order:
        case face.SetRoute(table, backend, weight):
            return f"put,{table},{backend},{weight}"
        case face.ClearTable(table):
            return f"wipe,{table}"
        case face.EjectBackend(backend, out):
            return f"{'eject' if out else 'uneject'},{backend}"
        case face.SetAdmission(table, places, level, tries):
            scope = "*" if table == face.ALL_TABLES else table
            return f"gate,{scope},{'+'.join(methods[p] for p in places) or '*'},{level},{tries}"
        case face.UpdateMarker(mark, everyone):
            return f"fence,{mark},{int(everyone)}"
    raise TypeError(f"not an order for the relay: {order}")


def order_key(order: face.Order) -> tuple:
    """Return the key of what an order sets; a later order with the same key overrides it."""
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
    """Return the orders without those that a later one overrides; the final result is the same.

    Routes of a table are kept together, at the position of the last one: when they are sent in several
    calls, no table is without a route between two calls.
    """
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
    """Split orders into calls of at most MAX_CALL_BYTES each."""
    call: list[face.Order] = []
    free_bytes = MAX_CALL_BYTES + 1  # the last order has no separator
    for order in orders:
        size = len(encode_order(order, methods)) + 1
        if free_bytes < size:
            yield call
            call = []
            free_bytes = MAX_CALL_BYTES + 1
        call.append(order)
        free_bytes -= size
    yield call


def split_index(orders: Sequence[face.Order], max_orders: int) -> int:
    """Return how many orders, at least one, go in a call of `max_orders`; a table's routes stay together."""
    limit = max(1, max_orders)
    if limit >= len(orders):
        return len(orders)
    index = limit
    while index and _same_table(orders[index - 1], orders[index]):
        index -= 1
    return index or limit


def _same_table(first: face.Order, second: face.Order) -> bool:
    return (
        isinstance(first, face.SetRoute) and isinstance(second, face.SetRoute) and first.table == second.table
    )


def parse_response(answer: HttpResponse) -> int | str:
    """Return the number of applied orders or the error code; ValueError if the response is unreadable."""
    if answer.outcome != "answered":
        raise ValueError(answer.outcome)
    if b"<!" in answer.body:  # entities can expand without limit, no response needs them
        raise ValueError("a document type")
    try:
        root = ElementTree.fromstring(answer.body)
    except ElementTree.ParseError as error:
        raise ValueError(f"no XML: {error}") from None
    if (code := root.findtext(".//Code")) is not None:
        return code.strip()
    count = (root.findtext(".//results/item/ok_count") or "").strip()
    if answer.status != 200 or not (count.isascii() and count.isdigit()):
        raise ValueError(f"status {answer.status}, no count")
    return int(count)
