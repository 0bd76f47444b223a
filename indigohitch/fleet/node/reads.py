"""Reads confirmed by a majority, requested here or by another member.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...errors import UnavailableError
from ...net.clock import SECOND

READ_TIMEOUT = 2 * SECOND  # longer than an election: the caller retries
MAX_PENDING = 1024
RETRY_AFTER = SECOND // 10

Done = Callable[[int | None], None]  # the index that the state machine has reached; None: not confirmed


@dataclass(slots=True)
class PendingRead:
    """A read without a result."""

    deadline: int
    done: Done


@dataclass(slots=True)
class ConfirmedRead:
    """A confirmed read for which the state machine has not been applied far enough yet."""

    deadline: int
    index: int
    done: Done


class Reads:
    """The reads in flight; the caller sends each to Raft or to the leader, and passes the results in."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self.number = 0
        self.pending: dict[int, PendingRead] = {}
        self.confirmed: list[ConfirmedRead] = []

    def start(self, now: int, done: Done) -> int:
        """Returns the number of a new read; raises UnavailableError if too many are in flight."""
        if len(self.pending) + len(self.confirmed) >= MAX_PENDING:
            raise UnavailableError(f"{MAX_PENDING} reads are out", retry_after_ticks=RETRY_AFTER)
        self.number += 1
        self.pending[self.number] = PendingRead(now + READ_TIMEOUT, done)
        return self.number

    def on_result(self, number: int, index: int, ok: bool, applied: int) -> None:
        """Takes the result of a read; `applied` is the index that the state machine here has reached."""
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
        """Ends the confirmed reads for which the state machine has been applied far enough."""
        if self.confirmed:
            ready = [read.done for read in self.confirmed if read.index <= applied]
            self.confirmed = [read for read in self.confirmed if read.index > applied]
            for done in ready:
                done(applied)

    def tick(self, now: int) -> None:
        """Ends the reads that have timed out."""
        late = [number for number, read in self.pending.items() if read.deadline <= now]
        expired = [self.pending.pop(number).done for number in late]
        expired += [read.done for read in self.confirmed if read.deadline <= now]
        self.confirmed = [read for read in self.confirmed if read.deadline > now]
        for done in expired:
            done(None)
