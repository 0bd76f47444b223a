"""What is wanted against what is out: the difference as orders, in the channel's room."""

from .. import interface
from .ownership_transfer import in_steps
from .state import DEPARTING_STATES, Backend, CoordinatorState, Slice


def wanted_level(slice_: Slice) -> float:
    return (
        round(5 * min((backend.admission_ratio for backend in slice_.owners()), default=1.0)) / 5
    )  # in fifths: fewer lines


def wanted(slice_: Slice) -> dict[Backend, float]:
    return dict.fromkeys(slice_.owners(), 1.0)


def pressed(slice_: Slice) -> int | None:
    """Since when it is closed, has no line, or one at a backend that leaves or too many at a cold one."""
    if slice_.closed_methods is not None:
        return slice_.owned_since
    return min(
        (
            max(backend.notified_at, slice_.owned_since)
            for backend in slice_.stored_routes
            if backend.state in DEPARTING_STATES
            or backend.warmup_fraction < 1
            and backend not in slice_.owners()
        ),
        default=None if slice_.stored_routes else slice_.owned_since,
    )


def emit(state: CoordinatorState) -> None:
    """What should be out, held or timed against what is: the difference, its urgent part first."""
    if state.timer_due_at != state.next_beat_at:
        state.timer_due_at = state.next_beat_at
        state.orders.append(interface.SetTimer(state.timer_due_at, "beat"))
    state.orders += [interface.WatchBackends(True)] * state.subscribe_pending
    for backend in state.probe_targets:
        backend.probe_sent_at = state.now
        state.orders.append(interface.ProbeBackend(backend.id))
    state.subscribe_pending, state.probe_targets = False, []
    must, ailing, ordinary = [], [], []
    for slice_ in state.slices.values():
        if (wanted(slice_) != slice_.stored_routes or slice_.closed_methods is not None) and delta(
            state, slice_
        ):
            ails = any(
                backend.is_suspect for backend in slice_.stored_routes if backend not in slice_.owners()
            )
            (must if pressed(slice_) is not None else ailing if ails else ordinary).append(slice_)
    must.sort(key=pressed)
    state.has_pending_routes = bool(must) or any(
        slice_.closed_methods is not None for slice_ in state.slices.values()
    )
    # A level of 1 lets all in as a share; where levels are rates it would not, and none is set.
    fresh = state.settings.get("admission") != "rate" and any(
        p not in state.levels_sent for p in state.proxies
    )
    ordinary.sort(key=lambda slice_: -max(backend.utilization() for backend in slice_.stored_routes))
    many = len(ordinary) if state.is_failing() else max(6, len(ordinary) // 3)  # a third each second beat
    back = [
        backend
        for backend in state.backends.values()
        if backend in state.ejected and backend.state == "ready"
    ]
    urgent = bool(must or back)
    turn, trim = (
        (
            ordinary[:many],
            [slice_ for slice_ in state.slices.values() if wanted_level(slice_) != slice_.admission_ratio],
        )
        if not urgent and (state.beat_count % 2 == 0 or ailing)
        else ([], [])
    )
    if urgent or ailing or turn or fresh or trim:
        push(state, must + ailing + turn, trim, fresh, urgent, back)


def delta(state: CoordinatorState, slice_: Slice) -> list[interface.Order]:
    want = wanted(slice_)
    return in_steps(
        state,
        slice_,
        [
            interface.SetRoute(slice_.number, backend.id, w)
            for backend, w in want.items()
            if slice_.stored_routes.get(backend) != w
        ]
        + [
            interface.SetRoute(slice_.number, backend.id, 0.0)
            for backend in slice_.stored_routes
            if backend not in want
        ],
    )


def push(
    state: CoordinatorState,
    changed: list[Slice],
    trimmed: list[Slice],
    levels: bool,
    urgent: bool,
    back: list[Backend],
) -> None:
    deltas = [delta(state, slice_) for slice_ in changed]
    need = sum(map(len, deltas)) + len(trimmed) + len(back)
    room = state.channel.free_capacity(state.now, len(state.proxies), urgent, need, state.is_failing()) - len(
        back
    )
    if room <= 0:
        return
    state.orders += [interface.EjectBackend(backend.id, False) for backend in back]
    state.ejected.difference_update(back)
    state.readmitted.update(back)
    if levels:
        state.orders.append(
            interface.SetAdmission(interface.ALL_TABLES, (), 1.0, 1)
        )  # further tries after proof only
        state.levels_sent = set(state.proxies)
    # Where lines at a drain can't be out within its grace, its backend is shut out, one line each.
    over = (
        state.now
        + (state.channel.backlog + need * len(state.proxies)) / state.channel.pace()
        + state.settings.get("transit_most", 0)
        - state.settings.get("drain_grace", interface.SECOND)
    )
    shut = {
        backend: None
        for slice_ in changed
        for backend in slice_.stored_routes
        if backend.state in DEPARTING_STATES
        and backend not in state.ejected - state.readmitted
        and over > max(backend.notified_at, slice_.owned_since)
    }
    lines, left, closed = 0, set(), []
    for slice_, change in zip(changed, deltas):
        if lines + len(change) <= room - len(shut):
            state.orders += change
            lines += len(change)
            if (
                wanted(slice_) != slice_.stored_routes
                and state.settings.get("exclusive")
                and slice_.stored_routes
                and len(change) == 1
            ):
                slice_.closed_methods, slice_.closed_at, slice_.quiet_since = (
                    getattr(change[0], "methods", ()),
                    state.now,
                    0,
                )
                closed.append(slice_)
            else:
                slice_.stored_routes, slice_.closed_methods = wanted(slice_), None
        else:
            left.update(slice_.stored_routes)
    shut = [backend for backend in shut if backend in left][: room - lines]
    state.orders += [interface.EjectBackend(backend.id, True) for backend in shut]
    state.ejected, state.readmitted = state.ejected.union(shut), state.readmitted.difference(shut)
    for slice_ in (
        trimmed := [slice_ for slice_ in trimmed if slice_.closed_methods is None][: room - lines - len(shut)]
    ):
        slice_.admission_ratio = wanted_level(slice_)
        state.orders.append(interface.SetAdmission(slice_.number, (), slice_.admission_ratio, 1))
    lines += len(back) + len(shut) + len(trimmed)
    state.orders.append(interface.UpdateMarker(state.channel.send(state.now, lines, state.proxies), False))
    for slice_ in closed:
        slice_.closing_marker = state.channel.last_marker
