"""Slices with one owner: no write of a slice is at two backends, nor at a former owner after a later one."""

from ..interface import SECOND, Order, SetAdmission, SetRoute
from .state import DEPARTING_STATES, CoordinatorState, Slice


def in_steps(c: CoordinatorState, s: Slice, lines: list[Order]) -> list[Order]:
    """Of a change of owner what may go now: proxies take it at different times, so the slice is closed to
    writes first (to all where its owner must be left), and the new owner stands once nothing is in hand."""
    unlevelled = c.boot.get("admission") == "none"  # closed by taking its line out
    if not c.boot.get("exclusive") or not (s.stored or unlevelled):  # given empty: closed by who had it
        return lines
    closed = (
        ()
        if unlevelled or any(b.state in DEPARTING_STATES for b in s.stored)
        else tuple(place for place, writes in enumerate(c.boot.get("method_writes") or ()) if writes)
    )
    if s.stored and lines and (s.closed not in ((), closed) or c.joined > s.closed_at and not unlevelled):
        return (
            [SetRoute(s.number, b.id, 0.0) for b in s.stored]
            if unlevelled
            else [SetAdmission(s.number, closed, 0.0, 1)]
        )
    ready = not lines or done(c, s, unlevelled)
    return [*reversed(lines), SetAdmission(s.number, (), s.level, 1)] if ready else []


def done(c: CoordinatorState, s: Slice, unlevelled: bool) -> bool:
    """All who are here have closed it (who joins reads no levels), and nothing is in hand any more."""
    if c.channel.unacked.get(s.mark, (0, ()))[1]:
        return False
    s.quiet = s.quiet or c.now
    over = max(s.quiet, *c.left.values(), s.since + c.boot.get("keeps_writing", 0)) + c.boot.get("settle", 0)
    longest = c.boot.get("bare_limit", SECOND) * 3 // 4  # that a proxy may be without a line, less the way
    return c.now >= (min(over, s.closed_at + longest) if unlevelled else over)
