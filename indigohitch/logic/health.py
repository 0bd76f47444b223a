"""Estimates the load of each slice, and the health, warm-up and capacity of each backend."""

import math
from collections import Counter
from dataclasses import dataclass

from ..interface import SECOND, BackendTraffic
from .state import Backend, CoordinatorState, Slice, mean_cost


@dataclass(slots=True)
class FleetMetrics:
    """Statistics of all ready backends, with which each one is compared."""

    ready_count: int
    total_attempts: float
    usual_pace: dict[str, float]  # time per cost, by kind of backend
    fastest_pace: float  # the lowest time per cost of all kinds
    missing: Counter[str]  # number of ready backends that miss probes, by zone
    usable: Counter[str]  # number of ready backends, by zone


def update_admission_ratio(state: CoordinatorState, backend: Backend, traffic: BackendTraffic) -> None:
    """Adapts the admission ratio of a backend to its queue wait.

    The wait is a share of the shortest soft deadline. The ratio falls only while the wait exceeds a quarter
    at more than a quarter of the ready backends; moving slices relieves a single backend.
    """
    if (
        state.settings.get("admission") != "share"
        or "queued" not in traffic.load
        or state.now - backend.judged_at < state.settings["report_every"]
    ):
        return
    attempts, failed = backend.attempts.read(state.now)
    # Little's law: the wait is queue length over rate. The queue holds the RPCs of all coordinators, the rate
    # counts only those of this one.
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
    """Returns whether the queue wait exceeds a quarter at more than a quarter of the ready backends."""
    ready_backends = state.ready_backends()
    return 4 * sum(backend.queue_wait > 0.25 for backend in ready_backends) > len(ready_backends)


def update_slice_load(slice_: Slice, now: int, min_age: int) -> None:
    """Estimates the load of a slice in cost per second, assuming ownership for at least `min_age` ticks."""
    cost, rpcs = slice_.demand.read(now)
    usual_cost, usual_rpcs = slice_.long_term_demand.read(now)
    seconds, usual_seconds = (
        demand.window / SECOND * (1 - math.exp(min(slice_.owned_since - now, -min_age) / demand.window))
        for demand in (slice_.demand, slice_.long_term_demand)
    )
    slice_.cost = cost / rpcs if rpcs > 1 else slice_.cost
    rate = usual_cost / usual_seconds

    def significant_excess(cost: float, rpcs: float, span: float) -> float:
        """Returns the cost above the usual one, reduced where it may be noise in the number of RPCs."""
        expected = usual_rpcs * span / usual_seconds
        return (cost - rate * span) * (rpcs - expected) ** 2 / ((rpcs - expected) ** 2 + 4 * expected + 1)

    # Half an RPC is added so that no slice has a load of 0.
    slice_.load = rate + significant_excess(cost, rpcs, seconds) / seconds + 0.5 * slice_.cost / seconds
    latest_cost, latest_rpcs, spans = slice_.latest_demand.read(now)
    excess = significant_excess(latest_cost, latest_rpcs, spans / (latest_rpcs or 1))
    slice_.recent_load = max(slice_.load, rate + excess * SECOND / min_age) / len(slice_.assignments)


def assess(state: CoordinatorState) -> None:
    """Updates the load of every slice, and the health, warm-up and capacity of every backend."""
    now = state.now
    for slice_ in state.slices.values():
        update_slice_load(slice_, now, state.settings["report_every"])
    ready_backends = state.ready_backends()
    total_attempts = sum(backend.attempts.read(now)[0] for backend in ready_backends)
    state.failure_ratio = sum(backend.attempts.values[1] for backend in ready_backends) / (
        total_attempts or 1
    )
    _update_throughput(state, ready_backends)
    usual_pace = _usual_pace(ready_backends, now)
    _update_overload(state, ready_backends)
    metrics = FleetMetrics(
        ready_count=len(ready_backends),
        total_attempts=total_attempts,
        usual_pace=usual_pace,
        fastest_pace=min(usual_pace.values(), default=0.0),
        missing=Counter(backend.zone for backend in ready_backends if backend.missed_probes > 1),
        usable=Counter(backend.zone for backend in ready_backends),
    )
    for backend in state.backends.values():
        backend.load = sum(assignment.load for assignment in backend.assignments)
        _update_slowness(state, backend, metrics)
        _update_responsiveness(state, backend, metrics)
        _update_health(state, backend, metrics)
        _update_capacity(state, backend)
        backend.is_suspect = _is_suspect(state, backend, metrics)
    state.assessed_at = now


def _update_throughput(state: CoordinatorState, ready_backends: list[Backend]) -> None:
    """Updates the cost per second that warm backends answer for a unit of listed weight.

    It counts the usual share of slices of this coordinator, also while it owns more of them in place of
    others. The highest value seen decays over a minute.
    """
    now = state.now
    warm = [backend for backend in ready_backends if backend.warmup_fraction >= 1]
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


def _usual_pace(ready_backends: list[Backend], now: int) -> dict[str, float]:
    """Returns the lower quartile of the pace of each kind of backend, as backends at capacity are slow."""
    paces: dict[str, list[float]] = {}
    for backend in ready_backends:
        time_spent, cost = backend.pace.read(now)
        if cost > 2:
            paces.setdefault(backend.kind, []).append(time_spent / cost)
    return {kind: sorted(kind_paces)[len(kind_paces) // 4] for kind, kind_paces in paces.items()}


def _update_overload(state: CoordinatorState, ready_backends: list[Backend]) -> None:
    """Updates, with hysteresis, whether so many backends are slow or fail that no single one is the cause."""
    bad = sum(
        backend.excess > 1.6 or backend.attempts.values[1] > 0.1 * backend.attempts.values[0] + 1
        for backend in ready_backends
    )
    was_overloaded = state.overloaded
    state.overloaded = bad > (0.2 if was_overloaded else 0.45) * len(ready_backends)
    if was_overloaded != state.overloaded:
        state.log(
            f"strain {('ends', 'begins')[state.overloaded]}: {bad} of {len(ready_backends)} backends look bad"
        )


def _update_slowness(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Compares the pace of a backend with that of its kind."""
    time_spent, cost = backend.pace.values
    if kind_pace := metrics.usual_pace.get(backend.kind, 0.0):
        # The prior is the pace of the kind, with the weight of a cost of 2. The result is bounded, as service
        # times also grow on a fully used machine.
        backend.excess = max((time_spent + 2 * kind_pace) / ((cost + 2) * kind_pace), 0.8)
        bounded = min(backend.excess, 1.5 if state.overloaded else 4.0)
        backend.slowness = bounded * kind_pace / metrics.fastest_pace


def _update_responsiveness(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Updates whether a backend answers neither probes nor attempts for longer than a short pause."""
    was_unresponsive = backend.is_unresponsive
    backend.is_unresponsive = bool(
        backend.missed_probes > 1
        and state.now - backend.first_miss_at > 0.7 * SECOND
        and backend.unanswered
        and state.now - backend.last_success_at > state.settings["report_every"] + SECOND
        and metrics.missing.total() * 2 < metrics.ready_count
    )
    if was_unresponsive != backend.is_unresponsive:
        messages = ("answers: its weight returns", "silent: its weight fades")
        state.log(f"{backend.id} {messages[backend.is_unresponsive]}")


def _update_health(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> None:
    """Updates the health of a backend by its failures in excess of those of the others.

    Where all backends fail alike, no single one is the cause.
    """
    attempts, failed = backend.attempts.values
    other_failures = max(0.0, state.failure_ratio * metrics.total_attempts - failed)
    other_ratio = other_failures / max(metrics.total_attempts - attempts, 1)
    excess = max(0.0, failed - 2 * other_ratio * attempts) / (attempts + 3)
    target = max(0.02, (1 - excess) * (0.02 if backend.is_unresponsive else 1.0))
    # Health falls at once and recovers over 30 s: with a recovery over 10 s a backend that fails under load
    # gets its load back too soon.
    backend.health = min(target, backend.health + (state.now - state.assessed_at) / (30 * SECOND))


def _update_capacity(state: CoordinatorState, backend: Backend) -> None:
    """Updates the warm-up of a backend, whose caches are empty after a start, and its capacity."""
    age = (state.now - backend.started_at) / state.settings["warm_within"] if backend.started_at else 1.0
    if age >= 1:
        backend.warmup_fraction = 1.0
        backend.cold_start_share = 1.0
    else:
        backend.warmup_fraction = 0.7 * (1 - (1 - state.settings["cold_from"]) * (1 - age))
        # One coordinator, chosen by the backend's key, fills a cold backend.
        filling_index = int.from_bytes(backend.key, "big") % state.coordinator_count
        backend.cold_start_share = state.coordinator_count if filling_index == state.own_index else 0.01
    backend.capacity = (
        backend.weight
        * backend.health
        * backend.warmup_fraction
        * backend.cold_start_share
        / backend.slowness
    )


def _is_suspect(state: CoordinatorState, backend: Backend, metrics: FleetMetrics) -> bool:
    """Returns whether a backend looks bad by itself, and not together with its zone or all backends."""
    if backend.is_unresponsive:
        return True
    if state.overloaded:
        return False
    if backend.health < 0.5 or backend.excess > 2:
        return True
    zone = backend.zone
    return backend.missed_probes > 1 and metrics.missing[zone] * 2 < metrics.usable[zone]
