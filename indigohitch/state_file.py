"""The state of a program in the file that its operator named: read at a start, written at the end."""

from __future__ import annotations

import os

from .errors import error_fields
from .log import Log
from .net.clock import Clock
from .upgrade import snapshot as shots
from .upgrade.handover_participant import HandoverParticipant

# What a state that does not fit shows itself by.
UNUSABLE_STATE_ERRORS = (
    shots.UnusableSnapshotError,
    ValueError,
    IndexError,
    KeyError,
    TypeError,
    AttributeError,
)


class StateFile:
    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        """`path` empty: none is kept."""
        self.path, self.clock, self.log = path, clock, log

    def restore(self, side: HandoverParticipant) -> bool | None:
        """From the file, if there is one that fits; None: it was refused half way, and `side` is of no more
        use."""
        if not self.path or not os.path.exists(self.path):
            return False
        try:
            state = shots.read(self.path)
            # Its times are the wall's; where that has been set back since, go on from there.
            if state.taken > self.clock.now():
                self.clock.follow(state.taken)
            side.restore(state, {})
        except (OSError, *UNUSABLE_STATE_ERRORS) as bad:
            self.log.warning(
                "state_refused", path=self.path, **error_fields(bad, shots.UnusableSnapshotError.remedy)
            )
            return None
        self.log.event("state_read", path=self.path, age_ms=(self.clock.now() - state.taken) / 10)
        return True

    def save(self, side: HandoverParticipant) -> dict:
        """Whole or not at all."""
        if not self.path:
            return {"error": "the file has no line `state`"}
        data = shots.encode(side.snapshot())
        try:
            shots.write(self.path, data)
        except OSError as bad:
            self.log.warning("state_not_written", path=self.path, **error_fields(bad))
            return {"error": str(bad)}
        self.log.event("state_written", path=self.path, bytes=len(data))
        return {"path": self.path, "bytes": len(data)}
