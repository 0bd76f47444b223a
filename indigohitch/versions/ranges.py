"""Setting a relay whole: ranges of slices, each in one step, so that none is bare in between.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .delta import stripped
from .tables import PART, PARTS, Root
from .terms import Channel, Guard, LineUpdate, RangeReplacement, SliceLines

# Lines below which ranges are not looked at: digests of all parts and a message more are worth about as much.
MANY = 100


def replacements_for(goal: Root, parts: Sequence[bytes], most: int) -> list[RangeReplacement]:
    """Ranges of the parts that differ, none of more than `most` lines unless one slice has more."""
    own, found = goal.parts(), []
    for number in range(PARTS):
        if parts and parts[number] == own[number]:
            continue
        first, tables, size = number * PART, [], 0
        for slice, table in goal.items(number * PART, number * PART + PART - 1):
            if tables and size + len(table.lines) > most:
                found.append(RangeReplacement(first, slice - 1, tuple(tables)))
                first, tables, size = slice, [], 0
            tables.append(SliceLines(slice, table.lines))
            size += len(table.lines)
        found.append(RangeReplacement(first, number * PART + PART - 1, tuple(tables)))
    return merged(found, most) if not parts else found


def merged(ranges: list[RangeReplacement], most: int) -> list[RangeReplacement]:
    """Neighbours without much in them become one."""
    found: list[RangeReplacement] = []
    for one in ranges:
        last = found[-1] if found else None
        if last is not None and last.last + 1 == one.first and last.lines() + one.lines() <= most:
            found[-1] = RangeReplacement(last.first, one.last, last.tables + one.tables)
        else:
            found.append(one)
    return found


def shorter(
    updates: Sequence[LineUpdate], held: Root, to: Root, guard: Guard, channel: Channel
) -> list[RangeReplacement]:
    """Ranges that take fewer lines than these updates: where most lines of a part change, each costs
    its old one too.  Empty: the updates are fewer."""
    if len(updates) < MANY:
        return []
    ranges = replacements_for(stripped(to, guard), held.parts(), channel.lines)
    return ranges if sum(one.lines() for one in ranges) < len(updates) else []
