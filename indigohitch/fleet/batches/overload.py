"""Detects on one member that batches slow down its interactive RPCs.  No I/O.

The member compares their latency with its own baseline and asks nobody: a few slow RPCs, one soon after the
other, pause its batches at once.  A cumulative sum (CUSUM, Page 1954) tells them from a single slow RPC: it
grows with each slow RPC and shrinks with each fast one.
"""

from __future__ import annotations

from ...net.clock import SECOND

BASELINE_RPCS = 32  # RPCs from which the first baseline is taken
# An RPC counts as slow above this multiple of the baseline, plus 1 ms as a margin for clock noise.
SLOW_RATIO, CLOCK_NOISE = 1.15, 10
# Without overload one RPC in ten exceeds the baseline and fewer count as slow, so the sum falls by 0.2 per
# RPC on average. Six slow RPCs in a row, or ten of twenty, raise it to the threshold. The cap lets 36 fast
# RPCs clear it.
FAST_DECREMENT, THRESHOLD, SUM_CAP = 1 / 3, 6.0, 12.0
# After this long without an interactive RPC there is no interactive traffic that batches could slow down.
IDLE = SECOND
# An RPC moves the baseline by at most 1 part in this many, so that a burst of some seconds hardly changes it.
ADAPTATION = 512
MEAN_SPAN = 5 * SECOND  # the reported concurrency is a mean over this span


class OverloadDetector:
    """Tells from the latency of interactive RPCs whether this member is overloaded.

    `baseline`: the latency in tenths of a ms that one RPC in ten exceeds while no batch runs here; 0 until it
    is known.  `batches_running`: set by the owner while batches run here, as they may be the reason of a high
    latency. `overload_count`: how often an overload began.
    """

    def __init__(self) -> None:
        self.baseline, self.excess = 0.0, 0.0
        self.overloaded = self.batches_running = False
        self.overload_count = 0
        self._first_latencies: list[int] = []
        self._last_rpc_at = 0
        self._latency_sum, self._mean_since, self._mean_concurrency = 0, 0, 0

    def record_latency(self, now: int, latency: int) -> None:
        """Records that an interactive RPC was answered `latency` after it arrived (tenths of a ms)."""
        self._last_rpc_at = now
        self._latency_sum += latency
        if not self.baseline:
            self._first_latencies.append(latency)
            if len(self._first_latencies) >= BASELINE_RPCS:
                self.baseline = float(sorted(self._first_latencies)[BASELINE_RPCS * 9 // 10])
            return
        if latency > self.baseline * SLOW_RATIO + CLOCK_NOISE:
            self.excess = min(SUM_CAP, self.excess + 1)
        else:
            self.excess = max(0.0, self.excess - FAST_DECREMENT)
        if latency <= self.baseline:
            self.baseline -= self.baseline / ADAPTATION / 10
        elif not self.batches_running:  # otherwise batches would raise the baseline little by little
            self.baseline += self.baseline / ADAPTATION * 9 / 10
        self.update_state()

    def update_state(self) -> None:
        """Sets `overloaded` when the sum reaches its threshold, and clears it when the sum is 0."""
        if not self.overloaded and self.excess >= THRESHOLD:
            self.overloaded, self.overload_count = True, self.overload_count + 1
        elif self.overloaded and self.excess <= 0:
            self.overloaded = False

    def is_overloaded(self, now: int) -> bool:
        """Returns whether this member is overloaded; a second without interactive RPCs ends it."""
        if now - self._last_rpc_at >= IDLE:
            self.excess = 0.0
            self.update_state()
        return self.overloaded

    def concurrency(self, now: int) -> int:
        """Returns the mean number of interactive RPCs in progress, in hundredths (Little's law)."""
        if now - self._mean_since >= MEAN_SPAN:
            self._mean_concurrency = (
                100 * self._latency_sum // (now - self._mean_since) if self._mean_since else 0
            )
            self._latency_sum, self._mean_since = 0, now
        return self._mean_concurrency
