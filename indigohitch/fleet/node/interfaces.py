"""The interface of a node for its own parts; declarations only."""

from __future__ import annotations

from typing import Protocol

from ...config.fleet import FleetText
from ...log import Log
from ...net.loop import EventLoop
from ..raft.interfaces import RecoveredState
from ..storage.store import Storage
from ..transport.links import Transport
from .assembly import Assembly
from .driver import Driver
from .membership import MembershipDriver
from .phases import Phase
from .work_loop import WorkLoop


class NodeContext(Protocol):
    """What the parts of a node use of it (implemented by node.Node)."""

    loop: EventLoop
    log: Log
    text: FleetText
    token: int  # 62 random bits that identify this start of the process
    phase: Phase
    disk: Storage
    links: Transport
    driver: Driver
    assembly: Assembly
    membership_driver: MembershipDriver
    work_loop: WorkLoop

    @property
    def votes(self) -> bool:
        """Whether the file lists this member as a voter."""

    def configured_voters(self) -> tuple[str, ...]:
        """Returns the names of the voters in the file, sorted."""

    def enter(self, phase: Phase) -> None:
        """Enters a phase and logs it."""

    def participate(self, recovered: RecoveredState) -> None:
        """Starts Raft under the identity stored on the disk."""
