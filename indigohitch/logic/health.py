"""How much each slice asks for, and how far each backend can be trusted with it."""

import math
from collections import Counter

from ..interface import SECOND, BackendTraffic
from .state import Backend, CoordinatorState, Slice, mean_cost


def judge(state: CoordinatorState, backend: Backend, met: BackendTraffic) -> None:
    """Let in less where the queue takes over a quarter of the shortest soft deadline at a quarter of all."""
    if (
        state.settings.get("admission") != "share"
        or "queued" not in met.load
        or state.now - backend.judged_at < state.settings["report_every"]
    ):
        return
    n, failed = backend.attempts.read(state.now)
    # Little's law: queue over rate.  The queue is that of all coordinators' RPCs, the rate one's own.
    wait = (
        met.load["queued"]
        * backend.attempts.window
        / max(n - failed, 1.0)
        * backend.cold_start_share
        / (state.coordinator_count * min(m.soft_deadline for m in state.methods.values()))
    )
    backend.judged_at, backend.queue_wait = state.now, wait
    if wait > 0.25 and 4 * sum(o.queue_wait > 0.25 for o in state.ready_backends()) > len(
        state.ready_backends()
    ):
        backend.admission_ratio = max(0.2, backend.admission_ratio * (0.7 if wait > 0.75 else 0.85))
    elif wait < 0.2:
        backend.admission_ratio = min(1.0, backend.admission_ratio + 0.2)


def measure(slice_: Slice, now: int, least: int) -> None:
    (cost, rpcs), (usual, many) = slice_.demand.read(now), slice_.long_term_demand.read(now)
    over, over_usual = (
        d.window / SECOND * (1 - math.exp(min(slice_.owned_since - now, -least) / d.window))
        for d in (slice_.demand, slice_.long_term_demand)
    )
    slice_.cost, rate = cost / rpcs if rpcs > 1 else slice_.cost, usual / over_usual

    def beyond(asked: float, came: float, span: float) -> float:
        """The usual, by as much as is more than chance (shrunk by the variance)."""
        due = many * span / over_usual
        return (asked - rate * span) * (came - due) ** 2 / ((came - due) ** 2 + 4 * due + 1)

    slice_.load = (
        rate + beyond(cost, rpcs, over) / over + 0.5 * slice_.cost / over
    )  # half an RPC: none weighs 0
    asked, came, spans = slice_.latest_demand.read(now)
    slice_.recent_load = max(
        slice_.load, rate + beyond(asked, came, spans / (came or 1)) * SECOND / least
    ) / len(slice_.assignments)


def assess(state: CoordinatorState) -> None:
    """Demand of every slice, and for every backend its health, warmth and capacity."""
    now = state.now
    for slice_ in state.slices.values():
        measure(slice_, now, state.settings["report_every"])
    opened = state.ready_backends()
    tries = sum(backend.attempts.read(now)[0] for backend in opened)
    state.failure_ratio = sum(backend.attempts.values[1] for backend in opened) / (tries or 1)
    # Answered cost a second for a unit of listed weight, by the warm, of one's own part; fades over a minute.
    warm = [backend for backend in opened if backend.warmup_fraction >= 1]
    answered = (
        sum(backend.attempts.values[0] - backend.attempts.values[1] for backend in warm)
        * SECOND
        / Backend.ATTEMPTS_WINDOW
    )
    state.recent_slice_count = max(
        len(state.slices), state.recent_slice_count * math.exp((state.assessed_at - now) / (10 * SECOND))
    )
    answered *= min(
        1.0,
        (state.settings.get("slices") or math.inf)
        / state.coordinator_count
        / max(state.recent_slice_count, 1.0),
    )
    state.throughput_per_weight = max(
        answered * mean_cost(state.slices.values()) / (sum(backend.weight for backend in warm) or 1.0),
        state.throughput_per_weight * math.exp((state.assessed_at - now) / (60 * SECOND)),
    )
    paces: dict[str, list[float]] = {}
    for backend in opened:
        spent, cost = backend.pace.read(now)
        if cost > 2:
            paces.setdefault(backend.kind, []).append(spent / cost)
    usual_pace = {kind: sorted(found)[len(found) // 4] for kind, found in paces.items()}  # slow: full
    fastest = min(usual_pace.values(), default=0.0)
    bad = sum(
        backend.excess > 1.6 or backend.attempts.values[1] > 0.1 * backend.attempts.values[0] + 1
        for backend in opened
    )
    was, state.overloaded = state.overloaded, bad > (0.2 if state.overloaded else 0.45) * len(opened)
    if was != state.overloaded:
        state.log(f"strain {('ends', 'begins')[state.overloaded]}: {bad} of {len(opened)} backends look bad")
    missing = Counter(backend.zone for backend in opened if backend.missed_probes > 1)
    usable = Counter(backend.zone for backend in opened)
    for backend in state.backends.values():
        backend.load = sum(p.load for p in backend.assignments)
        spent, cost = backend.pace.values
        if like := usual_pace.get(backend.kind, 0.0):
            # Two reports' worth of its kind's pace, and bounded: service times swell on a full machine.
            backend.excess = max((spent + 2 * like) / ((cost + 2) * like), 0.8)
            backend.slowness = min(backend.excess, 1.5 if state.overloaded else 4.0) * like / fastest
        n, failed = backend.attempts.values
        # Failures beyond what the others show: when all look bad, it is no backend's fault.
        others = max(0.0, state.failure_ratio * tries - failed) / max(tries - n, 1)
        excess = max(0.0, failed - 2 * others * n) / (n + 3)
        # Unanswered probes in a row, beyond the pauses that pass (0.7 s), and tries without an answer.
        quiet = backend.unanswered and now - backend.last_success_at > state.settings["report_every"] + SECOND
        was, backend.is_unresponsive = (
            backend.is_unresponsive,
            bool(
                backend.missed_probes > 1
                and now - backend.first_miss_at > 0.7 * SECOND
                and quiet
                and missing.total() * 2 < len(opened)
            ),
        )
        if was != backend.is_unresponsive:
            texts = ("answers: its weight returns", "silent: its weight fades")
            state.log(f"{backend.id} {texts[backend.is_unresponsive]}")
        target = max(0.02, (1 - excess) * (0.02 if backend.is_unresponsive else 1.0))
        # Fades at once, returns over half a minute: what fails with work gets it back too soon over ten.
        backend.health = min(target, backend.health + (now - state.assessed_at) / (30 * SECOND))
        age = (now - backend.started_at) / state.settings["warm_within"] if backend.started_at else 1.0
        backend.warmup_fraction = (
            1.0 if age >= 1 else 0.7 * (1 - (1 - state.settings["cold_from"]) * (1 - age))
        )  # caches empty
        backend.cold_start_share = (
            1.0
            if age >= 1
            else state.coordinator_count
            if int.from_bytes(backend.key, "big") % state.coordinator_count == state.own_index
            else 0.01
        )
        backend.capacity = (
            backend.weight
            * backend.health
            * backend.warmup_fraction
            * backend.cold_start_share
            / backend.slowness
        )
        backend.is_suspect = (
            backend.is_unresponsive
            or not state.overloaded
            and (
                backend.health < 0.5
                or backend.excess > 2
                or backend.missed_probes > 1
                and missing[backend.zone] * 2 < usable[backend.zone]
            )
        )
    state.assessed_at = now
