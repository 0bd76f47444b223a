"""What events tell: each kind changes the state, and nothing else."""

from heapq import heappush

from .. import interface
from .health import judge
from .state import DEPARTING_STATES, Backend, CoordinatorState, DueAction, Slice, mean_cost


def on_list(state: CoordinatorState, news: interface.BackendList) -> None:
    if news.scope == "failed":
        # Ask again, apart from the others and less often while it goes on, after four seconds at most.
        state.failed_list_calls += 1
        span = interface.SECOND // 4 * 2 ** min(state.failed_list_calls, 3)
        heappush(state.due_actions, (state.now + span + int(span * state.uniform()), DueAction.SUBSCRIBE))
        state.log("no news of the backends: the list's call failed, asking again")
        return
    state.is_list_current, state.failed_list_calls = state.is_list_current or news.scope != "remembered", 0
    named = {state.backend(entry.backend): entry for entry in news.entries}
    for backend, entry in named.items():
        if entry.started_at > backend.started_at and backend.state != "unheard":
            backend.forget()  # a later start: what we knew of the old process is void
            backend.notified_at, backend.state = state.now, "unheard"
        set_state(state, backend, entry.state)
        backend.weight, backend.started_at = (
            max(entry.weight, 1e-3),
            max(backend.started_at, entry.started_at),
        )
        backend.kind, backend.zone = entry.kind, entry.zone
    # What a complete list lacks is gone; what only the store knew is, once the list in hand is fresh.
    for backend in state.backends.values():
        if backend not in named and (
            state.is_list_current if backend.state == "unheard" else news.scope != "changes"
        ):
            set_state(state, backend, "gone")


def set_state(state: CoordinatorState, backend: Backend, new_state: str) -> None:
    """Where a drop from the list does not bind, one that answers stays until it misses a probe; one that is
    back without a new start gets nothing before it answers one."""
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
        backend.missed_probes, backend.first_miss_at = 2, state.now
    backend.state = new_state


def on_probed(state: CoordinatorState, result: interface.ProbeResult) -> None:
    backend = state.backend(result.backend)
    sent, backend.probe_sent_at = backend.probe_sent_at, 0
    missed = result.outcome in ("timeout", "connect_failed", "reset")
    backend.first_miss_at = sent if missed and not backend.missed_probes else backend.first_miss_at
    backend.missed_probes = backend.missed_probes + 1 if missed else 0
    if missed and backend.is_unlisted:
        set_state(state, backend, "gone")


def on_demand(state: CoordinatorState, sums: interface.SliceDemand) -> None:
    slice_, method = state.slices.get(sums.slice), state.methods.get(sums.method)
    if slice_ is not None and method is not None:
        cost = (
            sums.total * method.soft_deadline / interface.SECOND
        )  # told nowhere; the deadline grows with it
        for lately in (slice_.demand, slice_.long_term_demand):
            lately.add(state.now, cost, sums.total)
        slice_.latest_demand.add(state.now, cost, sums.total, sums.total * sums.elapsed / interface.SECOND)


def on_traffic(state: CoordinatorState, met: interface.BackendTraffic) -> None:
    backend = state.backend(met.backend)
    backend.attempts.add(state.now, met.attempts, met.failures)
    backend.unanswered += met.failures
    if met.attempts > met.failures:
        backend.last_success_at, backend.unanswered = state.now, 0
    judge(state, backend, met)
    cost = mean_cost(p.slice for p in backend.assignments)
    if backend.warmup_fraction < 1 or not cost:  # slow by its warm-up, which passes; no cost to go by
        return
    # Time in work without the wait, or the share of cores in use, against what gets done.
    if met.load.get("service_time"):
        backend.pace.add(state.now, met.load["service_time"] / interface.SECOND, cost)
    elif met.load.get("busy"):
        backend.pace.add(state.now, met.load["busy"] * backend.weight, met.load.get("ok_rate", 0.0) * cost)


def on_joined(state: CoordinatorState, joined: interface.ProxyJoined) -> None:
    state.proxies[joined.proxy], state.last_join_at = joined.zone, state.now
    state.departed_proxies[joined.proxy] = state.now  # until when it may have written by an old table
    state.levels_sent.discard(joined.proxy)
    state.ejected |= state.readmitted  # it may hold what it never heard taken back


def on_left(state: CoordinatorState, left: interface.ProxyLeft) -> None:
    state.proxies.pop(left.proxy, None)
    state.departed_proxies[left.proxy] = state.now + state.settings.get("keeps_writing", 0)
    state.channel.acknowledge(
        left.proxy, next(reversed(state.channel.unacked), None)
    )  # nothing waits for it now


def on_acked(state: CoordinatorState, ack: interface.UpdateAcknowledged) -> None:
    state.channel.acknowledge(ack.proxy, ack.marker)


def on_charge(state: CoordinatorState, charge: interface.SliceOwnership) -> None:
    for assignment in state.slices.pop(charge.slice).assignments if charge.slice in state.slices else ():
        assignment.assign_to(None)
    if charge.is_owned:
        state.slices[charge.slice] = Slice(charge.slice, state.now)
        state.defer_planning()


def on_stored(state: CoordinatorState, line: interface.StoredRoute) -> None:
    if line.slice in state.slices and line.weight > 0:
        state.slices[line.slice].stored_routes[backend := state.backend(line.backend)] = line.weight
        if (
            backend.state == "unheard" and state.is_list_current
        ):  # the list in hand lacks it: it was told as gone
            set_state(state, backend, "gone")


HEAR = {
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
