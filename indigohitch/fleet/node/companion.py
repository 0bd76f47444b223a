"""A node within a process that can be upgraded: opened, left and closed as the process' phases want it."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from ...config.fleet import FleetText
from ...errors import DirectorError, error_fields
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import EventLoop
from ...upgradable_process import UpgradableProcess
from ...upgrade.handover_participant import HandoverParticipant
from ..interfaces import Work
from .admin_requests import AdminRequests, Line
from .node import Node
from .phases import Phase
from .status import node_status

RETRY_INTERVAL = SECOND // 5  # of a disk or port that the predecessor still has open
# Longest wait for a leave that no majority confirms: the lease expires instead.
LEAVING = 3 * SECOND // 2


class NodeCompanion:
    """The node of a process."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        alone: bool,
        follows: bool,
        ended: Callable[[str], None],
    ) -> None:
        """Creates a companion without a node.

        Args:
            loop: event loop of this process.
            log: log of this process.
            text: the fleet's part of the operator's file.
            alone: the process has no front, and ends if it can't be a member; else its front goes on.
            follows: the process was started for an upgrade.
            ended: called with the reason if the member can't go on.
        """
        self.loop = loop
        self.log = log
        self.text = text
        self.alone = alone
        self.follows = follows
        self.on_ended = ended
        self.node: Node | None = None
        self.why = ""
        self.leave_deadline = 0
        self.should_be_open = False

    def open(self) -> None:
        """Opens the node, or retries until it opens.

        Raises DirectorError or OSError, but only for a member alone at its first start.
        """
        self.should_be_open = True
        # Members that draw the same numbers would request votes at the same time: a seed of each start.
        node = Node(self.loop, self.log, self.text, random.Random(secrets.randbits(64)), self.ended)
        try:
            node.open()
        except (DirectorError, OSError) as error:
            if self.alone and not self.follows:
                raise
            self._on_open_failed(error)
            return
        self.node = node
        self.why = ""

    def _on_open_failed(self, error: DirectorError | OSError) -> None:
        self.why = str(error)
        self.log.warning("member_not_open", **error_fields(error))
        if isinstance(error, ValueError):  # what is stored can't be read: a retry would not help
            self.on_ended(self.why)
        else:
            self.loop.call_after(RETRY_INTERVAL, self._retry_open)

    def _retry_open(self) -> None:
        if self.should_be_open and self.node is None:
            self.open()

    def ended(self, why: str) -> None:
        """Keeps the reason for which the node can't go on, and reports it."""
        self.why = why
        self.on_ended(why)

    def leave(self, give_up: bool) -> None:
        """Starts to leave; with `give_up` also the incarnation, if nothing depends on it any more."""
        if self.node is not None and self.node.phase is Phase.TAKING_PART:
            self.leave_deadline = self.loop.clock.now() + LEAVING
            self.node.leaving.leave(give_up)

    @property
    def left(self) -> bool:
        """Whether nothing is left to wait for."""
        return self.node is None or self.node.leaving.has_left or self.loop.clock.now() >= self.leave_deadline

    def stay(self) -> None:
        """Takes part again after a leave that was called off."""
        if self.node is not None:
            self.node.leaving.stay()

    def close(self) -> None:
        """Closes the node."""
        self.should_be_open = False
        if self.node is not None:
            node = self.node
            self.node = None
            node.close()

    def reread(self, text: FleetText | None) -> None:
        """Takes a file read again."""
        if self.node is not None and text is not None:
            self.node.reread(text)

    def on_rpc_completed(self, now: int, rpc: str, latency: int) -> None:
        """Takes the latency of an RPC that the front here has completed."""
        if self.node is not None:
            self.node.assembly.on_rpc_completed(now, rpc, latency)

    def on_command(self, what: str, line: Line, answer: Callable[[Line], None]) -> bool:
        """Handles a command of the control socket; returns False for one that is not the node's."""
        return AdminRequests(self.node, answer).handle(what, line)

    def work(self, name: str) -> Work | None:
        """Returns a part's work in this process, None while the node is closed."""
        works = self.node.assembly.works if self.node is not None else ()
        return next((work for work in works if work.name == name), None)

    def status(self) -> dict[str, object]:
        """Returns what `status` shows."""
        if self.node is None:
            return {"fleet": {"name": self.text.name, "phase": "closed", "why": self.why}}
        return {"fleet": node_status(self.node) | ({"why": self.why} if self.why else {})}


class NodeHandover:
    """The side of an upgrade (HandoverParticipant) of a process that has a node too.

    Disk and port have one owner: the old process closes them before it hands over, the new one opens them
    after.
    """

    def __init__(self, side: HandoverParticipant, companion: NodeCompanion) -> None:
        """`side` is that of the process without the node."""
        self.side = side
        self.companion = companion

    def __getattr__(self, name: str) -> object:
        return getattr(self.side, name)

    def settle(self, on: bool) -> None:
        """Lets the node leave, or stay after all."""
        self.side.settle(on)
        if on:
            # What a front has in flight goes on under its incarnation until the lease expires.
            self.companion.leave(self.companion.alone)
        else:
            self.companion.stay()

    def is_settled(self) -> bool:
        """Whether the front is settled and the node has left."""
        return self.side.is_settled() and self.companion.left

    def set_accepting(self, on: bool) -> None:
        """Closes the node before the front stops accepting, and opens it again if the handover failed."""
        if not on:
            self.companion.close()
        self.side.set_accepting(on)
        if on and self.companion.node is None:  # taken back: the new process is dead
            self.companion.follows = True
            self.companion.open()

    def start_serving(self, restored: bool) -> None:
        """Starts the front and opens the node."""
        self.side.start_serving(restored)
        self.companion.open()


def node_companion(
    process: UpgradableProcess, side: HandoverParticipant, text: FleetText | None, alone: bool, follows: bool
) -> HandoverParticipant:
    """Adds a node to a process whose file has a fleet, and returns the process' side of an upgrade."""
    if text is None:
        return side

    def ended(why: str) -> None:
        if alone:
            process.code = 1
            process.loop.call_after(0, process.end)

    if process.companion is None:
        process.companion = NodeCompanion(process.loop, process.log, text, alone, follows, ended)
    return NodeHandover(side, process.companion)
