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
from .admin_requests import AdminRequests
from .node import Node
from .phases import Phase
from .status import figures

AGAIN = SECOND // 5  # a disk or port that the process before this one still holds
# Of a leaving that no majority takes note of: the lease runs out instead.
LEAVING = 3 * SECOND // 2


class NodeCompanion:
    """`alone`: the process is nothing but this member, and ends where it can't be one; else its front goes on
    without the fleet.  `follows`: it was started for an upgrade.  `ended`: the member can't go on."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        alone: bool,
        follows: bool,
        ended: Callable[[str], None],
    ) -> None:
        self.loop, self.log, self.text, self.alone, self.follows = loop, log, text, alone, follows
        self.on_ended = ended
        self.node: Node | None = None
        self.why, self.until = "", 0
        self.wanted = False

    def open(self) -> None:
        """Raises Trouble, OSError only for a member alone at its first start."""
        self.wanted = True
        # Members that draw the same numbers would ask for votes at the same time: a seed of each start.
        node = Node(self.loop, self.log, self.text, random.Random(secrets.randbits(64)), self.ended)
        try:
            node.open()
        except (DirectorError, OSError) as bad:
            if self.alone and not self.follows:
                raise
            self.failed(bad)
            return
        self.node, self.why = node, ""

    def failed(self, bad: DirectorError | OSError) -> None:
        self.why = str(bad)
        self.log.warning("member_not_open", **error_fields(bad))
        if isinstance(bad, ValueError):  # what lies there can't be read: it will not be better later
            self.on_ended(self.why)
        else:
            self.loop.call_after(AGAIN, self.again)

    def again(self) -> None:
        if self.wanted and self.node is None:
            self.open()

    def ended(self, why: str) -> None:
        self.why = why
        self.on_ended(why)

    def leave(self, give_up: bool) -> None:
        """`give_up`: its incarnation too, as nothing hangs on that any more."""
        if self.node is not None and self.node.phase is Phase.TAKING_PART:
            self.until = self.loop.clock.now() + LEAVING
            self.node.leaving.leave(give_up)

    @property
    def left(self) -> bool:
        return self.node is None or self.node.leaving.left or self.loop.clock.now() >= self.until

    def stay(self) -> None:
        if self.node is not None:
            self.node.leaving.stay()

    def close(self) -> None:
        self.wanted = False
        if self.node is not None:
            node, self.node = self.node, None
            node.close()

    def reread(self, text: FleetText | None) -> None:
        """Raises Unfit."""
        if self.node is not None and text is not None:
            self.node.reread(text)

    def felt(self, now: int, rpc: str, latency: int) -> None:
        """The front here has answered an RPC."""
        if self.node is not None:
            self.node.assembly.felt(now, rpc, latency)

    def on_command(self, what: str, line: dict, answer: Callable[[dict], None]) -> bool:
        return AdminRequests(self.node, answer).word(what, line)

    def work(self, name: str) -> Work | None:
        """A part's work in this process, None while the node is closed."""
        works = self.node.assembly.works if self.node is not None else ()
        return next((work for work in works if work.name == name), None)

    def status(self) -> dict:
        if self.node is None:
            return {"fleet": {"name": self.text.name, "phase": "closed", "why": self.why}}
        return {"fleet": figures(self.node) | ({"why": self.why} if self.why else {})}


class Handed:
    """A side of an upgrade (upgrade.side.Side) whose process has a node too.  Disk and port have one owner:
    the old process closes them before its word goes out, the new one opens them after."""

    def __init__(self, side: HandoverParticipant, inside: NodeCompanion) -> None:
        self.side, self.inside = side, inside

    def __getattr__(self, name: str):
        return getattr(self.side, name)

    def settle(self, on: bool) -> None:
        self.side.settle(on)
        if on:
            # What a front has in hand goes on under its incarnation until the lease runs out.
            self.inside.leave(self.inside.alone)
        else:
            self.inside.stay()

    def is_settled(self) -> bool:
        return self.side.is_settled() and self.inside.left

    def set_accepting(self, on: bool) -> None:
        if not on:
            self.inside.close()
        self.side.set_accepting(on)
        if on and self.inside.node is None:  # taken back: the new process is dead
            self.inside.follows = True
            self.inside.open()

    def start_serving(self, restored: bool) -> None:
        self.side.start_serving(restored)
        self.inside.open()


def node_companion(
    process: UpgradableProcess, side: HandoverParticipant, text: FleetText | None, alone: bool, follows: bool
) -> HandoverParticipant:
    """Puts a node beside the process' front, where its file has a fleet."""
    if text is None:
        return side

    def ended(why: str) -> None:
        if alone:
            process.code = 1
            process.loop.call_after(0, process.end)

    if process.companion is None:
        process.companion = NodeCompanion(process.loop, process.log, text, alone, follows, ended)
    return Handed(side, process.companion)
