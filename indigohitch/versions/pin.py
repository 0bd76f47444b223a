"""A pin: relays stay at one version, and the module's orders are held as a wanted one.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .amends import unfit_out
from .checks import Facts
from .tables import Root
from .terms import Version


@dataclass(slots=True)
class Pin:
    to: Version
    by: str  # which operator, or which halt
    at: int

    def goes(self, current: Root, asked: Root, facts: Facts) -> tuple[Root, list[str]]:
        """What goes out while pinned: only slices with a draining or gone backend change, to the lines that
        the module has asked for (`asked`, the sum of its orders), or to a ready backend."""
        said: list[str] = []
        return unfit_out(current, asked, facts, said), said
