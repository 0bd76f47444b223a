"""What the parts of a node see of the node that they belong to.  Shapes only."""

from __future__ import annotations

from typing import Protocol

from ...config.fleet import FleetText
from ...log import Log
from ...net.loop import EventLoop
from ..raft.interfaces import RecoveredState
from ..storage.store import Storage
from ..transport.links import Transport
from .driver import Driver
from .membership import MembershipDriver
from .phases import Phase
from .standard import Assembly
from .work_loop import WorkLoop


class NodeContext(Protocol):
    """A member in its process (node.Node)."""

    loop: EventLoop
    log: Log
    text: FleetText
    token: int  # of this start, 62 random bits
    phase: Phase
    disk: Storage
    links: Transport
    driver: Driver
    assembly: Assembly
    belonging: MembershipDriver
    working: WorkLoop

    @property
    def votes(self) -> bool:
        """Whether this member votes, by its file."""

    def listed(self) -> tuple[str, ...]:
        """The names of the voters in its file, sorted."""

    def be(self, phase: Phase) -> None:
        """Enters the phase and logs it."""

    def take_part(self, held: RecoveredState) -> None:
        """Begins as the member that its disk says it is."""
