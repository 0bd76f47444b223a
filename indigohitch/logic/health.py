"""How much each slice asks for, and how far each backend can be trusted with it."""

import math
from collections import Counter

from ..interface import SECOND, BackendTraffic
from .state import Backend, CoordinatorState, Slice, mean_cost


def judge(c: CoordinatorState, b: Backend, met: BackendTraffic) -> None:
    """Let in less where the queue takes over a quarter of the shortest soft deadline at a quarter of all."""
    if (
        c.boot.get("admission") != "share"
        or "queued" not in met.load
        or c.now - b.judged < c.boot["report_every"]
    ):
        return
    n, failed = b.tries.read(c.now)
    # Little's law: queue over rate.  The queue is that of all coordinators' RPCs, the rate one's own.
    wait = (
        met.load["queued"]
        * b.tries.span
        / max(n - failed, 1.0)
        * b.share
        / (c.many * min(m.soft_deadline for m in c.methods.values()))
    )
    b.judged, b.wait = c.now, wait
    if wait > 0.25 and 4 * sum(o.wait > 0.25 for o in c.opened()) > len(c.opened()):
        b.admit = max(0.2, b.admit * (0.7 if wait > 0.75 else 0.85))
    elif wait < 0.2:
        b.admit = min(1.0, b.admit + 0.2)


def measure(s: Slice, now: int, least: int) -> None:
    (cost, rpcs), (usual, many) = s.demand.read(now), s.usual.read(now)
    over, over_usual = (
        d.span / SECOND * (1 - math.exp(min(s.since - now, -least) / d.span)) for d in (s.demand, s.usual)
    )
    s.cost, rate = cost / rpcs if rpcs > 1 else s.cost, usual / over_usual

    def beyond(asked: float, came: float, span: float) -> float:
        """The usual, by as much as is more than chance (shrunk by the variance)."""
        due = many * span / over_usual
        return (asked - rate * span) * (came - due) ** 2 / ((came - due) ** 2 + 4 * due + 1)

    s.load = rate + beyond(cost, rpcs, over) / over + 0.5 * s.cost / over  # half an RPC: none weighs 0
    asked, came, spans = s.latest.read(now)
    s.burst = max(s.load, rate + beyond(asked, came, spans / (came or 1)) * SECOND / least) / len(s.parts)


def assess(c: CoordinatorState) -> None:
    """Demand of every slice, and for every backend its health, warmth and capacity."""
    now = c.now
    for s in c.slices.values():
        measure(s, now, c.boot["report_every"])
    opened = c.opened()
    tries = sum(b.tries.read(now)[0] for b in opened)
    c.failing = sum(b.tries.values[1] for b in opened) / (tries or 1)
    # Answered cost a second for a unit of listed weight, by the warm, of one's own part; fades over a minute.
    warm = [b for b in opened if b.warmth >= 1]
    answered = sum(b.tries.values[0] - b.tries.values[1] for b in warm) * SECOND / Backend.FAIL_SPAN
    c.charge = max(len(c.slices), c.charge * math.exp((c.assessed - now) / (10 * SECOND)))
    answered *= min(1.0, (c.boot.get("slices") or math.inf) / c.many / max(c.charge, 1.0))
    c.yield_ = max(
        answered * mean_cost(c.slices.values()) / (sum(b.weight for b in warm) or 1.0),
        c.yield_ * math.exp((c.assessed - now) / (60 * SECOND)),
    )
    paces: dict[str, list[float]] = {}
    for b in opened:
        spent, cost = b.pace.read(now)
        if cost > 2:
            paces.setdefault(b.kind, []).append(spent / cost)
    usual_pace = {kind: sorted(found)[len(found) // 4] for kind, found in paces.items()}  # slow: full
    fastest = min(usual_pace.values(), default=0.0)
    bad = sum(b.excess > 1.6 or b.tries.values[1] > 0.1 * b.tries.values[0] + 1 for b in opened)
    was, c.strained = c.strained, bad > (0.2 if c.strained else 0.45) * len(opened)
    if was != c.strained:
        c.log(f"strain {('ends', 'begins')[c.strained]}: {bad} of {len(opened)} backends look bad")
    missing = Counter(b.zone for b in opened if b.misses > 1)
    usable = Counter(b.zone for b in opened)
    for b in c.backends.values():
        b.load = sum(p.load for p in b.parts)
        spent, cost = b.pace.values
        if like := usual_pace.get(b.kind, 0.0):
            # Two reports' worth of its kind's pace, and bounded: service times swell on a full machine.
            b.excess = max((spent + 2 * like) / ((cost + 2) * like), 0.8)
            b.slowness = min(b.excess, 1.5 if c.strained else 4.0) * like / fastest
        n, failed = b.tries.values
        # Failures beyond what the others show: when all look bad, it is no backend's fault.
        others = max(0.0, c.failing * tries - failed) / max(tries - n, 1)
        excess = max(0.0, failed - 2 * others * n) / (n + 3)
        # Unanswered probes in a row, beyond the pauses that pass (0.7 s), and tries without an answer.
        quiet = b.unanswered and now - b.ok_heard > c.boot["report_every"] + SECOND
        was, b.lost = (
            b.lost,
            bool(
                b.misses > 1
                and now - b.miss_since > 0.7 * SECOND
                and quiet
                and missing.total() * 2 < len(opened)
            ),
        )
        if was != b.lost:
            c.log(f"{b.id} {('answers: its weight returns', 'silent: its weight fades')[b.lost]}")
        target = max(0.02, (1 - excess) * (0.02 if b.lost else 1.0))
        # Fades at once, returns over half a minute: what fails with work gets it back too soon over ten.
        b.health = min(target, b.health + (now - c.assessed) / (30 * SECOND))
        age = (now - b.started) / c.boot["warm_within"] if b.started else 1.0
        b.warmth = 1.0 if age >= 1 else 0.7 * (1 - (1 - c.boot["cold_from"]) * (1 - age))  # caches empty
        b.share = 1.0 if age >= 1 else c.many if int.from_bytes(b.key, "big") % c.many == c.own else 0.01
        b.capacity = b.weight * b.health * b.warmth * b.share / b.slowness
        b.doubtful = (
            b.lost
            or not c.strained
            and (b.health < 0.5 or b.excess > 2 or b.misses > 1 and missing[b.zone] * 2 < usable[b.zone])
        )
    c.assessed = now
