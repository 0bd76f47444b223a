"""Pins relays to one version; the module's orders are kept as the wanted root meanwhile. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .amends import Amended, replace_unfit_lines
from .checks import Facts
from .tables import Root
from .terms import Version


@dataclass(slots=True)
class Pin:
    """A version that relays stay at until it is unpinned."""

    to: Version
    by: str  # the operator, or the halt, that set it
    at: int

    def allowed(self, current: Root, wanted: Root, facts: Facts) -> Amended:
        """Returns what may be published while pinned.

        Only slices with a backend that is draining, gone or not listed change: to the remaining lines of the
        slice, else to the ready lines that the module asked for (`wanted`, the sum of its orders), else to a
        ready backend.
        """
        amended = Amended(current)
        amended.root = replace_unfit_lines(current, wanted, facts, amended.notes)
        return amended
