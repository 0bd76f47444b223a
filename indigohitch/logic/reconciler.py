"""Orders that turn the stored routes into the target routes, within the free capacity of the channel."""

from dataclasses import dataclass, field

from .. import interface
from .ownership_transfer import in_steps
from .state import DEPARTING_STATES, Backend, CoordinatorState, Slice

ADMISSION_STEPS = 5  # admission ratios are multiples of a fifth: fewer updates
MIN_ORDINARY_CHANGES = 6  # per update, also where a third of the ordinary changes is less
RETRY_AFTER_PROOF = 1  # retry level: one retry after proof that the first attempt never ran


@dataclass(slots=True)
class Update:
    """The changes that go out together, in the order in which they get room."""

    changed: list[Slice] = field(default_factory=list)  # routes
    trimmed: list[Slice] = field(default_factory=list)  # admission ratios
    announces_retries: bool = False  # some proxy does not know the retry level
    urgent: bool = False
    readmitted: list[Backend] = field(default_factory=list)  # ready again


def target_ratio(slice_: Slice) -> float:
    """Return the lowest admission ratio of the owners, rounded to a step."""
    lowest = min((backend.admission_ratio for backend in slice_.owners()), default=1.0)
    return round(ADMISSION_STEPS * lowest) / ADMISSION_STEPS


def target_routes(slice_: Slice) -> dict[Backend, float]:
    """Return the routes by the assignments, all of the same weight."""
    return dict.fromkeys(slice_.owners(), 1.0)


def urgent_since(slice_: Slice) -> int | None:
    """Return since when a change is urgent; None: it is not.

    Urgent are a closed slice, one without a route, and a route to a departing backend or to a cold one
    that is no longer an owner.
    """
    if slice_.closed_methods is not None:
        return slice_.owned_since
    owners = slice_.owners()
    return min(
        (
            max(backend.notified_at, slice_.owned_since)
            for backend in slice_.stored_routes
            if backend.state in DEPARTING_STATES or backend.warmup_fraction < 1 and backend not in owners
        ),
        default=None if slice_.stored_routes else slice_.owned_since,
    )


def emit(state: CoordinatorState) -> None:
    """Order the timer, the requests for lists and probes, and the update that is due."""
    _emit_requests(state)
    update = _due_update(state)
    if update.urgent or update.changed or update.announces_retries or update.trimmed:
        push(state, update)


def _emit_requests(state: CoordinatorState) -> None:
    """Order the timer of the next beat, a pending subscription and probes."""
    if state.timer_due_at != state.next_beat_at:
        state.timer_due_at = state.next_beat_at
        state.orders.append(interface.SetTimer(state.timer_due_at, "beat"))
    if state.subscribe_pending:
        state.orders.append(interface.WatchBackends(True))
    for backend in state.probe_targets:
        backend.probe_sent_at = state.now
        state.orders.append(interface.ProbeBackend(backend.id))
    state.subscribe_pending = False
    state.probe_targets = []


def _due_update(state: CoordinatorState) -> Update:
    """Collect what should go out now: urgent changes at once, ordinary ones each second beat."""
    slices = state.slices.values()
    urgent: list[Slice] = []
    suspect: list[Slice] = []  # a former owner is suspect
    ordinary: list[Slice] = []
    for slice_ in slices:
        if not _has_orders(state, slice_):
            continue
        if urgent_since(slice_) is not None:
            urgent.append(slice_)
        elif _leaves_suspect(slice_):
            suspect.append(slice_)
        else:
            ordinary.append(slice_)
    urgent.sort(key=urgent_since)
    state.has_pending_routes = bool(urgent) or any(s.closed_methods is not None for s in slices)
    update = Update()
    update.announces_retries = _must_announce_retries(state)
    update.readmitted = [b for b in state.backends.values() if b in state.ejected and b.state == "ready"]
    update.urgent = bool(urgent or update.readmitted)
    update.changed = urgent + suspect
    if not update.urgent and (state.beat_count % 2 == 0 or suspect):
        ordinary.sort(key=_busiest_first)
        third = max(MIN_ORDINARY_CHANGES, len(ordinary) // 3)
        update.changed += ordinary if state.is_failing() else ordinary[:third]
        update.trimmed = [s for s in slices if target_ratio(s) != s.admission_ratio]
    return update


def _has_orders(state: CoordinatorState, slice_: Slice) -> bool:
    """Return whether something may be ordered for the slice now."""
    differs = target_routes(slice_) != slice_.stored_routes
    return (differs or slice_.closed_methods is not None) and bool(route_changes(state, slice_))


def _leaves_suspect(slice_: Slice) -> bool:
    """Return whether a route to a suspect backend is no longer a target."""
    owners = slice_.owners()
    return any(backend.is_suspect for backend in slice_.stored_routes if backend not in owners)


def _busiest_first(slice_: Slice) -> float:
    """Sort key: the highest utilization of a stored owner comes first."""
    return -max(backend.utilization() for backend in slice_.stored_routes)


def _must_announce_retries(state: CoordinatorState) -> bool:
    """Return whether a proxy lacks the retry level.

    Its order carries an admission ratio of 1, which admits all only where ratios are shares and not rates.
    """
    if state.settings.get("admission") == "rate":
        return False
    return any(proxy not in state.levels_sent for proxy in state.proxies)


def route_changes(state: CoordinatorState, slice_: Slice) -> list[interface.Order]:
    """Return the orders that may go now towards the target routes of a slice."""
    target = target_routes(slice_)
    stored = slice_.stored_routes
    orders: list[interface.Order] = []
    for backend, weight in target.items():
        if stored.get(backend) != weight:
            orders.append(interface.SetRoute(slice_.number, backend.id, weight))
    for backend in stored:
        if backend not in target:
            orders.append(interface.SetRoute(slice_.number, backend.id, 0.0))
    return in_steps(state, slice_, orders)


def push(state: CoordinatorState, update: Update) -> None:
    """Order as much of the update as the channel takes now, and a marker after it."""
    changes = [route_changes(state, slice_) for slice_ in update.changed]
    readmitted = len(update.readmitted)
    need = sum(map(len, changes)) + len(update.trimmed) + readmitted
    capacity = state.channel.free_capacity(
        state.now, len(state.proxies), update.urgent, need, state.is_failing()
    )
    capacity -= readmitted
    if capacity <= 0:
        return
    _readmit(state, update.readmitted)
    if update.announces_retries:
        state.orders.append(interface.SetAdmission(interface.ALL_TABLES, (), 1.0, RETRY_AFTER_PROOF))
        state.levels_sent = set(state.proxies)
    late = _late_departing(state, update.changed, need)
    sent = 0
    postponed: set[Backend] = set()  # have a route that does not go out now
    closed: list[Slice] = []
    for slice_, orders in zip(update.changed, changes):
        if sent + len(orders) > capacity - len(late):
            postponed.update(slice_.stored_routes)
            continue
        state.orders += orders
        sent += len(orders)
        if _apply(state, slice_, orders):
            closed.append(slice_)
    ejected = [backend for backend in late if backend in postponed][: capacity - sent]
    _eject(state, ejected)
    trimmed = _trim(state, update.trimmed, capacity - sent - len(ejected))
    sent += readmitted + len(ejected) + trimmed
    marker = state.channel.send(state.now, sent, state.proxies)
    state.orders.append(interface.UpdateMarker(marker, False))
    for slice_ in closed:
        slice_.closing_marker = marker


def _readmit(state: CoordinatorState, backends: list[Backend]) -> None:
    """Order the end of the ejection of these."""
    state.orders += [interface.EjectBackend(backend.id, False) for backend in backends]
    state.ejected.difference_update(backends)
    state.readmitted.update(backends)


def _eject(state: CoordinatorState, backends: list[Backend]) -> None:
    """Order the ejection of these from all tables."""
    state.orders += [interface.EjectBackend(backend.id, True) for backend in backends]
    state.ejected = state.ejected.union(backends)
    state.readmitted = state.readmitted.difference(backends)


def _late_departing(state: CoordinatorState, slices: list[Slice], need: int) -> list[Backend]:
    """Return departing backends whose routes can't all be removed within the drain grace, each once."""
    latest_notice = (
        state.now
        + (state.channel.backlog + need * len(state.proxies)) / state.channel.pace()
        + state.settings.get("transit_most", 0)
        - state.settings.get("drain_grace", interface.SECOND)
    )
    known = state.ejected - state.readmitted
    late = {
        backend: None
        for slice_ in slices
        for backend in slice_.stored_routes
        if backend.state in DEPARTING_STATES
        and backend not in known
        and latest_notice > max(backend.notified_at, slice_.owned_since)
    }
    return list(late)


def _apply(state: CoordinatorState, slice_: Slice, orders: list[interface.Order]) -> bool:
    """Take the orders into the state; returns whether they only close the slice for a change of owner."""
    target = target_routes(slice_)
    closes = (
        target != slice_.stored_routes
        and state.settings.get("exclusive")
        and slice_.stored_routes
        and len(orders) == 1
    )
    if not closes:
        slice_.stored_routes = target
        slice_.closed_methods = None
        return False
    match orders[0]:
        case interface.SetAdmission(_, methods):
            slice_.closed_methods = methods
        case _:  # its only route was removed: closed to all
            slice_.closed_methods = ()
    slice_.closed_at = state.now
    slice_.quiet_since = 0
    return True


def _trim(state: CoordinatorState, slices: list[Slice], capacity: int) -> int:
    """Order the admission ratios of the slices that are not closed; returns how many."""
    trimmed = [slice_ for slice_ in slices if slice_.closed_methods is None][:capacity]
    for slice_ in trimmed:
        slice_.admission_ratio = target_ratio(slice_)
        ratio = slice_.admission_ratio
        state.orders.append(interface.SetAdmission(slice_.number, (), ratio, RETRY_AFTER_PROOF))
    return len(trimmed)
