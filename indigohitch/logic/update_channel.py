"""The channel to the proxies: how many routes may still wait in it, and how many it takes now."""

from collections import deque
from collections.abc import Collection

from ..interface import SECOND
from .rate_limit import MessageRateLimit

MAX_PENDING_SHARE = 0.9  # of the settings' bound, what may wait with all calls sent again
UNACKNOWLEDGED_DRAIN_SHARE = 1 / 8  # of the settings' pace, what leaves without an acknowledged marker
WINDOW_MARGIN = 1.1  # messages are counted over a little more than the settings' window
URGENT_SHARE = 0.8  # of the settings' bound, what an urgent update may fill
MIN_UPDATE = 8  # routes that an ordinary update to all may always hold
MARKER_LINES = 2  # the marker, and the admission ratio for all tables


class UpdateChannel:
    """Counts what is sent to the proxies against the settings' bounds."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.last_marker = 0
        self.backlog = 0.0  # lines that may still wait
        self.backlog_at = 0
        self.max_messages: int = settings.get("messages_most", 0)
        self.counting_window: int = settings.get("counted_over", 10 * SECOND)
        self.messages = MessageRateLimit(self.max_messages, round(WINDOW_MARGIN * self.counting_window))
        # By marker: lines to each proxy, and the proxies that have not acknowledged it.
        self.unacked: dict[int, tuple[int, set[int]]] = {}

    @property
    def sent(self) -> deque[int]:
        """The times at which messages were sent, in ticks."""
        return self.messages.sent

    @sent.setter
    def sent(self, times: deque[int]) -> None:
        """Replace the times at which messages were sent."""
        self.messages.sent = times

    def pace(self) -> float:
        """Return the lines a tick that leave the channel on a slow day: half of the settings' pace."""
        return self.settings.get("lines_per_s", 10000) / 2 / SECOND

    def free_capacity(self, now: int, proxies: int, urgent: bool, need: int, failing: bool) -> int:
        """Return how many lines a message to all may hold now; 0: no message now.

        A piece of what is needed goes out only where it takes at least half of an empty channel.
        """
        self._drain(now)
        if not self._may_send(now, urgent, failing):
            return 0
        proxies = proxies or 1
        head = self.settings.get("envelope", 0) + MARKER_LINES
        share = self.settings.get("queue_cap", 10**6) * URGENT_SHARE
        if not urgent:
            usual = share * (0.8 if failing else 0.5)
            share = min(share, max(usual, proxies * (head + MIN_UPDATE)))
        free = (share - self.backlog) / proxies - head
        return int(free) if free >= min(need, (share / proxies - head) / 2) else 0

    def _drain(self, now: int) -> None:
        """Update the backlog: acknowledged lines have left, and an eighth of the pace in any case.

        A channel may run at a fifth of its pace.
        """
        self.unacked = {marker: sent for marker, sent in self.unacked.items() if sent[1]}
        drained = self.backlog - (now - self.backlog_at) * self.pace() * 2 * UNACKNOWLEDGED_DRAIN_SHARE
        waiting = sum(lines * len(proxies) for lines, proxies in self.unacked.values())
        self.backlog = max(0.0, min(drained, waiting))
        self.backlog_at = now

    def _may_send(self, now: int, urgent: bool, failing: bool) -> bool:
        """Return whether a message may go now.

        What is not urgent gets half of the messages, evenly spaced; three quarters while many attempts fail.
        """
        if self.messages.free_at(now, urgent) > now:
            return False
        used = len(self.sent)
        if not self.max_messages or not used or urgent:
            return True
        allowed = self.max_messages * 3 // 4 if failing else self.max_messages // 2
        return used < allowed and now - self.sent[-1] >= self.counting_window / (allowed or 1)

    def send(self, now: int, lines: int, proxies: Collection[int]) -> int:
        """Count a message of so many lines to each proxy; returns its marker."""
        lines += self.settings.get("envelope", 0) + MARKER_LINES
        self.backlog += len(proxies) * lines
        self.messages.record_sent(now)
        self.last_marker = (self.last_marker + 1) % 65536
        self.unacked[self.last_marker] = lines, set(proxies)
        return self.last_marker

    def acknowledge(self, proxy: int, marker: int | None) -> None:
        """Take in that a proxy has applied all up to this marker: messages arrive in order."""
        if marker not in self.unacked:
            return
        for sent, (_, proxies) in self.unacked.items():
            proxies.discard(proxy)
            if sent == marker:
                break
