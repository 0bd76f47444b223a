"""The invariants of calls to the relay, checked before each send, retry, completion or abandonment.

Every call is checked here, with counts separate from those that the decisions use. A wrong decision or
restored state shows as a violation, which is counted, logged and, where it would break a protocol rule,
prevented.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from .channel_backlog import ChannelBacklog


class Invariant(enum.Enum):
    """What must hold of every call."""

    MESSAGES = "message_limit"  # a proxy gets at most the permitted messages within the window
    LINES = "channel_full"  # the channel backlog stays within its limit
    ONE_AT_A_TIME = "call_beside_another"  # a call is sent while another is in flight
    REPEAT = "repeat_too_soon"  # a retry before the previous attempt has settled
    LEAVING = "line_at_leaving"  # a route is set to a backend whose drain grace period is over
    START = "call_before_start"  # a table is changed before any stored state is known


@dataclass(slots=True, frozen=True)
class Attempt:
    """A call that is about to be sent."""

    orders: Sequence[face.Order]
    lines: int  # to all proxies
    previous_sent_at: int | None  # time of the previous attempt in ticks, None: there was none
    call_in_flight: bool  # another call is in flight


class InvariantChecker:
    """Checks each call to the relay against the invariants and reports violations."""

    MAX_LOGGED_BACKENDS = 20  # backends in one log line
    RETRY_DELAY = SECOND // 4  # until a rejected call is checked again
    SETTLE_TIME = SECOND // 20  # after it was sent, a call is applied within this time or never

    def __init__(self, log: Log, max_messages: int, window: int, backlog: ChannelBacklog) -> None:
        """A proxy may get `max_messages` messages (0: any number) within `window` ticks."""
        self.log = log
        self.max_messages = max_messages
        self.window = window
        self.backlog = backlog
        self.sent_at: deque[int] = deque()  # send times within the last `window`
        self.has_stored_state: Callable[[], bool] = lambda: True  # whether any table is known
        self.is_grace_over: Callable[[str], bool] = lambda backend: False  # whether its grace period is over

    def check_send(self, now: int, attempt: Attempt) -> bool:
        """Whether the call may be sent; called directly before each attempt."""
        while self.sent_at and self.sent_at[0] <= now - self.window:
            self.sent_at.popleft()
        broken = [
            invariant
            for invariant, holds in (
                (Invariant.MESSAGES, not self.max_messages or len(self.sent_at) < self.max_messages),
                (Invariant.ONE_AT_A_TIME, not attempt.call_in_flight),
                (
                    Invariant.REPEAT,
                    attempt.previous_sent_at is None or now >= attempt.previous_sent_at + self.SETTLE_TIME,
                ),
                (Invariant.START, self.has_stored_state() or not self._changes_tables(attempt.orders)),
            )
            if not holds
        ]
        for invariant in broken:
            self._report_violation(invariant, orders=len(attempt.orders), messages=len(self.sent_at))
        if self.backlog.max_lines and self.backlog.lines > 0 and self._exceeds_backlog(attempt.lines):
            self._report_violation(Invariant.LINES, lines=attempt.lines, waiting=round(self.backlog.lines))
        return not broken

    def _exceeds_backlog(self, lines: int) -> bool:
        return self.backlog.lines + lines > self.backlog.max_lines and lines <= self.backlog.max_lines

    @staticmethod
    def _changes_tables(orders: Sequence[face.Order]) -> bool:
        return any(isinstance(order, (face.SetRoute, face.ClearTable)) for order in orders)

    def record_send(self, now: int) -> None:
        """Count a message sent at `now` (ticks)."""
        self.sent_at.append(now)

    def revert_send(self) -> None:
        """Undo `record_send` for a message that had no effect."""
        if self.sent_at:
            self.sent_at.pop()

    def late_routes(self, orders: Sequence[face.Order]) -> list[face.Order]:
        """Return the orders that would set a route to a backend whose grace period is over."""
        return [
            order
            for order in orders
            if isinstance(order, face.SetRoute) and order.weight > 0 and self.is_grace_over(order.backend)
        ]

    def report_late_routes(self, late: Sequence[face.Order]) -> None:
        """Report routes that are not sent because they would break the drain rule."""
        self._report_violation(
            Invariant.LEAVING, backends=sorted({order.backend for order in late})[: self.MAX_LOGGED_BACKENDS]
        )

    def report_exit(self, urgent: int, waiting: int) -> None:
        """Log the number of pending orders at exit, and how many of them have a time limit.

        This violates no invariant, as proxies use other coordinators after a shutdown request, but the
        successor needs the information.
        """
        if waiting:
            self.log.event("exited_with_pending_orders", urgent=urgent, orders=waiting)

    def _report_violation(self, invariant: Invariant, **fields: object) -> None:
        self.log.count(f"invariant_{invariant.value}")
        self.log.warning("invariant_violated", invariant=invariant.value, **fields)
