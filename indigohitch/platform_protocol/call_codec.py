"""Encoding of calls to the relay, merging of orders that override each other, and parsing of responses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from urllib.parse import urlencode
from xml.etree import ElementTree

from .. import interface as face
from ..net.http_response import HttpResponse

MAX_CALL_BYTES = 60_000  # protocol limit for the encoded orders of one call
FORM_CONTENT_TYPE = "application/x-www-form-urlencoded"
# Orders that the relay has no command for, with their names in the log.
UNSUPPORTED_ORDERS = {
    face.BindTable: "Bind",
    face.SendToPeer: "TellPeer",
}


def encode_form(orders: str) -> bytes:
    """Return the form body of a call; `orders` holds the encoded orders, separated by semicolons."""
    return urlencode({"Action": "CommitChanges", "orders": orders}).encode("ascii")


def encode_order(order: face.Order, methods: Sequence[str]) -> str:
    """Return the relay command for an order; raises TypeError if the relay has none."""
    match order:
        case face.SetRoute(table, backend, weight):
            return f"put,{table},{backend},{weight}"
        case face.ClearTable(table):
            return f"wipe,{table}"
        case face.EjectBackend(backend, ejected):
            return f"{'eject' if ejected else 'uneject'},{backend}"
        case face.SetAdmission(table, indexes, admission_ratio, retry_level):
            scope = "*" if table == face.ALL_TABLES else table
            return (
                f"gate,{scope},{'+'.join(methods[index] for index in indexes) or '*'}"
                f",{admission_ratio},{retry_level}"
            )
        case face.UpdateMarker(marker, to_all_proxies):
            return f"fence,{marker},{int(to_all_proxies)}"
    raise TypeError(f"the relay has no command for this order: {order}")


def order_key(order: face.Order) -> tuple:
    """Return a key for the setting that an order changes; a later order with the same key overrides it."""
    match order:
        case face.SetRoute(table, backend, _):
            return "route", table, backend
        case face.SetAdmission(table, indexes, _, _):
            return "admission", table, indexes
        case face.EjectBackend(backend, _):
            return "ejection", backend
        case face.ClearTable(table):
            return "table", table
    return ("marker",)


def merge_orders(orders: Sequence[face.Order]) -> list[face.Order]:
    """Return the orders without those that a later one overrides; the final result is the same.

    Routes of a table are kept together, at the position of the last one: when they are sent in several
    calls, no table is without a route between two calls.
    """
    merged: dict[tuple, face.Order] = {}
    route_keys: dict[int, dict[tuple, None]] = {}  # keys of the routes of each table
    for order in orders:
        if isinstance(order, face.ClearTable):
            for cleared in [
                key for key in merged if key[0] in ("route", "admission") and key[1] == order.table
            ]:
                del merged[cleared]
            route_keys.pop(order.table, None)
        if isinstance(order, face.SetRoute):
            table_keys = route_keys.setdefault(order.table, {})
            table_keys.pop(order_key(order), None)
            for route_key in table_keys:
                merged[route_key] = merged.pop(route_key)
            table_keys[order_key(order)] = None
        merged.pop(order_key(order), None)
        merged[order_key(order)] = order
    return list(merged.values())


def split_by_size(orders: Sequence[face.Order], methods: Sequence[str]) -> Iterator[list[face.Order]]:
    """Split orders into calls of at most `MAX_CALL_BYTES` each."""
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
    """Return how many orders, at least one, fit a call of `max_orders`; a table's routes stay together."""
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


def parse_response(response: HttpResponse) -> int | str:
    """Return the number of applied orders or the error code; ValueError if the response is unreadable."""
    if response.outcome != "answered":
        raise ValueError(response.outcome)
    if b"<!" in response.body:  # no response needs entities, and they can expand without limit
        raise ValueError("response contains a document type declaration")
    try:
        root = ElementTree.fromstring(response.body)
    except ElementTree.ParseError as error:
        raise ValueError(f"response is not XML: {error}") from None
    if (code := root.findtext(".//Code")) is not None:
        return code.strip()
    count = (root.findtext(".//results/item/ok_count") or "").strip()
    if response.status != 200 or not (count.isascii() and count.isdigit()):
        raise ValueError(f"response with status {response.status} has no count of applied orders")
    return int(count)
