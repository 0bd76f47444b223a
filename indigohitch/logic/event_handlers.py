"""Event handlers: each applies one type of event to the state and has no other effect."""

from heapq import heappush

from .. import interface
from .health import judge
from .state import DEPARTING_STATES, Backend, CoordinatorState, DueAction, Slice, mean_cost


def on_list(state: CoordinatorState, backend_list: interface.BackendList) -> None:
    """Apply a list of backends: complete, of changes only, or the failure of the call for it."""
    if backend_list.scope == "failed":
        # Retry with jitter and exponential backoff, after four seconds at most.
        state.failed_list_calls += 1
        span = interface.SECOND // 4 * 2 ** min(state.failed_list_calls, 3)
        heappush(state.due_actions, (state.now + span + int(span * state.uniform()), DueAction.SUBSCRIBE))
        state.log("no news of the backends: the list's call failed, asking again")
        return
    state.is_list_current = state.is_list_current or backend_list.scope != "remembered"
    state.failed_list_calls = 0
    named = {state.backend(entry.backend): entry for entry in backend_list.entries}
    for backend, entry in named.items():
        if entry.started_at > backend.started_at and backend.state != "unheard":
            backend.forget()  # a later start: nothing known of the old process holds
            backend.notified_at = state.now
            backend.state = "unheard"
        set_state(state, backend, entry.state)
        backend.weight = max(entry.weight, 1e-3)
        backend.started_at = max(backend.started_at, entry.started_at)
        backend.kind = entry.kind
        backend.zone = entry.zone
    # A backend that a complete list lacks is gone; one known only from the store is, once a list is current.
    for backend in state.backends.values():
        if backend not in named and (
            state.is_list_current if backend.state == "unheard" else backend_list.scope != "changes"
        ):
            set_state(state, backend, "gone")


def set_state(state: CoordinatorState, backend: Backend, new_state: str) -> None:
    """Set the state of a backend as the list gives it.

    Where a removal from the list does not bind, a backend that answers stays until it misses a probe. One
    that returns without a new start gets no slices before it answers a probe.
    """
    backend.is_unlisted = (
        new_state == "gone"
        and backend.state == "ready"
        and not backend.missed_probes
        and not backend.unanswered
        and bool(state.settings.get("dropped_stay_open") and state.settings.get("may_probe"))
    )
    if backend.is_unlisted:
        return
    if backend.state not in DEPARTING_STATES and new_state in DEPARTING_STATES:
        backend.notified_at = state.now
    if backend.state == "gone" and new_state == "ready":
        backend.missed_probes = 2
        backend.first_miss_at = state.now
    backend.state = new_state


def on_probed(state: CoordinatorState, result: interface.ProbeResult) -> None:
    """Apply the result of a probe: count the probes missed in a row."""
    backend = state.backend(result.backend)
    sent_at = backend.probe_sent_at
    backend.probe_sent_at = 0
    missed = result.outcome in ("timeout", "connect_failed", "reset")
    backend.first_miss_at = sent_at if missed and not backend.missed_probes else backend.first_miss_at
    backend.missed_probes = backend.missed_probes + 1 if missed else 0
    if missed and backend.is_unlisted:
        set_state(state, backend, "gone")


def on_demand(state: CoordinatorState, sums: interface.SliceDemand) -> None:
    """Add the RPCs of one method for a slice to the demand of the slice."""
    slice_ = state.slices.get(sums.slice)
    method = state.methods.get(sums.method)
    if slice_ is not None and method is not None:
        # No event holds the cost of an RPC; its soft deadline grows with it.
        cost = sums.total * method.soft_deadline / interface.SECOND
        for average in (slice_.demand, slice_.long_term_demand):
            average.add(state.now, cost, sums.total)
        slice_.latest_demand.add(state.now, cost, sums.total, sums.total * sums.elapsed / interface.SECOND)


def on_traffic(state: CoordinatorState, traffic: interface.BackendTraffic) -> None:
    """Apply the attempts, failures and load report of a backend to its health and pace."""
    backend = state.backend(traffic.backend)
    backend.attempts.add(state.now, traffic.attempts, traffic.failures)
    backend.unanswered += traffic.failures
    if traffic.attempts > traffic.failures:
        backend.last_success_at = state.now
        backend.unanswered = 0
    judge(state, backend, traffic)
    cost = mean_cost(assignment.slice for assignment in backend.assignments)
    if backend.warmup_fraction < 1 or not cost:  # slow during its warm-up, or without a cost to compare with
        return
    # Service time without the queue wait, or the share of cores in use, against the work done.
    load = traffic.load
    if load.get("service_time"):
        backend.pace.add(state.now, load["service_time"] / interface.SECOND, cost)
    elif load.get("busy"):
        backend.pace.add(state.now, load["busy"] * backend.weight, load.get("ok_rate", 0.0) * cost)


def on_joined(state: CoordinatorState, joined: interface.ProxyJoined) -> None:
    """Add a proxy."""
    state.proxies[joined.proxy] = joined.zone
    state.last_join_at = state.now
    state.departed_proxies[joined.proxy] = state.now  # until then it may have written by an old table
    state.levels_sent.discard(joined.proxy)
    state.ejected |= state.readmitted  # it may hold ejections whose end it never received


def on_left(state: CoordinatorState, departure: interface.ProxyLeft) -> None:
    """Remove a proxy; its updates count as acknowledged, so that nothing waits for it."""
    state.proxies.pop(departure.proxy, None)
    state.departed_proxies[departure.proxy] = state.now + state.settings.get("keeps_writing", 0)
    state.channel.acknowledge(departure.proxy, next(reversed(state.channel.unacked), None))


def on_acked(state: CoordinatorState, ack: interface.UpdateAcknowledged) -> None:
    """Record that a proxy has applied the updates up to a marker."""
    state.channel.acknowledge(ack.proxy, ack.marker)


def on_charge(state: CoordinatorState, charge: interface.SliceOwnership) -> None:
    """Start or end this coordinator's responsibility for a slice."""
    for assignment in state.slices.pop(charge.slice).assignments if charge.slice in state.slices else ():
        assignment.assign_to(None)
    if charge.is_owned:
        state.slices[charge.slice] = Slice(charge.slice, state.now)
        state.defer_planning()


def on_stored(state: CoordinatorState, route: interface.StoredRoute) -> None:
    """Take over a route from the store."""
    if route.slice in state.slices and route.weight > 0:
        backend = state.backend(route.backend)
        state.slices[route.slice].stored_routes[backend] = route.weight
        if backend.state == "unheard" and state.is_list_current:  # the current list lacks it
            set_state(state, backend, "gone")


EVENT_HANDLERS = {
    interface.BackendList: on_list,
    interface.ProbeResult: on_probed,
    interface.SliceDemand: on_demand,
    interface.BackendTraffic: on_traffic,
    interface.ProxyJoined: on_joined,
    interface.ProxyLeft: on_left,
    interface.SliceOwnership: on_charge,
    interface.StoredRoute: on_stored,
    interface.UpdateAcknowledged: on_acked,
}
