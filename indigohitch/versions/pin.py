"""A pin: relays stay at one version, and the module's orders are held as a wanted one.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .amends import Amended, unfit_out
from .checks import Facts
from .tables import Root
from .terms import Version


@dataclass(slots=True)
class Pin:
    to: Version
    by: str  # which operator, or which halt
    at: int

    def allowed(self, current: Root, wanted: Root, facts: Facts) -> Amended:
        """What goes out while pinned: only slices with a draining or gone backend change, to the lines that
        the module has asked for (`wanted`, the sum of its orders), or to a ready backend."""
        found = Amended(current)
        found.root = unfit_out(current, wanted, facts, found.said)
        return found
