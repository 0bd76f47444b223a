"""The timeouts of the phases of the old process of an upgrade, in ticks.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..net.clock import SECOND

# Restoring 10,000 slices takes half a second on a busy core; starting an interpreter with all libraries takes
# a second with a cold disk cache.
DEFAULT_TIMEOUTS = {
    "start": 10 * SECOND,
    "settle": 2 * SECOND,
    "give": 10 * SECOND,
    "prove": 10 * SECOND,
    "commit": 2 * SECOND,
    "drain": 30 * SECOND,
    "reclaim": SECOND,
    # The old process stays ready to take over: a failure of the first accept or plan shows within this time.
    "watch": SECOND,
}


def phase_timeouts(configured: Mapping[str, int]) -> dict[str, int]:
    """Returns the defaults, overridden by the operator's settings; `takeover` sets `give` and `prove`."""
    timeouts = {name: span for name, span in configured.items() if name in DEFAULT_TIMEOUTS}
    if "takeover" in configured:
        timeouts |= {"give": configured["takeover"], "prove": configured["takeover"]}
    return DEFAULT_TIMEOUTS | timeouts
