"""Allocates the seats of a member's own share without a round trip.  No I/O.

A seat is allocated only while the member's lease is valid and the contract is in force.  Each allocation is
stamped as an action of the member and ends with the lease or the contract, whichever ends first.  The seat is
free again once its job is known to have ended.  If the end of a job is never reported, the seat stays
allocated until the job's expiry, before which the server has ended the job (server_clock.py).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

import msgspec

from ..interfaces import ActionRecorder
from ..types import Lease
from .allocation import Allocation, Counts, Expiry, SeatRefusal, SeatSettings
from .contract import COMMON_POOL, Return, Terms
from .part import Feature, Seats
from .pool import Assignment, SeatPool

# One second, in tenths of a millisecond: a member reports its mean use over the last window as its demand.
DEMAND_WINDOW_TICKS = 10_000
# 10 ms, in tenths of a millisecond: a shorter allocation would expire before the request reaches the server.
MIN_ALLOCATION_TICKS = 100
MIN_EXPIRIES_TO_SWEEP = 256  # size of the heap from which expiries of ended jobs are dropped


class SeatAllocator:
    """Allocates the seats that this member holds."""

    def __init__(
        self,
        name: str,
        part: Seats,
        action_recorder: ActionRecorder,
        fleet_time: Callable[[int], int],
        settings: SeatSettings,
    ) -> None:
        """`fleet_time(now)`: converts a time of this process to fleet time; 0 before any was agreed on."""
        self.name = name
        self.part = part
        self.action_recorder = action_recorder
        self.fleet_time = fleet_time
        self.settings = settings
        self.lease: Lease | None = None
        self.pools: dict[tuple[str, str], SeatPool] = {}  # by feature and pool
        self.expiries: list[Expiry] = []  # a heap
        self.expiry_sequence = 0
        self.window_started_at = 0
        self.sweep_at = MIN_EXPIRIES_TO_SWEEP
        self.counts = Counts()

    # ---- shares and time ---------------------------------------------------------------------------

    def sync(self) -> None:
        """Updates the pools to the shares in the replicated state."""
        if self.lease is None:
            return
        for feature, feature_seats in self.part.features.items():
            known = (
                pool for known_feature, pool in self.pools if known_feature == feature
            )  # includes pools no longer contracted
            for pool in {*feature_seats.pools, *(s.pool for s in feature_seats.shares.values()), *known}:
                share = feature_seats.shares.get((pool, self.name, self.lease.incarnation))
                self.pool(feature, pool).sync(share, feature_seats.counters)

    def pool(self, feature: str, pool: str) -> SeatPool:
        """Returns the pool, which is created on first use."""
        if (feature, pool) not in self.pools:
            self.pools[feature, pool] = SeatPool(feature, self.settings.queue_place_lifetime)
        return self.pools[feature, pool]

    def turn(self, now: int, lease: Lease | None) -> None:
        """Takes the current lease, applies due expiries and closes the demand window when it is over."""
        if lease is not None and (self.lease is None or lease.incarnation != self.lease.incarnation):
            self.pools = {}
            self.expiries = []
            self.lease = lease  # a new incarnation holds no seats yet
            self.sync()
        if lease is not None:
            self.lease = lease
        self.expire(now)
        if now - self.window_started_at >= DEMAND_WINDOW_TICKS:
            self.window_started_at = now
            for pool in self.pools.values():
                pool.close_window(now)

    def expire(self, now: int) -> None:
        """Applies expiries that are due."""
        while self.expiries and self.expiries[0].at <= now:
            subject = heappop(self.expiries).subject
            if isinstance(subject, Allocation):
                self.counts.unheard += not subject.released
                self.release(now, subject)
            elif not subject.jobs and subject.lingers_until and subject.lingers_until <= now:
                subject.pool.unassign(now, subject)

    def expire_at(self, when: int, subject: Allocation | Assignment) -> None:
        """Schedules an expiry."""
        self.expiry_sequence += 1
        if len(self.expiries) > self.sweep_at:  # most jobs end long before their expiry
            self.sweep()
        heappush(self.expiries, Expiry(when, self.expiry_sequence, subject))

    def sweep(self) -> None:
        """Drops expiries of jobs that have ended."""
        self.expiries = [
            expiry
            for expiry in self.expiries
            if not (isinstance(expiry.subject, Allocation) and expiry.subject.released)
        ]
        heapify(self.expiries)
        self.sweep_at = max(MIN_EXPIRIES_TO_SWEEP, 2 * len(self.expiries))

    def kind(self, feature: str) -> str:
        """Returns the kind of the feature's contract: one seat for each "job", "node" or "user"."""
        feature_seats = self.part.features.get(feature)
        return feature_seats.terms.kind if feature_seats is not None else "job"

    # ---- allocation --------------------------------------------------------------------------------

    def allocate(
        self, now: int, feature: str, tenant: str, key: str, max_duration: int, retry_after: int = 0
    ) -> Allocation | SeatRefusal:
        """Allocates a seat for a job of at most `max_duration`.

        `key`: the node of the job (kind "node") or its user (kind "user"); `retry_after`: the time after
        which the caller retries if it is refused.
        """
        if self.expiries and self.expiries[0].at <= now:
            self.expire(now)
        feature_seats = self.part.features.get(feature)
        if feature_seats is None or not feature_seats.terms.seats:
            return self.refuse("no contract")
        terms = feature_seats.terms
        fleet_now = self.fleet_time(now)
        if not terms.valid(fleet_now):
            starts_in = terms.since - fleet_now if 0 < fleet_now < terms.since else 0
            return self.refuse("the contract is not in force", starts_in)
        until = self.latest_end(now, terms, fleet_now, max_duration)
        if until - now < MIN_ALLOCATION_TICKS:
            self.counts.no_lease += 1
            return SeatRefusal("no lease", self.settings.retry_after)
        assignment = self.assign(now, feature_seats, tenant, key, fleet_now, retry_after)
        if assignment is None:
            return self.refuse("all seats are in use")
        return self.record_allocation(now, assignment, until)

    def latest_end(self, now: int, terms: Terms, fleet_now: int, max_duration: int) -> int:
        """Returns the earliest of the ends of the job, the lease and the contract."""
        until = min(self.lease.until if self.lease is not None else now, now + max_duration)
        if terms.until:
            until = min(until, now + int((terms.until - fleet_now) * (1 - self.settings.drift)))
        return until

    def assign(
        self, now: int, feature_seats: Feature, tenant: str, key: str, fleet_now: int, retry_after: int
    ) -> Assignment | None:
        """Assigns a seat of the tenant's own pool, else of the common one; None if neither has one."""
        terms = feature_seats.terms
        # Jobs without a user name get a seat each.  This may use more seats than necessary, but no two users
        # ever share one.
        key = {"node": key, "user": key and f"{tenant}\0{key}"}.get(terms.kind, "")
        pool = None
        for name in (tenant, COMMON_POOL) if tenant and tenant in feature_seats.pools else (COMMON_POOL,):
            pool = self.pool(terms.feature, name)
            assignment = pool.existing_assignment(key, pool.debt > 0 and fleet_now >= pool.drain_ends_at)
            if assignment is not None:
                return assignment
            if key not in pool.by_key and pool.may_assign(now, tenant, name == COMMON_POOL):
                return pool.assign(now, key, tenant)
        pool.record_refusal(now, tenant, retry_after)
        return None

    def record_allocation(self, now: int, assignment: Assignment, until: int) -> Allocation | SeatRefusal:
        """Records the allocation as an action of this member and adds a job to the assignment."""
        stamp = self.action_recorder.stamp(now, "seats.given", msgspec.msgpack.encode(assignment.given))
        if stamp is None:
            if not assignment.jobs and not assignment.lingers_until:
                assignment.pool.unassign(now, assignment)
            self.counts.no_lease += 1
            return SeatRefusal("this member may not act", self.settings.retry_after)
        assignment.jobs += 1
        self.counts.given += 1
        allocation = Allocation(assignment, until, stamp)
        self.expire_at(until, allocation)  # frees the seat even if the end of the job is never reported
        return allocation

    def refuse(self, reason: str, retry_after: int = 0) -> SeatRefusal:
        """Counts a refusal and returns it."""
        self.counts.refused += 1
        return SeatRefusal(reason, max(retry_after, self.settings.retry_after))

    # ---- release and return ------------------------------------------------------------------------

    def release(self, now: int, allocation: Allocation) -> None:
        """Frees the seat of a job that is known to have ended, or never to have started."""
        if allocation.released:
            return
        allocation.released = True
        assignment = allocation.assignment
        assignment.jobs -= 1
        if assignment.jobs:
            return
        feature_seats = self.part.features.get(assignment.given.feature)
        linger = feature_seats.terms.linger if feature_seats is not None else 0
        if assignment.key and linger:
            assignment.lingers_until = now + linger
            self.expire_at(assignment.lingers_until, assignment)
        else:
            assignment.pool.unassign(now, assignment)

    def pending_returns(self) -> list[Return]:
        """Returns, by pool, the idle seats that this member owes and whose return is not applied yet."""
        rows = []
        for (feature, name), pool in self.pools.items():
            pool.set_aside_owed()
            if pool.returning:
                seats = tuple((seat.number, seat.counter) for seat in pool.returning.values())
                rows.append(Return(feature, name, seats))
        return rows
