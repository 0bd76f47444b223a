"""Queue of orders for the relay, grouped into calls. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Sequence

from .. import interface as face
from ..log import Log
from ..logic.call_scheduling import is_urgent, urgent_orders_first
from .call_codec import merge_orders, split_by_size
from .channel_backlog import ChannelBacklog


def _without_tables(call: list[face.Order], tables: Collection[int]) -> list[face.Order]:
    """Return the call without the orders for these tables; empty if only a marker would remain."""
    remaining = [order for order in call if getattr(order, "table", None) not in tables]
    if len(remaining) == len(call):
        return call
    return remaining if any(not isinstance(order, face.UpdateMarker) for order in remaining) else []


class Outbox:
    """Holds the calls in sending order; the first one stays unchanged while in flight or unresolved."""

    # About ten seconds of the decision module's replies. Beyond that the waiting calls are merged, so that
    # the queue is bounded.
    MAX_WAITING_CALLS = 8

    def __init__(self, log: Log, methods: Sequence[str], backlog: ChannelBacklog) -> None:
        self.log = log
        self.methods = methods
        self.backlog = backlog
        self.calls: deque[list[face.Order]] = deque()
        # Returns the tables among the orders that have a deadline at present.
        self.urgent_tables: Callable[[Sequence[face.Order]], Collection[int]] = lambda orders: ()

    def pending(self) -> list[face.Order]:
        """Return all orders not known to be applied, in order."""
        return [order for call in self.calls for order in call]

    def add(self, orders: Sequence[face.Order], joins: bool = False) -> None:
        """Append orders; `joins`: they may extend the last waiting call unless that is a module reply."""
        if joins and len(self.calls) > 1 and not isinstance(self.calls[-1][-1], face.UpdateMarker):
            orders = [*self.calls.pop(), *orders]
        self.calls += split_by_size(orders, self.methods)
        if len(self.calls) > 1 + self.MAX_WAITING_CALLS:
            # The relay is unreachable. Merged orders are bounded by the number of settings, and none is lost.
            first = self.calls.popleft()
            later = self.pending()
            self.calls = deque([first, *split_by_size(merge_orders(later), self.methods)])
            self.log.warning("calls_merged", orders=len(later))

    def merge_calls(self) -> None:
        """Merge all orders into as few calls as possible, with the urgent ones first."""
        orders = merge_orders(self.pending())
        orders = urgent_orders_first(orders, self.urgent_tables(orders))
        if len(self.calls) > 1:
            self.log.count("calls_batched", len(self.calls))
        self.calls = deque(split_by_size(orders, self.methods))

    def has_urgent_orders(self) -> bool:
        """Return whether any call has urgent orders."""
        return any(map(self._has_urgent_orders, self.calls))

    def is_first_urgent(self) -> bool:
        """Return whether the first call has urgent orders at any position."""
        return self._has_urgent_orders(self.calls[0])

    def _has_urgent_orders(self, call: Sequence[face.Order]) -> bool:
        return any(isinstance(order, face.EjectBackend) for order in call) or bool(self.urgent_tables(call))

    def urgent_count(self, call: Sequence[face.Order]) -> int:
        """Return the number of urgent orders in a call."""
        tables = self.urgent_tables(call)
        return sum(is_urgent(order, tables) for order in call)

    def leading_urgent_count(self) -> int:
        """Return the number of urgent orders that the first call begins with."""
        call = self.calls[0]
        tables = self.urgent_tables(call)
        return next((index for index, order in enumerate(call) if not is_urgent(order, tables)), len(call))

    def split_to_capacity(self) -> None:
        """Split the first call if it exceeds the channel, as after a merge or after proxies have joined."""
        orders = self.calls[0]
        count = self.backlog.split_index(orders)
        if count < len(orders):
            self.log.count("calls_split_to_channel")
            self.split_first_call(count)

    def split_first_call(self, count: int) -> None:
        """Split the first call in two, the first with `count` orders."""
        orders = self.calls.popleft()
        self.calls.extendleft([orders[count:], orders[:count]])

    def remove_from_first_call(self, orders: Sequence[face.Order]) -> None:
        """Remove these orders, compared by identity, from the first call."""
        removed_ids = set(map(id, orders))
        self.calls[0] = [order for order in self.calls[0] if id(order) not in removed_ids]

    def discard_tables(self, tables: Collection[int], keep_first: bool) -> None:
        """Remove the orders for these tables, and the calls of which only a marker remains.

        `keep_first`: the first call stays unchanged.
        """
        first = [self.calls.popleft()] if keep_first and self.calls else []
        remaining = (_without_tables(call, tables) for call in self.calls)
        self.calls = deque([*first, *filter(None, remaining)])

    def discard_from_first_call(self, tables: Collection[int]) -> None:
        """Remove the orders for these tables from the first call, or the call if only a marker remains."""
        if remaining := _without_tables(self.calls.popleft(), tables):
            self.calls.appendleft(remaining)

    def take(self, count: int, next_is_rejected: bool) -> tuple[list[face.Order], list[face.Order]]:
        """Remove `count` applied orders from the first call; the rest stays queued.

        With `next_is_rejected` the order after them is removed too. Returns the applied and the rejected
        orders.
        """
        orders = self.calls.popleft()
        remaining = orders[count:]
        rejected: list[face.Order] = []
        if remaining and next_is_rejected:
            rejected.append(remaining.pop(0))
        if remaining:
            self.calls.appendleft(remaining)
        return orders[:count], rejected
