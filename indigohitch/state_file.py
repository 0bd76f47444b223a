"""The state file that the operator configured: read at a start, written at the end."""

from __future__ import annotations

import os

from .errors import error_fields
from .log import Log
from .net.clock import Clock
from .upgrade import snapshot as shots
from .upgrade.handover_participant import HandoverParticipant

# Errors by which a state that can not be restored shows.
UNUSABLE_STATE_ERRORS = (
    shots.UnusableSnapshotError,
    ValueError,
    IndexError,
    KeyError,
    TypeError,
    AttributeError,
)


class StateFile:
    """A snapshot of the program's state on disk; an empty path means that none is kept."""

    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        self.path = path
        self.clock = clock
        self.log = log

    def restore(self, side: HandoverParticipant) -> bool | None:
        """Restores the state from the file.

        Returns False where there is no file, True where the state was restored, and None where restoring
        it failed half way, after which `side` is of no use.
        """
        if not self.path or not os.path.exists(self.path):
            return False
        try:
            state = shots.read(self.path)
            # Its times are of the wall clock; where that has been set back since, continue from the state's.
            if state.taken > self.clock.now():
                self.clock.follow(state.taken)
            side.restore(state, {})
        except (OSError, *UNUSABLE_STATE_ERRORS) as error:
            self.log.warning(
                "state_refused", path=self.path, **error_fields(error, shots.UnusableSnapshotError.remedy)
            )
            return None
        self.log.event("state_read", path=self.path, age_ms=(self.clock.now() - state.taken) / 10)
        return True

    def save(self, side: HandoverParticipant) -> dict:
        """Writes the state atomically; returns the answer for the control socket."""
        if not self.path:
            return {"error": "the file has no line `state`"}
        data = shots.encode(side.snapshot())
        try:
            shots.write(self.path, data)
        except OSError as error:
            self.log.warning("state_not_written", path=self.path, **error_fields(error))
            return {"error": str(error)}
        self.log.event("state_written", path=self.path, bytes=len(data))
        return {"path": self.path, "bytes": len(data)}
