"""What a member knows of an allocated or refused seat; data types only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..types import Stamp
from .contract import Given
from .pool import Assignment


@dataclass(slots=True, frozen=True)
class SeatSettings:
    """Settings of seat allocation; times are tenths of a millisecond."""

    place_kept: int  # how long a refused tenant's place is kept
    come_back: int  # when to ask again
    drift: float  # by how much clocks run apart, as a share


@dataclass(slots=True, eq=False)
class Allocation:
    """A seat for one job, until `until` of the holder's clock at the latest."""

    assignment: Assignment
    until: int
    stamp: Stamp
    over: bool = False

    @property
    def given(self) -> Given:
        """The identity of this use of the seat."""
        return self.assignment.given


@dataclass(slots=True)
class NoSeat:
    """A refused request for a seat."""

    why: str
    retry_after: int  # tenths of a ms until it may be of use to ask again


class Expiry(NamedTuple):
    """The end of a job or of an assignment that applies unless it ends before."""

    at: int
    order: int  # among those of one instant
    what: Allocation | Assignment


@dataclass(slots=True)
class Counts:
    """Counters of the allocator."""

    given: int = 0
    refused: int = 0
    no_lease: int = 0
    unheard: int = 0
