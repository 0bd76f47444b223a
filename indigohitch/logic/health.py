"""The demand of each slice, and the health, warmth and capacity of each backend."""

import math
from collections import Counter
from dataclasses import dataclass

from ..interface import SECOND, BackendTraffic
from .state import Backend, CoordinatorState, Slice, mean_cost


@dataclass(slots=True)
class FleetMetrics:
    """What the ready backends show together; each backend is compared with it."""

    ready_count: int
    total_attempts: float
    usual_pace: dict[str, float]  # by kind
    fastest_pace: float  # of all kinds
    missing: Counter[str]  # ready backends that miss probes, by zone
    usable: Counter[str]  # ready backends, by zone


def judge(state: CoordinatorState, backend: Backend, traffic: BackendTraffic) -> None:
    """Adapt the admission ratio of a backend to its queue wait, a share of the shortest soft deadline.

    The ratio falls only where the wait exceeds a quarter at more than a quarter of the ready backends.
    """
    if (
        state.settings.get("admission") != "share"
        or "queued" not in traffic.load
        or state.now - backend.judged_at < state.settings["report_every"]
    ):
        return
    attempts, failed = backend.attempts.read(state.now)
    # Little's law: queue over rate. The queue holds all coordinators' RPCs, the rate counts only our own.
    wait = (
        traffic.load["queued"]
        * backend.attempts.window
        / max(attempts - failed, 1.0)
        * backend.cold_start_share
        / (state.coordinator_count * min(method.soft_deadline for method in state.methods.values()))
    )
    backend.judged_at = state.now
    backend.queue_wait = wait
    if wait > 0.25 and _is_waiting_widespread(state):
        backend.admission_ratio = max(0.2, backend.admission_ratio * (0.7 if wait > 0.75 else 0.85))
    elif wait < 0.2:
        backend.admission_ratio = min(1.0, backend.admission_ratio + 0.2)


def _is_waiting_widespread(state: CoordinatorState) -> bool:
    """Return whether the queue wait exceeds a quarter at more than a quarter of the ready backends."""
    ready = state.ready_backends()
    return 4 * sum(backend.queue_wait > 0.25 for backend in ready) > len(ready)


def measure(slice_: Slice, now: int, min_age: int) -> None:
    """Estimate the load of a slice in cost a second; it counts as owned for `min_age` ticks at least."""
    cost, rpcs = slice_.demand.read(now)
    usual_cost, usual_rpcs = slice_.long_term_demand.read(now)
    seconds, usual_seconds = (
        demand.window / SECOND * (1 - math.exp(min(slice_.owned_since - now, -min_age) / demand.window))
        for demand in (slice_.demand, slice_.long_term_demand)
    )
    slice_.cost = cost / rpcs if rpcs > 1 else slice_.cost
    rate = usual_cost / usual_seconds

    def significant_excess(cost: float, rpcs: float, span: float) -> float:
        """Return the cost beyond the usual, shrunk by the variance of the number of RPCs."""
        expected = usual_rpcs * span / usual_seconds
        return (cost - rate * span) * (rpcs - expected) ** 2 / ((rpcs - expected) ** 2 + 4 * expected + 1)

    # Half an RPC is added, so that no slice has a load of 0.
    slice_.load = rate + significant_excess(cost, rpcs, seconds) / seconds + 0.5 * slice_.cost / seconds
    latest_cost, latest_rpcs, spans = slice_.latest_demand.read(now)
    excess = significant_excess(latest_cost, latest_rpcs, spans / (latest_rpcs or 1))
    slice_.recent_load = max(slice_.load, rate + excess * SECOND / min_age) / len(slice_.assignments)


def assess(state: CoordinatorState) -> None:
    """Update the load of every slice, and the health, warmth and capacity of every backend."""
    now = state.now
    for slice_ in state.slices.values():
        measure(slice_, now, state.settings["report_every"])
    opened = state.ready_backends()
    total_attempts = sum(backend.attempts.read(now)[0] for backend in opened)
    state.failure_ratio = sum(backend.attempts.values[1] for backend in opened) / (total_attempts or 1)
    _update_throughput(state, opened)
    usual_pace = _usual_pace(opened, now)
    _update_overload(state, opened)
    metrics = FleetMetrics(
        ready_count=len(opened),
        total_attempts=total_attempts,
        usual_pace=usual_pace,
        fastest_pace=min(usual_pace.values(), default=0.0),
        missing=Counter(backend.zone for backend in opened if backend.missed_probes > 1),
        usable=Counter(backend.zone for backend in opened),
    )
    for backend in state.backends.values():
        backend.load = sum(assignment.load for assignment in backend.assignments)
        _update_slowness(state, backend, metrics)
        _update_responsiveness(state, backend, metrics)
        _update_health(state, backend, metrics)
        _update_capacity(state, backend)
        backend.is_suspect = _is_suspect(state, backend, metrics)
    state.assessed_at = now


def _update_throughput(state: CoordinatorState, opened: list[Backend]) -> None:
    """Update the cost that warm backends answer a second for a unit of listed weight, of our own share.

    The highest value decays over a minute.
    """
    now = state.now
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


def _usual_pace(opened: list[Backend], now: int) -> dict[str, float]:
    """Return the lower quartile of the pace of each kind of backend, as backends at capacity are slow."""
    paces: dict[str, list[float]] = {}
    for backend in opened:
        spent, cost = backend.pace.read(now)
        if cost > 2:
            paces.setdefault(backend.kind, []).append(spent / cost)
    return {kind: sorted(found)[len(found) // 4] for kind, found in paces.items()}


def _update_overload(state: CoordinatorState, opened: list[Backend]) -> None:
    """Update whether so many backends are slow or fail that no single one is the cause, with hysteresis."""
    bad = sum(
        backend.excess > 1.6 or backend.attempts.values[1] > 0.1 * backend.attempts.values[0] + 1
        for backend in opened
    )
    was_overloaded = state.overloaded
    state.overloaded = bad > (0.2 if was_overloaded else 0.45) * len(opened)
    if was_overloaded != state.overloaded:
        state.log(f"strain {('ends', 'begins')[state.overloaded]}: {bad} of {len(opened)} backends look bad")


def _update_slowness(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Compare the pace of a backend with that of its kind."""
    spent, cost = backend.pace.values
    if kind_pace := metrics.usual_pace.get(backend.kind, 0.0):
        # Two reports of its kind's pace as a prior, and bounded: service times grow on a full machine.
        backend.excess = max((spent + 2 * kind_pace) / ((cost + 2) * kind_pace), 0.8)
        bounded = min(backend.excess, 1.5 if state.overloaded else 4.0)
        backend.slowness = bounded * kind_pace / metrics.fastest_pace


def _update_responsiveness(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Update whether a backend answers neither probes nor attempts, for longer than a passing pause."""
    was_unresponsive = backend.is_unresponsive
    backend.is_unresponsive = bool(
        backend.missed_probes > 1
        and state.now - backend.first_miss_at > 0.7 * SECOND
        and backend.unanswered
        and state.now - backend.last_success_at > state.settings["report_every"] + SECOND
        and metrics.missing.total() * 2 < metrics.ready_count
    )
    if was_unresponsive != backend.is_unresponsive:
        texts = ("answers: its weight returns", "silent: its weight fades")
        state.log(f"{backend.id} {texts[backend.is_unresponsive]}")


def _update_health(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Update the health of a backend by its failures beyond those of the others.

    When all look bad, no single backend is the cause.
    """
    attempts, failed = backend.attempts.values
    other_failures = max(0.0, state.failure_ratio * metrics.total_attempts - failed)
    other_ratio = other_failures / max(metrics.total_attempts - attempts, 1)
    excess = max(0.0, failed - 2 * other_ratio * attempts) / (attempts + 3)
    target = max(0.02, (1 - excess) * (0.02 if backend.is_unresponsive else 1.0))
    # Falls at once and recovers over half a minute: within ten seconds a backend that fails under load
    # would get its load back too soon.
    backend.health = min(target, backend.health + (state.now - state.assessed_at) / (30 * SECOND))


def _update_capacity(state: CoordinatorState, backend: Backend) -> None:
    """Update the warm-up of a backend, whose caches are empty after a start, and its capacity."""
    age = (state.now - backend.started_at) / state.settings["warm_within"] if backend.started_at else 1.0
    if age >= 1:
        backend.warmup_fraction = 1.0
        backend.cold_start_share = 1.0
    else:
        backend.warmup_fraction = 0.7 * (1 - (1 - state.settings["cold_from"]) * (1 - age))
        # One coordinator, by the backend's key, is in charge of a cold backend.
        in_charge = int.from_bytes(backend.key, "big") % state.coordinator_count
        backend.cold_start_share = state.coordinator_count if in_charge == state.own_index else 0.01
    backend.capacity = (
        backend.weight
        * backend.health
        * backend.warmup_fraction
        * backend.cold_start_share
        / backend.slowness
    )


def _is_suspect(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> bool:
    """Return whether a backend looks bad by itself, and not together with its zone or the fleet."""
    if backend.is_unresponsive:
        return True
    if state.overloaded:
        return False
    if backend.health < 0.5 or backend.excess > 2:
        return True
    zone = backend.zone
    return backend.missed_probes > 1 and metrics.missing[zone] * 2 < metrics.usable[zone]
