"""The state machine of the new process of an upgrade.  No I/O; phases.py states the rules."""

from __future__ import annotations

from collections.abc import Callable

from .phases import Act, Phase


class Successor:
    """Decides whether the new process accepts connections, and what it does next."""

    WAITS = {Phase.ORPHAN: "orphan"}

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.listeners = False  # received
        self.state = False  # restored

    @property
    def wait(self) -> str | None:
        """The name of the timeout of this phase."""
        return self.WAITS.get(self.phase)

    @property
    def accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self.phase in (Phase.FOLLOWING, Phase.SERVING)

    def step(self, event: str, why: str = "") -> list[Act]:
        """Handles an event; returns what the process has to do, in order.  Raises KeyError."""
        return self._handlers()[event](why)

    def _handlers(self) -> dict[str, Callable[[str], list[Act]]]:
        """Returns the handler of each event; the names of events are shown in the log."""
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

    def on_started(self, why: str) -> list[Act]:
        """The process runs."""
        return [Act.HELLO] if self.phase is Phase.STARTING else []

    def on_listeners(self, why: str) -> list[Act]:
        """The listening sockets have come."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.TAKING
            self.listeners = True
        return []

    def on_state(self, why: str) -> list[Act]:
        """The whole state has come."""
        return [Act.RESTORE] if self.phase is Phase.TAKING else []

    def on_built(self, why: str) -> list[Act]:
        """The state is restored."""
        if self.phase is not Phase.TAKING:
            return []
        self.phase = Phase.PROVING
        self.state = True
        return [Act.PROVE]

    def on_works(self, why: str) -> list[Act]:
        """The restored state has passed its checks."""
        if self.phase is Phase.PROVING:
            self.phase = Phase.PROVEN
        return []

    def on_commit(self, why: str) -> list[Act]:
        """The old process accepts no more; this one may."""
        if self.phase is not Phase.PROVEN:
            return self.on_failed("a commit out of turn")
        self.phase = Phase.FOLLOWING
        return [Act.ACCEPT]

    def on_done(self, why: str) -> list[Act]:
        """The old process has drained and ends."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        return []

    # ---- what goes wrong

    def on_failed(self, why: str) -> list[Act]:
        """Its own step has failed, or the data of the channel is invalid."""
        if self.phase in (Phase.FOLLOWING, Phase.SERVING, Phase.ENDED):
            return []
        self.phase = Phase.ENDED
        return [Act.REFUSE, Act.END]

    def on_call_off(self, why: str) -> list[Act]:
        """The old process has called the upgrade off."""
        return self.on_told_to_end(why) if not self.accepting else []

    def on_told_to_end(self, why: str) -> list[Act]:
        """Handles SIGTERM; while it serves beside the old process it announces that it ends."""
        if self.phase in (Phase.SERVING, Phase.ENDED):
            return []
        if self.phase is Phase.FOLLOWING:  # it serves; the process itself handles its end
            self.phase = Phase.SERVING
            return [Act.LEAVE]
        self.phase = Phase.ENDED
        return [Act.END]

    def on_eof(self, why: str) -> list[Act]:
        """The channel has ended."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING  # the old process will not accept again
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.ORPHAN
        return []

    def on_died(self, why: str) -> list[Act]:
        """The old process is dead, so no process accepts: this one starts to."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.SERVING
            return [Act.BEGIN]
        return []

    def on_deadline(self, why: str) -> list[Act]:
        """The channel has ended and the old process lives and serves: this one ends."""
        return self.on_told_to_end(why) if self.phase is Phase.ORPHAN else []
