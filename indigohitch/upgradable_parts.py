"""The phases of a process that can replace itself, and what may live in it beside its front."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol


class Companion(Protocol):
    """What lives in the process beside its front: a member of the fleet (fleet/node/inside)."""

    left: bool  # nothing is waited for any more

    def status(self) -> dict: ...
    def on_command(self, what: str, line: dict, answer: Callable[[dict], None]) -> bool: ...
    def leave(self, give_up: bool) -> None: ...
    def close(self) -> None: ...


class ProcessPhase(enum.Enum):
    STARTING = "starting"
    TAKING_OVER = "taking over"
    SERVING = "serving"
    ENDING = "ending"  # accepts nobody; what is in hand is finished, for a while
    ENDED = "ended"
