"""Log entries about calls to the relay: the number of each call, and why it waits, is retried or ends."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .. import interface as face
from ..log import Log
from ..net.http_response import HttpResponse


@dataclass(slots=True, frozen=True)
class ChannelOccupancy:
    """Use of the two limits of the channel at the time a call is considered."""

    messages: int  # messages sent within the window of the message rate limit
    lines: int  # lines not known to have left the channel
    waiting: int  # calls in the queue, including this one


class CallLog:
    """Numbers the calls of one process from 1; a retry of the same orders keeps its number."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.number = 0
        self.attempts = 0

    def start_call(self) -> None:
        """Assign the next number: the next call carries other orders than the last one sent."""
        self.number += 1
        self.attempts = 0

    def log_sent(self, orders: Sequence[face.Order], lines: int, occupancy: ChannelOccupancy) -> None:
        """Log that a call is sent; `lines` is its total over all proxies."""
        self.attempts += 1
        self.log.event(
            "relay_call_sent",
            call=self.number,
            tries=self.attempts,
            orders=len(orders),
            lines=lines,
            messages=occupancy.messages,
            lines_waiting=occupancy.lines,
            calls=occupancy.waiting,
        )

    def log_waiting(self, event: str, occupancy: ChannelOccupancy, delay: int, **fields: object) -> None:
        """Log that the first call waits `delay` ticks for the limit that `event` names."""
        self.log.warning(
            event,
            after_call=self.number,
            calls=occupancy.waiting,
            messages=occupancy.messages,
            lines_waiting=occupancy.lines,
            for_ms=delay / 10,
            **fields,
        )

    def log_unresolved(self, why: str, orders: Sequence[face.Order], response: HttpResponse) -> None:
        """Log that it is unknown whether the call was applied."""
        self.log.warning(
            "relay_call_unresolved",
            call=self.number,
            why=why,
            orders=len(orders),
            tries=self.attempts,
            after_ms=response.duration / 10,
        )

    def log_applied(self, count: int, source: str) -> None:
        """Log that `count` orders of the call are applied; `source`: "answer", "mark" or "tables"."""
        self.log.event("relay_call_applied", call=self.number, tries=self.attempts, orders=count, by=source)
