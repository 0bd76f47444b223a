"""The state machine of the old process of an upgrade.  No I/O; phases.py states the invariants."""

from __future__ import annotations

from collections.abc import Callable

from .phases import Action, Phase


class Predecessor:
    """Decides whether the old process accepts connections, and what it does next."""

    TIMEOUT_NAMES = {
        Phase.OFFERED: "start",
        Phase.SETTLING: "settle",
        Phase.GIVING: "give",
        Phase.RESTORED: "prove",
        Phase.COMMITTED: "commit",
        Phase.DRAINING: "drain",
        Phase.RECLAIMING: "reclaim",
    }
    BEFORE_COMMIT = (Phase.OFFERED, Phase.SETTLING, Phase.GIVING, Phase.RESTORED)

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.result = ""  # of the last upgrade: "upgraded", or the reason of its failure
        self.is_frozen = False
        self.is_ending = False
        # While draining:
        self.is_watch_over = False  # the new process has served for the `watch` timeout
        self.is_drained = False  # no connection or call is left here
        self.child_left = False  # the new process, a child of this one, was ordered to end
        # While reclaiming: the new process has reported that it accepts.
        self.has_accepted_late = False

    @property
    def timeout_name(self) -> str | None:
        """The name of the timeout of this phase, if it has one."""
        return self.TIMEOUT_NAMES.get(self.phase)

    @property
    def accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self.phase is Phase.SERVING or self.phase in self.BEFORE_COMMIT

    def step(self, event: str, reason: str = "") -> list[Action]:
        """Returns the actions that an event results in, in order; raises KeyError for an unknown event."""
        return self._handlers()[event](reason)

    def _handlers(self) -> dict[str, Callable[[str], list[Action]]]:
        """Returns the handlers by event; the names of events are in the log."""
        return {
            "asked": self.on_asked,
            "told_to_end": self.on_told_to_end,
            "hello": self.on_hello,
            "settled": self.on_settled,
            "restored": self.on_restored,
            "proven": self.on_proven,
            "accepting": self.on_accepting,
            "drained": self.on_drained,
            "watched": self.on_watched,
            "refused": self.on_refused,
            "eof": self.on_eof,
            "broken": self.on_broken,
            "deadline": self.on_deadline,
            "died": self.on_died,
        }

    # ---- requests from outside

    def on_asked(self, reason: str) -> list[Action]:
        """Starts an upgrade, unless one is under way (the driver refuses a second) or the process ends."""
        if self.phase is not Phase.SERVING or self.is_ending:
            return []
        self.phase = Phase.OFFERED
        self.result = ""
        return [Action.SPAWN]

    def on_told_to_end(self, reason: str) -> list[Action]:
        """Handles SIGTERM.

        Before the commit the upgrade is cancelled and this process ends as usual.  After the commit this
        process ends anyway, and the new one serves.
        """
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING):
            # Ends once it is known which process accepts.  If both were signalled, both end.
            self.is_ending = True
            return []
        if self.phase is Phase.ENDED:
            return []
        actions = self.call_off("told to end") if self.phase in self.BEFORE_COMMIT else []
        self.is_ending = True
        return [*actions, Action.END]

    # ---- upgrade without faults

    def on_hello(self, reason: str) -> list[Action]:
        """Starts to settle: the new process can read this protocol and schema."""
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.SETTLING
        return [Action.SETTLE]

    def on_settled(self, reason: str) -> list[Action]:
        """Freezes and sends the state: no work is in flight that a snapshot can't represent."""
        if self.phase is not Phase.SETTLING:
            return []
        self.phase = Phase.GIVING
        self.is_frozen = True
        return [Action.GIVE]

    def on_restored(self, reason: str) -> list[Action]:
        """Waits for the proof: the new process has restored the same state."""
        if self.phase is Phase.GIVING:
            self.phase = Phase.RESTORED
        return []

    def on_proven(self, reason: str) -> list[Action]:
        """Commits the handover: the new process has checked the restored state."""
        if self.phase is not Phase.RESTORED:
            return []
        self.phase = Phase.COMMITTED
        return [Action.COMMIT]

    def on_accepting(self, reason: str) -> list[Action]:
        """Starts to drain: the new process accepts connections."""
        self.has_accepted_late |= self.phase is Phase.RECLAIMING
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase = Phase.DRAINING
        self.result = "upgraded"
        self.is_watch_over = False
        self.is_drained = False
        self.child_left = False
        return [Action.RELEASE, Action.REPORT, Action.DRAIN]

    def on_drained(self, reason: str) -> list[Action]:
        """Records that no connection or call is left in this process."""
        self.is_drained |= self.phase is Phase.DRAINING
        return self.finish_draining()

    def on_watched(self, reason: str) -> list[Action]:
        """Records that the new process has served for the `watch` timeout."""
        self.is_watch_over |= self.phase is Phase.DRAINING
        return self.finish_draining()

    def finish_draining(self) -> list[Action]:
        """Ends this process once it is drained and the `watch` timeout has passed."""
        if self.phase is not Phase.DRAINING or not (self.is_watch_over and self.is_drained):
            return []
        self.phase = Phase.ENDED
        return [Action.DONE, Action.END]

    # ---- faults

    def call_off(self, reason: str) -> list[Action]:
        """Cancels the upgrade before the commit; this process continues to serve."""
        actions = [Action.CALL_OFF, Action.KILL, Action.REPORT]
        self.phase = Phase.SERVING
        self.result = reason
        if self.is_frozen:
            self.is_frozen = False
            actions.append(Action.THAW)
        return actions

    def on_refused(self, reason: str) -> list[Action]:
        """Handles the announced end of the new process.

        Before the commit the new process has never accepted, so the upgrade is cancelled.  During the drain
        it was ordered to end while it served, so this process does not replace it.
        """
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(reason)
        if self.phase is Phase.DRAINING:
            self.is_watch_over = True
            self.child_left = True
            return self.finish_draining()
        self.is_ending |= self.phase is Phase.RECLAIMING and self.has_accepted_late
        return self.reclaim(reason)

    def on_eof(self, reason: str) -> list[Action]:
        """Cancels the upgrade, or kills the new process after the commit: the channel has ended."""
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(reason or "the channel was closed")
        return self.reclaim(reason or "the channel was closed")

    def on_broken(self, reason: str) -> list[Action]:
        """Handles invalid data on the channel like its end."""
        return self.on_eof(reason)

    def on_deadline(self, reason: str) -> list[Action]:
        """Handles the timeout of the phase."""
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(f"timed out while {self.phase.value}")
        if self.phase is Phase.DRAINING:
            # The remaining requests exceed the drain timeout; the new process has served for all of it.
            self.phase = Phase.ENDED
            return [Action.DONE, Action.END]
        if self.phase is Phase.RECLAIMING:
            return [Action.KILL]
        return self.reclaim("timed out after the commit")

    def reclaim(self, reason: str) -> list[Action]:
        """Kills the new process, which may accept already, so that this one can accept again."""
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase = Phase.RECLAIMING
        self.result = reason
        self.has_accepted_late = False
        return [Action.KILL]

    def on_died(self, reason: str) -> list[Action]:
        """Cancels the upgrade or takes the service back: the new process is dead."""
        reason = reason or "the new process died"
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(reason)
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING) and not self.child_left:
            is_reported = self.phase is Phase.DRAINING
            self.result = self.result if self.phase is Phase.RECLAIMING else reason
            self.phase = Phase.SERVING
            self.is_frozen = False
            actions = [Action.RECLAIM, Action.THAW] + ([] if is_reported else [Action.REPORT])
            return actions + ([Action.END] if self.is_ending else [])
        return []
