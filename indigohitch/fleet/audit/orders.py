"""Orders to the platform's relay as acts: each call is stamped, or it does not go.  The relay's protocol has
no place for a stamp: the record here, by the digest of the call's orders, says who gave them
(docs/audit.md)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...encoding.rows import digest
from ...net.clock import Clock

if TYPE_CHECKING:
    from ..node.node import Node

KIND = "relay.orders"


def about(orders: str) -> bytes:
    """What the record of a call holds: the digest of its orders, in the relay's words."""
    return digest(orders.encode())


def stamped(clock: Clock, node: Callable[[], Node | None]) -> Callable[[str], bool]:
    """For Relay.is_allowed."""

    def allowed(orders: str) -> bool:
        one = node()
        return one is not None and one.assembly.acts.stamp(clock.now(), KIND, about(orders)) is not None

    return allowed
