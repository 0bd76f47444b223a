"""Which backend is to answer for which slice: the design's greedy planner, and what can't wait for it."""

from ..interface import SECOND
from .state import DEPARTING_STATES, Assignment, Backend, CoordinatorState, Slice


def allowance(state: CoordinatorState, backend: Backend) -> float:
    """What a cold backend may be brought: its part of what the warm have been seen to answer."""
    # Half of the multiple that fells it, as empty caches double the work; a third while many tries fail.
    fraction = 0.35 if state.is_failing() else 0.5
    return (
        state.throughput_per_weight
        * backend.weight
        * backend.warmup_fraction
        * backend.cold_start_share
        * state.settings.get("fall_multiple", 2.0)
        * fraction
    )


def may_take(state: CoordinatorState, backend: Backend, slice_: Slice, mean: float) -> bool:
    return backend.warmup_fraction >= 1 or (
        backend.received_slices < 2
        and backend.load + slice_.recent_load <= min(mean * backend.capacity, allowance(state, backend))
    )


def mean_use(state: CoordinatorState, opened: list[Backend]) -> float:
    return sum(backend.load for backend in state.backends.values()) / (
        sum(backend.capacity for backend in opened) or 1.0
    )


def place(state: CoordinatorState, assignment: Assignment) -> None:
    """A slice without a live owner: weighted rendezvous over the room that is left."""
    slice_, load, opened = assignment.slice, assignment.load, state.ready_backends()
    choice = [backend for backend in opened if backend not in slice_.owners()]
    mean = mean_use(state, opened)
    fit = [backend for backend in choice if not backend.is_suspect and may_take(state, backend, slice_, mean)]
    room = [
        (backend, free) for backend in fit if (free := 1.25 * mean * backend.capacity - backend.load) >= load
    ]
    # Room under the band, else what is fit, else what is warm; never a cold one past its cap.
    if choice := room or [
        (backend, backend.capacity)
        for backend in fit or [backend for backend in choice if backend.warmup_fraction >= 1]
    ]:
        move(
            state,
            assignment,
            max(choice, key=lambda pair: (pair[0].rank(slice_.number, pair[1]), pair[0].id))[0],
        )
        assignment.next_move_at = (
            assignment.next_move_at if room else state.now
        )  # where there is none it may go on at once
    elif assignment.owner is not None and assignment.owner.state in DEPARTING_STATES:
        assignment.assign_to(None)


def move(state: CoordinatorState, assignment: Assignment, to: Backend) -> None:
    load = assignment.load
    if assignment.owner is not None:
        assignment.owner.load -= load
    assignment.assign_to(to)
    to.load += load
    to.received_slices += to.warmup_fraction < 1
    assignment.next_move_at = state.now + 10 * SECOND  # half the design's rest: demand shifts in 12 to 24 s


def evacuate(state: CoordinatorState) -> None:
    """At once, outside the budget: all of what drains or is gone, and what is too much for a cold one."""
    opened = state.ready_backends()
    for backend in state.backends.values():
        over = backend.state in DEPARTING_STATES
        if over and backend.assignments:
            state.log(f"{backend.id} {backend.state}: {len(backend.assignments)} slices leave")
        if (
            over
            or backend.warmup_fraction < 1
            and any(o.warmup_fraction >= 1 and not o.is_unresponsive for o in opened)
        ):
            for assignment in sorted(backend.assignments, key=lambda p: (-p.load, p.slice.number)):
                # What woke up with it goes by our share of its room, what another had put there by all of it.
                room = allowance(state, backend) * (
                    1
                    if assignment.slice.owned_since <= backend.started_at
                    else state.coordinator_count / backend.cold_start_share
                )
                if over or 0 < 1.5 * room < sum(p.slice.recent_load for p in backend.assignments):
                    place(state, assignment)
    for assignment in [assignment for slice_ in state.slices.values() for assignment in slice_.assignments]:
        if assignment.owner is None or len(assignment.slice.assignments) > 1 and assignment.owner.is_suspect:
            place(state, assignment)


def plan(state: CoordinatorState) -> None:
    """The design's greedy planner: whole slices, busiest to least loaded, for positive gain only."""
    opened = sorted(state.ready_backends(), key=lambda backend: backend.id)
    mean = mean_use(state, opened)
    if len(opened) < 2 or mean <= 0:
        return
    for backend in opened:
        backend.received_slices = 0
    if not state.settings.get("exclusive"):  # there a slice has one line
        split(state, opened, mean)
    uses = [backend.utilization() / mean for backend in opened]
    state.is_balancing |= max(uses) > 1.25 or min(uses) < 1 / 1.25  # membership triggers too (PAPER)
    # A thirtieth of the slices in charge (more did worse), and one for each new backend still empty.
    idle = sum(not backend.assignments and backend.warmup_fraction < 1 for backend in opened)
    for _ in range(max(2, len(state.slices) // 30 + idle // state.coordinator_count)):
        by_use = sorted(opened, key=Backend.utilization)
        best = next(
            filter(
                None,
                (
                    best_move(state, backend, by_use, mean)
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


def split(state: CoordinatorState, opened: list[Backend], mean: float) -> None:
    """A slice that outweighs four fifths of a whole backend's target is dealt out in parts meanwhile."""
    target = (
        mean * sum(backend.capacity for backend in opened) / len(opened) * state.coordinator_count**0.5
    )  # by the root: fleet.md
    for slice_ in state.slices.values():
        parts = len(slice_.assignments)
        if slice_.load > 0.8 * target * parts and parts < min(4, len(opened)):
            slice_.assignments.append(Assignment(slice_, None))
            place(state, slice_.assignments[-1])
        elif parts > 1 and slice_.load < 0.48 * target * (parts - 1):
            last = max(slice_.assignments, key=lambda p: p.owner.utilization() if p.owner else float("inf"))
            last.assign_to(None)
            slice_.assignments.remove(last)
        else:
            continue
        count = len(slice_.assignments)
        wanted = slice_.load / target
        state.log(f"slice {slice_.number} in {count} parts: asks for {wanted:.1f} backends")
    for backend in opened:
        backend.load = sum(p.load for p in backend.assignments)


def best_move(
    state: CoordinatorState, source: Backend, by_use: list[Backend], mean: float
) -> tuple[Assignment, Backend] | None:
    # The two have to lie apart by a quarter of what a backend gets from all.  Any gain while many tries fail.
    apart = 0.0 if state.is_failing() else 0.25 * state.coordinator_count * mean * source.weight
    best, most = None, 0.0
    for assignment in sorted(source.assignments, key=lambda p: p.slice.number):
        load, others = assignment.load, assignment.slice.owners()
        to = next(
            (
                backend
                for backend in by_use
                if backend not in others
                and not backend.is_suspect
                and may_take(state, backend, assignment.slice, mean)
                and backend.load + load <= 1.25 * mean * backend.capacity
            ),
            None,
        )
        if to is None or assignment.next_move_at > state.now:
            continue
        over, under = source.load - mean * source.capacity, to.load - mean * to.capacity
        gain = over**2 + under**2 - (over - load) ** 2 - (under + load) ** 2
        if gain > max(most, 2 * load * apart):
            best, most = (assignment, to), gain
    return best
