"""Converts the complete state of the decision module to plain rows and back; no I/O and no decisions.

The order of dict entries, of assignments and of random numbers is part of the state: the restored module
must issue exactly the orders that the old one would have issued.  A new attribute of the module has to be
added here; tests/test_upgrade_state.py compares the orders of both over random scenarios and fails if one is
missing.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping, Sequence

from ..encoding.rows import Row
from ..logic import Coordinator
from ..logic.state import Assignment, Backend, DecayingSum, DueAction, Slice
from .module_rows import (
    BACKEND_ATTRIBUTES,
    CHANNEL_ATTRIBUTES,
    MODULE_ATTRIBUTES,
    SLICE_ATTRIBUTES,
    BackendRow,
    DecayingSumRow,
    ModuleRow,
    SliceRow,
)

NO_OWNER = -1  # the owner's index in the row of an assignment without owner


def _copied_fields(source: object, attributes: Mapping[str, str], row_class: type[Row]) -> dict:
    """Return the fields of the row that are copied from attributes of `source`.

    An int in a float field is converted, so that decoding and encoding the row again does not change a byte.
    """
    types = row_class.__annotations__
    return {
        field: float(getattr(source, name)) if types[field] == "float" else getattr(source, name)
        for field, name in attributes.items()
    }


def _restore(target: object, attributes: Mapping[str, str], row: Row) -> None:
    for field, name in attributes.items():
        setattr(target, name, getattr(row, field))


def _decaying_sum_row(sums: DecayingSum) -> DecayingSumRow:
    return DecayingSumRow(sums.window, sums.updated_at, sums.values)


def _decaying_sum(row: DecayingSumRow) -> DecayingSum:
    sums = DecayingSum(row.window)
    sums.updated_at = row.updated_at
    sums.values = list(row.values)
    return sums


def _backend_indexes(coordinator: Coordinator) -> dict[Backend, int]:
    """Return the index of each backend in the rows, including those that only a table still references."""
    indexes = {backend: index for index, backend in enumerate(coordinator.backends.values())}
    # A backend may be in a table after it has left the list of known backends.
    routed = (
        backend
        for slice_ in coordinator.slices.values()
        for backend in (*slice_.stored_routes, *slice_.owners())
    )
    for backend in (*routed, *coordinator.ejected, *coordinator.readmitted):
        indexes.setdefault(backend, len(indexes))
    return indexes


def _backend_row(backend: Backend, assignment_indexes: Mapping[Assignment, tuple[int, int]]) -> BackendRow:
    return BackendRow(
        id=backend.id,
        pace=_decaying_sum_row(backend.pace),
        attempts=_decaying_sum_row(backend.attempts),
        assignments=[
            assignment_indexes[assignment]
            for assignment in backend.assignments
            if assignment in assignment_indexes
        ],
        **_copied_fields(backend, BACKEND_ATTRIBUTES, BackendRow),
    )


def _slice_row(slice_: Slice, backend_indexes: Mapping[Backend, int]) -> SliceRow:
    return SliceRow(
        number=slice_.number,
        assignments=[
            (backend_indexes[assignment.owner] if assignment.owner else NO_OWNER, assignment.next_move_at)
            for assignment in slice_.assignments
        ],
        stored_routes=[
            (backend_indexes[backend], float(weight)) for backend, weight in slice_.stored_routes.items()
        ],
        demand=_decaying_sum_row(slice_.demand),
        long_term_demand=_decaying_sum_row(slice_.long_term_demand),
        latest_demand=_decaying_sum_row(slice_.latest_demand),
        closed_methods=None if slice_.closed_methods is None else list(slice_.closed_methods),
        **_copied_fields(slice_, SLICE_ATTRIBUTES, SliceRow),
    )


def freeze(coordinator: Coordinator) -> ModuleRow:
    """Return the module's state; valid only between calls of `handle`, when transient lists are empty."""
    backend_indexes = _backend_indexes(coordinator)
    assignment_indexes = {
        assignment: (slice_.number, index)
        for slice_ in coordinator.slices.values()
        for index, assignment in enumerate(slice_.assignments)
    }
    channel = coordinator.channel
    version, internal, gauss = coordinator.uniform.__self__.getstate()
    return ModuleRow(
        random_state=(version, list(internal), gauss),
        backends=[_backend_row(backend, assignment_indexes) for backend in backend_indexes],
        slices=[_slice_row(slice_, backend_indexes) for slice_ in coordinator.slices.values()],
        proxies=list(coordinator.proxies.items()),
        departed_proxies=list(coordinator.departed_proxies.items()),
        due_actions=[(due_at, action.value) for due_at, action in coordinator.due_actions],
        levels_sent=sorted(coordinator.levels_sent),
        ejected=sorted(backend_indexes[backend] for backend in coordinator.ejected),
        readmitted=sorted(backend_indexes[backend] for backend in coordinator.readmitted),
        sent=list(channel.sent),
        unacked=[
            (marker, float(lines), sorted(proxies)) for marker, (lines, proxies) in channel.unacked.items()
        ],
        **_copied_fields(coordinator, MODULE_ATTRIBUTES, ModuleRow),
        **_copied_fields(channel, CHANNEL_ATTRIBUTES, ModuleRow),
    )


def _restore_backend(row: BackendRow) -> Backend:
    """Return a backend without its assignments, which can be restored only after the slices."""
    backend = Backend(row.id)
    _restore(backend, BACKEND_ATTRIBUTES, row)
    backend.pace = _decaying_sum(row.pace)
    backend.attempts = _decaying_sum(row.attempts)
    return backend


def _restore_slice(row: SliceRow, backends: Sequence[Backend]) -> Slice:
    slice_ = Slice(row.number, row.owned_since)
    _restore(slice_, SLICE_ATTRIBUTES, row)
    slice_.demand = _decaying_sum(row.demand)
    slice_.long_term_demand = _decaying_sum(row.long_term_demand)
    if row.latest_demand is not None:
        slice_.latest_demand = _decaying_sum(row.latest_demand)
    slice_.closed_methods = None if row.closed_methods is None else tuple(row.closed_methods)
    slice_.stored_routes = {backends[index]: weight for index, weight in row.stored_routes}
    for index, next_move_at in row.assignments:
        assignment = Assignment(slice_, None)
        assignment.owner = backends[index] if index >= 0 else None
        assignment.next_move_at = next_move_at
        slice_.assignments.append(assignment)
    return slice_


def _restore_assignments(coordinator: Coordinator, backend: Backend, row: BackendRow) -> None:
    """Restore the assignments of a backend; raises ValueError for an assignment with another owner."""
    backend.assignments = [coordinator.slices[number].assignments[index] for number, index in row.assignments]
    if any(assignment.owner is not backend for assignment in backend.assignments):
        raise ValueError(f"a part at {backend.id} has another owner")


def thaw(row: ModuleRow, boot: dict) -> Coordinator:
    """Return the module stored in `row`; raises ValueError, IndexError or KeyError for inconsistent rows."""
    coordinator = Coordinator(0, boot)
    generator = random.Random()
    generator.setstate((row.random_state[0], tuple(row.random_state[1]), row.random_state[2]))
    coordinator.uniform = generator.random
    _restore(coordinator, MODULE_ATTRIBUTES, row)
    _restore(coordinator.channel, CHANNEL_ATTRIBUTES, row)
    backends = [_restore_backend(each) for each in row.backends]
    coordinator.backends.update((backend.id, backend) for backend in backends)
    coordinator.slices.update((each.number, _restore_slice(each, backends)) for each in row.slices)
    for backend, backend_row in zip(backends, row.backends):
        _restore_assignments(coordinator, backend, backend_row)
    coordinator.proxies = dict(row.proxies)
    coordinator.departed_proxies = dict(row.departed_proxies)
    coordinator.due_actions = [(due_at, DueAction(name)) for due_at, name in row.due_actions]
    coordinator.levels_sent = set(row.levels_sent)
    coordinator.ejected = {backends[index] for index in row.ejected}
    coordinator.readmitted = {backends[index] for index in row.readmitted}
    coordinator.channel.sent = deque(row.sent)
    coordinator.channel.unacked = {marker: (lines, set(proxies)) for marker, lines, proxies in row.unacked}
    return coordinator
