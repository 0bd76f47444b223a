"""The channel to the proxies: what may still wait in it, and how much it takes now."""
from collections import deque

from ..interface import SECOND

# Of the settings' bound, what may wait with all calls sent again; of their pace, what leaves unmarked.
WAITING_MOST, UNMARKED_PACE = 0.9, 1 / 8


class Channel:
    def __init__(self, boot: dict) -> None:
        self.boot, self.mark, self.backlog, self.backlog_at = boot, 0, 0.0, 0   # lines that may still wait
        self.sent: deque[int] = deque()         # when messages went out
        self.unacked: dict[int, tuple[int, set[int]]] = {}      # by mark: lines each, proxies to answer yet

    def pace(self) -> float:
        return self.boot.get("lines_per_s", 10000) / 2 / SECOND

    def room(self, now: int, proxies: int, urgent: bool, need: int, troubled: bool) -> int:
        """How many lines a message to all may hold now; pieces take half of an empty channel at least."""
        self.unacked = {mark: sent for mark, sent in self.unacked.items() if sent[1]}
        # A channel may run at a fifth of its pace: what counts is answered marks, else an eighth of it.
        left = self.backlog - (now - self.backlog_at) * self.pace() * 2 * UNMARKED_PACE
        self.backlog = max(0.0, min(left, sum(n * len(waiting) for n, waiting in self.unacked.values())))
        self.backlog_at = now
        most, over = self.boot.get("messages_most", 0), self.boot.get("counted_over", 10 * SECOND)
        while self.sent and self.sent[0] <= now - 1.1 * over:
            self.sent.popleft()
        # Half of the messages, evenly spaced, for what is not urgent; three quarters while many tries fail.
        half, used = (most * 3 // 4 if troubled else most // 2), len(self.sent)
        if most and used and (used >= (most if urgent else half) or (used >= half or not urgent)
                              and now - self.sent[-1] < over / (most if urgent else half)):
            return 0
        each, head = proxies or 1, self.boot.get("envelope", 0) + 2
        share = self.boot.get("queue_cap", 10 ** 6) * 0.8
        share = share if urgent else min(share, max(share * (0.5, 0.8)[troubled], each * (head + 8)))
        free = (share - self.backlog) / each - head
        return int(free) if free >= min(need, (share / each - head) / 2) else 0

    def send(self, now: int, lines: int, proxies) -> int:
        """A message of so many lines to each goes out; its mark."""
        lines += self.boot.get("envelope", 0) + 2       # the mark's, and that of the level for all
        self.backlog += len(proxies) * lines
        self.sent.append(now)
        self.mark = (self.mark + 1) % 65536
        self.unacked[self.mark] = lines, set(proxies)
        return self.mark

    def answered(self, proxy: int, upto: int | None) -> None:
        """Messages arrive in order: what went to that proxy up to this mark has left the channel."""
        for mark, (_, proxies) in self.unacked.items() if upto in self.unacked else ():
            proxies.discard(proxy)
            if mark == upto:
                break
