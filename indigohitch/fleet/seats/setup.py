"""Reads the contracts of the operator's file and builds the member's work on seats."""

from __future__ import annotations

from collections.abc import Callable

from ...config.fleet import FleetText
from ...net.clock import SECOND
from ..interfaces import ActionRecorder
from .allocator import SeatSettings
from .contract import Contract, Terms
from .part import Seats
from .work import SeatsWork

# A refused tenant keeps its place in the queue for two and a half times the delay after which it is told to
# retry.
RETRY_AFTER_TICKS = SECOND
QUEUE_PLACE_TICKS = 5 * SECOND // 2


def contract_of(text: FleetText) -> Contract | None:
    """Returns the contracts of a file; None if it has no line `seats`."""
    rows = text.parts.get("seats", [])
    if not text.edition or not rows:
        return None
    return Contract(
        text.edition,
        tuple(
            Terms(
                row.feature,
                row.seats,
                row.kind,
                row.since,
                row.until,
                row.linger,
                row.drain,
                tuple(sorted(row.keep.items())),
            )
            for row in sorted(rows, key=lambda row: row.feature)
        ),
    )


def work_of(
    text: FleetText, part: Seats, action_recorder: ActionRecorder, fleet_time: Callable[[int], int]
) -> SeatsWork:
    """Returns the member's work on seats.

    The contracts of `text` are read anew at each turn, as a reload may change `text` in place.
    """
    settings = SeatSettings(QUEUE_PLACE_TICKS, RETRY_AFTER_TICKS, text.drift)
    return SeatsWork(
        text.me,
        part,
        action_recorder,
        fleet_time,
        lambda: contract_of(text),
        not text.members[text.me].votes,
        settings,
    )
