"""Converts the state of a front to plain data and back, for an upgrade."""

from __future__ import annotations

from .. import interface as face
from ..upgrade import event_codec
from ..upgrade import snapshot as shots
from ..upgrade.module_state import freeze, thaw
from . import stored_tables
from .backend_start_times import BackendStart
from .channel_backlog import SentCall
from .front import Front


def front_state(front: Front) -> shots.CoordinatorState:
    """Return the state of the front as serializable rows."""
    relay = front.relay
    store_mirror = front.store_mirror
    return shots.CoordinatorState(
        freeze(front.coordinator),
        [list(event_codec.pack_entry(entry)) for entry in front.entries.values()],
        front.addresses,
        list(front.known_backend_ids),
        front.discovery.version,
        front.discovery.watching,
        [[list(event_codec.pack(order)) for order in call] for call in relay.valid_calls()],
        list(relay.sent_at),
        relay.in_flight_call.failures,
        [list(event_codec.pack(joined)) for joined in store_mirror.proxies.values()],
        [
            shots.StoredTableRow(
                number,
                [(backend, float(weight)) for backend, weight in table.routes.items()],
                None if table.level is None else list(event_codec.pack(table.level)),
            )
            for number, table in store_mirror.tables.items()
        ],
        store_mirror.has_started,
        sorted(store_mirror.dropped_tables),
        [backend.id for backend in front.coordinator.backends.values() if backend.probe_sent_at],
        [list(event_codec.pack(order)) for order in relay.in_flight_call.unresolved_orders],
        [
            (backend, start.reported_at, start.started_at)
            for backend, start in front.start_times.starts_by_backend.items()
        ],
        front.start_times.last_list_at,
    )


def restore_front(front: Front, state: shots.CoordinatorState) -> None:
    """Load the state into a front that has not started."""
    front.coordinator = thaw(state.module, front.settings)
    front.event_batch.take()  # the backend list of the configuration is older than the state
    front.entries = {entry.backend: entry for entry in map(event_codec.unpack_entry, state.listed)}
    front.addresses = dict(state.addresses)
    front.start_times.starts_by_backend = {
        backend: BackendStart(reported_at, started_at) for backend, reported_at, started_at in state.starts
    }
    front.start_times.last_list_at = state.last_list_at
    front.known_backend_ids.clear()
    front.known_backend_ids.update(
        dict.fromkeys(state.known_backend_ids)
    )  # in place: the message parser shares it
    front.discovery.restore(state.version)
    relay = front.relay
    store_mirror = front.store_mirror
    relay.is_paused = True
    pending_calls = [[event_codec.unpack(order) for order in call] for call in state.waiting]
    relay.restore(
        pending_calls,
        state.written,
        state.failures,
        [event_codec.unpack(order) for order in state.unresolved_orders],
    )
    _restore_backlog(front)
    store_mirror.proxies = {joined.proxy: joined for joined in map(event_codec.unpack, state.proxies)}
    store_mirror.tables = {
        row.number: stored_tables.StoredTable(dict(row.lines), row.level and event_codec.unpack(row.level))
        for row in state.tables
    }
    store_mirror.has_started = state.has_started
    store_mirror.dropped_tables = set(state.dropped_tables)


def _restore_backlog(front: Front) -> None:
    """Rebuild the backlog: all unacknowledged calls of the channel except those not yet sent.

    A call whose outcome is unknown may have been sent, so it counts.
    """
    relay = front.relay
    channel = front.coordinator.channel
    pending = list(relay.pending_calls)[1 if relay.in_flight_call.failures else 0 :]
    unsent = {order.marker for call in pending for order in call if isinstance(order, face.UpdateMarker)}
    calls = [
        SentCall(lines, marker, set(proxies))
        for marker, (lines, proxies) in channel.unacked.items()
        if marker not in unsent
    ]
    # No line counts as drained yet: the decision module counts from the time of the order, and a call may
    # have been sent much later.
    relay.backlog.calls = calls
    relay.backlog.updated_at = front.loop.clock.now()
    relay.backlog.lines = sum(call.lines for call in calls)
    if relay.in_flight_call.failures and relay.pending_calls:
        relay.in_flight_call.marker_evidence.start(relay.pending_calls[0])
        relay.channel_limits.sent_copies = [
            call for call in calls if call.marker == relay.in_flight_call.marker_evidence.marker
        ]
