"""Orders the changes from the stored to the target routes, within the free capacity of the channel."""

from dataclasses import dataclass, field

from .. import interface
from .ownership_transfer import orders_allowed_now
from .state import DEPARTING_STATES, Backend, CoordinatorState, Slice

ADMISSION_STEPS = 5  # ratios are rounded to multiples of a fifth, which needs fewer updates
MIN_ORDINARY_CHANGES = 6  # per update, where a third of the pending ones is less
RETRY_AFTER_PROOF = 1  # retry level 1: one retry after proof that the first attempt never ran


@dataclass(slots=True)
class Update:
    """Changes that are sent together, in the order in which they use up the free capacity."""

    changed: list[Slice] = field(default_factory=list)  # slices with changed routes
    trimmed: list[Slice] = field(default_factory=list)  # slices with changed admission ratios
    announces_retries: bool = False  # some proxy lacks the retry level
    urgent: bool = False
    readmitted: list[Backend] = field(default_factory=list)  # ejected backends that are ready again


def target_ratio(slice_: Slice) -> float:
    """Returns the lowest admission ratio of the owners, rounded to a step."""
    lowest = min((backend.admission_ratio for backend in slice_.owners()), default=1.0)
    return round(ADMISSION_STEPS * lowest) / ADMISSION_STEPS


def target_routes(slice_: Slice) -> dict[Backend, float]:
    """Returns the routes that the assignments require, all of the same weight."""
    return dict.fromkeys(slice_.owners(), 1.0)


def urgent_since(slice_: Slice) -> int | None:
    """Returns the time since which a change is urgent, or None if it is not.

    A change is urgent for a closed slice, for one without a route, and for one with a route to a departing
    backend or to a cold one that is no longer an owner.
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
    """Orders the timer, the requests for lists and probes, and the update that is due."""
    _emit_requests(state)
    update = _due_update(state)
    if update.urgent or update.changed or update.announces_retries or update.trimmed:
        send_update(state, update)


def _emit_requests(state: CoordinatorState) -> None:
    """Orders the timer of the next beat, a pending subscription and probes."""
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
    """Collects the changes that are due: urgent ones at once, ordinary ones at every second beat."""
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
    state.has_pending_routes = bool(urgent) or any(slice_.closed_methods is not None for slice_ in slices)
    update = Update()
    update.announces_retries = _must_announce_retries(state)
    update.readmitted = [b for b in state.backends.values() if b in state.ejected and b.state == "ready"]
    update.urgent = bool(urgent or update.readmitted)
    update.changed = urgent + suspect
    if not update.urgent and (state.beat_count % 2 == 0 or suspect):
        ordinary.sort(key=_highest_utilization_first)
        third = max(MIN_ORDINARY_CHANGES, len(ordinary) // 3)
        update.changed += ordinary if state.is_failing() else ordinary[:third]
        update.trimmed = [slice_ for slice_ in slices if target_ratio(slice_) != slice_.admission_ratio]
    return update


def _has_orders(state: CoordinatorState, slice_: Slice) -> bool:
    """Returns whether an order for the slice is needed and may be sent now."""
    differs = target_routes(slice_) != slice_.stored_routes
    return (differs or slice_.closed_methods is not None) and bool(route_changes(state, slice_))


def _leaves_suspect(slice_: Slice) -> bool:
    """Returns whether a stored route leads to a suspect backend that is no longer an owner."""
    owners = slice_.owners()
    return any(backend.is_suspect for backend in slice_.stored_routes if backend not in owners)


def _highest_utilization_first(slice_: Slice) -> float:
    """Returns a sort key that puts the highest utilization of a stored owner first."""
    return -max(backend.utilization() for backend in slice_.stored_routes)


def _must_announce_retries(state: CoordinatorState) -> bool:
    """Returns whether a proxy lacks the retry level.

    Its order carries an admission ratio of 1, which admits all RPCs only where ratios are shares, not rates.
    """
    if state.settings.get("admission") == "rate":
        return False
    return any(proxy not in state.levels_sent for proxy in state.proxies)


def route_changes(state: CoordinatorState, slice_: Slice) -> list[interface.Order]:
    """Returns the orders towards the target routes of a slice that may be sent now."""
    target = target_routes(slice_)
    stored = slice_.stored_routes
    orders: list[interface.Order] = []
    for backend, weight in target.items():
        if stored.get(backend) != weight:
            orders.append(interface.SetRoute(slice_.number, backend.id, weight))
    for backend in stored:
        if backend not in target:
            orders.append(interface.SetRoute(slice_.number, backend.id, 0.0))
    return orders_allowed_now(state, slice_, orders)


def send_update(state: CoordinatorState, update: Update) -> None:
    """Orders as much of the update as the channel takes now, followed by a marker."""
    changes = [route_changes(state, slice_) for slice_ in update.changed]
    readmitted = len(update.readmitted)
    needed = sum(map(len, changes)) + len(update.trimmed) + readmitted
    capacity = state.channel.free_capacity(
        state.now, len(state.proxies), update.urgent, needed, state.is_failing()
    )
    capacity -= readmitted
    if capacity <= 0:
        return
    _readmit(state, update.readmitted)
    if update.announces_retries:
        state.orders.append(interface.SetAdmission(interface.ALL_TABLES, (), 1.0, RETRY_AFTER_PROOF))
        state.levels_sent = set(state.proxies)
    late = _late_departing(state, update.changed, needed)
    sent = 0
    postponed: set[Backend] = set()  # backends with a stored route whose change does not fit
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
    """Orders the end of the ejection of these backends."""
    state.orders += [interface.EjectBackend(backend.id, False) for backend in backends]
    state.ejected.difference_update(backends)
    state.readmitted.update(backends)


def _eject(state: CoordinatorState, backends: list[Backend]) -> None:
    """Orders the ejection of these backends from all tables."""
    state.orders += [interface.EjectBackend(backend.id, True) for backend in backends]
    state.ejected = state.ejected.union(backends)
    state.readmitted = state.readmitted.difference(backends)


def _late_departing(state: CoordinatorState, slices: list[Slice], needed: int) -> list[Backend]:
    """Returns the departing backends whose routes cannot all be removed within the drain grace."""
    earliest_timely_notice = (
        state.now
        + (state.channel.backlog + needed * len(state.proxies)) / state.channel.drain_rate()
        + state.settings.get("transit_most", 0)
        - state.settings.get("drain_grace", interface.SECOND)
    )
    ejected_everywhere = state.ejected - state.readmitted
    late = {
        backend: None
        for slice_ in slices
        for backend in slice_.stored_routes
        if backend.state in DEPARTING_STATES
        and backend not in ejected_everywhere
        and earliest_timely_notice > max(backend.notified_at, slice_.owned_since)
    }
    return list(late)


def _apply(state: CoordinatorState, slice_: Slice, orders: list[interface.Order]) -> bool:
    """Applies the orders to the state; returns whether they only close the slice for a change of owner."""
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
        case _:  # its only route was removed, which closes it to all methods
            slice_.closed_methods = ()
    slice_.closed_at = state.now
    slice_.quiet_since = 0
    return True


def _trim(state: CoordinatorState, slices: list[Slice], capacity: int) -> int:
    """Orders the admission ratios of the slices that are not closed; returns their number."""
    trimmed = [slice_ for slice_ in slices if slice_.closed_methods is None][:capacity]
    for slice_ in trimmed:
        slice_.admission_ratio = target_ratio(slice_)
        ratio = slice_.admission_ratio
        state.orders.append(interface.SetAdmission(slice_.number, (), ratio, RETRY_AFTER_PROOF))
    return len(trimmed)
