"""Defines the interface of a source that provides a front with its list of backends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as face

# Receives a list and the address of each backend in it.
ListCallback = Callable[[face.BackendList, dict[str, str]], None]


class BackendSource(Protocol):
    """Reports its list when the decision module subscribes, and every change after that."""

    watching: bool  # whether changes are reported at present

    @property
    def version(self) -> int:
        """Return the version of the last accepted list."""

    def subscribe(self, enabled: bool) -> None:
        """Start or stop reporting changes."""

    def fetch(self) -> None:
        """Report the full list once."""

    def move(self, address: tuple[str, int]) -> bool:
        """Switch to discovery at another address; returns False if that changes nothing."""

    def restore(self, version: int) -> None:
        """Continue from the version that another process had reached."""

    def close(self) -> None:
        """Release the connections."""
