"""Results, settings and counters of a member's seat allocator; data types only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..types import Stamp
from .contract import SeatUse
from .pool import Assignment


@dataclass(slots=True, frozen=True)
class SeatSettings:
    """Settings of seat allocation; times are tenths of a millisecond."""

    queue_place_lifetime: int  # how long a refused tenant keeps its place in the queue
    retry_after: int  # after which time a refused caller is to retry
    drift: float  # the largest relative drift between two clocks


@dataclass(slots=True, eq=False)
class Allocation:
    """A seat that one job may use, at the latest until `until` by the clock of the holder."""

    assignment: Assignment
    until: int
    stamp: Stamp
    released: bool = False

    @property
    def given(self) -> SeatUse:
        """The identity of this use of the seat."""
        return self.assignment.given


@dataclass(slots=True)
class SeatRefusal:
    """A refused request for a seat."""

    reason: str
    retry_after: int  # tenths of a millisecond before a retry can succeed


class Expiry(NamedTuple):
    """The end of a job or of a lingering assignment, applied at `at` unless the subject has ended before."""

    at: int
    sequence: int  # orders the expiries of one instant
    subject: Allocation | Assignment


@dataclass(slots=True)
class Counts:
    """Counters of the allocator."""

    given: int = 0
    refused: int = 0
    no_lease: int = 0
    unheard: int = 0  # jobs whose seat was freed by the expiry, as no response had reported their end
