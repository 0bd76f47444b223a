"""Who accepts, and who owns what, while one process hands over to another.  No I/O.

Two machines, one a process: `Giver` in the old one, `Taker` in the new one.  `step(event)` returns what the
process has to do, in order; an event that means nothing in a phase returns nothing.  Whoever drives a machine
reports what came over the channel, the death of the other process, deadlines and what its own work came to.

What holds for every order of events (tests/test_upgrade_machine.py walks through them):
- Only one of the two accepts.  The old one stops before it says `commit`; the new one begins at `commit`, or
  once it knows the old one to be dead; the old one begins again only once the new one is dead, or before
  anything was committed.
- As long as one of them lives and nobody asked it to end, one accepts, at the latest after the deadlines.
- A connection that was passed has one owner: the old one keeps it until the new one has said that it has it.
"""
from __future__ import annotations

import enum


class Phase(enum.Enum):
    SERVING = "serving"         # no upgrade is under way
    # of the old process
    OFFERED = "offered"         # the new program was started, it has said nothing
    SETTLING = "settling"       # it is there; what is out must end before the state can be taken
    GIVING = "giving"           # the state is on its way; the module stands still
    RESTORED = "restored"       # the new one holds the same state
    COMMITTED = "committed"     # nobody accepts here; the word that it may has gone to the new one
    DRAINING = "draining"       # the new one accepts; what is in hand here is answered
    RECLAIMING = "reclaiming"   # the new one failed after the word went out; it has to be dead first
    ENDED = "ended"
    # of the new process
    STARTING = "starting"       # has said hello
    TAKING = "taking"           # has the listeners, not the whole state
    PROVING = "proving"         # has the state, shows that it works
    PROVEN = "proven"           # waits for the word
    FOLLOWING = "following"     # accepts; the old one still answers what it had in hand
    ORPHAN = "orphan"           # the channel ended without a word: is the old one dead?


class Act(enum.Enum):
    SPAWN = "spawn"             # start the new program
    SETTLE = "settle"           # begin nothing new that the state can't hold
    GIVE = "give"               # freeze the module; send listeners and state
    COMMIT = "commit"           # stop accepting; send what came since, idle connections, then the word
    RELEASE = "release"         # close our side of what was passed: it has its owner
    DRAIN = "drain"             # answer what is in hand, passing connections on
    THAW = "thaw"               # the module goes on
    RECLAIM = "reclaim"         # take back what was passed; accept
    KILL = "kill"               # end the new process, by its pidfd
    CALL_OFF = "call_off"       # tell it so
    DONE = "done"               # tell it that nothing is left here
    REPORT = "report"           # tell who asked what it came to
    END = "end"                 # this process ends
    # of the new process
    HELLO = "hello"
    RESTORE = "restore"         # build the state, say `restored`
    PROVE = "prove"             # show that it works, say `proven`
    ACCEPT = "accept"           # say that what was passed is ours, then begin
    BEGIN = "begin"             # without the old one: with what is in hand
    REFUSE = "refuse"           # say why it will not be


class Giver:
    WAITS = {Phase.OFFERED: "start", Phase.SETTLING: "settle", Phase.GIVING: "give", Phase.RESTORED: "prove",
             Phase.COMMITTED: "commit", Phase.DRAINING: "drain", Phase.RECLAIMING: "reclaim"}
    BEFORE_COMMIT = (Phase.OFFERED, Phase.SETTLING, Phase.GIVING, Phase.RESTORED)

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.result = ""            # of the last upgrade: "upgraded", or why not
        self.frozen = self.ending = False
        self.watched = self.drained = False     # of the draining: stood by long enough; nothing left in hand

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
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING):
            self.ending = True              # once it is known who accepts
            return []
        if self.phase in (Phase.DRAINING, Phase.ENDED):
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
        if self.phase is not Phase.COMMITTED:
            return []
        self.phase, self.result = Phase.DRAINING, "upgraded"
        self.watched = self.drained = False
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
        """The new one will not be; by the rules it ends now, and it never accepted."""
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(why)
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
        self.phase, self.result = Phase.RECLAIMING, why
        return [Act.KILL]

    def on_died(self, why: str) -> list[Act]:
        why = why or "the new process died"
        if self.phase in self.BEFORE_COMMIT:
            return self.called_off(why)
        if self.phase in (Phase.COMMITTED, Phase.RECLAIMING, Phase.DRAINING):
            late = self.phase is Phase.DRAINING
            self.result = self.result if self.phase is Phase.RECLAIMING else why
            self.phase, self.frozen = Phase.SERVING, False
            acts = [Act.RECLAIM, Act.THAW] + ([] if late else [Act.REPORT])
            return acts + ([Act.END] if self.ending else [])
        return []


class Taker:
    WAITS = {Phase.ORPHAN: "orphan"}

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.listeners = self.state = False     # in hand

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
        if self.phase is Phase.ENDED:
            return []
        self.phase = Phase.ENDED
        return [Act.END]

    def on_eof(self, why: str) -> list[Act]:
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.SERVING          # the old one is dead, or deaf: it will not accept
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
