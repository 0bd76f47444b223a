"""Assigns slices to backends: the greedy planner of docs/design.md, and moves that are too urgent for it."""

from ..interface import SECOND
from .list_age import known_alive
from .state import DEPARTING_STATES, Assignment, Backend, CoordinatorState, Slice


def allowance(state: CoordinatorState, backend: Backend) -> float:
    """Returns the load that a cold backend may get, in proportion to what warm backends have answered."""
    # Half of the multiple that overloads the backend, as empty caches double the work. About a third while
    # many attempts fail, as their retries add load.
    fraction = 0.35 if state.is_failing() else 0.5
    return (
        state.throughput_per_weight
        * backend.weight
        * backend.warmup_fraction
        * backend.cold_start_share
        * state.settings.get("fall_multiple", 2.0)
        * fraction
    )


def may_accept(state: CoordinatorState, backend: Backend, slice_: Slice, mean: float) -> bool:
    """Returns whether a backend may get the slice: a warm one always, a cold one within its allowance."""
    return backend.warmup_fraction >= 1 or (
        backend.received_slices < 2
        and backend.load + slice_.recent_load <= min(mean * backend.capacity, allowance(state, backend))
    )


def mean_utilization(state: CoordinatorState, ready_backends: list[Backend]) -> float:
    """Returns the load of all backends per unit of capacity of the ready ones."""
    return sum(backend.load for backend in state.backends.values()) / (
        sum(backend.capacity for backend in ready_backends) or 1.0
    )


def place_assignment(state: CoordinatorState, assignment: Assignment) -> None:
    """Moves an assignment to a backend by weighted rendezvous hashing over the free capacity."""
    slice_ = assignment.slice
    load = assignment.load
    ready_backends = state.ready_backends()
    candidates = [backend for backend in ready_backends if backend not in slice_.owners()]
    mean = mean_utilization(state, ready_backends)
    eligible = [
        backend
        for backend in candidates
        if not backend.is_suspect and may_accept(state, backend, slice_, mean)
    ]
    eligible = known_alive(state, eligible) or eligible
    with_capacity = [
        (backend, free)
        for backend in eligible
        if (free := 1.25 * mean * backend.capacity - backend.load) >= load
    ]
    # Backends with free capacity, else eligible ones, else warm ones; never a cold one beyond its allowance.
    weighted_candidates = with_capacity or [
        (backend, backend.capacity)
        for backend in eligible or [backend for backend in candidates if backend.warmup_fraction >= 1]
    ]
    if weighted_candidates:
        chosen = max(
            weighted_candidates, key=lambda pair: (pair[0].rank(slice_.number, pair[1]), pair[0].id)
        )[0]
        move(state, assignment, chosen)
        if not with_capacity:
            assignment.next_move_at = state.now  # it may move again at once, as it lacks free capacity here
    elif assignment.owner is not None and assignment.owner.state in DEPARTING_STATES:
        assignment.assign_to(None)


def move(state: CoordinatorState, assignment: Assignment, target: Backend) -> None:
    """Assigns to the target backend, and updates the loads of both backends."""
    load = assignment.load
    if assignment.owner is not None:
        assignment.owner.load -= load
    assignment.assign_to(target)
    target.load += load
    target.received_slices += target.warmup_fraction < 1
    # Half of the interval in docs/design.md, as demand shifts within 12 to 24 s.
    assignment.next_move_at = state.now + 10 * SECOND


def evacuate(state: CoordinatorState) -> None:
    """Moves slices off departing and overloaded cold backends at once, not counted as moves of a round."""
    ready_backends = state.ready_backends()
    for backend in state.backends.values():
        is_departing = backend.state in DEPARTING_STATES
        if is_departing and backend.assignments:
            state.log(f"{backend.id} {backend.state}: {len(backend.assignments)} slices leave")
        if (
            is_departing
            or backend.warmup_fraction < 1
            and any(other.warmup_fraction >= 1 and not other.is_unresponsive for other in ready_backends)
        ):
            for assignment in sorted(backend.assignments, key=_largest_load_first):
                # Slices that this coordinator has owned since before the start of the backend count against
                # its own share of the allowance, those that another one assigned there against all of it.
                allowed = allowance(state, backend) * (
                    1
                    if assignment.slice.owned_since <= backend.started_at
                    else state.coordinator_count / backend.cold_start_share
                )
                if is_departing or 0 < 1.5 * allowed < sum(
                    other.slice.recent_load for other in backend.assignments
                ):
                    place_assignment(state, assignment)
    # Iterates over a copy, as placing changes the assignments.
    for assignment in [assignment for slice_ in state.slices.values() for assignment in slice_.assignments]:
        if assignment.owner is None or len(assignment.slice.assignments) > 1 and assignment.owner.is_suspect:
            place_assignment(state, assignment)


def _largest_load_first(assignment: Assignment) -> tuple[float, int]:
    """Returns a sort key that puts the largest load first, and equal loads by slice number."""
    return -assignment.load, assignment.slice.number


def plan(state: CoordinatorState) -> None:
    """Runs one planning round, moving slices from the busiest to the least utilized backends for a gain."""
    ready_backends = sorted(state.ready_backends(), key=lambda backend: backend.id)
    mean = mean_utilization(state, ready_backends)
    if len(ready_backends) < 2 or mean <= 0:
        return
    for backend in ready_backends:
        backend.received_slices = 0
    if not state.settings.get("exclusive"):  # an exclusive slice has a single owner
        update_splits(state, ready_backends, mean)
    uses = [backend.utilization() / mean for backend in ready_backends]
    state.is_balancing |= max(uses) > 1.25 or min(uses) < 1 / 1.25  # also after a change of backends
    # Moves in a round: a thirtieth of the owned slices, as more gave worse results, and one for each new
    # backend that is still empty.
    idle = sum(not backend.assignments and backend.warmup_fraction < 1 for backend in ready_backends)
    for _ in range(max(2, len(state.slices) // 30 + idle // state.coordinator_count)):
        by_use = sorted(ready_backends, key=Backend.utilization)
        targets = known_alive(state, by_use)
        best = next(
            filter(
                None,
                (
                    best_move(state, backend, targets, mean)
                    for backend in reversed(by_use)
                    if backend.utilization() > 1.10 * mean
                ),
            ),
            None,
        )
        state.is_balancing &= best is not None and (
            by_use[-1].utilization() > 1.10 * mean or by_use[0].utilization() < mean / 1.10
        )
        if not state.is_balancing:
            break
        move(state, *best)


def update_splits(state: CoordinatorState, ready_backends: list[Backend], mean: float) -> None:
    """Splits slices above four fifths of a backend's target load, and merges them when their load falls."""
    # This coordinator's part of the load grows by the root of the number of coordinators: docs/fleet.md.
    target = (
        mean
        * sum(backend.capacity for backend in ready_backends)
        / len(ready_backends)
        * state.coordinator_count**0.5
    )
    for slice_ in state.slices.values():
        parts = len(slice_.assignments)
        if slice_.load > 0.8 * target * parts and parts < min(4, len(ready_backends)):
            slice_.assignments.append(Assignment(slice_, None))
            place_assignment(state, slice_.assignments[-1])
        elif parts > 1 and slice_.load < 0.48 * target * (parts - 1):
            last = max(slice_.assignments, key=_owner_utilization)
            last.assign_to(None)
            slice_.assignments.remove(last)
        else:
            continue
        count = len(slice_.assignments)
        backends_needed = slice_.load / target
        state.log(f"slice {slice_.number} in {count} parts: asks for {backends_needed:.1f} backends")
    for backend in ready_backends:
        backend.load = sum(assignment.load for assignment in backend.assignments)


def _owner_utilization(assignment: Assignment) -> float:
    """Returns the utilization of the owner; infinite without one."""
    return assignment.owner.utilization() if assignment.owner else float("inf")


def best_move(
    state: CoordinatorState, source: Backend, by_use: list[Backend], mean: float
) -> tuple[Assignment, Backend] | None:
    """Returns the move off the source with the largest gain, or None.

    `by_use` holds the possible targets, the least utilized first.
    """
    # The two loads must differ by a quarter of the mean load; while many attempts fail any gain is enough.
    min_difference = 0.0 if state.is_failing() else 0.25 * state.coordinator_count * mean * source.weight
    best = None
    best_gain = 0.0
    for assignment in sorted(source.assignments, key=lambda assignment: assignment.slice.number):
        load = assignment.load
        owners = assignment.slice.owners()
        target = next(
            (
                backend
                for backend in by_use
                if backend not in owners
                and not backend.is_suspect
                and may_accept(state, backend, assignment.slice, mean)
                and backend.load + load <= 1.25 * mean * backend.capacity
            ),
            None,
        )
        if target is None or assignment.next_move_at > state.now:
            continue
        over = source.load - mean * source.capacity
        under = target.load - mean * target.capacity
        gain = over**2 + under**2 - (over - load) ** 2 - (under + load) ** 2
        if gain > max(best_gain, 2 * load * min_difference):
            best = (assignment, target)
            best_gain = gain
    return best
