"""The state machine of the new process of an upgrade.  No I/O; phases.py states the invariants."""

from __future__ import annotations

from collections.abc import Callable

from .phases import Action, Phase


class Successor:
    """Decides whether the new process accepts connections, and what it does next."""

    TIMEOUT_NAMES = {Phase.ORPHAN: "orphan"}

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.has_listeners = False
        self.is_state_restored = False

    @property
    def timeout_name(self) -> str | None:
        """The name of the timeout of this phase, if it has one."""
        return self.TIMEOUT_NAMES.get(self.phase)

    @property
    def accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self.phase in (Phase.FOLLOWING, Phase.SERVING)

    def step(self, event: str, reason: str = "") -> list[Action]:
        """Returns the actions that an event results in, in order; raises KeyError for an unknown event."""
        return self._handlers()[event](reason)

    def _handlers(self) -> dict[str, Callable[[str], list[Action]]]:
        """Returns the handlers by event; the names of events are in the log."""
        return {
            "started": self.on_started,
            "listeners": self.on_listeners,
            "state": self.on_state,
            "built": self.on_built,
            "works": self.on_works,
            "commit": self.on_commit,
            "done": self.on_done,
            "failed": self.on_failed,
            "call_off": self.on_call_off,
            "told_to_end": self.on_told_to_end,
            "eof": self.on_eof,
            "died": self.on_died,
            "deadline": self.on_deadline,
        }

    def on_started(self, reason: str) -> list[Action]:
        """Sends hello: the process has started."""
        return [Action.HELLO] if self.phase is Phase.STARTING else []

    def on_listeners(self, reason: str) -> list[Action]:
        """Records that the listening sockets were received."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.TAKING
            self.has_listeners = True
        return []

    def on_state(self, reason: str) -> list[Action]:
        """Restores the state, which was received completely."""
        return [Action.RESTORE] if self.phase is Phase.TAKING else []

    def on_built(self, reason: str) -> list[Action]:
        """Starts the check of the restored state."""
        if self.phase is not Phase.TAKING:
            return []
        self.phase = Phase.PROVING
        self.is_state_restored = True
        return [Action.PROVE]

    def on_works(self, reason: str) -> list[Action]:
        """Waits for the commit: the restored state has passed its checks."""
        if self.phase is Phase.PROVING:
            self.phase = Phase.PROVEN
        return []

    def on_commit(self, reason: str) -> list[Action]:
        """Starts accepting: the old process has stopped."""
        if self.phase is not Phase.PROVEN:
            return self.on_failed("unexpected commit")
        self.phase = Phase.FOLLOWING
        return [Action.ACCEPT]

    def on_done(self, reason: str) -> list[Action]:
        """Records that the old process has drained and ends."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        return []

    # ---- faults

    def on_failed(self, reason: str) -> list[Action]:
        """Refuses the upgrade: an action of this process failed, or the data of the channel is invalid."""
        if self.phase in (Phase.FOLLOWING, Phase.SERVING, Phase.ENDED):
            return []
        self.phase = Phase.ENDED
        return [Action.REFUSE, Action.END]

    def on_call_off(self, reason: str) -> list[Action]:
        """Ends this process: the old one has cancelled the upgrade."""
        return self.on_told_to_end(reason) if not self.accepting else []

    def on_told_to_end(self, reason: str) -> list[Action]:
        """Handles SIGTERM; if the old process still drains, notifies it that this one ends."""
        if self.phase in (Phase.SERVING, Phase.ENDED):
            return []
        if self.phase is Phase.FOLLOWING:  # it serves; the process itself handles its end
            self.phase = Phase.SERVING
            return [Action.LEAVE]
        self.phase = Phase.ENDED
        return [Action.END]

    def on_eof(self, reason: str) -> list[Action]:
        """Handles the end of the channel; before the commit the old process may be dead or alive."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING  # the old process will not accept again
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.ORPHAN
        return []

    def on_died(self, reason: str) -> list[Action]:
        """Starts serving if no process accepts: the old process is dead."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.SERVING
            return [Action.BEGIN]
        return []

    def on_deadline(self, reason: str) -> list[Action]:
        """Ends this process: the channel has ended, but the old process is still alive and serves."""
        return self.on_told_to_end(reason) if self.phase is Phase.ORPHAN else []
