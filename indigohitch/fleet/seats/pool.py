"""The seats of one pool that a member holds, and to whom they are assigned now.  No I/O.

Turns of tenants. A tenant refused keeps a place for some time; a seat that falls idle is left to the one
that waits longest among those with less than their fair part (an equal part of the seats held, at least
one). So who comes again within that time and has less than its part gets one of the next seats that fall
idle: at the latest when the jobs that are out now are over, all of which end with the lease
(docs/seats.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from .contract import Given, Share

MAX_WAITING_TENANTS = 256  # tenants whose places are kept: names come from outside, memory is bounded


@dataclass(slots=True, eq=False)
class Assignment:
    """A seat in use: by one job, or by the jobs of one node or user."""

    pool: SeatPool
    seat: Seat
    key: str  # "" for a single job
    tenant: str
    given: Given
    jobs: int = 0
    free_at: int = 0  # nothing is out: it lingers until then


@dataclass(slots=True, eq=False)
class Seat:
    """A seat that this member holds."""

    number: int
    counter: int
    uses: int = 0
    assignment: Assignment | None = None


@dataclass(slots=True)
class Waiting:
    """The place of a refused tenant in the queue."""

    since: int
    until: int


@dataclass(slots=True, frozen=True)
class Demand:
    """The demand that a member reports for a pool."""

    used: int  # seats in use on average in the last window, rounded up
    missed: int  # asks that found none


class SeatPool:
    """The seats of one pool, with assignments and waiting tenants."""

    def __init__(self, feature: str, place_kept: int) -> None:
        self.feature = feature
        self.place_kept = place_kept
        self.seats: dict[int, Seat] = {}
        self.idle: list[Seat] = []
        self.returning: dict[int, Seat] = {}  # proposed to be returned: assigned to nobody any more
        self.assignments: dict[Assignment, None] = {}  # in the order in which they were made
        self.by_key: dict[str, Assignment] = {}
        self.uses: dict[str, int] = {}  # assigned seats by tenant
        self.waiting: dict[str, Waiting] = {}  # by refused tenant
        self.debt = 0
        self.due = 0
        self.mean = 0  # seats assigned on average in the last window, rounded up
        self.area = 0  # seats x tenths of a ms so far in this window
        self.window_started_at = 0
        self.counted_until = 0
        self.missed = 0
        self.missed_before = 0  # asks refused for want of a seat

    @property
    def usable(self) -> int:
        """Seats that are not owed."""
        return max(0, len(self.seats) + len(self.returning) - self.debt)

    def sync(self, share: Share | None, counters: list[int]) -> None:
        """Takes over the share as the replicated state has it now."""
        counters_by_number = {n: counters[n] for n in share.seats} if share is not None else {}
        self.debt, self.due = (share.debt, share.due) if share is not None else (0, 0)
        for group in (self.seats, self.returning):
            for number in [n for n, seat in group.items() if counters_by_number.get(n) != seat.counter]:
                seat = group.pop(number)
                if seat in self.idle:
                    self.idle.remove(seat)
        for number in sorted(counters_by_number.keys() - self.seats.keys() - self.returning.keys()):
            seat = Seat(number, counters_by_number[number])
            self.seats[number] = seat
            self.idle.append(seat)
            self.missed = 0
            self.missed_before = 0  # of when it had fewer

    # ---- assigning ---------------------------------------------------------------------------------

    def shared(self, key: str, owing: bool) -> Assignment | None:
        """The seat that this node or user has; `owing`: what is to be returned gets no further job."""
        found = self.by_key.get(key) if key else None
        if found is not None and owing and list(self.assignments).index(found) >= self.usable:
            return None
        return found

    def fair_part(self) -> int:
        """Of a tenant, in whole seats."""
        return max(1, self.usable // max(1, len(self.uses.keys() | self.waiting.keys())))

    def may_assign(self, now: int, tenant: str, fair: bool) -> bool:
        """May this tenant have a seat that nobody has?"""
        spare = min(len(self.idle), self.usable - len(self.assignments))
        if spare <= 0 or not fair or not self.waiting:
            return spare > 0
        for name in [name for name, place in self.waiting.items() if now > place.until]:
            del self.waiting[name]
        return spare > self.ahead_of(now, tenant)

    def ahead_of(self, now: int, tenant: str) -> int:
        """Waiting tenants below their part whose turn comes before this one's."""
        part = self.fair_part()
        mine = self.uses.get(tenant, 0)
        since = self.waiting[tenant].since if tenant in self.waiting else now
        return sum(
            1
            for name, place in self.waiting.items()
            if name != tenant and self.uses.get(name, 0) < part and (mine >= part or place.since < since)
        )

    def record_refusal(self, now: int, tenant: str, back: int) -> None:
        """`back`: when it is told to come again."""
        self.missed += 1
        until = now + max(self.place_kept, 5 * back // 2)
        if tenant in self.waiting:
            self.waiting[tenant].until = until
        elif len(self.waiting) < MAX_WAITING_TENANTS:
            self.waiting[tenant] = Waiting(now, until)

    def assign(self, now: int, key: str, tenant: str) -> Assignment:
        """Assigns an idle seat."""
        self.count(now)
        seat = self.idle.pop()
        seat.uses += 1
        given = Given(self.feature, seat.number, seat.counter, seat.uses, bool(key))
        assignment = Assignment(self, seat, key, tenant, given)
        seat.assignment = assignment
        self.assignments[assignment] = None
        if key:
            self.by_key[key] = assignment
        self.uses[tenant] = self.uses.get(tenant, 0) + 1
        self.waiting.pop(tenant, None)
        return assignment

    def unassign(self, now: int, assignment: Assignment) -> None:
        """Frees an assigned seat."""
        if assignment not in self.assignments:
            return
        self.count(now)
        del self.assignments[assignment]
        assignment.seat.assignment = None
        if self.by_key.get(assignment.key) is assignment:
            del self.by_key[assignment.key]
        self.uses[assignment.tenant] -= 1
        if not self.uses[assignment.tenant]:
            del self.uses[assignment.tenant]
        if self.seats.get(assignment.seat.number) is assignment.seat:
            self.idle.append(assignment.seat)

    # ---- returning ---------------------------------------------------------------------------------

    def set_aside_owed(self) -> None:
        """Idle seats become such that are returned: from here on they are assigned to nobody."""
        for _ in range(min(len(self.idle), self.debt - len(self.returning))):
            seat = self.idle.pop(0)
            self.returning[seat.number] = self.seats.pop(seat.number)

    # ---- what the leader hears ---------------------------------------------------------------------

    def count(self, now: int) -> None:
        """Up to now; clocks of one process don't go back, but a due end may be counted late."""
        self.area += len(self.assignments) * max(0, now - self.counted_until)
        self.counted_until = max(self.counted_until, now)

    def close_window(self, now: int) -> None:
        """Closes the window of measurement."""
        self.count(now)
        self.mean = -(-self.area // max(1, now - self.window_started_at))
        self.area = 0
        self.window_started_at = now
        self.missed_before = self.missed
        self.missed = 0

    def demand(self) -> Demand:
        """Returns the demand of the last window."""
        return Demand(self.mean, max(self.missed, self.missed_before))
