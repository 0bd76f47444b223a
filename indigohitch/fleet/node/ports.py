"""Interface of a node for its own parts.  Shapes only."""

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
    membership_driver: MembershipDriver
    work_loop: WorkLoop

    @property
    def votes(self) -> bool:
        """Whether this member votes, by its file."""

    def configured_voters(self) -> tuple[str, ...]:
        """The names of the voters in its file, sorted."""

    def enter(self, phase: Phase) -> None:
        """Enters the phase and logs it."""

    def participate(self, recovered: RecoveredState) -> None:
        """Starts as the member that its disk says it is."""
