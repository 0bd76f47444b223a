"""Records each call to the platform's relay as an action; a call that can't be stamped is not sent.

The relay's protocol has no field for a stamp.  Instead the record, by the digest of the call's orders, shows
who issued them (docs/audit.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...encoding.rows import digest
from ...net.clock import Clock

if TYPE_CHECKING:
    from ..node.node import Node

KIND = "relay.orders"


def order_digest(orders: str) -> bytes:
    """Returns the digest of a call's orders, as encoded for the relay, for the field `about` of a record."""
    return digest(orders.encode())


def order_recorder(clock: Clock, node: Callable[[], Node | None]) -> Callable[[str], bool]:
    """Returns a function for `Relay.is_allowed`: it records a call, and returns whether it may be sent.

    `node()` returns the node of this process, or None before there is one; then no call may be sent.
    """

    def is_allowed(orders: str) -> bool:
        current = node()
        return (
            current is not None
            and current.assembly.acts.stamp(clock.now(), KIND, order_digest(orders)) is not None
        )

    return is_allowed
