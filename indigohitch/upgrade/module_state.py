"""Converts the whole state of the decision module to plain rows and back; no I/O and no decisions.

The orders of dicts, lists of assignments and random draws are part of the state: the module that is restored
from it must issue the orders that the old one would have issued, to the letter.  A new field of the module
needs a place here; tests/test_upgrade_state.py compares the two over random days and fails where one is
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
    OF_BACKEND,
    OF_CHANNEL,
    OF_SLICE,
    PLAIN,
    BackendRow,
    ModuleRow,
    SliceRow,
    SumsRow,
)

NO_OWNER = -1  # the place of the owner of an assignment without one


def _fields(source: object, attributes: Mapping[str, str], row: type[Row]) -> dict:
    """Return the row's fields that copy an attribute of `source`.

    An int in a field of floats is converted, so that decoding and encoding the row once more changes nothing.
    """
    kinds = row.__annotations__
    return {
        field: float(getattr(source, name)) if kinds[field] == "float" else getattr(source, name)
        for field, name in attributes.items()
    }


def _restore(target: object, attributes: Mapping[str, str], row: Row) -> None:
    for field, name in attributes.items():
        setattr(target, name, getattr(row, field))


def _sums_row(sums: DecayingSum) -> SumsRow:
    return SumsRow(sums.window, sums.updated_at, sums.values)


def _decaying_sum(row: SumsRow) -> DecayingSum:
    sums = DecayingSum(row.span)
    sums.updated_at = row.at
    sums.values = list(row.values)
    return sums


def _backend_places(coordinator: Coordinator) -> dict[Backend, int]:
    """Return the place of each backend in the rows, also of those that only a table still holds."""
    places = {backend: place for place, backend in enumerate(coordinator.backends.values())}
    # A backend may be in a table after it has left the list of known backends.
    routed = (
        backend
        for slice_ in coordinator.slices.values()
        for backend in (*slice_.stored_routes, *slice_.owners())
    )
    for backend in (*routed, *coordinator.ejected, *coordinator.readmitted):
        places.setdefault(backend, len(places))
    return places


def _backend_row(backend: Backend, assignment_places: Mapping[Assignment, tuple[int, int]]) -> BackendRow:
    return BackendRow(
        id=backend.id,
        pace=_sums_row(backend.pace),
        tries=_sums_row(backend.attempts),
        parts=[assignment_places[part] for part in backend.assignments if part in assignment_places],
        **_fields(backend, OF_BACKEND, BackendRow),
    )


def _slice_row(slice_: Slice, backend_places: Mapping[Backend, int]) -> SliceRow:
    return SliceRow(
        number=slice_.number,
        parts=[
            (backend_places[part.owner] if part.owner else NO_OWNER, part.next_move_at)
            for part in slice_.assignments
        ],
        stored=[(backend_places[backend], float(weight)) for backend, weight in slice_.stored_routes.items()],
        demand=_sums_row(slice_.demand),
        usual=_sums_row(slice_.long_term_demand),
        latest=_sums_row(slice_.latest_demand),
        closed=None if slice_.closed_methods is None else list(slice_.closed_methods),
        **_fields(slice_, OF_SLICE, SliceRow),
    )


def freeze(coordinator: Coordinator) -> ModuleRow:
    """Return the module's state between two calls of `handle`, when its transient lists are empty."""
    backend_places = _backend_places(coordinator)
    assignment_places = {
        part: (slice_.number, place)
        for slice_ in coordinator.slices.values()
        for place, part in enumerate(slice_.assignments)
    }
    channel = coordinator.channel
    version, internal, gauss = coordinator.uniform.__self__.getstate()
    return ModuleRow(
        chance=(version, list(internal), gauss),
        backends=[_backend_row(backend, assignment_places) for backend in backend_places],
        slices=[_slice_row(slice_, backend_places) for slice_ in coordinator.slices.values()],
        proxies=list(coordinator.proxies.items()),
        left=list(coordinator.departed_proxies.items()),
        due=[(due_at, action.value) for due_at, action in coordinator.due_actions],
        levels_sent=sorted(coordinator.levels_sent),
        withdrawn=sorted(backend_places[backend] for backend in coordinator.ejected),
        returned=sorted(backend_places[backend] for backend in coordinator.readmitted),
        sent=list(channel.sent),
        unacked=[
            (marker, float(lines), sorted(proxies)) for marker, (lines, proxies) in channel.unacked.items()
        ],
        **_fields(coordinator, PLAIN, ModuleRow),
        **_fields(channel, OF_CHANNEL, ModuleRow),
    )


def _restore_backend(row: BackendRow) -> Backend:
    """Return a backend without its assignments, which need the slices."""
    backend = Backend(row.id)
    _restore(backend, OF_BACKEND, row)
    backend.pace = _decaying_sum(row.pace)
    backend.attempts = _decaying_sum(row.tries)
    return backend


def _restore_slice(row: SliceRow, backends: Sequence[Backend]) -> Slice:
    slice_ = Slice(row.number, row.since)
    _restore(slice_, OF_SLICE, row)
    slice_.demand = _decaying_sum(row.demand)
    slice_.long_term_demand = _decaying_sum(row.usual)
    if row.latest is not None:
        slice_.latest_demand = _decaying_sum(row.latest)
    slice_.closed_methods = None if row.closed is None else tuple(row.closed)
    slice_.stored_routes = {backends[place]: weight for place, weight in row.stored}
    for place, next_move_at in row.parts:
        part = Assignment(slice_, None)
        part.owner = backends[place] if place >= 0 else None
        part.next_move_at = next_move_at
        slice_.assignments.append(part)
    return slice_


def _restore_assignments(coordinator: Coordinator, backend: Backend, row: BackendRow) -> None:
    """Attach a backend to its assignments; raises ValueError for an assignment of another owner."""
    backend.assignments = [coordinator.slices[number].assignments[place] for number, place in row.parts]
    if any(part.owner is not backend for part in backend.assignments):
        raise ValueError(f"a part at {backend.id} has another owner")


def thaw(row: ModuleRow, boot: dict) -> Coordinator:
    """Return the module in `row`; raises ValueError, IndexError or KeyError if its parts conflict."""
    coordinator = Coordinator(0, boot)
    generator = random.Random()
    generator.setstate((row.chance[0], tuple(row.chance[1]), row.chance[2]))
    coordinator.uniform = generator.random
    _restore(coordinator, PLAIN, row)
    _restore(coordinator.channel, OF_CHANNEL, row)
    backends = [_restore_backend(each) for each in row.backends]
    coordinator.backends.update((backend.id, backend) for backend in backends)
    coordinator.slices.update((each.number, _restore_slice(each, backends)) for each in row.slices)
    for backend, backend_row in zip(backends, row.backends):
        _restore_assignments(coordinator, backend, backend_row)
    coordinator.proxies = dict(row.proxies)
    coordinator.departed_proxies = dict(row.left)
    coordinator.due_actions = [(due_at, DueAction(name)) for due_at, name in row.due]
    coordinator.levels_sent = set(row.levels_sent)
    coordinator.ejected = {backends[place] for place in row.withdrawn}
    coordinator.readmitted = {backends[place] for place in row.returned}
    coordinator.channel.sent = deque(row.sent)
    coordinator.channel.unacked = {marker: (lines, set(proxies)) for marker, lines, proxies in row.unacked}
    return coordinator
