"""How long the old process of an upgrade waits in each of its phases, in ticks.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..net.clock import SECOND

# Restoring 10,000 slices takes half a second on a busy core; a new interpreter with all libraries a second
# where the disk is cold.
DEFAULT_TIMEOUTS = {
    "start": 10 * SECOND,
    "settle": 2 * SECOND,
    "give": 10 * SECOND,
    "prove": 10 * SECOND,
    "commit": 2 * SECOND,
    "drain": 30 * SECOND,
    "reclaim": SECOND,
    "watch": SECOND,  # the old process stays ready: a first accept or plan that fails shows within this time
}


def phase_timeouts(configured: Mapping[str, int]) -> dict[str, int]:
    """Returns the defaults, replaced by the operator's settings; `takeover` sets both `give` and `prove`."""
    timeouts = {name: span for name, span in configured.items() if name in DEFAULT_TIMEOUTS}
    if "takeover" in configured:
        timeouts |= {"give": configured["takeover"], "prove": configured["takeover"]}
    return DEFAULT_TIMEOUTS | timeouts
