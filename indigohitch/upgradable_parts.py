"""The phases of an upgradable process, and the interface of a companion that runs beside its front."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol


class Companion(Protocol):
    """Runs in the process beside its front: a member of the fleet or a subscription."""

    left: bool  # whether leaving has completed: the process may exit

    def status(self) -> dict:
        """Returns the keys that the companion adds to the status of the process."""

    def on_command(self, name: str, command: dict, reply: Callable[[dict], None]) -> bool:
        """Handles a command of the control socket; returns False for an unknown one."""

    def leave(self, give_up: bool) -> None:
        """Starts to leave; with `give_up` it releases its incarnation too."""

    def close(self) -> None:
        """Closes its sockets and files."""


class ProcessPhase(enum.Enum):
    """The phases of a process; the values are shown in the log and by `status`."""

    STARTING = "starting"
    TAKING_OVER = "taking over"
    SERVING = "serving"
    ENDING = "ending"  # accepts no connections; finishes work in flight, for a limited time
    ENDED = "ended"


def upgrade_refusal(phase: ProcessPhase, is_under_way: bool, follows: bool) -> str:
    """Returns why no upgrade can start now, or an empty text; `follows`: a predecessor still drains."""
    if is_under_way:
        return "an upgrade is under way"
    if follows:
        return "the process before this one still drains"
    if phase is not ProcessPhase.SERVING:
        return f"the program is {phase.value}"
    return ""
