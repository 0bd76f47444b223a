"""How long the old process of an upgrade waits, for what each of its phases waits for.  No I/O."""

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
    "watch": SECOND,
}  # the old one stands by: a first accept or plan that fails shows


def phase_timeouts(told: Mapping[str, int]) -> dict[str, int]:
    """By the operator's lines."""
    known = {name: span for name, span in told.items() if name in DEFAULT_TIMEOUTS}
    if "takeover" in told:
        known |= {"give": told["takeover"], "prove": told["takeover"]}
    return DEFAULT_TIMEOUTS | known
