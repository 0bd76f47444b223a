"""Runs a node in a process that can be upgraded: opens it, lets it leave and closes it with its phases."""

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
from .admin_requests import AdminRequests, JsonObject
from .node import Node
from .phases import Phase
from .status import node_status

RETRY_INTERVAL = SECOND // 5  # to open a disk or port that the predecessor still has open
# Longest wait for a leave that no majority confirms; after it the lease expires instead.
LEAVE_TIMEOUT = 3 * SECOND // 2


class NodeCompanion:
    """Owns the node of a process (upgradable_parts.Companion)."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        is_headless: bool,
        follows: bool,
        on_ended: Callable[[str], None],
    ) -> None:
        """Creates a companion without a node.

        Args:
            loop: event loop of this process.
            log: log of this process.
            text: the fleet section of the operator's file.
            is_headless: the process has no front, and ends if its node can't go on; a front would continue.
            follows: the process was started for an upgrade.
            on_ended: called with the reason if the member can't go on.
        """
        self.loop = loop
        self.log = log
        self.text = text
        self.is_headless = is_headless
        self.follows = follows
        self.on_ended = on_ended
        self.node: Node | None = None
        self.failure_reason = ""
        self.leave_deadline = 0
        self.should_be_open = False

    def open(self) -> None:
        """Opens the node, and retries until it succeeds.

        Raises DirectorError or OSError only in a process without a front that was not started for an upgrade.
        """
        self.should_be_open = True
        # A new seed per start: members with equal random numbers would request votes at the same time.
        node = Node(self.loop, self.log, self.text, random.Random(secrets.randbits(64)), self._on_node_ended)
        try:
            node.open()
        except (DirectorError, OSError) as error:
            if self.is_headless and not self.follows:
                raise
            self._on_open_failed(error)
            return
        self.node = node
        self.failure_reason = ""

    def _on_open_failed(self, error: DirectorError | OSError) -> None:
        self.failure_reason = str(error)
        self.log.warning("member_not_open", **error_fields(error))
        if isinstance(error, ValueError):  # the stored data can't be read: a retry would not help
            self.on_ended(self.failure_reason)
        else:
            self.loop.call_after(RETRY_INTERVAL, self._retry_open)

    def _retry_open(self) -> None:
        if self.should_be_open and self.node is None:
            self.open()

    def _on_node_ended(self, reason: str) -> None:
        """Records why the node can't go on, and reports it."""
        self.failure_reason = reason
        self.on_ended(reason)

    def leave(self, give_up: bool) -> None:
        """Starts to leave; with `give_up` it also releases the incarnation if no work depends on it."""
        if self.node is not None and self.node.phase is Phase.TAKING_PART:
            self.leave_deadline = self.loop.clock.now() + LEAVE_TIMEOUT
            self.node.leaving.leave(give_up)

    @property
    def left(self) -> bool:
        """Whether the leave is complete or has timed out, or there is no node."""
        return self.node is None or self.node.leaving.has_left or self.loop.clock.now() >= self.leave_deadline

    def cancel_leave(self) -> None:
        """Takes part again after an upgrade that was cancelled."""
        if self.node is not None:
            self.node.leaving.cancel()

    def close(self) -> None:
        """Closes the node."""
        self.should_be_open = False
        if self.node is not None:
            node = self.node
            self.node = None
            node.close()

    def reread(self, text: FleetText | None) -> None:
        """Applies the file after a reload."""
        if self.node is not None and text is not None:
            self.node.reread(text)

    def on_rpc_completed(self, now: int, rpc: str, latency: int) -> None:
        """Passes the latency of an RPC that the front of this process completed to the works."""
        if self.node is not None:
            self.node.assembly.on_rpc_completed(now, rpc, latency)

    def on_command(self, name: str, command: JsonObject, reply: Callable[[JsonObject], None]) -> bool:
        """Handles a command of the control socket; returns False if it is not for the node."""
        return AdminRequests(self.node, reply).handle(name, command)

    def work(self, name: str) -> Work | None:
        """Returns the work of that name; None if there is none or the node is closed."""
        works = self.node.assembly.works if self.node is not None else ()
        return next((work for work in works if work.name == name), None)

    def status(self) -> dict[str, object]:
        """Returns the keys that the node adds to the `status` of the process."""
        if self.node is None:
            return {"fleet": {"name": self.text.name, "phase": "closed", "why": self.failure_reason}}
        return {
            "fleet": node_status(self.node) | ({"why": self.failure_reason} if self.failure_reason else {})
        }


class NodeHandover:
    """Extends the HandoverParticipant of a process by its node.

    Disk and port have one owner at a time: the old process closes them before the handover, and the new one
    opens them after it.
    """

    def __init__(self, participant: HandoverParticipant, companion: NodeCompanion) -> None:
        """Wraps `participant`, which hands over the rest of the process."""
        self.participant = participant
        self.companion = companion

    def __getattr__(self, name: str) -> object:
        return getattr(self.participant, name)

    def settle(self, on: bool) -> None:
        """Lets the node leave, or cancels its leave."""
        self.participant.settle(on)
        if on:
            # Work in flight in a front continues under its incarnation until the lease expires.
            self.companion.leave(self.companion.is_headless)
        else:
            self.companion.cancel_leave()

    def is_settled(self) -> bool:
        """Whether the rest of the process is settled and the node has left."""
        return self.participant.is_settled() and self.companion.left

    def set_accepting(self, on: bool) -> None:
        """Closes the node before the process stops accepting; opens it again if the handover failed."""
        if not on:
            self.companion.close()
        self.participant.set_accepting(on)
        if on and self.companion.node is None:  # the handover failed: the new process is dead
            self.companion.follows = True
            self.companion.open()

    def start_serving(self, restored: bool) -> None:
        """Starts the rest of the process and opens the node."""
        self.participant.start_serving(restored)
        self.companion.open()


def add_node_companion(
    process: UpgradableProcess,
    participant: HandoverParticipant,
    text: FleetText | None,
    is_headless: bool,
    follows: bool,
) -> HandoverParticipant:
    """Adds a node to a process whose file names a fleet; returns the participant of its handovers."""
    if text is None:
        return participant

    def on_ended(why: str) -> None:
        if is_headless:
            process.exit_code = 1
            process.loop.call_after(0, process.end)

    if process.companion is None:
        process.companion = NodeCompanion(process.loop, process.log, text, is_headless, follows, on_ended)
    return NodeHandover(participant, process.companion)
