"""All subscriptions of one distributor: who is served, in which order, and what is in force.  No I/O."""

from __future__ import annotations

from .catalogue import Catalogue
from .in_force import InForce
from .limits import Limits
from .messages import Report
from .ports import DistributorInput, DistributorOutput
from .terms import DistributorName


class Distributor:
    """`catalogue`: of the replicated part in this process; the driver tells by `Changed` and `Replaced` what
    became of it, and by `Level` each time that a confirmed read shows it to be level with the ledger."""

    def __init__(self, name: DistributorName, catalogue: Catalogue, limits: Limits, now: int) -> None:
        raise NotImplementedError

    def step(self, now: int, input: DistributorInput) -> list[DistributorOutput]:
        """What to do, in order."""
        raise NotImplementedError

    @property
    def due(self) -> int | None:
        """When `Due` is to come at the latest."""
        raise NotImplementedError

    def report(self, now: int) -> Report:
        """For the other distributors, once a second or so."""
        raise NotImplementedError

    def in_force(self, now: int) -> InForce:
        """Fleet-wide, from the own subscribers and the reports heard."""
        raise NotImplementedError

    def figures(self, now: int) -> dict:
        """For `status`, as plain JSON."""
        raise NotImplementedError
