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

What is said by name: the values of `Phase` and the names of events stand in the log (`upgrade`, `takeover`),
and the phases before the commit also in the reason of an upgrade that ran out of time, which goes to the new
process and to who asked.  The values of `Act` call methods (`do_...`) and go nowhere.
"""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    SERVING = "serving"  # no upgrade is under way
    # of the old process
    OFFERED = "offered"  # the new program was started, it has said nothing
    SETTLING = "settling"  # it is there; what is out must end before the state can be taken
    GIVING = "giving"  # the state is on its way; the module stands still
    RESTORED = "restored"  # the new one holds the same state
    COMMITTED = "committed"  # nobody accepts here; the word that it may has gone to the new one
    DRAINING = "draining"  # the new one accepts; what is in hand here is answered
    RECLAIMING = "reclaiming"  # the new one failed after the word went out; it has to be dead first
    ENDED = "ended"
    # of the new process
    STARTING = "starting"  # has said hello
    TAKING = "taking"  # has the listeners, not the whole state
    PROVING = "proving"  # has the state, shows that it works
    PROVEN = "proven"  # waits for the word
    FOLLOWING = "following"  # accepts; the old one still answers what it had in hand
    ORPHAN = "orphan"  # the channel ended without a word: is the old one dead?


# Phases in which the old process begins nothing that the state can't hold.
STANDING_STILL = (Phase.SETTLING, Phase.GIVING, Phase.RESTORED)


class Act(enum.Enum):
    SPAWN = "spawn"  # start the new program
    SETTLE = "settle"  # begin nothing new that the state can't hold
    GIVE = "give"  # freeze the module; send listeners and state
    COMMIT = "commit"  # stop accepting; send what came since, idle connections, then the word
    RELEASE = "release"  # close our side of what was passed: it has its owner
    DRAIN = "drain"  # answer what is in hand, passing connections on
    THAW = "thaw"  # the module goes on
    RECLAIM = "reclaim"  # take back what was passed; accept
    KILL = "kill"  # end the new process, by its pidfd
    CALL_OFF = "call_off"  # tell it so
    DONE = "done"  # tell it that nothing is left here
    REPORT = "report"  # tell who asked what it came to
    END = "end"  # this process ends
    # of the new process
    HELLO = "hello"
    RESTORE = "restore"  # build the state, say `restored`
    PROVE = "prove"  # show that it works, say `proven`
    ACCEPT = "accept"  # say that what was passed is ours, then begin
    BEGIN = "begin"  # without the old one: with what is in hand
    REFUSE = "refuse"  # say why it will not be
    LEAVE = "leave"  # it is the service, and was told to end: say so to the one that stands by
