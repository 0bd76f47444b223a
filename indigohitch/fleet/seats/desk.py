"""Giving seats of a member's own share, without a round trip.  No I/O.

A seat is given only while the lease is valid and the contract runs, with a stamp, and no longer than both.
It is free again once its job is known to have ended; a job of which that is not known keeps it until its end,
which the server has met before (nodeclock.py)."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

import msgspec

from ..ports import Acts
from ..terms import Lease, Stamp
from .contract import COMMON, Given, Return, Terms
from .hold import Bound, Hold
from .part import Seats

WINDOW = 10_000  # what was used on average in the last of these, a second, is what is wanted
LEAST = 100  # nothing is given for less than 10 ms: it would be over on its way


@dataclass(slots=True, eq=False)
class Ticket:
    """A seat given to one job, until `until` of the holder's clock at the latest."""

    bound: Bound
    until: int
    stamp: Stamp
    over: bool = False

    @property
    def given(self) -> Given:
        return self.bound.given


@dataclass(slots=True)
class NoSeat:
    why: str
    again: int  # tenths of a ms until it may be of use to ask again


class Desk:
    """`bootstrap`: `hold`, how long a refused tenant's place is kept; `come_back`, when to ask again;
    `drift`, by how much clocks run apart, as a share."""

    SWEPT = 256  # ends in the heap before those of jobs that are over are looked for

    def __init__(self, name: str, part: Seats, acts: Acts, fleet_time, bootstrap: dict) -> None:
        """`fleet_time(now)` tells the fleet's time at `now` of this process, 0 while there is none."""
        self.name, self.part, self.acts, self.fleet_time = name, part, acts, fleet_time
        self.bootstrap = bootstrap
        self.lease: Lease | None = None
        self.holds: dict[tuple[str, str], Hold] = {}  # by feature and pool
        self.due: list[tuple[int, int, Ticket | Bound]] = []  # ends of jobs unknown, ends of lingering
        self.order, self.window_at, self.sweep_at = 0, 0, self.SWEPT
        self.counts = {"given": 0, "refused": 0, "no_lease": 0, "unheard": 0}

    # ---- what changes ------------------------------------------------------------------------------

    def follow(self) -> None:
        """The state machine's shares as they are now."""
        if self.lease is None:
            return
        for feature, found in self.part.features.items():
            known = (pool for of, pool in self.holds if of == feature)  # a pool may not stand any more
            for pool in {*found.pools, *(s.pool for s in found.shares.values()), *known}:
                self.hold(feature, pool).follow(
                    found.shares.get((pool, self.name, self.lease.incarnation)), found.counters
                )

    def hold(self, feature: str, pool: str) -> Hold:
        if (feature, pool) not in self.holds:
            self.holds[feature, pool] = Hold(feature, self.bootstrap)
        return self.holds[feature, pool]

    def turn(self, now: int, lease: Lease | None) -> None:
        if lease is not None and (self.lease is None or lease.incarnation != self.lease.incarnation):
            self.holds, self.due, self.lease = {}, [], lease  # a new incarnation holds nothing yet
            self.follow()
        if lease is not None:
            self.lease = lease
        self.passed(now)
        if now - self.window_at >= WINDOW:
            self.window_at = now
            for hold in self.holds.values():
                hold.window(now)

    def passed(self, now: int) -> None:
        """Ends that have come."""
        while self.due and self.due[0][0] <= now:
            _, _, what = heappop(self.due)
            if isinstance(what, Ticket):
                self.counts["unheard"] += not what.over
                self.ended(now, what)
            elif not what.jobs and what.free_at and what.free_at <= now:
                what.hold.unbind(now, what)

    def later(self, when: int, what: Ticket | Bound) -> None:
        self.order += 1
        if len(self.due) > self.sweep_at:  # most jobs are over long before their end
            self.due = [due for due in self.due if not (isinstance(due[2], Ticket) and due[2].over)]
            heapify(self.due)
            self.sweep_at = max(self.SWEPT, 2 * len(self.due))
        heappush(self.due, (when, self.order, what))

    def kind(self, feature: str) -> str:
        found = self.part.features.get(feature)
        return found.terms.kind if found is not None else "job"

    # ---- giving ------------------------------------------------------------------------------------

    def ask(
        self, now: int, feature: str, tenant: str, key: str, longest: int, back: int = 0
    ) -> Ticket | NoSeat:
        """A seat for a job of at most `longest`.  `key`: its node (kind "node") or its user (kind "user");
        `back`: in how long who is refused is told to come again."""
        if self.due and self.due[0][0] <= now:
            self.passed(now)
        found = self.part.features.get(feature)
        if found is None or not found.terms.seats:
            return self.none("no contract", self.bootstrap["come_back"])
        terms, fleet = found.terms, self.fleet_time(now)
        if not terms.valid(fleet):
            early = terms.since - fleet if 0 < fleet < terms.since else 0
            return self.none("the contract does not run", max(early, self.bootstrap["come_back"]))
        until = min(self.lease.until if self.lease is not None else now, now + longest)
        if terms.until:
            until = min(until, now + int((terms.until - fleet) * (1 - self.bootstrap["drift"])))
        if until - now < LEAST:
            return self.none("no lease", self.bootstrap["come_back"], "no_lease")
        # A user who isn't named has a seat for each job: more than it may need, never one for two people.
        key = {"node": key, "user": key and f"{tenant}\0{key}"}.get(terms.kind, "")
        bound = hold = None
        for pool in (tenant, COMMON) if tenant and tenant in found.pools else (COMMON,):
            hold = self.hold(feature, pool)
            bound = hold.joins(key, hold.debt > 0 and fleet >= hold.due)
            if bound is None and key not in hold.keys and hold.turn_of(now, tenant, pool == COMMON):
                bound = hold.bind(now, key, tenant)
            if bound is not None:
                break
        if bound is None:
            hold.refuse(now, tenant, back)
            return self.none("all seats are taken", self.bootstrap["come_back"])
        stamp = self.acts.stamp(now, "seats.given", msgspec.msgpack.encode(bound.given))
        if stamp is None:
            if not bound.jobs and not bound.free_at:
                hold.unbind(now, bound)
            return self.none("this member may not act", self.bootstrap["come_back"], "no_lease")
        bound.jobs += 1
        self.counts["given"] += 1
        ticket = Ticket(bound, until, stamp)
        self.later(until, ticket)  # whatever is heard of it or not: no seat is lost for good
        return ticket

    def none(self, why: str, again: int, count: str = "refused") -> NoSeat:
        self.counts[count] += 1
        return NoSeat(why, again)

    # ---- back --------------------------------------------------------------------------------------

    def ended(self, now: int, ticket: Ticket) -> None:
        """Its job is over, or never began, for certain."""
        if ticket.over:
            return
        ticket.over = True
        bound = ticket.bound
        bound.jobs -= 1
        if bound.jobs:
            return
        found = self.part.features.get(bound.given.feature)
        terms: Terms | None = found.terms if found is not None else None
        if bound.key and terms is not None and terms.linger:
            bound.free_at = now + terms.linger
            self.later(bound.free_at, bound)
        else:
            bound.hold.unbind(now, bound)

    def returns(self) -> list[Return]:
        """What is owed and idle, and what was to be returned and is not yet seen so in the state machine."""
        out = []
        for (feature, pool), hold in self.holds.items():
            hold.owe()
            if hold.returning:
                out.append(
                    Return(feature, pool, tuple((s.number, s.counter) for s in hold.returning.values()))
                )
        return out
