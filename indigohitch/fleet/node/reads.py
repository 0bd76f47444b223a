"""Linearizable reads in progress, requested here or by another member.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...errors import UnavailableError
from ...net.clock import SECOND

READ_TIMEOUT = 2 * SECOND  # longer than an election; the caller retries
MAX_PENDING = 1024
RETRY_AFTER = SECOND // 10

Done = Callable[[int | None], None]  # called with the applied index; with None if the read was not confirmed


@dataclass(slots=True)
class PendingRead:
    """A read that waits for its confirmation."""

    deadline: int
    done: Done


@dataclass(slots=True)
class ConfirmedRead:
    """A confirmed read that waits until the state machine has applied its index."""

    deadline: int
    index: int
    done: Done


class Reads:
    """Tracks the reads; the caller sends each to Raft or to the leader, and passes the results in."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self.number = 0
        self.pending: dict[int, PendingRead] = {}
        self.confirmed: list[ConfirmedRead] = []

    def start(self, now: int, done: Done) -> int:
        """Adds a read and returns its number; raises UnavailableError if too many are in progress."""
        if len(self.pending) + len(self.confirmed) >= MAX_PENDING:
            raise UnavailableError(f"{MAX_PENDING} reads are pending", retry_after_ticks=RETRY_AFTER)
        self.number += 1
        self.pending[self.number] = PendingRead(now + READ_TIMEOUT, done)
        return self.number

    def on_result(self, number: int, index: int, ok: bool, applied: int) -> None:
        """Handles the result of a read; `applied` is the last index applied here."""
        read = self.pending.pop(number, None)
        if read is None:
            return
        if not ok:
            read.done(None)
        elif applied >= index:
            read.done(applied)
        else:
            self.confirmed.append(ConfirmedRead(read.deadline, index, read.done))

    def on_applied(self, applied: int) -> None:
        """Completes the confirmed reads whose index has been applied."""
        if self.confirmed:
            ready = [read.done for read in self.confirmed if read.index <= applied]
            self.confirmed = [read for read in self.confirmed if read.index > applied]
            for done in ready:
                done(applied)

    def tick(self, now: int) -> None:
        """Ends the reads that have timed out, as not confirmed."""
        late = [number for number, read in self.pending.items() if read.deadline <= now]
        expired = [self.pending.pop(number).done for number in late]
        expired += [read.done for read in self.confirmed if read.deadline <= now]
        self.confirmed = [read for read in self.confirmed if read.deadline > now]
        for done in expired:
            done(None)
