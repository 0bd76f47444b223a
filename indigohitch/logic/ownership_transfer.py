"""Slices with one owner: no write of a slice is at two backends, nor at a former owner after a later one."""

from ..interface import SECOND, Order, SetAdmission, SetRoute
from .state import DEPARTING_STATES, CoordinatorState, Slice


def in_steps(state: CoordinatorState, slice_: Slice, lines: list[Order]) -> list[Order]:
    """Of a change of owner what may go now: proxies take it at different times, so the slice is closed to
    writes first (to all where its owner must be left), and the new owner stands once nothing is in hand."""
    unlevelled = state.settings.get("admission") == "none"  # closed by taking its line out
    if not state.settings.get("exclusive") or not (
        slice_.stored_routes or unlevelled
    ):  # given empty: closed by who had it
        return lines
    closed = (
        ()
        if unlevelled or any(backend.state in DEPARTING_STATES for backend in slice_.stored_routes)
        else tuple(place for place, writes in enumerate(state.settings.get("method_writes") or ()) if writes)
    )
    if (
        slice_.stored_routes
        and lines
        and (
            slice_.closed_methods not in ((), closed)
            or state.last_join_at > slice_.closed_at
            and not unlevelled
        )
    ):
        return (
            [SetRoute(slice_.number, backend.id, 0.0) for backend in slice_.stored_routes]
            if unlevelled
            else [SetAdmission(slice_.number, closed, 0.0, 1)]
        )
    ready = not lines or done(state, slice_, unlevelled)
    return [*reversed(lines), SetAdmission(slice_.number, (), slice_.admission_ratio, 1)] if ready else []


def done(state: CoordinatorState, slice_: Slice, unlevelled: bool) -> bool:
    """All who are here have closed it (who joins reads no levels), and nothing is in hand any more."""
    if state.channel.unacked.get(slice_.closing_marker, (0, ()))[1]:
        return False
    slice_.quiet_since = slice_.quiet_since or state.now
    over = max(
        slice_.quiet_since,
        *state.departed_proxies.values(),
        slice_.owned_since + state.settings.get("keeps_writing", 0),
    ) + state.settings.get("settle", 0)
    longest = (
        state.settings.get("bare_limit", SECOND) * 3 // 4
    )  # that a proxy may be without a line, less the way
    return state.now >= (min(over, slice_.closed_at + longest) if unlevelled else over)
