"""The state machine of the old process of an upgrade.  No I/O; phases.py states the rules."""

from __future__ import annotations

from collections.abc import Callable

from .phases import Act, Phase


class Predecessor:
    """Decides whether the old process accepts connections, and what it does next."""

    WAITS = {
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
        self.result = ""  # of the last upgrade: "upgraded", or why not
        self.frozen = False
        self.ending = False
        # Of the draining: stood by long enough; nothing left in hand; the new one was told to end.
        self.watched = False
        self.drained = False
        self.left = False
        self.late = False  # while it is reclaimed, the new one says that it accepts

    @property
    def wait(self) -> str | None:
        """The name of the deadline that this phase has."""
        return self.WAITS.get(self.phase)

    @property
    def accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self.phase is Phase.SERVING or self.phase in self.BEFORE_COMMIT

    def step(self, event: str, why: str = "") -> list[Act]:
        """Handles an event; returns what the process has to do, in order.  Raises KeyError."""
        return self._handlers()[event](why)

    def _handlers(self) -> dict[str, Callable[[str], list[Act]]]:
        """Returns the handler of each event; the names of events are shown in the log."""
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

    # ---- asked by people

    def on_asked(self, why: str) -> list[Act]:
        """Starts an upgrade; there is one at a time, and the driver refuses a second."""
        if self.phase is not Phase.SERVING or self.ending:
            return []
        self.phase = Phase.OFFERED
        self.result = ""
        return [Act.SPAWN]

    def on_told_to_end(self, why: str) -> list[Act]:
        """Handles SIGTERM.

        Before the commit the upgrade is called off and this process ends as usual; after it this process
        ends anyway, and the new one serves.
        """
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING):
            # Once it is known who accepts.  If both were signalled, neither goes on.
            self.ending = True
            return []
        if self.phase is Phase.ENDED:
            return []
        acts = self.call_off("told to end") if self.phase in self.BEFORE_COMMIT else []
        self.ending = True
        return [*acts, Act.END]

    # ---- the way through

    def on_hello(self, why: str) -> list[Act]:
        """The new process reads this protocol and schema."""
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.SETTLING
        return [Act.SETTLE]

    def on_settled(self, why: str) -> list[Act]:
        """No call is in flight that the state can not hold."""
        if self.phase is not Phase.SETTLING:
            return []
        self.phase = Phase.GIVING
        self.frozen = True
        return [Act.GIVE]

    def on_restored(self, why: str) -> list[Act]:
        """The new process holds the same state."""
        if self.phase is Phase.GIVING:
            self.phase = Phase.RESTORED
        return []

    def on_proven(self, why: str) -> list[Act]:
        """The new process has shown that it works: the handover is committed."""
        if self.phase is not Phase.RESTORED:
            return []
        self.phase = Phase.COMMITTED
        return [Act.COMMIT]

    def on_accepting(self, why: str) -> list[Act]:
        """The new process accepts connections."""
        self.late |= self.phase is Phase.RECLAIMING
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase = Phase.DRAINING
        self.result = "upgraded"
        self.watched = False
        self.drained = False
        self.left = False
        return [Act.RELEASE, Act.REPORT, Act.DRAIN]

    def on_drained(self, why: str) -> list[Act]:
        """No connection or call is left in this process."""
        self.drained |= self.phase is Phase.DRAINING
        return self.finish_draining()

    def on_watched(self, why: str) -> list[Act]:
        """The new process has served for the time that this one monitors it."""
        self.watched |= self.phase is Phase.DRAINING
        return self.finish_draining()

    def finish_draining(self) -> list[Act]:
        """Ends this process once it is drained and the new one has been monitored."""
        if self.phase is not Phase.DRAINING or not (self.watched and self.drained):
            return []
        self.phase = Phase.ENDED
        return [Act.DONE, Act.END]

    # ---- what goes wrong

    def call_off(self, why: str) -> list[Act]:
        """Ends the upgrade before the commit; this process serves."""
        acts = [Act.CALL_OFF, Act.KILL, Act.REPORT]
        self.phase = Phase.SERVING
        self.result = why
        if self.frozen:
            self.frozen = False
            acts.append(Act.THAW)
        return acts

    def on_refused(self, why: str) -> list[Act]:
        """The new process ends.

        Before the commit it never accepted.  While it serves it was signalled to end: then this process
        does not replace it.
        """
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(why)
        if self.phase is Phase.DRAINING:
            self.watched = True
            self.left = True
            return self.finish_draining()
        self.ending |= self.phase is Phase.RECLAIMING and self.late
        return self.reclaim(why)

    def on_eof(self, why: str) -> list[Act]:
        """The channel has ended."""
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(why or "the channel ended")
        return self.reclaim(why or "the channel ended")

    def on_broken(self, why: str) -> list[Act]:
        """The data of the channel is invalid."""
        return self.on_eof(why)

    def on_deadline(self, why: str) -> list[Act]:
        """The phase has lasted for its timeout."""
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(f"no word in time while {self.phase.value}")
        if self.phase is Phase.DRAINING:
            # What is in hand outlived the bound; the new one has served for longer than that.
            self.phase = Phase.ENDED
            return [Act.DONE, Act.END]
        if self.phase is Phase.RECLAIMING:
            return [Act.KILL]
        return self.reclaim("no word in time after the commit")

    def reclaim(self, why: str) -> list[Act]:
        """Kills the new process, which may accept already, before this one accepts again."""
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase = Phase.RECLAIMING
        self.result = why
        self.late = False
        return [Act.KILL]

    def on_died(self, why: str) -> list[Act]:
        """The new process is dead."""
        why = why or "the new process died"
        if self.phase in self.BEFORE_COMMIT:
            return self.call_off(why)
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING) and not self.left:
            late = self.phase is Phase.DRAINING
            self.result = self.result if self.phase is Phase.RECLAIMING else why
            self.phase = Phase.SERVING
            self.frozen = False
            acts = [Act.RECLAIM, Act.THAW] + ([] if late else [Act.REPORT])
            return acts + ([Act.END] if self.ending else [])
        return []
