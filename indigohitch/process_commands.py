"""Runs the commands that an upgradable process receives over its control socket."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Protocol

from .log import Log
from .state_file import StateFile
from .upgradable_parts import Companion, ProcessPhase, upgrade_refusal
from .upgrade.handover_participant import HandoverParticipant
from .upgrade.predecessor_driver import PredecessorDriver
from .upgrade.successor_driver import SuccessorDriver

Reply = Callable[[dict], None]


class CommandTarget(Protocol):
    """The parts of an upgradable process that its commands use."""

    log: Log
    phase: ProcessPhase
    participant: HandoverParticipant
    state: StateFile
    companion: Companion | None
    predecessor_driver: PredecessorDriver
    successor_driver: SuccessorDriver | None

    def extra_status(self) -> dict:
        """Returns the keys that the program adds to the status."""

    def current_program(self) -> list[str]:
        """Returns the command that starts the new program."""


class ProcessCommands:
    """Runs the commands `status`, `upgrade` and `snapshot`, and passes others to the companion."""

    def __init__(self, process: CommandTarget) -> None:
        self.process = process
        self.pending_upgrade_replies: list[Reply] = []

    def on_command(self, name: str, command: dict, reply: Reply) -> None:
        """Runs a command; `reply` is called once with the response, at once or later."""
        process = self.process
        if name == "status":
            reply(self.status())
        elif name == "upgrade":
            self.upgrade(reply)
        elif name == "snapshot":
            reply(process.state.save(process.participant))
        elif process.companion is None or not process.companion.on_command(name, command, reply):
            reply({"error": f"no such word: {name[:40]}"})

    def status(self) -> dict:
        """Returns the response to the command `status`."""
        process = self.process
        return {
            "name": process.log.name,
            "pid": os.getpid(),
            "phase": process.phase.value,
            "upgrade": process.predecessor_driver.machine.phase.value,
            "counters": dict(sorted(process.log.counts.items())),
            **(process.companion.status() if process.companion is not None else {}),
            **process.extra_status(),
        }

    def upgrade(self, reply: Reply) -> None:
        """Starts an upgrade and sends its result to `reply`; if none can start, replies with the reason."""
        process = self.process
        successor = process.successor_driver
        driver = process.predecessor_driver
        follows = successor is not None and not successor.is_over
        reason = upgrade_refusal(process.phase, driver.under_way, follows)
        if reason:
            process.log.count("upgrades_not_now")
            reply({"result": "not now", "error": reason})
            return
        self.pending_upgrade_replies.append(reply)
        driver.program = process.current_program()
        driver.step("asked")

    def on_upgrade_result(self, result: dict) -> None:
        """Sends the result of an upgrade to all who requested it; a failure also as `error`."""
        replies = self.pending_upgrade_replies
        self.pending_upgrade_replies = []
        for reply in replies:
            reply(result if result["result"] == "upgraded" else result | {"error": result["result"]})
