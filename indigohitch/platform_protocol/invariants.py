"""Invariants of calls to the relay, checked before each attempt to send one.

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
    """Rule that every call must satisfy; the value names the violation in the log and the counters."""

    MESSAGE_LIMIT = "message_limit"  # a proxy gets at most the permitted messages within the window
    BACKLOG_LIMIT = "channel_full"  # the channel backlog stays within its limit
    ONE_AT_A_TIME = "call_beside_another"  # no call is sent while another is in flight
    RETRY_TIME = "repeat_too_soon"  # a retry is sent only after the previous attempt has settled
    DRAIN_GRACE = "line_at_leaving"  # no route is set to a backend whose drain grace period is over
    STATE_KNOWN = "call_before_start"  # no table is changed before any stored state is known


@dataclass(slots=True, frozen=True)
class Attempt:
    """A call that is about to be sent."""

    orders: Sequence[face.Order]
    lines: int  # lines to all proxies
    previous_sent_at: int | None  # time of the previous attempt in ticks; None if there was none
    call_in_flight: bool  # another call is in flight


class InvariantChecker:
    """Checks each call to the relay against the invariants and reports violations."""

    MAX_LOGGED_BACKENDS = 20  # per log line
    RETRY_DELAY = SECOND // 4  # until a rejected call is checked again
    SETTLE_TIME = SECOND // 20  # a call is applied within this time of being sent, or never

    def __init__(self, log: Log, max_messages: int, window: int, backlog: ChannelBacklog) -> None:
        """Allow each proxy `max_messages` messages (0: no limit) within `window` ticks."""
        self.log = log
        self.max_messages = max_messages
        self.window = window
        self.backlog = backlog
        self.sent_at: deque[int] = deque()  # send times within the last `window`
        self.has_stored_state: Callable[[], bool] = lambda: True  # returns whether any table is known
        self.is_grace_over: Callable[[str], bool] = lambda backend: False  # by backend id

    def check_send(self, now: int, attempt: Attempt) -> bool:
        """Return whether the call may be sent; called directly before each attempt."""
        while self.sent_at and self.sent_at[0] <= now - self.window:
            self.sent_at.popleft()
        violated = [
            invariant
            for invariant, holds in (
                (Invariant.MESSAGE_LIMIT, not self.max_messages or len(self.sent_at) < self.max_messages),
                (Invariant.ONE_AT_A_TIME, not attempt.call_in_flight),
                (
                    Invariant.RETRY_TIME,
                    attempt.previous_sent_at is None or now >= attempt.previous_sent_at + self.SETTLE_TIME,
                ),
                (Invariant.STATE_KNOWN, self.has_stored_state() or not self._changes_tables(attempt.orders)),
            )
            if not holds
        ]
        for invariant in violated:
            self._report_violation(invariant, orders=len(attempt.orders), messages=len(self.sent_at))
        if self.backlog.max_lines and self.backlog.lines > 0 and self._exceeds_backlog(attempt.lines):
            self._report_violation(
                Invariant.BACKLOG_LIMIT, lines=attempt.lines, waiting=round(self.backlog.lines)
            )
        return not violated

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
            Invariant.DRAIN_GRACE,
            backends=sorted({order.backend for order in late})[: self.MAX_LOGGED_BACKENDS],
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
