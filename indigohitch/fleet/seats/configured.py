"""The contracts of the operator's file, and the member's work on seats."""

from __future__ import annotations

from collections.abc import Callable

from ...config.fleet import FleetText
from ...net.clock import SECOND
from ..interfaces import ActionRecorder
from .allocator import SeatSettings
from .contract import Contract, Terms
from .part import Seats
from .work import SeatsWork

# A refused tenant's place is kept so long, and two and a half times as long as it is told to stay away.
COME_BACK = SECOND
PLACE_KEPT = 5 * SECOND // 2


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
    text: FleetText, part: Seats, acts: ActionRecorder, fleet_time: Callable[[int], int]
) -> SeatsWork:
    """Returns the member's work on seats.

    `text` is read again when its edition has changed: a reload may change it in place.
    """
    settings = SeatSettings(PLACE_KEPT, COME_BACK, text.drift)
    return SeatsWork(
        text.me, part, acts, fleet_time, lambda: contract_of(text), not text.members[text.me].votes, settings
    )
