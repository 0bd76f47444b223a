"""Flow control of the channel to the proxies, by an estimate of the lines that still wait in it.

A line is one entry of a message: a route, an admission ratio, an ejection or a marker.
"""

from collections import deque
from collections.abc import Collection

from ..interface import SECOND
from .rate_limit import MessageRateLimit

MAX_PENDING_SHARE = 0.9  # share of the bound `queue_cap` that may wait, with all calls sent again
UNACKNOWLEDGED_DRAIN_SHARE = 1 / 8  # share of `lines_per_s` assumed to leave without acknowledgements
WINDOW_MARGIN = 1.1  # factor on the window `counted_over`, to stay clear of the bound
URGENT_SHARE = 0.8  # share of the bound `queue_cap` that an urgent update may fill
MIN_UPDATE = 8  # lines that an ordinary update to all proxies may always hold
MARKER_LINES = 2  # lines of each message: the marker, and the admission ratio for all tables


class UpdateChannel:
    """Tracks what is sent to the proxies, and keeps it within the bounds of the settings."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.last_marker = 0
        self.backlog = 0.0  # estimate of the lines that still wait, over all proxies
        self.backlog_at = 0
        self.max_messages: int = settings.get("messages_most", 0)
        self.counting_window: int = settings.get("counted_over", 10 * SECOND)
        self.messages = MessageRateLimit(self.max_messages, round(WINDOW_MARGIN * self.counting_window))
        # By marker: the number of lines to each proxy, and the proxies that have not acknowledged it.
        self.unacked: dict[int, tuple[int, set[int]]] = {}

    @property
    def sent(self) -> deque[int]:
        """Returns the times at which messages were sent, in ticks."""
        return self.messages.sent

    @sent.setter
    def sent(self, times: deque[int]) -> None:
        """Replaces the times at which messages were sent."""
        self.messages.sent = times

    def drain_rate(self) -> float:
        """Returns the lines per tick that leave a slow channel: half of the rate in the settings."""
        return self.settings.get("lines_per_s", 10000) / 2 / SECOND

    def free_capacity(self, now: int, proxies: int, urgent: bool, needed: int, failing: bool) -> int:
        """Returns how many lines a message to all proxies may hold now; 0 means that no message may be sent.

        If not all of the needed lines fit, the message must be at least half of what an empty channel takes.
        """
        self._drain(now)
        if not self._may_send(now, urgent, failing):
            return 0
        proxies = proxies or 1
        overhead = self.settings.get("envelope", 0) + MARKER_LINES
        share = self.settings.get("queue_cap", 10**6) * URGENT_SHARE
        if not urgent:
            ordinary_share = share * (0.8 if failing else 0.5)
            share = min(share, max(ordinary_share, proxies * (overhead + MIN_UPDATE)))
        free = (share - self.backlog) / proxies - overhead
        return int(free) if free >= min(needed, (share / proxies - overhead) / 2) else 0

    def _drain(self, now: int) -> None:
        """Removes acknowledged lines from the backlog, and others at an eighth of the rate in the settings.

        An eighth is a safe estimate, as a channel may run at only a fifth of that rate.
        """
        self.unacked = {marker: sent for marker, sent in self.unacked.items() if sent[1]}
        drained = self.backlog - (now - self.backlog_at) * self.drain_rate() * 2 * UNACKNOWLEDGED_DRAIN_SHARE
        unacknowledged = sum(lines * len(proxies) for lines, proxies in self.unacked.values())
        self.backlog = max(0.0, min(drained, unacknowledged))
        self.backlog_at = now

    def _may_send(self, now: int, urgent: bool, failing: bool) -> bool:
        """Returns whether a message may be sent now.

        Ordinary updates get half of the messages, evenly spaced, and three quarters while many attempts fail.
        """
        if self.messages.free_at(now, urgent) > now:
            return False
        sent_count = len(self.sent)
        if not self.max_messages or not sent_count or urgent:
            return True
        allowed = self.max_messages * 3 // 4 if failing else self.max_messages // 2
        return sent_count < allowed and now - self.sent[-1] >= self.counting_window / (allowed or 1)

    def send(self, now: int, lines: int, proxies: Collection[int]) -> int:
        """Counts a message with this number of lines to each proxy, and returns its marker."""
        lines += self.settings.get("envelope", 0) + MARKER_LINES
        self.backlog += len(proxies) * lines
        self.messages.record_sent(now)
        self.last_marker = (self.last_marker + 1) % 65536
        self.unacked[self.last_marker] = lines, set(proxies)
        return self.last_marker

    def acknowledge(self, proxy: int, marker: int | None) -> None:
        """Records that a proxy has applied all messages up to this marker, as they arrive in order."""
        if marker not in self.unacked:
            return
        for sent, (_, proxies) in self.unacked.items():
            proxies.discard(proxy)
            if sent == marker:
                break
