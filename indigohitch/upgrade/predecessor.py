"""The old process' machine: whether it accepts, and what it does next.  No I/O; the rules: phases.py."""

from __future__ import annotations

from .phases import Act, Phase


class Predecessor:
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
        self.frozen = self.ending = False
        # Of the draining: stood by long enough; nothing left in hand; the new one was told to end.
        self.watched = self.drained = self.left = False
        self.late = False  # while it is reclaimed, the new one says that it accepts

    @property
    def wait(self) -> str | None:
        """The name of the deadline that this phase has."""
        return self.WAITS.get(self.phase)

    @property
    def accepting(self) -> bool:
        return self.phase is Phase.SERVING or self.phase in self.BEFORE_COMMIT

    def step(self, event: str, why: str = "") -> list[Act]:
        return getattr(self, f"on_{event}")(why)

    # ---- asked by people

    def on_asked(self, why: str) -> list[Act]:
        """Only one at a time: a second one that asks is told so by who drives this."""
        if self.phase is not Phase.SERVING or self.ending:
            return []
        self.phase, self.result = Phase.OFFERED, ""
        return [Act.SPAWN]

    def on_told_to_end(self, why: str) -> list[Act]:
        """SIGTERM.  Before the word has gone out the upgrade is called off and this process ends as always;
        later it ends anyway, and the new one is the service."""
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING):
            # Once it is known who accepts.  Both may have been told: then neither goes on.
            self.ending = True
            return []
        if self.phase is Phase.ENDED:
            return []
        acts = self.called_off("told to end") if self.phase in self.BEFORE_COMMIT else []
        self.ending = True
        return [*acts, Act.END]

    # ---- the way through

    def on_hello(self, why: str) -> list[Act]:
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.SETTLING
        return [Act.SETTLE]

    def on_settled(self, why: str) -> list[Act]:
        if self.phase is not Phase.SETTLING:
            return []
        self.phase, self.frozen = Phase.GIVING, True
        return [Act.GIVE]

    def on_restored(self, why: str) -> list[Act]:
        if self.phase is Phase.GIVING:
            self.phase = Phase.RESTORED
        return []

    def on_proven(self, why: str) -> list[Act]:
        if self.phase is not Phase.RESTORED:
            return []
        self.phase = Phase.COMMITTED
        return [Act.COMMIT]

    def on_accepting(self, why: str) -> list[Act]:
        self.late |= self.phase is Phase.RECLAIMING
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase, self.result = Phase.DRAINING, "upgraded"
        self.watched = self.drained = self.left = False
        return [Act.RELEASE, Act.REPORT, Act.DRAIN]

    def on_drained(self, why: str) -> list[Act]:
        self.drained |= self.phase is Phase.DRAINING
        return self.done()

    def on_watched(self, why: str) -> list[Act]:
        """The new one has served for as long as this one stands by."""
        self.watched |= self.phase is Phase.DRAINING
        return self.done()

    def done(self) -> list[Act]:
        if self.phase is not Phase.DRAINING or not (self.watched and self.drained):
            return []
        self.phase = Phase.ENDED
        return [Act.DONE, Act.END]

    # ---- what goes wrong

    def called_off(self, why: str) -> list[Act]:
        acts = [Act.CALL_OFF, Act.KILL, Act.REPORT]
        self.phase, self.result = Phase.SERVING, why
        if self.frozen:
            self.frozen = False
            acts.append(Act.THAW)
        return acts

    def on_refused(self, why: str) -> list[Act]:
        """The new one will not be; by the rules it ends now, and it never accepted.  Or it was the service
        and was told to end: then this one is not to go on in its place."""
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(why)
        if self.phase is Phase.DRAINING:
            self.watched = self.left = True
            return self.done()
        self.ending |= self.phase is Phase.RECLAIMING and self.late
        return self.reclaim(why)

    def on_eof(self, why: str) -> list[Act]:
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(why or "the channel ended")
        return self.reclaim(why or "the channel ended")

    def on_broken(self, why: str) -> list[Act]:
        """What came over the channel can't be read."""
        return self.on_eof(why)

    def on_deadline(self, why: str) -> list[Act]:
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(f"no word in time while {self.phase.value}")
        if self.phase is Phase.DRAINING:
            # What is in hand outlived the bound; the new one has served for longer than that.
            self.phase = Phase.ENDED
            return [Act.DONE, Act.END]
        if self.phase is Phase.RECLAIMING:
            return [Act.KILL]
        return self.reclaim("no word in time after the commit")

    def reclaim(self, why: str) -> list[Act]:
        """After the word it may accept already: only its death makes room."""
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase, self.result, self.late = Phase.RECLAIMING, why, False
        return [Act.KILL]

    def on_died(self, why: str) -> list[Act]:
        why = why or "the new process died"
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(why)
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING) and not self.left:
            late = self.phase is Phase.DRAINING
            self.result = self.result if self.phase is Phase.RECLAIMING else why
            self.phase, self.frozen = Phase.SERVING, False
            acts = [Act.RECLAIM, Act.THAW] + ([] if late else [Act.REPORT])
            return acts + ([Act.END] if self.ending else [])
        return []
