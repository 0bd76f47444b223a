"""The state file that the operator configured: read at the start, written at the end of the process."""

from __future__ import annotations

import os

from .errors import error_fields
from .log import Log
from .net.clock import Clock
from .upgrade import snapshot
from .upgrade.handover_participant import HandoverParticipant

# Exceptions that reading or restoring an unusable state raises.
UNUSABLE_STATE_ERRORS = (
    snapshot.UnusableSnapshotError,
    ValueError,
    IndexError,
    KeyError,
    TypeError,
    AttributeError,
)


class StateFile:
    """Saves and restores snapshots of the program's state; an empty path means that none are kept."""

    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        self.path = path
        self.clock = clock
        self.log = log

    def restore(self, participant: HandoverParticipant) -> bool | None:
        """Restores the state from the file.

        Returns False where there is no file, True where the state was restored, and None where restoring
        it failed partway, after which `participant` must not be used.
        """
        if not self.path or not os.path.exists(self.path):
            return False
        try:
            state = snapshot.read(self.path)
            # Times in a state are of the wall clock.  If that was set back since, the clock continues from
            # the time of the state.
            if state.taken > self.clock.now():
                self.clock.follow(state.taken)
            participant.restore(state, {})
        except (OSError, *UNUSABLE_STATE_ERRORS) as error:
            self.log.warning(
                "state_refused", path=self.path, **error_fields(error, snapshot.UnusableSnapshotError.remedy)
            )
            return None
        self.log.event("state_read", path=self.path, age_ms=(self.clock.now() - state.taken) / 10)
        return True

    def save(self, participant: HandoverParticipant) -> dict:
        """Writes the state atomically; returns the response for the control socket."""
        if not self.path:
            return {"error": "the file has no line `state`"}
        data = snapshot.encode(participant.snapshot())
        try:
            snapshot.write(self.path, data)
        except OSError as error:
            self.log.warning("state_not_written", path=self.path, **error_fields(error))
            return {"error": str(error)}
        self.log.event("state_written", path=self.path, bytes=len(data))
        return {"path": self.path, "bytes": len(data)}
