"""Collects the state that the initial part of a relay event stream describes."""

from __future__ import annotations

from .. import interface as face


class InitialSnapshot:
    """Holds the state described by an event stream before its first keepalive."""

    def __init__(self, applied_orders: list[face.Order]) -> None:
        self.proxies: set[int] = set()  # ids of the proxies that it lists
        self.slices: set[int] = set()  # numbers of the slices that it lists
        self.revoked_slices: set[int] = set()  # revoked later in the stream, perhaps acquired again
        self.applied_orders = applied_orders  # orders acknowledged since the stream was requested
