"""Allocates the seats of a member's own share without a round trip.  No I/O.

A seat is allocated only while the lease is valid and the contract runs, with a stamp, and no longer than
both.  It is free again once its job is known to have ended; a job of which that is not known keeps it until
its end, which the server has enforced before (nodeclock.py).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

import msgspec

from ..interfaces import ActionRecorder
from ..types import Lease
from .allocation import Allocation, Counts, Expiry, NoSeat, SeatSettings
from .contract import COMMON, Return, Terms
from .part import Feature, Seats
from .pool import Assignment, SeatPool

WINDOW = 10_000  # what was used on average in the last of these, a second, is what is wanted
MIN_ALLOCATION = 100  # nothing is allocated for less than 10 ms: it would be over on its way
SWEPT = 256  # expiries in the heap before those of jobs that are over are looked for


class SeatAllocator:
    """Allocates the seats that this member holds."""

    def __init__(
        self,
        name: str,
        part: Seats,
        acts: ActionRecorder,
        fleet_time: Callable[[int], int],
        settings: SeatSettings,
    ) -> None:
        """`fleet_time(now)` tells the fleet's time at `now` of this process, 0 while there is none."""
        self.name = name
        self.part = part
        self.acts = acts
        self.fleet_time = fleet_time
        self.settings = settings
        self.lease: Lease | None = None
        self.pools: dict[tuple[str, str], SeatPool] = {}  # by feature and pool
        self.expiries: list[Expiry] = []  # a heap
        self.order = 0
        self.window_at = 0
        self.sweep_at = SWEPT
        self.counts = Counts()

    # ---- what changes ------------------------------------------------------------------------------

    def sync(self) -> None:
        """Takes over the shares as the replicated state has them now."""
        if self.lease is None:
            return
        for feature, found in self.part.features.items():
            known = (pool for of, pool in self.pools if of == feature)  # a pool may not stand any more
            for pool in {*found.pools, *(s.pool for s in found.shares.values()), *known}:
                share = found.shares.get((pool, self.name, self.lease.incarnation))
                self.pool(feature, pool).sync(share, found.counters)

    def pool(self, feature: str, pool: str) -> SeatPool:
        """Returns the pool, which is created on first use."""
        if (feature, pool) not in self.pools:
            self.pools[feature, pool] = SeatPool(feature, self.settings.place_kept)
        return self.pools[feature, pool]

    def turn(self, now: int, lease: Lease | None) -> None:
        """Applies expiries and closes the window of measurement when it is due."""
        if lease is not None and (self.lease is None or lease.incarnation != self.lease.incarnation):
            self.pools = {}
            self.expiries = []
            self.lease = lease  # a new incarnation holds nothing yet
            self.sync()
        if lease is not None:
            self.lease = lease
        self.expire(now)
        if now - self.window_at >= WINDOW:
            self.window_at = now
            for pool in self.pools.values():
                pool.close_window(now)

    def expire(self, now: int) -> None:
        """Applies expiries that are due."""
        while self.expiries and self.expiries[0].at <= now:
            what = heappop(self.expiries).what
            if isinstance(what, Allocation):
                self.counts.unheard += not what.over
                self.release(now, what)
            elif not what.jobs and what.free_at and what.free_at <= now:
                what.pool.unassign(now, what)

    def expire_at(self, when: int, what: Allocation | Assignment) -> None:
        """Schedules an expiry."""
        self.order += 1
        if len(self.expiries) > self.sweep_at:  # most jobs are over long before their end
            self.sweep()
        heappush(self.expiries, Expiry(when, self.order, what))

    def sweep(self) -> None:
        """Drops expiries of jobs that have ended."""
        self.expiries = [
            one for one in self.expiries if not (isinstance(one.what, Allocation) and one.what.over)
        ]
        heapify(self.expiries)
        self.sweep_at = max(SWEPT, 2 * len(self.expiries))

    def kind(self, feature: str) -> str:
        """Returns what a seat of the feature is for."""
        found = self.part.features.get(feature)
        return found.terms.kind if found is not None else "job"

    # ---- allocating --------------------------------------------------------------------------------

    def allocate(
        self, now: int, feature: str, tenant: str, key: str, longest: int, back: int = 0
    ) -> Allocation | NoSeat:
        """Allocates a seat for a job of at most `longest`.

        `key`: its node (kind "node") or its user (kind "user"); `back`: when a refused caller is to retry.
        """
        if self.expiries and self.expiries[0].at <= now:
            self.expire(now)
        found = self.part.features.get(feature)
        if found is None or not found.terms.seats:
            return self.refuse("no contract")
        terms = found.terms
        fleet = self.fleet_time(now)
        if not terms.valid(fleet):
            early = terms.since - fleet if 0 < fleet < terms.since else 0
            return self.refuse("the contract does not run", early)
        until = self.latest_end(now, terms, fleet, longest)
        if until - now < MIN_ALLOCATION:
            self.counts.no_lease += 1
            return NoSeat("no lease", self.settings.come_back)
        assignment = self.assign(now, found, tenant, key, fleet, back)
        if assignment is None:
            return self.refuse("all seats are taken")
        return self.stamped(now, assignment, until)

    def latest_end(self, now: int, terms: Terms, fleet: int, longest: int) -> int:
        """Returns the earliest of the ends of the job, the lease and the contract."""
        until = min(self.lease.until if self.lease is not None else now, now + longest)
        if terms.until:
            until = min(until, now + int((terms.until - fleet) * (1 - self.settings.drift)))
        return until

    def assign(
        self, now: int, found: Feature, tenant: str, key: str, fleet: int, back: int
    ) -> Assignment | None:
        """Assigns a seat of the tenant's own pool or of the common one; None: neither has one."""
        terms = found.terms
        # A user who isn't named has a seat for each job: more than it may need, never one for two people.
        key = {"node": key, "user": key and f"{tenant}\0{key}"}.get(terms.kind, "")
        pool = None
        for name in (tenant, COMMON) if tenant and tenant in found.pools else (COMMON,):
            pool = self.pool(terms.feature, name)
            assignment = pool.shared(key, pool.debt > 0 and fleet >= pool.due)
            if assignment is not None:
                return assignment
            if key not in pool.by_key and pool.may_assign(now, tenant, name == COMMON):
                return pool.assign(now, key, tenant)
        pool.record_refusal(now, tenant, back)
        return None

    def stamped(self, now: int, assignment: Assignment, until: int) -> Allocation | NoSeat:
        """Adds a job to the assignment, recorded as an action of this member."""
        stamp = self.acts.stamp(now, "seats.given", msgspec.msgpack.encode(assignment.given))
        if stamp is None:
            if not assignment.jobs and not assignment.free_at:
                assignment.pool.unassign(now, assignment)
            self.counts.no_lease += 1
            return NoSeat("this member may not act", self.settings.come_back)
        assignment.jobs += 1
        self.counts.given += 1
        allocation = Allocation(assignment, until, stamp)
        self.expire_at(until, allocation)  # whatever is heard of it or not: no seat is lost for good
        return allocation

    def refuse(self, why: str, retry_after: int = 0) -> NoSeat:
        """Counts a refusal and returns it."""
        self.counts.refused += 1
        return NoSeat(why, max(retry_after, self.settings.come_back))

    # ---- back --------------------------------------------------------------------------------------

    def release(self, now: int, allocation: Allocation) -> None:
        """Frees the seat of a job that has surely ended or never started."""
        if allocation.over:
            return
        allocation.over = True
        assignment = allocation.assignment
        assignment.jobs -= 1
        if assignment.jobs:
            return
        found = self.part.features.get(assignment.given.feature)
        linger = found.terms.linger if found is not None else 0
        if assignment.key and linger:
            assignment.free_at = now + linger
            self.expire_at(assignment.free_at, assignment)
        else:
            assignment.pool.unassign(now, assignment)

    def returns(self) -> list[Return]:
        """Returns the seats that are owed and idle, or whose return is not yet applied."""
        rows = []
        for (feature, name), pool in self.pools.items():
            pool.set_aside_owed()
            if pool.returning:
                seats = tuple((seat.number, seat.counter) for seat in pool.returning.values())
                rows.append(Return(feature, name, seats))
        return rows
