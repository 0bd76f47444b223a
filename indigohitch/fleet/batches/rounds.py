"""Planning rounds: generators, so that a leader replans pieces in small steps, a few per beat.  No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ...net.clock import SECOND
from . import contract
from .part import Batches
from .placing import Field, Place, Spot, Task
from .plan import DEAD_BAND, Plan
from .rows import Piece, Placement, Site, State

# Work of a step, some ms of the leader's loop: pieces; attempts, of which there are more if pieces are few.
PIECES_PER_STEP, ATTEMPTS_PER_STEP = 128, (2, 32)
MAX_CHANGES = 256  # moves in one round, and changes in one entry
MAX_REPLACED = 128  # pieces with the least slack that are placed again where one does not fit
MAX_SLOTS = 4096  # six weeks of slots of 15 minutes; what comes later is planned later
START_TIME = 3 * SECOND // 10  # to assign and start a piece takes three entries of the log
MARGIN_DIVISOR = 20  # one part in this many is added to the work for beats, checkpoints, retries
HOUR = 3600 * SECOND


class Round:
    """One planning round, begun at fleet time `time`.

    `seats`: by feature, how many seats batches may use at a time.  `offered`: by place, how many pieces the
    members there run at a time, where that is known.
    """

    def __init__(
        self,
        part: Batches,
        time: int,
        seats: Mapping[str, int] | None = None,
        offered: Mapping[Place, int] | None = None,
        dead_band: float = DEAD_BAND,
    ) -> None:
        self.part, self.time = part, time
        self.seats, self.dead_band = dict(seats or {}), dead_band
        self.offered = offered or {}
        self.slot = part.contract.slot
        self.now = time // self.slot  # the current slot
        self.before: dict[str, Placement | None] = {}  # placings before the round, by id
        self.spots: dict[str, Spot | None] = {}  # before the round, by id
        self.plan: Plan | None = None

    # ---- the field -----------------------------------------------------------------------------------

    def field(self, count: int) -> Field:
        """Returns an empty field of `count` slots from the current one on."""
        return next(found for found in self.build_field(count) if found is not None)

    def build_field(self, count: int) -> Iterator[Field | None]:
        """Yields None for each site, then the field; so that the prices are computed in small steps."""
        prices, lanes, peaks = {}, {}, {}
        for site in self.part.contract.sites:
            yield None
            costs, shares = self.prices_and_shares(site, count)
            for kind, limit in sorted(site.lanes.items()):
                prices[site.name, kind] = costs
                offered = self.offered.get((site.name, kind), limit)
                lanes[site.name, kind] = [min(offered, limit * (100 - share) // 100) for share in shares]
            if site.peak:
                peaks[site.name] = (site.peak, site.surcharge)
        yield Field(count, prices, lanes, peaks, self.seats)

    def prices_and_shares(self, site: Site, count: int) -> tuple[list[int], list[int]]:
        """Returns by slot the price, and the share of the lanes (per cent) that interactive RPCs use.

        An unknown price is taken as the highest one known, so that no piece moves there for gain.  If none is
        known, all are 0 and no move is a gain.
        """
        known, loads = self.part.prices, self.part.loads.get(site.name, {})
        dated = known.sites.get(site.name, {}) if known is not None else {}
        each = known.each if dated else 0
        costs, shares = [], []
        for at in range(self.now, self.now + count):
            costs.append(contract.price_at(site, at * self.slot, dated, each))
            shares.append(loads.get(contract.hour_of_day(site, at * self.slot), 0) if loads else 0)
        dearest = max((cost for cost in costs if cost is not None), default=0)
        return [dearest if cost is None else cost for cost in costs], shares

    # ---- pieces --------------------------------------------------------------------------------------

    def remaining_time(self, piece: Piece) -> int:
        """Returns the time that a piece still needs, with a margin and the time of a start if it waits."""
        work = -(-piece.cut.work * (piece.cut.steps - piece.step) // piece.cut.steps)
        return work if piece.state is State.RUNNING else work + work // MARGIN_DIVISOR + START_TIME

    def current_spot(self, piece: Piece) -> Spot | None:
        """Returns what is left of the spot in the committed plan; None if it is not enough for the piece."""
        placing = piece.placing
        if placing is None:
            return None
        runs = [(max(begin // self.slot, self.now), -(-end // self.slot)) for begin, end in placing.runs]
        slots = tuple(at - self.now for begin, end in runs for at in range(begin, end))
        # A running piece has worked since its last checkpoint, as far as is known here.
        worked_since = piece.progress_at if piece.state is State.RUNNING else self.time
        time = sum(max(0, end - max(begin, worked_since)) for begin, end in placing.runs)
        needed = self.remaining_time(piece) - (START_TIME if self.has_begun(piece) else 0)
        return Spot((placing.site, placing.kind), slots) if slots and time >= needed else None

    def has_begun(self, piece: Piece) -> bool:
        """Returns whether the piece is assigned or running, or within a second of a planned run."""
        return (
            piece.state is not State.WAITING
            or piece.placing is not None
            and any(begin - SECOND <= self.time < end for begin, end in piece.placing.runs)
        )

    def task(self, id: str, piece: Piece, spot: Spot | None) -> Task | None:
        """Returns the piece as a task, None if the contract lacks its class; `spot` None: to be placed."""
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
        # Part of the current slot is over: only a piece that is in it already may use the rest.
        goes_on = piece.state is not State.WAITING
        first = max(-(-piece.cut.earliest // self.slot) - self.now, 0 if goes_on else 1)
        last = min(piece.cut.latest // self.slot - self.now, MAX_SLOTS)
        if goes_on:
            place = (piece.placing.site, piece.placing.kind)
            power = {place: power[place]} if place in power else {}
        if spot is not None:
            need = len(spot.slots)
        else:
            elapsed = self.time - self.now * self.slot if goes_on else 0
            need = -(-(self.remaining_time(piece) + elapsed) // self.slot)
            if last - first > need:
                last -= 1  # keeps one slot free, as overload may pause the piece
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
            spot is not None and self.has_begun(piece) or goes_on,
        )

    # ---- the round -----------------------------------------------------------------------------------

    def steps(self) -> Iterator[None]:
        """Carries out the round, a few ms of work per step; `take` then returns the changes."""
        part = self.part
        ids = list(part.pieces.open)
        latest = max((part.pieces.all[id].cut.latest for id in ids), default=0)
        building = self.build_field(max(1, min(latest // self.slot - self.now, MAX_SLOTS)))
        while (field := next(building)) is None:
            yield
        self.plan = plan = Plan(field, self.dead_band)
        new = []
        for count, id in enumerate(ids):
            piece = part.pieces.all.get(id)
            if piece is None or piece.state not in (State.WAITING, State.GIVEN, State.RUNNING):
                continue
            spot = self.current_spot(piece)
            task = self.task(id, piece, spot)
            if task is None:
                continue
            self.before[id], self.spots[id] = piece.placing, spot
            known = spot is not None and spot.place in plan.field.room and spot.slots[-1] < plan.field.count
            if known and spot.place in task.power:
                plan.assign(task, spot)
            else:
                task.last = min(task.last, plan.field.count)
                new.append(task)
            if count % PIECES_PER_STEP == PIECES_PER_STEP - 1:
                yield
        yield from self.place_new(plan, new)
        yield from self.improve(plan)

    def take(self) -> dict[str, Placement | None]:
        """Returns the next changes, at most as many as an entry holds, each once; empty after the last."""
        changes = self.collect_changes(self.plan)
        for id in changes:
            del self.before[id]
        return changes

    def place_new(self, plan: Plan, new: list[Task]) -> Iterator[None]:
        """Places the new tasks at their earliest slots; if one does not fit, replaces the tightest ones."""
        failed = False
        for count, task in enumerate(sorted(new, key=lambda t: (t.last - t.need, t.first, t.id)), 1):
            failed |= not plan.place_earliest(task)
            if count % ATTEMPTS_PER_STEP[1] == 0:
                yield
        if failed:
            free = [task for task in plan.tasks.values() if not task.fixed or task.id not in plan.spots]
            plan.place_by_slack(sorted(free, key=lambda t: (t.last - t.need, t.first, t.id))[:MAX_REPLACED])
            yield

    @staticmethod
    def improve(plan: Plan) -> Iterator[None]:
        """Improves the plan, a number of attempts per step, until the round has made all of its moves."""
        # An attempt takes 0.1 ms in a plan of 30 pieces, nearly 1 ms in a plan of 1,000.
        least, most = ATTEMPTS_PER_STEP
        attempts = max(least, min(most, 1024 // max(1, len(plan.tasks))))
        for count, _ in enumerate(plan.improve_and_replan(), 1):
            if plan.moves >= MAX_CHANGES:
                return
            if count % attempts == 0:
                yield

    def collect_changes(self, plan: Plan) -> dict[str, Placement | None]:
        """Returns the changes that are left, the earliest runs first, at most as many as an entry holds."""
        changes: dict[str, Placement | None] = {}
        for id, before in self.before.items():
            spot, piece = plan.spots.get(id), self.part.pieces.all.get(id)
            if spot is not None and spot == self.spots[id] or piece is None or piece.placing is not before:
                continue  # unchanged, or the state machine has changed it meanwhile
            if spot is None:
                if before is not None and piece.state is State.WAITING and before.runs[-1][1] <= self.time:
                    changes[id] = None
                continue
            placing = Placement(*spot.place, self.runs_of(spot))
            if (
                before is None
                or (placing.site, placing.kind) != (before.site, before.kind)
                or (self.remaining_runs(placing) != self.remaining_runs(before))
            ):
                changes[id] = placing
        runs = {id: placing.runs if placing is not None else () for id, placing in changes.items()}
        soonest = sorted(changes, key=lambda id: (not runs[id], runs[id][:1], id))
        return {id: changes[id] for id in soonest[:MAX_CHANGES]}

    def runs_of(self, spot: Spot) -> tuple[tuple[int, int], ...]:
        """Returns the runs of a spot, in which consecutive slots are joined."""
        found: list[tuple[int, int]] = []
        for at in spot.slots:
            begin = (self.now + at) * self.slot
            if found and found[-1][1] == begin:
                found[-1] = found[-1][0], begin + self.slot
            else:
                found.append((begin, begin + self.slot))
        return tuple(found)

    def remaining_runs(self, placing: Placement) -> list[tuple[int, int]]:
        """Returns the runs of a placing from the current slot on."""
        now = self.now * self.slot
        return [(max(begin, now), end) for begin, end in placing.runs if end > now]
