"""What the log tells of the calls to the relay: a number for each, and why it waits, goes again or ends."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .. import interface as face
from ..log import Log
from ..net.http_exchange import HttpResponse


@dataclass(slots=True, frozen=True)
class ChannelOccupancy:
    """How full the two bounds of the channel are as a call is considered."""

    messages: int  # written within the window that the settings count over
    lines: int  # that may still wait in the channel
    waiting: int  # calls in the queue, this one among them


class CallLog:
    """Numbers the calls of one process from 1 on; the same orders sent again keep their number."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.number = self.attempts = 0

    def start_call(self) -> None:
        """The orders at the head of the queue are other ones than those last sent."""
        self.number += 1
        self.attempts = 0

    def log_sent(self, orders: Sequence[face.Order], lines: int, found: ChannelOccupancy) -> None:
        """A call goes out with so many lines to all proxies."""
        self.attempts += 1
        self.log.event(
            "relay_call_sent",
            call=self.number,
            tries=self.attempts,
            orders=len(orders),
            lines=lines,
            messages=found.messages,
            lines_waiting=found.lines,
            calls=found.waiting,
        )

    def log_waiting(self, event: str, found: ChannelOccupancy, for_tenths: int, **fields) -> None:
        """The call at the head of the queue waits for the bound that `event` names."""
        self.log.warning(
            event,
            after_call=self.number,
            calls=found.waiting,
            messages=found.messages,
            lines_waiting=found.lines,
            for_ms=for_tenths / 10,
            **fields,
        )

    def log_unresolved(self, why: str, orders: Sequence[face.Order], answer: HttpResponse) -> None:
        """Whether the call was carried out is not known."""
        self.log.warning(
            "relay_call_unresolved",
            call=self.number,
            why=why,
            orders=len(orders),
            tries=self.attempts,
            after_ms=answer.duration / 10,
        )

    def log_applied(self, count: int, by: str) -> None:
        """So many orders of the call stand, as the answer, a mark or the store's tables tell."""
        self.log.event("relay_call_applied", call=self.number, tries=self.attempts, orders=count, by=by)
