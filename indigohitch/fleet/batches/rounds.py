"""The plan in rounds: the state's pieces, planned anew in small steps, and the changes that come of it.

A round is a generator, so that the leader's process does little of it a beat.  No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ...net.clock import SECOND
from . import contract
from .part import Batches
from .placing import Field, Place, Spot, Task
from .plan import DEAD, Plan
from .rows import Piece, Placing, Site, State

PUTS, LOOKS = 128, (2, 32)  # a step: some ms of a leader's loop; the fewer pieces, the more looks
MOVES = 256  # changes in one entry: the budget of a round
TIGHT = 128  # pieces with least time to spare that are placed anew where one does not fit
SLOTS = 4096  # six weeks of quarters; what comes later is planned later
BEGIN = 3 * SECOND // 10  # to be given, to start: three entries of the ledger
SPARE = 20  # one in so much more than the work: beats, checkpoints, tries again
HOUR = 3600 * SECOND


class Round:
    """`time`: fleet time at its beginning; `seats`: by feature what batches may use at a time; `offered`: by
    place how many pieces the members there run at a time, where that is known."""

    def __init__(
        self,
        part: Batches,
        time: int,
        seats: Mapping[str, int] | None = None,
        offered: Mapping[Place, int] | None = None,
        dead: float = DEAD,
    ) -> None:
        self.part, self.time, self.seats, self.dead = part, time, dict(seats or {}), dead
        self.offered = offered or {}
        self.slot = part.contract.slot
        self.now = time // self.slot  # the slot that runs
        self.before: dict[str, Placing | None] = {}
        self.spots: dict[str, Spot | None] = {}  # as they were
        self.plan: Plan | None = None

    # ---- the field ---------------------------------------------------------------------------------

    def field(self, count: int) -> Field:
        return next(found for found in self.fields(count) if found is not None)

    def fields(self, count: int) -> Iterator[Field | None]:
        """The field, after a None for each site."""
        prices, lanes, peaks = {}, {}, {}
        for site in self.part.contract.sites:
            yield None
            costs, shares = self.by_slot(site, count)
            for kind, most in sorted(site.lanes.items()):
                prices[site.name, kind] = costs
                offered = self.offered.get((site.name, kind), most)
                lanes[site.name, kind] = [min(offered, most * (100 - share) // 100) for share in shares]
            if site.peak:
                peaks[site.name] = (site.peak, site.surcharge)
        yield Field(count, prices, lanes, peaks, self.seats)

    def by_slot(self, site: Site, count: int) -> tuple[list[int], list[int]]:
        """Prices, and the share of the lanes that interactive RPCs want.  A price that nobody knows is taken
        as the dearest that is known: nothing moves there for gain.  Without any, no move is a gain."""
        known, loads = self.part.prices, self.part.loads.get(site.name, {})
        dated = known.sites.get(site.name, {}) if known is not None else {}
        each = known.each if dated else 0
        costs, shares = [], []
        for at in range(self.now, self.now + count):
            costs.append(contract.price_at(site, at * self.slot, dated, each))
            shares.append(loads.get(contract.hour_of_day(site, at * self.slot), 0) if loads else 0)
        dearest = max((cost for cost in costs if cost is not None), default=0)
        return [dearest if cost is None else cost for cost in costs], shares

    # ---- pieces ------------------------------------------------------------------------------------

    def left(self, piece: Piece) -> int:
        """Time that it still wants, with what a start takes and some to spare."""
        work = -(-piece.cut.work * (piece.cut.steps - piece.step) // piece.cut.steps)
        return work if piece.state is State.RUNNING else work + work // SPARE + BEGIN

    def spot(self, piece: Piece) -> Spot | None:
        """Where it stands from the slot that runs on, if that is in time and enough."""
        placing = piece.placing
        if placing is None:
            return None
        runs = [(max(begin // self.slot, self.now), -(-end // self.slot)) for begin, end in placing.runs]
        slots = tuple(at - self.now for begin, end in runs for at in range(begin, end))
        # What runs goes on since its last checkpoint, as far as is known.
        since = piece.since if piece.state is State.RUNNING else self.time
        time = sum(max(0, end - max(begin, since)) for begin, end in placing.runs)
        wanted = self.left(piece) - (BEGIN if self.begun(piece) else 0)
        return Spot((placing.site, placing.kind), slots) if slots and time >= wanted else None

    def begun(self, piece: Piece) -> bool:
        return (
            piece.state is not State.WAITING
            or piece.placing is not None
            and any(begin - SECOND <= self.time < end for begin, end in piece.placing.runs)
        )

    def task(self, id: str, piece: Piece, spot: Spot | None) -> Task | None:
        rpc = self.part.rpc(piece.rpc)
        if rpc is None:
            return None
        power = {
            (site.name, kind): watts
            for site in self.part.contract.sites
            if not rpc.sites or site.name in rpc.sites
            for kind, watts in sorted(rpc.power.items())
            if kind in site.lanes
        }
        # The slot that runs has gone in part: only who is in it already may go on in it.
        goes_on = piece.state is not State.WAITING
        first = max(-(-piece.cut.earliest // self.slot) - self.now, 0 if goes_on else 1)
        last = min(piece.cut.latest // self.slot - self.now, SLOTS)
        if goes_on:
            place = (piece.placing.site, piece.placing.kind)
            power = {place: power[place]} if place in power else {}
        if spot is not None:
            need = len(spot.slots)
        else:
            gone = self.time - self.now * self.slot if goes_on else 0
            need = -(-(self.left(piece) + gone) // self.slot)
            if last - first > need:
                last -= 1  # a slot to spare: strain may pause it
        pause = rpc.pause * 1000 * HOUR // self.slot
        return Task(
            id,
            first,
            last,
            need,
            power,
            pause,
            rpc.seats,
            spot is None,
            spot is not None and self.begun(piece) or goes_on,
        )

    # ---- the round ---------------------------------------------------------------------------------

    def steps(self) -> Iterator[None]:
        """Carries the round out, some ms of work a step; then `take` tells what came of it."""
        part = self.part
        ids = list(part.pieces.open)
        latest = max((part.pieces.all[id].cut.latest for id in ids), default=0)
        fields = self.fields(max(1, min(latest // self.slot - self.now, SLOTS)))
        while (field := next(fields)) is None:
            yield
        self.plan = plan = Plan(field, self.dead)
        new = []
        for count, id in enumerate(ids):
            piece = part.pieces.all.get(id)
            if piece is None or piece.state not in (State.WAITING, State.GIVEN, State.RUNNING):
                continue
            spot = self.spot(piece)
            task = self.task(id, piece, spot)
            if task is None:
                continue
            self.before[id], self.spots[id] = piece.placing, spot
            known = spot is not None and spot.place in plan.field.room and spot.slots[-1] < plan.field.count
            if known and spot.place in task.power:
                plan.put(task, spot)
            else:
                task.last = min(task.last, plan.field.count)
                new.append(task)
            if count % PUTS == PUTS - 1:
                yield
        yield from self.at_once(plan, new)
        yield from self.cheaper(plan)

    def take(self) -> dict[str, Placing | None]:
        """The next changes, as many as an entry takes, each once; empty after the last."""
        changes = self.changed(self.plan)
        for id in changes:
            del self.before[id]
        return changes

    def at_once(self, plan: Plan, new: list[Task]) -> Iterator[None]:
        failed = False
        for count, task in enumerate(sorted(new, key=lambda t: (t.last - t.need, t.first, t.id)), 1):
            failed |= not plan.add(task)
            if count % LOOKS[1] == 0:
                yield
        if failed:
            free = [task for task in plan.tasks.values() if not task.fixed or task.id not in plan.spots]
            plan.squeeze(sorted(free, key=lambda t: (t.last - t.need, t.first, t.id))[:TIGHT])
            yield

    @staticmethod
    def cheaper(plan: Plan) -> Iterator[None]:
        # A look takes 0.1 ms in a plan of thirty pieces, near one in a plan of a thousand.
        least, most = LOOKS
        looks = max(least, min(most, 1024 // max(1, len(plan.tasks))))
        for count, _ in enumerate(plan.both_ways(), 1):
            if plan.moves >= MOVES:
                return
            if count % looks == 0:
                yield

    def changed(self, plan: Plan) -> dict[str, Placing | None]:
        changes: dict[str, Placing | None] = {}
        for id, before in self.before.items():
            spot, piece = plan.spots.get(id), self.part.pieces.all.get(id)
            if spot is not None and spot == self.spots[id] or piece is None or piece.placing is not before:
                continue  # as it was, or the state machine has gone on meanwhile
            if spot is None:
                if before is not None and piece.state is State.WAITING and before.runs[-1][1] <= self.time:
                    changes[id] = None
                continue
            placing = Placing(*spot.place, self.runs(spot))
            if (
                before is None
                or (placing.site, placing.kind) != (before.site, before.kind)
                or (self.ahead(placing) != self.ahead(before))
            ):
                changes[id] = placing
        runs = {id: placing.runs if placing is not None else () for id, placing in changes.items()}
        soonest = sorted(changes, key=lambda id: (not runs[id], runs[id][:1], id))
        return {id: changes[id] for id in soonest[:MOVES]}

    def runs(self, spot: Spot) -> tuple[tuple[int, int], ...]:
        found: list[tuple[int, int]] = []
        for at in spot.slots:
            begin = (self.now + at) * self.slot
            if found and found[-1][1] == begin:
                found[-1] = found[-1][0], begin + self.slot
            else:
                found.append((begin, begin + self.slot))
        return tuple(found)

    def ahead(self, placing: Placing) -> list[tuple[int, int]]:
        """Its runs from the slot that runs on."""
        now = self.now * self.slot
        return [(max(begin, now), end) for begin, end in placing.runs if end > now]
