"""Replaces a relay's content in ranges of slices, one step each, so that none is empty in between. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .delta import without_cold_lines
from .tables import PARTS, SLICES_PER_PART, Root
from .terms import Channel, Guard, LineUpdate, RangeReplacement, SliceLines

# For fewer updates, ranges are not considered: digests of all parts and one more message cost about as much.
MIN_UPDATES_FOR_RANGES = 100


def replacements_for(goal: Root, parts: Sequence[bytes], most: int) -> list[RangeReplacement]:
    """Returns replacements for the parts whose digests differ from `parts`, or for all if `parts` is empty.

    None has more than `most` lines unless a single slice has more.
    """
    own, replacements = goal.parts(), []
    for number in range(PARTS):
        if parts and parts[number] == own[number]:
            continue
        first, tables, size = number * SLICES_PER_PART, [], 0
        for slice, table in goal.items(
            number * SLICES_PER_PART, number * SLICES_PER_PART + SLICES_PER_PART - 1
        ):
            if tables and size + len(table.lines) > most:
                replacements.append(RangeReplacement(first, slice - 1, tuple(tables)))
                first, tables, size = slice, [], 0
            tables.append(SliceLines(slice, table.lines))
            size += len(table.lines)
        replacements.append(
            RangeReplacement(first, number * SLICES_PER_PART + SLICES_PER_PART - 1, tuple(tables))
        )
    return merge_neighbours(replacements, most) if not parts else replacements


def merge_neighbours(ranges: list[RangeReplacement], most: int) -> list[RangeReplacement]:
    """Merges adjacent ranges while the result has at most `most` lines."""
    merged: list[RangeReplacement] = []
    for one in ranges:
        last = merged[-1] if merged else None
        if last is not None and last.last + 1 == one.first and last.lines() + one.lines() <= most:
            merged[-1] = RangeReplacement(last.first, one.last, last.tables + one.tables)
        else:
            merged.append(one)
    return merged


def shorter_replacements(
    updates: Sequence[LineUpdate], held: Root, to: Root, guard: Guard, channel: Channel
) -> list[RangeReplacement]:
    """Returns replacements that take fewer lines than these updates, or nothing if the updates are fewer.

    Where most lines of a part change, an update costs a line for the old backend as well as for the new one.
    """
    if len(updates) < MIN_UPDATES_FOR_RANGES:
        return []
    ranges = replacements_for(without_cold_lines(to, guard), held.parts(), channel.lines)
    return ranges if sum(one.lines() for one in ranges) < len(updates) else []
