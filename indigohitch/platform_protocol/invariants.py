"""The invariants of calls to the relay, checked where each begins, goes again, ends or is given up.

Every call passes here whatever decided on it, and the counts are kept apart from those that decide: a wrong
decision or restored state shows as a violation, which is counted, told and, where it would break a rule, kept
from happening."""

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

    MESSAGES = "message_limit"  # a proxy gets no more messages than it may within the window
    LINES = "channel_full"  # no more lines wait in the channel than may
    ONE_AT_A_TIME = "call_beside_another"  # a call begins while another is out
    REPEAT = "repeat_too_soon"  # it goes again before the try before it can have been carried out or not
    LEAVING = "line_at_leaving"  # a line is set at a backend whose grace is over
    START = "call_before_start"  # a table is changed before the store has told of any


@dataclass(slots=True, frozen=True)
class Attempt:
    """A call that is about to go."""

    orders: Sequence[face.Order]
    lines: int  # to all proxies
    previous_sent_at: int | None  # when the same went last, None: it did not
    call_in_flight: bool  # another one is out


class InvariantChecker:
    MAX_LOGGED_BACKENDS = 20  # backends in one log line
    RETRY_DELAY = SECOND // 4  # until a call that may not go is looked at again
    SETTLE_TIME = SECOND // 20  # a call is carried out by then, counted from when it went, or never

    def __init__(self, log: Log, most: int, over: int, backlog: ChannelBacklog) -> None:
        """A proxy may get `most` messages (0: any number) within `over` tenths of a ms."""
        self.log, self.max_messages, self.window, self.backlog = log, most, over, backlog
        self.sent_at: deque[int] = deque()  # within the last `over`
        self.has_stored_state: Callable[[], bool] = lambda: True  # some table is known
        self.is_grace_over: Callable[[str], bool] = lambda backend: False  # its grace is over

    def check_send(self, now: int, attempt: Attempt) -> bool:
        """Whether it may go; called right before it does, for the first time or again."""
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
        self.sent_at.append(now)

    def revert_send(self) -> None:
        """What went last surely came to nothing."""
        if self.sent_at:
            self.sent_at.pop()

    def late_routes(self, orders: Sequence[face.Order]) -> list[face.Order]:
        """The lines among these that would be set at a backend whose grace is over."""
        return [
            order
            for order in orders
            if isinstance(order, face.SetRoute) and order.weight > 0 and self.is_grace_over(order.backend)
        ]

    def report_late_routes(self, late: Sequence[face.Order]) -> None:
        """These lines do not go, as they would break the rule on drains."""
        self._report_violation(
            Invariant.LEAVING, backends=sorted({order.backend for order in late})[: self.MAX_LOGGED_BACKENDS]
        )

    def report_exit(self, urgent: int, waiting: int) -> None:
        """The process ends with so many orders waiting, and so many of them with a time limit.  No rule is
        broken by it, as proxies go elsewhere once it was told to end; whoever comes next has to know."""
        if waiting:
            self.log.event("exited_with_pending_orders", urgent=urgent, orders=waiting)

    def _report_violation(self, invariant: Invariant, **fields) -> None:
        self.log.count(f"invariant_{invariant.value}")
        self.log.warning("invariant_violated", invariant=invariant.value, **fields)
