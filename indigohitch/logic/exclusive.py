"""Slices with one owner: no write of a slice is at two backends, nor at a former owner after a later one."""
from .. import interface as face
from .state import LEAVING, Slice, State


def in_steps(c: State, s: Slice, lines: list[face.Order]) -> list[face.Order]:
    """Of a change of owner what may go now: proxies take it at different times, so the slice is closed to
    writes first (to all where its owner must be left), and the new owner stands once nothing is in hand."""
    if not c.boot.get("exclusive") or not s.stored:
        return lines
    closed = () if any(b.state in LEAVING for b in s.stored) else tuple(
        place for place, writes in enumerate(c.boot.get("method_writes") or ()) if writes)
    if lines and s.closed not in ((), closed):
        return [face.SetLevel(s.number, closed, 0.0, 1)]
    return [*reversed(lines), face.SetLevel(s.number, (), s.level, 1)] if not lines or done(c, s) else []


def done(c: State, s: Slice) -> bool:
    """All proxies that are here have said that they closed it, and what they or any other had in hand by then
    is done: one that left, or had not heard of the slice's last hand-over, writes on for a while."""
    if c.channel.unacked.get(s.mark, (0, ()))[1]:
        return False
    s.quiet = s.quiet or c.now
    others = max([s.since, *c.left.values()]) + c.boot.get("keeps_writing", 0)
    return c.now >= max(s.quiet, others) + c.boot.get("settle", 0)
