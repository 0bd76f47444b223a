"""Orders that wait for the relay, as calls in turn.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Sequence

from .. import interface as face
from ..log import Log
from ..logic.call_scheduling import is_urgent, urgent_orders_first
from .call_codec import merge_orders, split_by_size
from .channel_backlog import ChannelBacklog


class Outbox:
    """The first call may be out, or in doubt; then it stays as it is."""

    # Calls that may wait, some ten seconds of the module's replies; past that they are merged, so that all
    # is bounded.
    WAITING = 8

    def __init__(self, log: Log, methods: Sequence[str], backlog: ChannelBacklog) -> None:
        self.log, self.methods, self.backlog = log, methods, backlog
        self.calls: deque[list[face.Order]] = deque()
        # Which tables among orders have a time limit to keep, as things stand.
        self.urgent: Callable[[Sequence[face.Order]], Collection[int]] = lambda orders: ()

    def pending(self) -> list[face.Order]:
        """All that is ordered and not known to stand, in order."""
        return [order for call in self.calls for order in call]

    def add(self, orders: Sequence[face.Order], joins: bool = False) -> None:
        """`joins`: they may be a part of the last call that waits, where that is no reply of the module."""
        if joins and len(self.calls) > 1 and not isinstance(self.calls[-1][-1], face.UpdateMarker):
            orders = [*self.calls.pop(), *orders]
        self.calls += split_by_size(orders, self.methods)
        if len(self.calls) > 1 + self.WAITING:
            # The relay is out of reach: what waits is bounded by what there is to set, nothing is lost.
            out, later = self.calls.popleft(), self.pending()
            self.calls = deque([out, *split_by_size(merge_orders(later), self.methods)])
            self.log.warning("calls_merged", orders=len(later))

    def gather(self) -> None:
        """Make as few calls of all that waits as can be, with what is urgent in the first."""
        orders = merge_orders(self.pending())
        orders = urgent_orders_first(orders, self.urgent(orders))
        if len(self.calls) > 1:
            self.log.count("calls_batched", len(self.calls))
        self.calls = deque(split_by_size(orders, self.methods))

    def any_urgent_waits(self) -> bool:
        """Whether any call has orders that are urgent."""
        return any(map(self._urgent, self.calls))

    def any_urgent(self) -> bool:
        """Whether the first call has any, wherever they stand."""
        return self._urgent(self.calls[0])

    def _urgent(self, call: Sequence[face.Order]) -> bool:
        return any(isinstance(order, face.EjectBackend) for order in call) or bool(self.urgent(call))

    def urgent_in(self, call: Sequence[face.Order]) -> int:
        """How many of a call's orders lead."""
        tables = self.urgent(call)
        return sum(is_urgent(order, tables) for order in call)

    def urgent_first(self) -> int:
        """How many orders lead the first call that are urgent, as they stand there."""
        call = self.calls[0]
        tables = self.urgent(call)
        return next((at for at, order in enumerate(call) if not is_urgent(order, tables)), len(call))

    def cut_to_the_channel(self) -> None:
        """One with more lines than may wait, as by merging or by proxies that joined, goes in parts."""
        orders = self.calls[0]
        if (at := self.backlog.split_index(orders)) < len(orders):
            self.log.count("calls_split_to_channel")
            self.cut(at)

    def cut(self, at: int) -> None:
        """The first call goes as two, of which the first has so many orders."""
        orders = self.calls.popleft()
        self.calls.extendleft([orders[at:], orders[:at]])

    def leave_out(self, orders: Sequence[face.Order]) -> None:
        """The first call goes without these."""
        void = set(map(id, orders))
        self.calls[0] = [order for order in self.calls[0] if id(order) not in void]

    def take(self, count: int, refused: bool) -> tuple[list[face.Order], list[face.Order]]:
        """So many orders of the first call stand, and the next one is `refused`, or goes again with the rest.
        Returns those that stand, and what was refused."""
        orders = self.calls.popleft()
        rest, never = orders[count:], []
        if rest and refused:
            never.append(rest.pop(0))
        if rest:
            self.calls.appendleft(rest)
        return orders[:count], never
