"""A subscriber's latest request for a scope, and whether it is answered.  No I/O."""

from __future__ import annotations

from .messages import Update
from .types import ServiceName


class ScopeRequest:
    """Tracks the latest `Subscribe`; one request is open at a time."""

    def __init__(self) -> None:
        self.services: frozenset[ServiceName] = frozenset()
        self.number = 0
        self.is_open = False

    def start(self, services: frozenset[ServiceName]) -> None:
        """Opens the next request."""
        self.number += 1
        self.services = services
        self.is_open = True

    def is_answered_by(self, update: Update) -> bool:
        """Returns whether this is the first update for the open request."""
        return update.request == self.number and self.is_open
