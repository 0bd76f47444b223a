"""Queue of orders for the relay, grouped into calls. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Sequence

from .. import interface as face
from ..log import Log
from ..logic.call_scheduling import is_urgent, urgent_orders_first
from .call_codec import merge_orders, split_by_size
from .channel_backlog import ChannelBacklog


class Outbox:
    """Calls in the order they are sent; the first may be in flight or unresolved, then it stays unchanged."""

    # Calls that may wait, about ten seconds of the decision module's replies; beyond that they are merged, so
    # that the queue is bounded.
    MAX_WAITING_CALLS = 8

    def __init__(self, log: Log, methods: Sequence[str], backlog: ChannelBacklog) -> None:
        self.log = log
        self.methods = methods
        self.backlog = backlog
        self.calls: deque[list[face.Order]] = deque()
        # Returns the tables among the orders that have a deadline at present.
        self.urgent: Callable[[Sequence[face.Order]], Collection[int]] = lambda orders: ()

    def pending(self) -> list[face.Order]:
        """Return all orders not known to be applied, in order."""
        return [order for call in self.calls for order in call]

    def add(self, orders: Sequence[face.Order], joins: bool = False) -> None:
        """Append orders; `joins`: they may extend the last waiting call unless it is a module reply."""
        if joins and len(self.calls) > 1 and not isinstance(self.calls[-1][-1], face.UpdateMarker):
            orders = [*self.calls.pop(), *orders]
        self.calls += split_by_size(orders, self.methods)
        if len(self.calls) > 1 + self.MAX_WAITING_CALLS:
            # The relay is unreachable: merged orders are bounded by what there is to set, and none is lost.
            first = self.calls.popleft()
            later = self.pending()
            self.calls = deque([first, *split_by_size(merge_orders(later), self.methods)])
            self.log.warning("calls_merged", orders=len(later))

    def merge_calls(self) -> None:
        """Merge all orders into as few calls as possible, with the urgent ones first."""
        orders = merge_orders(self.pending())
        orders = urgent_orders_first(orders, self.urgent(orders))
        if len(self.calls) > 1:
            self.log.count("calls_batched", len(self.calls))
        self.calls = deque(split_by_size(orders, self.methods))

    def any_urgent_waits(self) -> bool:
        """Whether any call has urgent orders."""
        return any(map(self._urgent, self.calls))

    def any_urgent(self) -> bool:
        """Whether the first call has urgent orders, at any position."""
        return self._urgent(self.calls[0])

    def _urgent(self, call: Sequence[face.Order]) -> bool:
        return any(isinstance(order, face.EjectBackend) for order in call) or bool(self.urgent(call))

    def urgent_in(self, call: Sequence[face.Order]) -> int:
        """Return the number of urgent orders in a call."""
        tables = self.urgent(call)
        return sum(is_urgent(order, tables) for order in call)

    def urgent_first(self) -> int:
        """Return how many urgent orders the first call begins with."""
        call = self.calls[0]
        tables = self.urgent(call)
        return next((index for index, order in enumerate(call) if not is_urgent(order, tables)), len(call))

    def cut_to_the_channel(self) -> None:
        """Split the first call if it exceeds the channel, as after a merge or when proxies have joined."""
        orders = self.calls[0]
        count = self.backlog.split_index(orders)
        if count < len(orders):
            self.log.count("calls_split_to_channel")
            self.cut(count)

    def cut(self, count: int) -> None:
        """Split the first call in two, the first with `count` orders."""
        orders = self.calls.popleft()
        self.calls.extendleft([orders[count:], orders[:count]])

    def leave_out(self, orders: Sequence[face.Order]) -> None:
        """Remove these order objects from the first call."""
        void = set(map(id, orders))
        self.calls[0] = [order for order in self.calls[0] if id(order) not in void]

    def take(self, count: int, refused: bool) -> tuple[list[face.Order], list[face.Order]]:
        """Remove `count` applied orders from the first call; the rest stays queued.

        With `refused` the order after them was rejected and is removed too. Returns the applied and the
        rejected orders.
        """
        orders = self.calls.popleft()
        rest = orders[count:]
        rejected: list[face.Order] = []
        if rest and refused:
            rejected.append(rest.pop(0))
        if rest:
            self.calls.appendleft(rest)
        return orders[:count], rejected
