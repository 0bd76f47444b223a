"""The phases and the actions of an upgrade, in which one process hands over to another; no I/O.

There are two state machines: `Predecessor` in the old process and `Successor` in the new one.
`step(event)` returns the actions of the process, in order; an event that has no meaning in a phase returns
none.  The driver of a machine reports messages of the channel, the death of the other process, deadlines and
the results of its own actions.

Invariants for every order of events (tests/test_upgrade_machine.py checks them):
- Only one of the two accepts.  The old one stops before it sends `commit`; the new one begins at `commit`,
  or once it has found the old one to be dead; the old one begins again only once the new one is dead, or
  before anything was committed.
- As long as one of them lives and has no order to end, one accepts, at the latest after the deadlines.
- A connection that was passed has one owner: the old one keeps it until the new one has confirmed
  that it has it.

Values that are visible outside: those of `Phase` and the names of events are in the log (`upgrade`,
`takeover`), and the phases before the commit also in the reason of an upgrade that ran out of time, which is
sent to the new process and the caller of the upgrade.  The values of `Act` only select methods (`do_...`).
"""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """A phase of either state machine."""

    SERVING = "serving"  # no upgrade is under way
    # of the old process
    OFFERED = "offered"  # the new program was started, no message has come from it
    SETTLING = "settling"  # it has connected; pending work must end before the state can be taken
    GIVING = "giving"  # the state is being sent; the module is frozen
    RESTORED = "restored"  # the new one holds the same state
    COMMITTED = "committed"  # this process accepts nothing; the commit was sent to the new one
    DRAINING = "draining"  # the new one accepts; the open requests here are answered
    RECLAIMING = "reclaiming"  # the new one failed after the commit was sent; it has to be dead first
    ENDED = "ended"
    # of the new process
    STARTING = "starting"  # has sent hello
    TAKING = "taking"  # has the listeners, not the whole state
    PROVING = "proving"  # has the state, checks that it works
    PROVEN = "proven"  # waits for the commit
    FOLLOWING = "following"  # accepts; the old one still answers its open requests
    ORPHAN = "orphan"  # the channel closed without a message: is the old one dead?


# Phases in which the old process begins nothing that the state cannot hold.
STANDING_STILL = (Phase.SETTLING, Phase.GIVING, Phase.RESTORED)


class Act(enum.Enum):
    """An action that a state machine requests of its driver."""

    SPAWN = "spawn"  # start the new program
    SETTLE = "settle"  # begin nothing new that the state cannot hold
    GIVE = "give"  # freeze the module; send listeners and state
    COMMIT = "commit"  # stop accepting; send what came since, idle connections, then the commit
    RELEASE = "release"  # close this side of the passed connections: they have their owner
    DRAIN = "drain"  # answer the open requests, passing connections on
    THAW = "thaw"  # the module continues
    RECLAIM = "reclaim"  # take the passed connections back; accept
    KILL = "kill"  # end the new process, by its pidfd
    CALL_OFF = "call_off"  # send the new process the cancellation
    DONE = "done"  # send the new process the end of the drain
    REPORT = "report"  # send the result to the caller of the upgrade
    END = "end"  # this process ends
    # of the new process
    HELLO = "hello"
    RESTORE = "restore"  # build the state, send `restored`
    PROVE = "prove"  # check that it works, send `proven`
    ACCEPT = "accept"  # confirm the passed connections, then begin
    BEGIN = "begin"  # without the old one: with what has been received
    REFUSE = "refuse"  # send the reason of the refusal
    LEAVE = "leave"  # it is the service and has to end: report so to the old process
