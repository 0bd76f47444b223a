"""The seats of one pool that a member holds, and to whom they are bound now.  No I/O.

Turns of tenants.  A tenant refused keeps a place for `hold`; a seat that falls idle is left to the one
that waits longest among those with less than their fair part (an equal part of the seats held, at least one).
So who comes again within `hold` and has less than its part gets one of the next seats that fall idle: at the
latest when the jobs that are out now are over, all of which end with the lease (docs/seats.md)."""

from __future__ import annotations

from dataclasses import dataclass

from .contract import Given, Share


@dataclass(slots=True, eq=False)
class Bound:
    """A seat in use: by one job, or by the jobs of one node or user."""

    hold: Hold
    seat: Seat
    key: str  # "" for a single job
    tenant: str
    given: Given
    jobs: int = 0
    free_at: int = 0  # nothing is out: it lingers until then


@dataclass(slots=True, eq=False)
class Seat:
    number: int
    counter: int
    uses: int = 0
    bound: Bound | None = None


class Hold:
    MOST = 256  # tenants whose places are kept: names come from outside, memory is bounded

    def __init__(self, feature: str, bootstrap: dict) -> None:
        self.feature, self.wait = feature, bootstrap["hold"]
        self.seats: dict[int, Seat] = {}
        self.idle: list[Seat] = []
        self.returning: dict[int, Seat] = {}  # proposed to be returned: given to nobody any more
        self.bound: dict[Bound, None] = {}  # in the order in which they were bound
        self.keys: dict[str, Bound] = {}
        self.uses: dict[str, int] = {}  # bound seats by tenant
        self.waiting: dict[str, list[int]] = {}  # refused tenants: since, and until when their place is
        self.debt, self.due = 0, 0
        self.mean = 0  # seats bound on average in the last window, rounded up
        self.area = self.began = self.at = 0  # seats x tenths of a ms so far in this one
        self.missed = self.missed_before = 0  # asks refused for want of a seat

    @property
    def usable(self) -> int:
        return max(0, len(self.seats) + len(self.returning) - self.debt)

    def follow(self, share: Share | None, counters: list[int]) -> None:
        """As the state machine has it now."""
        held = {n: counters[n] for n in share.seats} if share is not None else {}
        self.debt, self.due = (share.debt, share.due) if share is not None else (0, 0)
        for group in (self.seats, self.returning):
            for number in [n for n, seat in group.items() if held.get(n) != seat.counter]:
                seat = group.pop(number)
                if seat in self.idle:
                    self.idle.remove(seat)
        for number in sorted(held.keys() - self.seats.keys() - self.returning.keys()):
            seat = self.seats[number] = Seat(number, held[number])
            self.idle.append(seat)
            self.missed = self.missed_before = 0  # of when it had fewer

    # ---- giving ------------------------------------------------------------------------------------

    def joins(self, key: str, owing: bool) -> Bound | None:
        """The seat that this node or user has; `owing`: what is to be returned gets no further job."""
        found = self.keys.get(key) if key else None
        if found is not None and owing and list(self.bound).index(found) >= self.usable:
            return None
        return found

    def part(self) -> int:
        """The fair part of a tenant, in whole seats."""
        return max(1, self.usable // max(1, len(self.uses.keys() | self.waiting.keys())))

    def turn_of(self, now: int, tenant: str, fair: bool) -> bool:
        """May this tenant have a seat that nobody has?"""
        spare = min(len(self.idle), self.usable - len(self.bound))
        if spare <= 0 or not fair or not self.waiting:
            return spare > 0
        for name in [t for t, (_, until) in self.waiting.items() if now > until]:
            del self.waiting[name]
        part, mine = self.part(), self.uses.get(tenant, 0)
        since = self.waiting[tenant][0] if tenant in self.waiting else now
        ahead = sum(
            1
            for name, (began, _) in self.waiting.items()
            if name != tenant and self.uses.get(name, 0) < part and (mine >= part or began < since)
        )
        return spare > ahead

    def refuse(self, now: int, tenant: str, back: int) -> None:
        """`back`: when it is told to come again."""
        self.missed += 1
        until = now + max(self.wait, 5 * back // 2)
        if tenant in self.waiting:
            self.waiting[tenant][1] = until
        elif len(self.waiting) < self.MOST:
            self.waiting[tenant] = [now, until]

    def bind(self, now: int, key: str, tenant: str) -> Bound:
        self.count(now)
        seat = self.idle.pop()
        seat.uses += 1
        bound = seat.bound = Bound(
            self, seat, key, tenant, Given(self.feature, seat.number, seat.counter, seat.uses, bool(key))
        )
        self.bound[bound] = None
        if key:
            self.keys[key] = bound
        self.uses[tenant] = self.uses.get(tenant, 0) + 1
        self.waiting.pop(tenant, None)
        return bound

    def unbind(self, now: int, bound: Bound) -> None:
        if bound not in self.bound:
            return
        self.count(now)
        del self.bound[bound]
        bound.seat.bound = None
        if self.keys.get(bound.key) is bound:
            del self.keys[bound.key]
        self.uses[bound.tenant] -= 1
        if not self.uses[bound.tenant]:
            del self.uses[bound.tenant]
        if self.seats.get(bound.seat.number) is bound.seat:
            self.idle.append(bound.seat)

    # ---- giving back -------------------------------------------------------------------------------

    def owe(self) -> None:
        """Idle seats become such that are returned: from here on they are given to nobody."""
        for _ in range(min(len(self.idle), self.debt - len(self.returning))):
            seat = self.idle.pop(0)
            self.returning[seat.number] = self.seats.pop(seat.number)

    # ---- what the leader hears ---------------------------------------------------------------------

    def count(self, now: int) -> None:
        """Up to now; clocks of one process don't go back, but a due end may be counted late."""
        self.area += len(self.bound) * max(0, now - self.at)
        self.at = max(self.at, now)

    def window(self, now: int) -> None:
        self.count(now)
        self.mean = -(-self.area // max(1, now - self.began))
        self.area, self.began = 0, now
        self.missed_before, self.missed = self.missed, 0

    def wanting(self) -> tuple[int, int]:
        return self.mean, max(self.missed, self.missed_before)
