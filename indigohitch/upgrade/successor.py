"""The new process' machine: whether it accepts, and what it does next.  No I/O; the rules: phases.py."""

from __future__ import annotations

from .phases import Act, Phase


class Successor:
    WAITS = {Phase.ORPHAN: "orphan"}

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.listeners = self.state = False  # in hand

    @property
    def wait(self) -> str | None:
        return self.WAITS.get(self.phase)

    @property
    def accepting(self) -> bool:
        return self.phase in (Phase.FOLLOWING, Phase.SERVING)

    def step(self, event: str, why: str = "") -> list[Act]:
        return getattr(self, f"on_{event}")(why)

    def on_started(self, why: str) -> list[Act]:
        return [Act.HELLO] if self.phase is Phase.STARTING else []

    def on_listeners(self, why: str) -> list[Act]:
        if self.phase is Phase.STARTING:
            self.phase, self.listeners = Phase.TAKING, True
        return []

    def on_state(self, why: str) -> list[Act]:
        return [Act.RESTORE] if self.phase is Phase.TAKING else []

    def on_built(self, why: str) -> list[Act]:
        if self.phase is not Phase.TAKING:
            return []
        self.phase, self.state = Phase.PROVING, True
        return [Act.PROVE]

    def on_works(self, why: str) -> list[Act]:
        if self.phase is Phase.PROVING:
            self.phase = Phase.PROVEN
        return []

    def on_commit(self, why: str) -> list[Act]:
        if self.phase is not Phase.PROVEN:
            return self.on_failed("a commit out of turn")
        self.phase = Phase.FOLLOWING
        return [Act.ACCEPT]

    def on_done(self, why: str) -> list[Act]:
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        return []

    # ---- what goes wrong

    def on_failed(self, why: str) -> list[Act]:
        """Its own work came to nothing, or what came can't be read."""
        if self.phase in (Phase.FOLLOWING, Phase.SERVING, Phase.ENDED):
            return []
        self.phase = Phase.ENDED
        return [Act.REFUSE, Act.END]

    def on_call_off(self, why: str) -> list[Act]:
        return self.on_told_to_end(why) if not self.accepting else []

    def on_told_to_end(self, why: str) -> list[Act]:
        if self.phase in (Phase.SERVING, Phase.ENDED):
            return []
        if self.phase is Phase.FOLLOWING:  # the service; as such it ends by other means
            self.phase = Phase.SERVING
            return [Act.LEAVE]
        self.phase = Phase.ENDED
        return [Act.END]

    def on_eof(self, why: str) -> list[Act]:
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING  # the old one is dead, or deaf: it will not accept
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.ORPHAN
        return []

    def on_died(self, why: str) -> list[Act]:
        """The old process is dead: whatever it meant to do, nobody accepts."""
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING
        elif not self.accepting and self.phase is not Phase.ENDED:
            self.phase = Phase.SERVING
            return [Act.BEGIN]
        return []

    def on_deadline(self, why: str) -> list[Act]:
        """The channel is gone and the old one lives: it carries on, and this one is in its way."""
        return self.on_told_to_end(why) if self.phase is Phase.ORPHAN else []
