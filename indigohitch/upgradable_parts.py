"""The phases of an upgradable process, and the interface of a companion that runs beside its front."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol


class Companion(Protocol):
    """What runs in the process beside its front: a member of the fleet or a subscription."""

    left: bool  # nothing remains to be waited for

    def status(self) -> dict:
        """Returns the keys that the companion adds to the process' status."""

    def on_command(self, what: str, line: dict, answer: Callable[[dict], None]) -> bool:
        """Handles a command of the control socket; returns False where it does not know it."""

    def leave(self, give_up: bool) -> None:
        """Starts to leave; `give_up` releases its incarnation too."""

    def close(self) -> None:
        """Closes its sockets and files."""


class ProcessPhase(enum.Enum):
    """What the process does now; the values are shown in the log and by `status`."""

    STARTING = "starting"
    TAKING_OVER = "taking over"
    SERVING = "serving"
    ENDING = "ending"  # accepts no connections; work in flight is finished, for a limited time
    ENDED = "ended"


def upgrade_refusal(phase: ProcessPhase, is_under_way: bool, follows: bool) -> str:
    """Returns why no upgrade can start now, empty where it can; `follows`: a predecessor still drains."""
    if is_under_way:
        return "an upgrade is under way"
    if follows:
        return "the process before this one still drains"
    if phase is not ProcessPhase.SERVING:
        return f"the program is {phase.value}"
    return ""
