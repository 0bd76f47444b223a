"""Where a front's list of backends comes from."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as face

ListCallback = Callable[[face.BackendList, dict[str, str]], None]  # a list, and the addresses in it


class BackendSource(Protocol):
    """It tells what it has once the module subscribes, and what differs from then on."""

    watching: bool  # the module hears of changes

    @property
    def version(self) -> int:
        """Of the last list that counted."""

    def subscribe(self, on: bool) -> None: ...
    def fetch(self) -> None:
        """Tells the whole list once."""

    def move(self, to: tuple[str, int]) -> bool:
        """Discovery is at another address; False: nothing changes by that."""

    def restore(self, version: int) -> None:
        """As another process held it."""

    def close(self) -> None: ...
