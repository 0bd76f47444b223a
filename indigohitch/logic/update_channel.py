"""The channel to the proxies: what may still wait in it, and how much it takes now."""

from collections import deque

from ..interface import SECOND
from .rate_limit import MessageRateLimit

# Of the settings' bound, what may wait with all calls sent again; of their pace, what leaves unmarked.
MAX_PENDING_SHARE, UNACKNOWLEDGED_DRAIN_SHARE = 0.9, 1 / 8


class UpdateChannel:
    def __init__(self, boot: dict) -> None:
        self.settings, self.last_marker, self.backlog, self.backlog_at = (
            boot,
            0,
            0.0,
            0,
        )  # lines that may still wait
        self.max_messages, self.counting_window = (
            boot.get("messages_most", 0),
            boot.get("counted_over", 10 * SECOND),
        )
        self.messages = MessageRateLimit(self.max_messages, round(1.1 * self.counting_window))
        self.unacked: dict[int, tuple[int, set[int]]] = {}  # by mark: lines each, proxies to answer yet

    @property
    def sent(self) -> deque[int]:
        """When messages went out."""
        return self.messages.sent

    @sent.setter
    def sent(self, times: deque[int]) -> None:
        self.messages.sent = times

    def pace(self) -> float:
        return self.settings.get("lines_per_s", 10000) / 2 / SECOND

    def free_capacity(self, now: int, proxies: int, urgent: bool, need: int, troubled: bool) -> int:
        """How many lines a message to all may hold now; pieces take half of an empty channel at least."""
        self.unacked = {mark: sent for mark, sent in self.unacked.items() if sent[1]}
        # A channel may run at a fifth of its pace: what counts is answered marks, else an eighth of it.
        left = self.backlog - (now - self.backlog_at) * self.pace() * 2 * UNACKNOWLEDGED_DRAIN_SHARE
        self.backlog = max(0.0, min(left, sum(n * len(waiting) for n, waiting in self.unacked.values())))
        self.backlog_at = now
        # Half of the messages, evenly spaced, for what is not urgent; three quarters while many tries fail.
        free = self.messages.free_at(now, urgent)
        half, used = (self.max_messages * 3 // 4 if troubled else self.max_messages // 2), len(self.sent)
        if (
            free > now
            or self.max_messages
            and used
            and not urgent
            and (used >= half or now - self.sent[-1] < self.counting_window / (half or 1))
        ):
            return 0
        each, head = proxies or 1, self.settings.get("envelope", 0) + 2
        share = self.settings.get("queue_cap", 10**6) * 0.8
        share = share if urgent else min(share, max(share * (0.5, 0.8)[troubled], each * (head + 8)))
        free = (share - self.backlog) / each - head
        return int(free) if free >= min(need, (share / each - head) / 2) else 0

    def send(self, now: int, lines: int, proxies) -> int:
        """A message of so many lines to each goes out; its mark."""
        lines += self.settings.get("envelope", 0) + 2  # the mark's, and that of the level for all
        self.backlog += len(proxies) * lines
        self.messages.record_sent(now)
        self.last_marker = (self.last_marker + 1) % 65536
        self.unacked[self.last_marker] = lines, set(proxies)
        return self.last_marker

    def acknowledge(self, proxy: int, upto: int | None) -> None:
        """Messages arrive in order: what went to that proxy up to this mark has left the channel."""
        for mark, (_, proxies) in self.unacked.items() if upto in self.unacked else ():
            proxies.discard(proxy)
            if mark == upto:
                break
