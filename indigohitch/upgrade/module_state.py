"""All that the decision module holds, as plain data and back.  No I/O; it decides nothing.

The orders of dicts, lists of parts and draws of chance are part of the state: the module that is built from
it must order what the old one would have, to the letter.  A field that the module gets needs a place here;
tests/test_upgrade_state.py compares the two over random days and fails where one is missing."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

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


def _fields(thing: object, attributes: Mapping[str, str], row: type[Row]) -> dict:
    """The row's fields that copy an attribute of `thing`; where a float is due an int is made one, so that
    reading back changes nothing."""
    kinds = row.__annotations__
    return {
        field: float(getattr(thing, name)) if kinds[field] == "float" else getattr(thing, name)
        for field, name in attributes.items()
    }


def _restore(thing: object, attributes: Mapping[str, str], row: Row) -> None:
    for field, name in attributes.items():
        setattr(thing, name, getattr(row, field))


def _sums(sums: DecayingSum) -> SumsRow:
    return SumsRow(sums.window, sums.updated_at, sums.values)


def _back(row: SumsRow) -> DecayingSum:
    sums = DecayingSum(row.span)
    sums.updated_at, sums.values = row.at, list(row.values)
    return sums


def freeze(c: Coordinator) -> ModuleRow:
    """Between two calls of `handle`: orders are out, and the transient lists are empty."""
    place = {b: at for at, b in enumerate(c.backends.values())}
    # A backend may stand in a table after it has left the list of those known.
    loose = {b: None for s in c.slices.values() for b in (*s.stored_routes, *s.owners()) if b not in place}
    loose |= {b: None for b in (*c.ejected, *c.readmitted) if b not in place}
    for b in loose:
        place[b] = len(place)
    where = {part: (s.number, at) for s in c.slices.values() for at, part in enumerate(s.assignments)}
    version, internal, gauss = c.uniform.__self__.getstate()
    return ModuleRow(
        chance=(version, list(internal), gauss),
        backends=[
            BackendRow(
                id=b.id,
                pace=_sums(b.pace),
                tries=_sums(b.attempts),
                parts=[where[p] for p in b.assignments if p in where],
                **_fields(b, OF_BACKEND, BackendRow),
            )
            for b in place
        ],
        slices=[
            SliceRow(
                number=s.number,
                parts=[(place[p.owner] if p.owner else -1, p.next_move_at) for p in s.assignments],
                stored=[(place[b], float(weight)) for b, weight in s.stored_routes.items()],
                demand=_sums(s.demand),
                usual=_sums(s.long_term_demand),
                latest=_sums(s.latest_demand),
                closed=None if s.closed_methods is None else list(s.closed_methods),
                **_fields(s, OF_SLICE, SliceRow),
            )
            for s in c.slices.values()
        ],
        proxies=list(c.proxies.items()),
        left=list(c.departed_proxies.items()),
        due=[(at, action.value) for at, action in c.due_actions],
        levels_sent=sorted(c.levels_sent),
        withdrawn=sorted(place[b] for b in c.ejected),
        returned=sorted(place[b] for b in c.readmitted),
        sent=list(c.channel.sent),
        unacked=[
            (mark, float(lines), sorted(proxies)) for mark, (lines, proxies) in c.channel.unacked.items()
        ],
        **_fields(c, PLAIN, ModuleRow),
        **_fields(c.channel, OF_CHANNEL, ModuleRow),
    )


def thaw(row: ModuleRow, boot: dict) -> Coordinator:
    """Raises ValueError or IndexError where the parts of the state do not fit together."""
    c = Coordinator(0, boot)
    chance = random.Random()
    chance.setstate((row.chance[0], tuple(row.chance[1]), row.chance[2]))
    c.uniform = chance.random
    _restore(c, PLAIN, row)
    _restore(c.channel, OF_CHANNEL, row)
    backends = []
    for found in row.backends:
        b = Backend(found.id)
        _restore(b, OF_BACKEND, found)
        b.pace, b.attempts = _back(found.pace), _back(found.tries)
        c.backends[b.id] = b
        backends.append(b)
    for found in row.slices:
        s = Slice(found.number, found.since)
        _restore(s, OF_SLICE, found)
        s.demand, s.long_term_demand = _back(found.demand), _back(found.usual)
        s.latest_demand = _back(found.latest) if found.latest is not None else s.latest_demand
        s.closed_methods = None if found.closed is None else tuple(found.closed)
        s.stored_routes = {backends[at]: weight for at, weight in found.stored}
        for at, rests in found.parts:
            part = Assignment(s, None)
            part.owner, part.next_move_at = (backends[at] if at >= 0 else None), rests
            s.assignments.append(part)
        c.slices[s.number] = s
    for b, found in zip(backends, row.backends):
        b.assignments = [c.slices[number].assignments[at] for number, at in found.parts]
        if any(p.owner is not b for p in b.assignments):
            raise ValueError(f"a part at {b.id} has another owner")
    c.proxies, c.departed_proxies = dict(row.proxies), dict(row.left)
    c.due_actions = [(at, DueAction(name)) for at, name in row.due]
    c.levels_sent = set(row.levels_sent)
    c.ejected, c.readmitted = ({backends[at] for at in places} for places in (row.withdrawn, row.returned))
    c.channel.sent = deque(row.sent)
    c.channel.unacked = {mark: (lines, set(proxies)) for mark, lines, proxies in row.unacked}
    return c
