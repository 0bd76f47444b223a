"""Event handlers: each one applies one type of event to the state and has no other effect."""

from heapq import heappush

from .. import interface
from .health import update_admission_ratio
from .list_age import is_absence_conclusive
from .state import DEPARTING_STATES, Backend, CoordinatorState, DueAction, Slice, mean_cost


def on_backend_list(state: CoordinatorState, backend_list: interface.BackendList) -> None:
    """Applies a list of backends: a full one, changes to it, or the failure of the call for it."""
    if backend_list.scope == "failed":
        # Retry with exponential backoff and jitter, within four seconds at most.
        state.failed_list_calls += 1
        delay = interface.SECOND // 4 * 2 ** min(state.failed_list_calls, 3)
        heappush(state.due_actions, (state.now + delay + int(delay * state.uniform()), DueAction.SUBSCRIBE))
        state.log("no news of the backends: the list's call failed, asking again")
        return
    state.is_list_current = state.is_list_current or backend_list.scope != "remembered"
    state.failed_list_calls = 0
    listed = {state.backend(entry.backend): entry for entry in backend_list.entries}
    for backend, entry in listed.items():
        if entry.started_at > backend.started_at and backend.state != "unheard":
            backend.forget()  # it was restarted: what is known of the old process no longer applies
            backend.notified_at = state.now
            backend.state = "unheard"
        set_state(state, backend, entry.state)
        backend.weight = max(entry.weight, 1e-3)
        backend.started_at = max(backend.started_at, entry.started_at)
        backend.kind = entry.kind
        backend.zone = entry.zone
    # A backend that a full list lacks is gone. One that is known only from stored routes is gone once a list
    # is current.
    for backend in state.backends.values():
        if backend not in listed and (
            state.is_list_current if backend.state == "unheard" else backend_list.scope != "changes"
        ):
            set_state(state, backend, "gone")


def set_state(state: CoordinatorState, backend: Backend, new_state: str) -> None:
    """Sets the state of a backend as the list gives it.

    Where the settings do not make a removal from the list binding, a backend that answers stays ready until
    it misses a probe. A backend that returns to the list without a restart gets no slices before it
    answers a probe.
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


def on_probe_result(state: CoordinatorState, result: interface.ProbeResult) -> None:
    """Applies the result of a probe and counts the probes missed in a row."""
    backend = state.backend(result.backend)
    sent_at = backend.probe_sent_at
    backend.probe_sent_at = 0
    missed = result.outcome in ("timeout", "connect_failed", "reset")
    backend.first_miss_at = sent_at if missed and not backend.missed_probes else backend.first_miss_at
    backend.missed_probes = backend.missed_probes + 1 if missed else 0
    if missed and backend.is_unlisted:
        set_state(state, backend, "gone")


def on_slice_demand(state: CoordinatorState, demand: interface.SliceDemand) -> None:
    """Adds the RPCs of one method for a slice to the demand of the slice."""
    slice_ = state.slices.get(demand.slice)
    method = state.methods.get(demand.method)
    if slice_ is not None and method is not None:
        # No event holds the cost of an RPC. The soft deadline grows with the cost and stands in for it.
        cost = demand.total * method.soft_deadline / interface.SECOND
        for average in (slice_.demand, slice_.long_term_demand):
            average.add(state.now, cost, demand.total)
        slice_.latest_demand.add(
            state.now, cost, demand.total, demand.total * demand.elapsed / interface.SECOND
        )


def on_backend_traffic(state: CoordinatorState, traffic: interface.BackendTraffic) -> None:
    """Applies the attempts, failures and load report of a backend to its statistics and admission ratio."""
    backend = state.backend(traffic.backend)
    backend.attempts.add(state.now, traffic.attempts, traffic.failures)
    backend.unanswered += traffic.failures
    if traffic.attempts > traffic.failures:
        backend.last_success_at = state.now
        backend.unanswered = 0
    update_admission_ratio(state, backend, traffic)
    cost = mean_cost(assignment.slice for assignment in backend.assignments)
    # A backend in its warm-up is slow, and without a cost there is nothing to compare its time with.
    if backend.warmup_fraction < 1 or not cost:
        return
    # Pace is the service time without the queue wait, or the cores in use, relative to the cost of the work.
    load = traffic.load
    if load.get("service_time"):
        backend.pace.add(state.now, load["service_time"] / interface.SECOND, cost)
    elif load.get("busy"):
        backend.pace.add(state.now, load["busy"] * backend.weight, load.get("ok_rate", 0.0) * cost)


def on_proxy_joined(state: CoordinatorState, joined: interface.ProxyJoined) -> None:
    """Adds a proxy that has joined."""
    state.proxies[joined.proxy] = joined.zone
    state.last_join_at = state.now
    state.departed_proxies[joined.proxy] = state.now  # up to now it may have sent writes by an old table
    state.levels_sent.discard(joined.proxy)
    state.ejected |= state.readmitted  # it may have missed the end of these ejections


def on_proxy_left(state: CoordinatorState, departure: interface.ProxyLeft) -> None:
    """Removes a proxy and counts its updates as acknowledged, so that nothing waits for it."""
    state.proxies.pop(departure.proxy, None)
    state.departed_proxies[departure.proxy] = state.now + state.settings.get("keeps_writing", 0)
    state.channel.acknowledge(departure.proxy, next(reversed(state.channel.unacked), None))


def on_update_acknowledged(state: CoordinatorState, acknowledgement: interface.UpdateAcknowledged) -> None:
    """Records that a proxy has applied the updates up to a marker."""
    state.channel.acknowledge(acknowledgement.proxy, acknowledgement.marker)


def on_slice_ownership(state: CoordinatorState, ownership: interface.SliceOwnership) -> None:
    """Starts or ends this coordinator's ownership of a slice."""
    for assignment in (
        state.slices.pop(ownership.slice).assignments if ownership.slice in state.slices else ()
    ):
        assignment.assign_to(None)
    if ownership.is_owned:
        state.slices[ownership.slice] = Slice(ownership.slice, state.now)
        state.defer_planning()


def on_stored_route(state: CoordinatorState, route: interface.StoredRoute) -> None:
    """Adds a route that the store holds for an owned slice."""
    if route.slice in state.slices and route.weight > 0:
        backend = state.backend(route.backend)
        state.slices[route.slice].stored_routes[backend] = route.weight
        if backend.state == "unheard" and is_absence_conclusive(state):
            set_state(state, backend, "gone")


EVENT_HANDLERS = {
    interface.BackendList: on_backend_list,
    interface.ProbeResult: on_probe_result,
    interface.SliceDemand: on_slice_demand,
    interface.BackendTraffic: on_backend_traffic,
    interface.ProxyJoined: on_proxy_joined,
    interface.ProxyLeft: on_proxy_left,
    interface.SliceOwnership: on_slice_ownership,
    interface.StoredRoute: on_stored_route,
    interface.UpdateAcknowledged: on_update_acknowledged,
}
