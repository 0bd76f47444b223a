"""The state collected from the initial part of a relay event stream."""

from __future__ import annotations

from .. import interface as face


class InitialSnapshot:
    """The initial part of an event stream, up to its first keepalive."""

    def __init__(self, applied_orders: list[face.Order]) -> None:
        self.proxies: set[int] = set()  # named in it
        self.slices: set[int] = set()
        self.revoked_slices: set[int] = set()  # revoked since, perhaps acquired again
        self.applied_orders = applied_orders  # acknowledged since the stream was requested
