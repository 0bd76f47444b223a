"""What a coordinator knows of backends and slices and what it wants of them; nothing is decided here."""

import hashlib
import math
import random
from enum import StrEnum

from ..interface import SECOND, LogMessage
from .update_channel import UpdateChannel

DEPARTING_STATES = ("draining", "gone")  # states in which a backend may hold no line


class DueAction(StrEnum):
    """What a coordinator has to do at a time; the values go into hand-overs and snapshots."""

    SUBSCRIBE = "subscribe"  # ask for the list of backends again


class DecayingSum:
    """Two sums that fade with a time constant: what was added lately counts most."""

    def __init__(self, span: int, many: int = 2) -> None:
        self.span, self.at, self.values = span, 0, [0.0] * many

    def read(self, now: int) -> list[float]:
        if now > self.at:
            fade = math.exp((self.at - now) / self.span)
            self.values, self.at = [v * fade for v in self.values], now
        return self.values

    def add(self, now: int, *amounts: float) -> None:
        self.values = [value + amount for value, amount in zip(self.read(now), amounts)]


class Backend:
    # Speed is a matter of the machine, failures of the hour: the one is smoothed longer than the other.
    PACE_SPAN, FAIL_SPAN = 30 * SECOND, 4 * SECOND

    def __init__(self, id: str) -> None:
        self.id, self.key = id, hashlib.blake2b(id.encode(), digest_size=8).digest()
        self.kind, self.zone, self.weight, self.started = "", "", 1.0, 0
        self.state = "unheard"  # "ready", "draining", "gone"; unheard: only in the store
        self.dropped = False  # no more in the list, but it answers
        self.told = 0  # when the list said that it drains, is gone or began anew
        self.parts: list[Assignment] = []  # what is wanted here
        self.forget()
        self.slowness, self.excess = 1.0, 1.0  # against the fastest kind, of that against its own kind
        self.probe_out = 0  # when the probe now out was sent, 0: none
        self.miss_since, self.ok_heard = 0, 0  # first probe missed in a row; sums last told of an answer
        self.admit, self.judged, self.wait = 1.0, 0, 0.0  # share to let in; when judged, its queue then
        self.doubtful, self.intake = False, 0  # gets no part and nothing new; slices taken this round
        self.warmth, self.share = 1.0, 1.0  # share: of its cold room, filled by one of all
        self.load, self.capacity = 0.0, 1.0  # demand of what is wanted here; set by `assess`

    def forget(self) -> None:
        """What is known of a process, not of its machine."""
        self.pace = DecayingSum(self.PACE_SPAN)  # time that cores spent on RPCs, what these should cost
        self.tries = DecayingSum(self.FAIL_SPAN)  # tries, failures
        self.misses = self.unanswered = 0  # in a row: probes without an answer, tries
        self.health, self.lost = 1.0, False  # lost: silent, its weight at the floor

    def use(self) -> float:
        return self.load / self.capacity

    def rank(self, number: int, weight: float) -> float:
        """Weighted rendezvous for a slice: the highest wins, each backend in proportion to its weight."""
        digest = hashlib.blake2b(self.key, digest_size=8, salt=number.to_bytes(8, "big")).digest()
        return -weight / math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 2))


class Slice:
    DEMAND_SPAN = 7 * SECOND  # the design's 10 s are late for demand that lasts 14
    USUAL_SPAN = 30 * SECOND  # a few RPCs a second are mostly chance over less

    def __init__(self, number: int, now: int) -> None:
        self.number, self.since = number, now
        self.parts: list[Assignment] = []
        self.stored: dict[Backend, float] = {}  # the lines as the store holds them
        self.level = 1.0  # share that is let in, as the store holds it
        self.closed: tuple[int, ...] | None = None  # to which methods, while it goes to another owner
        self.mark, self.closed_at, self.quiet = 0, now, 0  # of the closing; since when all have answered
        self.demand = DecayingSum(self.DEMAND_SPAN)  # cost, RPCs
        self.usual = DecayingSum(self.USUAL_SPAN)  # the same over longer
        self.latest = DecayingSum(SECOND // 2, 3)  # the same of the last report; RPCs x its seconds
        self.load, self.cost, self.burst = 1.0, 1.0, 1.0  # cost a second; of an RPC; of late, a second

    def owners(self) -> list[Backend]:
        return [p.owner for p in self.parts if p.owner is not None]


class Assignment:
    """A movable piece of a slice: the whole of it, or one share of a slice that is split."""

    def __init__(self, slice: Slice, owner: Backend | None) -> None:
        self.slice, self.owner, self.rests_until = slice, None, 0
        self.go_to(owner)

    def go_to(self, owner: Backend | None) -> None:
        if self.owner is not None:
            self.owner.parts.remove(self)
        self.owner = owner
        if owner is not None:
            owner.parts.append(self)

    @property
    def load(self) -> float:
        return self.slice.load / len(self.slice.parts)


def mean_cost(slices) -> float:
    sums = [s.demand.values for s in slices]
    return sum(v[0] for v in sums) / (sum(v[1] for v in sums) or 1.0)


class CoordinatorState:
    def __init__(self, seed: int, bootstrap: dict) -> None:
        self.boot, self.uniform = bootstrap, random.Random(seed).random
        self.many, self.own = bootstrap.get("coordinators", 1), bootstrap.get("own_number", 0)
        self.methods = {m.name: m for m in bootstrap["methods"]}
        self.now, self.joined, self.orders, self.beats = 0, 0, [], 0  # joined: the last proxy
        self.backends: dict[str, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.charge = 0.0  # how many of them, the most of late
        self.proxies: dict[int, str] = {}
        self.left: dict[int, int] = {}  # until when a proxy may write by an old table
        self.channel = UpdateChannel(bootstrap)
        self.due: list[tuple[int, DueAction]] = [(0, DueAction.SUBSCRIBE)]  # a heap: due time, what then
        self.yield_, self.failing = 0.0, 0.0  # answered cost a second and unit of weight; share of failures
        self.assessed, self.turn, self.plan_from = 0, 0, 0  # last judged, planned; no planning before
        self.balancing = self.strained = self.held = False  # in the band; too much for all; lines wait
        self.list_fresh, self.calls_failed = False, 0  # not just remembered; for it, in a row
        self.levels_sent: set[int] = set()  # proxies that know the further tries
        self.withdrawn: set[Backend] = set()  # shut out of all tables, until ready again
        self.returned: set[Backend] = set()  # ready again: some proxy may not know it yet
        self.next_beat, self.timer = 0, 0  # when the beat is due; the timer that is set; and what is to
        self.asking, self.probing = False, []  # be asked for: a subscription, probes

    def log(self, text: str) -> None:
        self.orders.append(LogMessage(text))

    def backend(self, id: str) -> Backend:
        return self.backends.get(id) or self.backends.setdefault(id, Backend(id))

    def opened(self) -> list[Backend]:
        return [b for b in self.backends.values() if b.state == "ready"]

    def troubled(self) -> bool:
        return self.failing > 0.05  # and come again: relief goes before caches and calm

    def hold_plans(self) -> None:
        self.plan_from = self.now + 3 * self.boot["report_every"]  # the sums tell more than chance then
