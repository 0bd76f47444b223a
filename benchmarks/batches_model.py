"""A model of 50 members and 2,000 nodes over two days, for benchmarks/batches.py: the state's real part and
the real rounds of planning; time goes in slots of a quarter of an hour.

Ten sites in two time zones, each with its own load of interactive RPCs by the hour (what they leave are
lanes), a contracted peak and dated prices.  Every eight hours some hundred pieces come.  A leader plans in
rounds, one a slot and some more as pieces come.  Each fifth member is lost once in the middle of a slot: what
is idempotent goes on from its checkpoint, what is not waits an hour for an operator's word."""

import math
import random
import time

from indigohitch.fleet.batches.part import Batches
from indigohitch.fleet.batches.placing import Task
from indigohitch.fleet.batches.plan import Plan
from indigohitch.fleet.batches.rounds import Round
from indigohitch.fleet.batches.rows import (
    Assignment,
    Band,
    Batch,
    BatchClass,
    Checkpoint,
    Contract,
    Expiry,
    InteractiveLoad,
    OperatorDecision,
    PieceSpec,
    Prices,
    Site,
    Start,
    State,
)
from indigohitch.fleet.batches.rows import PlanChanges as Changes
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.types import Stamp

SECOND = 10_000
HOUR = 3600 * SECOND
SLOT = HOUR // 4
SITES, MEMBERS, NODES, DAYS = 10, 50, 2000, 2
LANES = NODES // SITES
PEAK = LANES * 60  # watts of batches at a site: a fifth of what its nodes could draw
BEGIN = 1_796_083_200 * SECOND  # a Wednesday, midnight UTC
STEPS = 10  # of a piece in a slot
ROUNDS = 4  # in the slot in which pieces come, else one: each looks at every piece once


def day(rng, slots, base=24_000, swing=12_000):
    """A day-ahead market: dear mornings and evenings, cheap nights and noons."""
    return [
        round(base + swing * (math.sin(at / 96 * 4 * math.pi - 1.2) + rng.uniform(-0.25, 0.25)))
        for at in range(slots)
    ]


class Model:
    def __init__(self, seed):
        self.rng, self.index, self.part = random.Random(seed), 0, Batches()
        self.slot, self.slots = 0, 96 * DAYS
        self.sites = tuple(
            Site(
                f"s{n}",
                ("Europe/Berlin", "Europe/Lisbon")[n % 2],
                "",
                {"std": LANES},
                (Band((), 0, 24 * HOUR, 24_000),),
                PEAK,
                60_000,
            )
            for n in range(SITES)
        )
        self.tell(
            "contract",
            Contract(
                1,
                SLOT,
                self.sites,
                (
                    BatchClass("report", True, "/", {"std": 250}, 4),
                    BatchClass("dunning", False, "/", {"std": 400}, 4),
                ),
            ),
        )
        self.tell(
            "prices",
            Prices(
                1,
                SLOT,
                {
                    site.name: {
                        BEGIN + at * SLOT: price for at, price in enumerate(day(self.rng, self.slots))
                    }
                    for site in self.sites
                },
            ),
        )
        for site in self.sites:
            for hour in range(24):
                share = 50 + 40 * math.sin((hour - 8) / 24 * 2 * math.pi) + self.rng.uniform(-8, 8)
                self.tell("load", InteractiveLoad(site.name, hour, round(max(0, min(100, share)))))
        names = [f"{site.name}.{n}" for site in self.sites for n in range(MEMBERS // SITES)]
        self.incarnations = dict.fromkeys(names, 1)
        self.losses = {self.rng.randrange(8, self.slots - 40): name for name in names[::5]}
        self.ran, self.power, self.once = {}, [0] * self.slots, [0] * self.slots
        self.cost = self.over = self.unclear = 0
        self.planning_ms, self.waits = [], {}

    @property
    def now(self):
        return BEGIN + self.slot * SLOT

    def at(self, proposer="leader", incarnation=1):
        self.index += 1
        return EntryContext(self.index, 1, self.now, proposer, incarnation)

    def tell(self, word, body, *who):
        return self.part.apply(self.at(*who), word, body)

    def price(self, site, slot):
        return self.part.prices.sites[site][BEGIN + slot * SLOT]

    def mean_prices(self):
        return [
            sum(self.price(site.name, at) for site in self.sites) / SITES / 1000 for at in range(self.slots)
        ]

    # ---- one slot ----------------------------------------------------------------------------------

    def step(self):
        if self.slot % 32 == 0 and self.slot < self.slots - 64:
            self.submit("report", 420)
            self.submit("dunning", 180)
        self.plan()
        lost = self.losses.get(self.slot)
        watts = {}
        for id in list(self.part.pieces.open):
            self.run(id, lost, watts)
        if lost is not None:
            self.part.on_member_lease_expired(self.at(), lost, self.incarnations[lost])
            self.incarnations[lost] += 1
        self.operator()
        self.power[self.slot] = sum(watts.values())
        self.over = max([self.over, *(much - PEAK for much in watts.values())])
        self.slot += 1
        self.tell("late", Expiry(tuple(self.part.pieces.open)))

    def submit(self, rpc, count):
        cuts = []
        for _ in range(count):
            begin, slots = self.now + self.rng.randrange(1, 8) * SLOT, self.rng.randint(2, 8)
            end = min(BEGIN + self.slots * SLOT, begin + (slots + self.rng.randint(16, 60)) * SLOT)
            cuts.append(PieceSpec(begin, end, slots * SLOT * 9 // 10, slots * STEPS))
        self.tell("submit", Batch(f"{rpc}{self.slot}", "whk", rpc, tuple(cuts)))

    def plan(self):
        began = time.process_time()
        for _ in range(ROUNDS if self.slot % 32 == 0 else 1):
            planning = Round(self.part, self.now - SLOT // 4)  # before the slot begins
            for _ in zip(range(len(self.part.pieces.open)), planning.steps()):
                pass
            while changes := planning.take():  # an entry takes so many
                self.tell("plan", Changes(self.part.version, changes))
        self.planning_ms.append((time.process_time() - began) * 1000)

    def run(self, id, lost, watts):
        """A piece whose run it is: given, started, run by its steps, given back where its run ends."""
        piece, now = self.part.pieces.all[id], self.now
        if (
            piece.state is State.UNCLEAR
            or piece.placing is None
            or not any(begin <= now < end for begin, end in piece.placing.runs)
        ):
            return
        site = piece.placing.site
        if piece.state is State.WAITING:
            member = f"{site}.{sum(id.encode()) % (MEMBERS // SITES)}"
            who = member, self.incarnations[member]
            self.tell("give", Assignment(id, *who))
            self.tell("start", Start(id, piece.attempt + 1, Stamp(*who, 1, self.index, 1)), *who)
        half = piece.member == lost
        to = min(piece.cut.steps, piece.step + (STEPS // 2 if half else STEPS))
        for step in range(piece.step, to):
            self.ran[id, step] = self.ran.get((id, step), 0) + 1
        power = self.part.rpc(piece.rpc).power["std"]
        watts[site] = watts.get(site, 0) + power
        self.cost += self.price(site, self.slot) * power
        if not half:
            goes_on = any(begin <= now + SLOT < end for begin, end in piece.placing.runs)
            end = "done" if to == piece.cut.steps else "" if goes_on else "rests"
            self.tell("step", Checkpoint(id, piece.attempt, to, end), piece.member, piece.incarnation)

    def operator(self):
        for id in self.part.pieces.open:
            piece = self.part.pieces.all[id]
            if piece.state is State.UNCLEAR:
                self.waits.setdefault(id, self.slot + 4)
        for id in [id for id, until in self.waits.items() if until == self.slot]:
            steps = self.part.pieces.all[id].cut.steps
            ran = sum((id, step) in self.ran for step in range(steps))
            self.tell(
                "word", OperatorDecision(id, "from", ran) if ran < steps else OperatorDecision(id, "done")
            )
            self.unclear += 1

    # ---- held against ------------------------------------------------------------------------------

    def figures(self):
        part, slot = self.part, self.slot
        self.slot = 0
        plan, tasks, bound = Plan(Round(part, BEGIN).field(self.slots)), [], 0
        for id, piece in part.pieces.all.items():
            power = {(site.name, "std"): part.rpc(piece.rpc).power["std"] for site in self.sites}
            first, last = ((at - BEGIN) // SLOT for at in (piece.cut.earliest, piece.cut.latest))
            tasks.append(Task(id, first, last, piece.cut.steps // STEPS, power))
            bound += plan.field.best(tasks[-1], alone=True)[0]
        plan.at_once(tasks)
        for id, spot in plan.spots.items():
            for at in spot.slots:
                self.once[at] += plan.tasks[id].power[spot.place]
        self.slot = slot
        counts, ms = part.pieces.counts(), sorted(self.planning_ms)
        twice = sum(many > 1 and not part.pieces.all[id].idempotent for (id, _), many in self.ran.items())
        missed = [
            id for id, piece in part.pieces.all.items() if piece.state is State.MISSED and piece.version
        ]
        return {
            "members": MEMBERS,
            "nodes": NODES,
            "slots": self.slots,
            "pieces": len(part.pieces.all),
            "done": counts["done"],
            "missed": counts["missed"],
            "missed_though_planned": len(missed),
            "not_planned_at_once": len(plan.unplanned),
            "unclear": self.unclear,
            "twice": twice,
            "members_lost": len(self.losses),
            "cost": round(self.cost / bound, 4),
            "cost_at_once": round(plan.cost() / bound, 4),
            "cost_bound": 1.0,
            "peak_over_w": self.over,
            "peak_over_at_once_w": plan.peak_over(),
            "planning_ms_a_slot_p50": round(ms[len(ms) // 2]),
            "planning_ms_a_slot_max": round(ms[-1]),
        }
