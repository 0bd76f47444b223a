"""What events tell: each kind changes the state, and nothing else."""

from heapq import heappush

from .. import interface as face
from .health import judge
from .state import DEPARTING_STATES, Backend, CoordinatorState, DueAction, Slice, mean_cost


def on_list(c: CoordinatorState, news: face.BackendList) -> None:
    if news.scope == "failed":
        # Ask again, apart from the others and less often while it goes on, after four seconds at most.
        c.calls_failed += 1
        span = face.SECOND // 4 * 2 ** min(c.calls_failed, 3)
        heappush(c.due, (c.now + span + int(span * c.uniform()), DueAction.SUBSCRIBE))
        c.log("no news of the backends: the list's call failed, asking again")
        return
    c.list_fresh, c.calls_failed = c.list_fresh or news.scope != "remembered", 0
    named = {c.backend(entry.backend): entry for entry in news.entries}
    for b, entry in named.items():
        if entry.started_at > b.started and b.state != "unheard":
            b.forget()  # a later start: what we knew of the old process is void
            b.told, b.state = c.now, "unheard"
        turn_to(c, b, entry.state)
        b.weight, b.started = max(entry.weight, 1e-3), max(b.started, entry.started_at)
        b.kind, b.zone = entry.kind, entry.zone
    # What a complete list lacks is gone; what only the store knew is, once the list in hand is fresh.
    for b in c.backends.values():
        if b not in named and (c.list_fresh if b.state == "unheard" else news.scope != "changes"):
            turn_to(c, b, "gone")


def turn_to(c: CoordinatorState, b: Backend, state: str) -> None:
    """Where a drop from the list does not bind, one that answers stays until it misses a probe; one that is
    back without a new start gets nothing before it answers one."""
    b.dropped = (
        state == "gone"
        and b.state == "ready"
        and not b.misses
        and not b.unanswered
        and bool(c.boot.get("dropped_stay_open") and c.boot.get("may_probe"))
    )
    if b.dropped:
        return
    if b.state not in DEPARTING_STATES and state in DEPARTING_STATES:
        b.told = c.now
    if b.state == "gone" and state == "ready":
        b.misses, b.miss_since = 2, c.now
    b.state = state


def on_probed(c: CoordinatorState, result: face.ProbeResult) -> None:
    b = c.backend(result.backend)
    sent, b.probe_out = b.probe_out, 0
    missed = result.outcome in ("timeout", "connect_failed", "reset")
    b.miss_since = sent if missed and not b.misses else b.miss_since
    b.misses = b.misses + 1 if missed else 0
    if missed and b.dropped:
        turn_to(c, b, "gone")


def on_demand(c: CoordinatorState, sums: face.SliceDemand) -> None:
    s, method = c.slices.get(sums.slice), c.methods.get(sums.method)
    if s is not None and method is not None:
        cost = sums.total * method.soft_deadline / face.SECOND  # told nowhere; the deadline grows with it
        for lately in (s.demand, s.usual):
            lately.add(c.now, cost, sums.total)
        s.latest.add(c.now, cost, sums.total, sums.total * sums.elapsed / face.SECOND)


def on_traffic(c: CoordinatorState, met: face.BackendTraffic) -> None:
    b = c.backend(met.backend)
    b.tries.add(c.now, met.attempts, met.failures)
    b.unanswered += met.failures
    if met.attempts > met.failures:
        b.ok_heard, b.unanswered = c.now, 0
    judge(c, b, met)
    cost = mean_cost(p.slice for p in b.parts)
    if b.warmth < 1 or not cost:  # slow by its warm-up, which passes; no cost to go by
        return
    # Time in work without the wait, or the share of cores in use, against what gets done.
    if met.load.get("service_time"):
        b.pace.add(c.now, met.load["service_time"] / face.SECOND, cost)
    elif met.load.get("busy"):
        b.pace.add(c.now, met.load["busy"] * b.weight, met.load.get("ok_rate", 0.0) * cost)


def on_joined(c: CoordinatorState, joined: face.ProxyJoined) -> None:
    c.proxies[joined.proxy], c.joined = joined.zone, c.now
    c.left[joined.proxy] = c.now  # until when it may have written by an old table
    c.levels_sent.discard(joined.proxy)
    c.withdrawn |= c.returned  # it may hold what it never heard taken back


def on_left(c: CoordinatorState, left: face.ProxyLeft) -> None:
    c.proxies.pop(left.proxy, None)
    c.left[left.proxy] = c.now + c.boot.get("keeps_writing", 0)
    c.channel.answered(left.proxy, next(reversed(c.channel.unacked), None))  # nothing waits for it now


def on_acked(c: CoordinatorState, ack: face.UpdateAcknowledged) -> None:
    c.channel.answered(ack.proxy, ack.marker)


def on_charge(c: CoordinatorState, charge: face.SliceOwnership) -> None:
    for part in c.slices.pop(charge.slice).parts if charge.slice in c.slices else ():
        part.go_to(None)
    if charge.is_owned:
        c.slices[charge.slice] = Slice(charge.slice, c.now)
        c.hold_plans()


def on_stored(c: CoordinatorState, line: face.StoredRoute) -> None:
    if line.slice in c.slices and line.weight > 0:
        c.slices[line.slice].stored[b := c.backend(line.backend)] = line.weight
        if b.state == "unheard" and c.list_fresh:  # the list in hand lacks it: it was told as gone
            turn_to(c, b, "gone")


HEAR = {
    face.BackendList: on_list,
    face.ProbeResult: on_probed,
    face.SliceDemand: on_demand,
    face.BackendTraffic: on_traffic,
    face.ProxyJoined: on_joined,
    face.ProxyLeft: on_left,
    face.SliceOwnership: on_charge,
    face.StoredRoute: on_stored,
    face.UpdateAcknowledged: on_acked,
}
