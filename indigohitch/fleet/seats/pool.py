"""The seats of one pool that a member holds, and their assignments.  No I/O.

Fairness between tenants: a refused tenant keeps a place in a queue for some time.  A seat that becomes idle
is reserved for the tenant that has waited longest among those that use less than their fair share (an equal
part of the seats held, at least one).  So a tenant below its fair share that retries in time gets one of
the next seats that become idle, at the latest when all jobs running now have ended; they all end with the
lease (docs/seats.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from .contract import SeatUse, Share

MAX_WAITING_TENANTS = 256  # clients choose the names of tenants, so the memory for waiting ones is bounded


@dataclass(slots=True, eq=False)
class Assignment:
    """A seat in use: by one job, or by the jobs of one node or user."""

    pool: SeatPool
    seat: Seat
    key: str  # "" for a single job
    tenant: str
    given: SeatUse
    jobs: int = 0
    lingers_until: int = 0  # while no job runs, the node or user keeps the seat until then


@dataclass(slots=True, eq=False)
class Seat:
    """A seat that this member holds."""

    number: int
    counter: int
    use_count: int = 0
    assignment: Assignment | None = None


@dataclass(slots=True)
class QueuePlace:
    """The place of a refused tenant in the queue for idle seats."""

    since: int
    until: int


@dataclass(slots=True, frozen=True)
class Demand:
    """The demand that a member reports for a pool."""

    used: int  # seats in use on average in the last window, rounded up
    missed: int  # requests refused because no seat was free


class SeatPool:
    """The seats of one pool at one member, with assignments and waiting tenants."""

    def __init__(self, feature: str, queue_place_lifetime: int) -> None:
        self.feature = feature
        self.queue_place_lifetime = queue_place_lifetime
        self.seats: dict[int, Seat] = {}
        self.idle: list[Seat] = []
        self.returning: dict[int, Seat] = {}  # seats whose return is proposed; they are not assigned any more
        self.assignments: dict[Assignment, None] = {}  # in the order in which they were made
        self.by_key: dict[str, Assignment] = {}
        self.assigned_by_tenant: dict[str, int] = {}  # number of assigned seats
        self.waiting: dict[str, QueuePlace] = {}  # by refused tenant
        self.debt = 0
        self.drain_ends_at = 0
        self.mean_assigned = 0  # seats assigned on average in the last window, rounded up
        self.seat_ticks = 0  # assigned seats times tenths of a millisecond so far in this window
        self.window_started_at = 0
        self.measured_until = 0
        self.refusals = 0  # requests refused in this window because no seat was free
        self.previous_refusals = 0  # of the window before

    @property
    def usable(self) -> int:
        """Returns the number of seats held that are not owed."""
        return max(0, len(self.seats) + len(self.returning) - self.debt)

    def sync(self, share: Share | None, counters: list[int]) -> None:
        """Updates the pool to the member's share in the replicated state; None: it holds none."""
        counters_by_number = {n: counters[n] for n in share.seats} if share is not None else {}
        self.debt, self.drain_ends_at = (share.debt, share.drain_ends_at) if share is not None else (0, 0)
        for group in (self.seats, self.returning):
            for number in [n for n, seat in group.items() if counters_by_number.get(n) != seat.counter]:
                seat = group.pop(number)
                if seat in self.idle:
                    self.idle.remove(seat)
        for number in sorted(counters_by_number.keys() - self.seats.keys() - self.returning.keys()):
            seat = Seat(number, counters_by_number[number])
            self.seats[number] = seat
            self.idle.append(seat)
            self.refusals = 0  # counted while the member held fewer seats
            self.previous_refusals = 0

    # ---- assignments -------------------------------------------------------------------------------

    def existing_assignment(self, key: str, drained: bool) -> Assignment | None:
        """Returns the assignment of this node or user if it may take a further job, else None.

        `drained`: the time to drain owed seats is over, so that those assignments get no further jobs.
        """
        assignment = self.by_key.get(key) if key else None
        if assignment is not None and drained and list(self.assignments).index(assignment) >= self.usable:
            return None
        return assignment

    def fair_share(self) -> int:
        """Returns the fair share of each tenant that uses seats or waits for one, in whole seats."""
        return max(1, self.usable // max(1, len(self.assigned_by_tenant.keys() | self.waiting.keys())))

    def may_assign(self, now: int, tenant: str, fair: bool) -> bool:
        """Returns whether this tenant may get an idle seat; `fair`: waiting tenants may take precedence."""
        spare = min(len(self.idle), self.usable - len(self.assignments))
        if spare <= 0 or not fair or not self.waiting:
            return spare > 0
        for name in [name for name, place in self.waiting.items() if now > place.until]:
            del self.waiting[name]
        return spare > self.tenants_ahead(now, tenant)

    def tenants_ahead(self, now: int, tenant: str) -> int:
        """Returns how many waiting tenants below their fair share take precedence over this one."""
        fair_share = self.fair_share()
        assigned = self.assigned_by_tenant.get(tenant, 0)
        since = self.waiting[tenant].since if tenant in self.waiting else now
        return sum(
            1
            for name, place in self.waiting.items()
            if name != tenant
            and self.assigned_by_tenant.get(name, 0) < fair_share
            and (assigned >= fair_share or place.since < since)
        )

    def record_refusal(self, now: int, tenant: str, retry_after: int) -> None:
        """Counts a refusal and queues the tenant; `retry_after`: the delay after which it is to retry."""
        self.refusals += 1
        until = now + max(self.queue_place_lifetime, 5 * retry_after // 2)
        if tenant in self.waiting:
            self.waiting[tenant].until = until
        elif len(self.waiting) < MAX_WAITING_TENANTS:
            self.waiting[tenant] = QueuePlace(now, until)

    def assign(self, now: int, key: str, tenant: str) -> Assignment:
        """Assigns an idle seat to a job, or to a node or user (`key`)."""
        self.measure(now)
        seat = self.idle.pop()
        seat.use_count += 1
        given = SeatUse(self.feature, seat.number, seat.counter, seat.use_count, bool(key))
        assignment = Assignment(self, seat, key, tenant, given)
        seat.assignment = assignment
        self.assignments[assignment] = None
        if key:
            self.by_key[key] = assignment
        self.assigned_by_tenant[tenant] = self.assigned_by_tenant.get(tenant, 0) + 1
        self.waiting.pop(tenant, None)
        return assignment

    def unassign(self, now: int, assignment: Assignment) -> None:
        """Ends an assignment; its seat becomes idle if the member still holds it and does not return it."""
        if assignment not in self.assignments:
            return
        self.measure(now)
        del self.assignments[assignment]
        assignment.seat.assignment = None
        if self.by_key.get(assignment.key) is assignment:
            del self.by_key[assignment.key]
        self.assigned_by_tenant[assignment.tenant] -= 1
        if not self.assigned_by_tenant[assignment.tenant]:
            del self.assigned_by_tenant[assignment.tenant]
        if self.seats.get(assignment.seat.number) is assignment.seat:
            self.idle.append(assignment.seat)

    # ---- returns -----------------------------------------------------------------------------------

    def set_aside_owed(self) -> None:
        """Sets idle seats aside for return, up to the debt; they are not assigned any more."""
        for _ in range(min(len(self.idle), self.debt - len(self.returning))):
            seat = self.idle.pop(0)
            self.returning[seat.number] = self.seats.pop(seat.number)

    # ---- demand reported to the leader -------------------------------------------------------------

    def measure(self, now: int) -> None:
        """Adds the use of seats up to `now`.

        `now` may be earlier than at the call before: an expiry can be applied late, though the clock of a
        process never goes back.
        """
        self.seat_ticks += len(self.assignments) * max(0, now - self.measured_until)
        self.measured_until = max(self.measured_until, now)

    def close_window(self, now: int) -> None:
        """Ends the current demand window and starts the next one."""
        self.measure(now)
        self.mean_assigned = -(-self.seat_ticks // max(1, now - self.window_started_at))
        self.seat_ticks = 0
        self.window_started_at = now
        self.previous_refusals = self.refusals
        self.refusals = 0

    def demand(self) -> Demand:
        """Returns the mean use in the last window, and the refusals in it or in the current one if more."""
        return Demand(self.mean_assigned, max(self.refusals, self.previous_refusals))
