"""Limit on the lines waiting in the channel to the proxies, with every sent call counted, also retries.

The decision module counts each order once. A call with an unknown outcome may have been applied, so its retry
may be in the channel a second time: two large calls together can exceed the limit of the settings.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from .. import interface as face
from ..net.clock import SECOND
from .call_codec import split_index


@dataclass(slots=True, eq=False)
class SentCall:
    """A call that may still be in the channel."""

    lines_per_proxy: int  # lines to each proxy
    marker: int | None
    pending_proxies: set[int]  # proxies that have not acknowledged it

    @property
    def lines(self) -> int:
        """Lines of the call to all proxies that have not acknowledged it."""
        return self.lines_per_proxy * len(self.pending_proxies)


class ChannelBacklog:
    """Estimates the lines in the channel and limits them to `max_lines` (0: no limit).

    Lines that proxies acknowledged by markers have left; of the rest `drain_rate` leave per second. Both
    values come from the decision module, as fractions of the settings (logic/update_channel.py).
    """

    def __init__(
        self,
        max_lines: float,
        drain_rate: float,
        overhead_lines: int = 0,
        proxies: Callable[[], Collection[int]] = tuple,
    ) -> None:
        """Create an empty channel; each call goes to all `proxies` with `overhead_lines` more lines each."""
        self.max_lines = max_lines
        self.drain_rate = drain_rate
        self.overhead_lines = overhead_lines
        self.proxies = proxies
        self.calls: list[SentCall] = []  # in the order they were sent
        self.lines = 0.0  # estimate of the lines in the channel, as of `updated_at`
        self.updated_at = 0

    def size(self, orders: Sequence[face.Order]) -> int:
        """Return the number of lines of a call to all proxies."""
        return (len(orders) + self.overhead_lines) * len(self.proxies())

    def split_index(self, orders: Sequence[face.Order]) -> int:
        """Return how many of the orders fit in one call."""
        proxy_count = len(self.proxies())
        if not self.max_lines or not proxy_count:
            return len(orders)
        return split_index(orders, int(self.max_lines / proxy_count) - self.overhead_lines)

    def record_send(self, now: int, orders: Sequence[face.Order]) -> SentCall:
        """Count a call that is sent now and return its record."""
        self._drain(now)
        last = orders[-1]
        marker = last.marker if isinstance(last, face.UpdateMarker) else None
        call = SentCall(len(orders) + self.overhead_lines, marker, set(self.proxies()))
        self.calls.append(call)
        self.lines += call.lines
        return call

    def revert_send(self, call: SentCall) -> None:
        """Remove a call that is known not to have been applied."""
        if call in self.calls:
            self.calls.remove(call)
            self.lines = max(0.0, self.lines - call.lines)

    def acknowledge(self, proxy: int, marker: int) -> None:
        """Record that a proxy acknowledged a marker: messages arrive in order, so all up to it have left.

        A call that was sent twice may be acknowledged twice; after the first time one copy still waits.
        """
        ends = [
            position
            for position, call in enumerate(self.calls, 1)
            if call.marker == marker and proxy in call.pending_proxies
        ]
        for call in self.calls[: ends[0]] if ends else ():
            call.pending_proxies.discard(proxy)

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy that has left: no line waits for it any longer."""
        for call in self.calls:
            call.pending_proxies.discard(proxy)

    def fits_at(self, now: int, lines: int) -> int:
        """Return the time at which `lines` more lines fit, if no marker is acknowledged before.

        A call that exceeds the limit by itself fits once the channel is empty.
        """
        self._drain(now)
        excess = self.lines - max(0.0, self.max_lines - lines)
        if not self.max_lines or not self.drain_rate or excess <= 0:
            return now
        return now + int(excess * SECOND / self.drain_rate) + 1

    def _drain(self, now: int) -> None:
        self.calls = [call for call in self.calls if call.pending_proxies]
        remaining = self.lines - (now - self.updated_at) * self.drain_rate / SECOND
        self.lines = max(0.0, min(remaining, sum(call.lines for call in self.calls)))
        self.updated_at = now
