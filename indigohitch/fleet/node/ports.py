"""What the parts of a node see of the node that they belong to.  Shapes only."""

from __future__ import annotations

from typing import Protocol

from ...config.fleet import FleetText
from ...log import Log
from ...net.loop import EventLoop
from ..disk.store import Disk
from ..ledger.ports import Held
from ..links.links import Links
from .belonging import Belonging
from .driver import Driver
from .phases import Phase
from .standard import Assembly
from .working import Working


class NodeContext(Protocol):
    """A member in its process (node.Node)."""

    loop: EventLoop
    log: Log
    text: FleetText
    token: int  # of this start, 62 random bits
    phase: Phase
    disk: Disk
    links: Links
    driver: Driver
    assembly: Assembly
    belonging: Belonging
    working: Working

    @property
    def votes(self) -> bool:
        """Whether this member votes, by its file."""

    def listed(self) -> tuple[str, ...]:
        """The names of the voters in its file, sorted."""

    def be(self, phase: Phase) -> None:
        """Enters the phase and logs it."""

    def take_part(self, held: Held) -> None:
        """Begins as the member that its disk says it is."""
