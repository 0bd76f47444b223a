"""Interface of the sources of a front's list of backends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as face

ListCallback = Callable[
    [face.BackendList, dict[str, str]], None
]  # a list, and the address of each backend in it


class BackendSource(Protocol):
    """Reports its list once the decision module subscribes, and changes from then on."""

    watching: bool  # whether changes are reported

    @property
    def version(self) -> int:
        """Version of the last accepted list."""

    def subscribe(self, enabled: bool) -> None:
        """Start or stop reporting changes."""

    def fetch(self) -> None:
        """Report the full list once."""

    def move(self, address: tuple[str, int]) -> bool:
        """Use discovery at another address; returns False if that changes nothing."""

    def restore(self, version: int) -> None:
        """Continue from the version another process had."""

    def close(self) -> None:
        """Release the connections."""
