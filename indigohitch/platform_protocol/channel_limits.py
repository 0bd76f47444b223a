"""Computes when the limits of the channel (messages per window, waiting lines) allow the next call."""

from __future__ import annotations

from ..logic.rate_limit import MessageRateLimit
from .call_log import CallLog, ChannelOccupancy
from .channel_backlog import ChannelBacklog, SentCall
from .outbox import Outbox


class ChannelLimits:
    """Applies both limits of the channel to the first call of the outbox."""

    def __init__(
        self, outbox: Outbox, message_rate: MessageRateLimit, backlog: ChannelBacklog, call_log: CallLog
    ) -> None:
        self.outbox = outbox
        self.message_rate = message_rate
        self.backlog = backlog
        self.call_log = call_log
        self.sent_copies: list[SentCall] = []  # the first call, once for each time it was sent
        self.blocked_lines = 0  # lines of the first call while it waits for capacity, otherwise 0

    def free_at(self, now: int, is_unresolved: bool) -> int:
        """Return when the first call may be sent; unless it is unresolved, it is split to be sent sooner."""
        self.blocked_lines = 0
        if not is_unresolved:
            self.outbox.split_to_capacity()
        size = self.backlog.size(self.outbox.calls[0])
        if not is_unresolved and self.backlog.fits_at(now, size) > now and self.outbox.has_urgent_orders():
            size = self._split_urgent_part()
        rate_free_at = self.message_rate.free_at(now, self.outbox.is_first_urgent())
        fits_at = self.backlog.fits_at(now, size)
        if rate_free_at > now:
            self.call_log.log_waiting("call_rate_limited", self.occupancy(), rate_free_at - now)
        if fits_at > now:
            # The decision module counts a call once, from the time it was ordered. A retried call may be in
            # the channel twice, and a call that had to wait for the relay has not begun to leave it.
            self.blocked_lines = size
            self.call_log.log_waiting(
                "call_waits_for_channel_capacity", self.occupancy(), fits_at - now, lines=size
            )
        return max(rate_free_at, fits_at)

    def _split_urgent_part(self) -> int:
        """Reduce the first call to its urgent orders and return its lines."""
        self.outbox.merge_calls()
        self.outbox.split_to_capacity()
        leading = self.outbox.leading_urgent_count()
        if 0 < leading < len(self.outbox.calls[0]):
            self.outbox.split_first_call(leading)
        return self.backlog.size(self.outbox.calls[0])

    def has_capacity(self, now: int) -> bool:
        """Return whether the channel now has capacity for the call that waits for it."""
        return bool(self.blocked_lines) and self.backlog.fits_at(now, self.blocked_lines) <= now

    def record_send(self, now: int) -> None:
        """Record that the first call is sent now."""
        orders = self.outbox.calls[0]
        self.call_log.log_sent(orders, self.backlog.size(orders), self.occupancy())
        self.message_rate.record_sent(now)
        self.sent_copies.append(self.backlog.record_send(now, orders))

    def revert_last_send(self) -> None:
        """Undo the record of the last send, which is known not to have been applied."""
        self.message_rate.undo_last()
        self.backlog.revert_send(self.sent_copies.pop())

    def revert_all_sends(self) -> int:
        """Undo the records of all sends of the first call and return their number."""
        count = min(len(self.sent_copies), len(self.message_rate.sent))
        for _ in range(count):
            self.revert_last_send()
        return count

    def occupancy(self) -> ChannelOccupancy:
        """Return the current use of both limits, for the log."""
        return ChannelOccupancy(
            len(self.message_rate.sent), round(self.backlog.lines), len(self.outbox.calls)
        )
