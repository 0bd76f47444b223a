"""How many lines may wait in the channel to the proxies, by all calls that went out, repeats among them.

The module counts what it orders, once.  A call whose outcome is unclear may have been carried out, and the
same again lies in the channel twice: two large ones together are more than the settings let wait there."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from .. import interface as face
from ..net.clock import SECOND
from .call_codec import split_index


@dataclass(slots=True, eq=False)
class SentCall:
    """A call that may lie in the channel."""

    lines_per_proxy: int  # lines to each proxy
    marker: int | None
    pending_proxies: set[int]  # proxies that have not taken it

    @property
    def lines(self) -> int:
        return self.lines_per_proxy * len(self.pending_proxies)


class ChannelBacklog:
    """At most `most` lines (0: any number) may wait.

    What proxies have answered by marks has left.  Of the rest `pace` lines leave in a second.  Both come from
    the decision module, as shares of the settings' (logic/channel.py)."""

    def __init__(
        self, most: float, pace: float, head: int = 0, proxies: Callable[[], Collection[int]] = tuple
    ) -> None:
        """Each call goes to all `proxies`, with `head` lines of its own."""
        self.max_lines, self.drain_rate = most, pace
        self.overhead_lines, self.proxies = head, proxies
        self.calls: list[SentCall] = []  # in the order in which they went
        self.lines, self.updated_at = 0.0, 0  # that may wait, and when

    def size(self, orders: Sequence[face.Order]) -> int:
        """Lines of a call to all proxies."""
        return (len(orders) + self.overhead_lines) * len(self.proxies())

    def split_index(self, orders: Sequence[face.Order]) -> int:
        """How many of the orders may go in one call."""
        many = len(self.proxies())
        return (
            split_index(orders, int(self.max_lines / many) - self.overhead_lines)
            if self.max_lines and many
            else len(orders)
        )

    def record_send(self, now: int, orders: Sequence[face.Order]) -> SentCall:
        self._drain(now)
        last = orders[-1]
        mark = last.marker if isinstance(last, face.UpdateMarker) else None
        call = SentCall(len(orders) + self.overhead_lines, mark, set(self.proxies()))
        self.calls.append(call)
        self.lines += call.lines
        return call

    def revert_send(self, call: SentCall) -> None:
        """It was surely not carried out."""
        if call in self.calls:
            self.calls.remove(call)
            self.lines = max(0.0, self.lines - call.lines)

    def acknowledge(self, proxy: int, mark: int) -> None:
        """Messages arrive in order: what went to that proxy up to this mark has left.  A call that went twice
        may be answered twice, and the second copy waits still at the first answer."""
        ends = [
            at
            for at, call in enumerate(self.calls, 1)
            if call.marker == mark and proxy in call.pending_proxies
        ]
        for call in self.calls[: ends[0]] if ends else ():
            call.pending_proxies.discard(proxy)

    def remove_proxy(self, proxy: int) -> None:
        """Nothing waits for it now."""
        for call in self.calls:
            call.pending_proxies.discard(proxy)

    def fits_at(self, now: int, lines: int) -> int:
        """From when on so many lines more may wait, where no mark makes room sooner; what is too many alone,
        once none does."""
        self._drain(now)
        over = self.lines - max(0.0, self.max_lines - lines)
        if not self.max_lines or not self.drain_rate or over <= 0:
            return now
        return now + int(over * SECOND / self.drain_rate) + 1

    def _drain(self, now: int) -> None:
        self.calls = [call for call in self.calls if call.pending_proxies]
        left = self.lines - (now - self.updated_at) * self.drain_rate / SECOND
        self.lines = max(0.0, min(left, sum(call.lines for call in self.calls)))
        self.updated_at = now
