"""When the next call may go by the bounds of the channel: messages within a window, and lines that wait."""

from __future__ import annotations

from ..logic.rate_limit import MessageRateLimit
from .call_log import CallLog, ChannelOccupancy
from .channel_backlog import ChannelBacklog, SentCall
from .outbox import Outbox


class ChannelLimits:
    def __init__(
        self, outbox: Outbox, pace: MessageRateLimit, backlog: ChannelBacklog, told: CallLog
    ) -> None:
        self.outbox, self.message_rate, self.backlog, self.call_log = outbox, pace, backlog, told
        self.sent_copies: list[SentCall] = []  # the first call, each time that it went
        self.blocked_lines = 0  # lines of the first call, while it waits for room in the channel

    def free_at(self, now: int, in_doubt: bool) -> int:
        """From when on the first call may go; one that is not `in_doubt` is cut to what may go sooner."""
        self.blocked_lines = 0
        if not in_doubt:
            self.outbox.cut_to_the_channel()
        size = self.backlog.size(self.outbox.calls[0])
        if not in_doubt and self.backlog.fits_at(now, size) > now and self.outbox.any_urgent_waits():
            size = self._split_urgent_part()
        free = self.message_rate.free_at(now, self.outbox.any_urgent())
        fits = self.backlog.fits_at(now, size)
        if free > now:
            self.call_log.log_waiting("call_rate_limited", self.occupancy(), free - now)
        if fits > now:
            # The module counts a call once, from when it ordered it: what went may lie in the channel twice,
            # and what had to wait for the relay has not begun to leave.
            self.blocked_lines = size
            self.call_log.log_waiting(
                "call_waits_for_channel_capacity", self.occupancy(), fits - now, lines=size
            )
        return max(free, fits)

    def _split_urgent_part(self) -> int:
        """The first call without what may wait for room in the channel; the lines of it."""
        self.outbox.gather()
        self.outbox.cut_to_the_channel()
        leading = self.outbox.urgent_first()
        if 0 < leading < len(self.outbox.calls[0]):
            self.outbox.cut(leading)
        return self.backlog.size(self.outbox.calls[0])

    def has_capacity(self, now: int) -> bool:
        """Whether a call that waits for room in the channel has it now."""
        return bool(self.blocked_lines) and self.backlog.fits_at(now, self.blocked_lines) <= now

    def record_send(self, now: int) -> None:
        """The first call goes out."""
        orders = self.outbox.calls[0]
        self.call_log.log_sent(orders, self.backlog.size(orders), self.occupancy())
        self.message_rate.record_sent(now)
        self.sent_copies.append(self.backlog.record_send(now, orders))

    def revert_last_send(self) -> None:
        """What went last surely came to nothing."""
        self.message_rate.undo_last()
        self.backlog.revert_send(self.sent_copies.pop())

    def revert_all_sends(self) -> int:
        """Nor did any of the same orders before; how many times they had gone."""
        many = min(len(self.sent_copies), len(self.message_rate.sent))
        for _ in range(many):
            self.revert_last_send()
        return many

    def occupancy(self) -> ChannelOccupancy:
        return ChannelOccupancy(
            len(self.message_rate.sent), round(self.backlog.lines), len(self.outbox.calls)
        )
