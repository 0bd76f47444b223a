"""The phases and actions of an upgrade, in which one process hands over to another; no I/O.

There are two state machines: `Predecessor` in the old process and `Successor` in the new one.
`step(event)` returns the actions of the process, in order; an event that does not apply to the phase returns
none.  The driver of a machine reports messages of the channel, the death of the other process, deadlines and
the results of its own actions.

Invariants for every order of events (tests/test_upgrade_machine.py checks them):
- At most one process accepts.  The old one stops before it sends `commit`; the new one starts at `commit`,
  or once it has found the old one to be dead; the old one starts again only once the new one is dead, or
  if nothing was committed.
- As long as one of them is alive and was not ordered to end, one accepts, at the latest after the deadlines.
- A passed connection has one owner: the old process keeps it until the new one has confirmed it.

Values that are visible outside: the log events `upgrade` and `takeover` contain the values of `Phase` and the
names of events.  The phases before the commit are also in the reason of an upgrade that timed out, which is
sent to the new process and the caller of the upgrade.  The values of `Action` only select methods (`do_...`).
"""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """The phases of both state machines."""

    SERVING = "serving"  # no upgrade is under way
    # Phases of the old process.
    OFFERED = "offered"  # the new program was started and has sent no message
    SETTLING = "settling"  # it has sent hello; pending work must end before the state can be taken
    GIVING = "giving"  # the state is being sent; the decision module is frozen
    RESTORED = "restored"  # the new process has restored the same state
    COMMITTED = "committed"  # this process has stopped accepting and sent the commit
    DRAINING = "draining"  # the new process accepts; this one answers its open requests
    RECLAIMING = "reclaiming"  # the new process failed after the commit; waits for its death
    ENDED = "ended"
    # Phases of the new process.
    STARTING = "starting"  # has sent hello
    TAKING = "taking"  # has the listeners, but not the whole state
    PROVING = "proving"  # has the state and checks it
    PROVEN = "proven"  # waits for the commit
    FOLLOWING = "following"  # accepts; the old process still answers its open requests
    ORPHAN = "orphan"  # the channel closed without a message; waits to see whether the old process is dead


# Phases in which the old process starts no work that a snapshot can't represent.
PAUSED_PHASES = (Phase.SETTLING, Phase.GIVING, Phase.RESTORED)


class Action(enum.Enum):
    """An action that a state machine requests from its driver."""

    SPAWN = "spawn"  # start the new program
    SETTLE = "settle"  # start no work that a snapshot can't represent
    GIVE = "give"  # freeze the decision module; send listeners and state
    COMMIT = "commit"  # stop accepting; send idle connections, then the commit with the late events
    RELEASE = "release"  # close this process' copies of the passed connections
    DRAIN = "drain"  # answer the open requests and pass connections that become idle
    THAW = "thaw"  # resume the decision module
    RECLAIM = "reclaim"  # take unconfirmed connections back; accept
    KILL = "kill"  # kill the new process through its pidfd
    CALL_OFF = "call_off"  # notify the new process that the upgrade is cancelled
    DONE = "done"  # notify the new process that the drain is complete
    REPORT = "report"  # send the result to the caller of the upgrade
    END = "end"  # end this process
    # Actions of the new process.
    HELLO = "hello"
    RESTORE = "restore"  # restore the state; send `StateRestored`
    PROVE = "prove"  # check the restored state; send `StateProven`
    ACCEPT = "accept"  # confirm the passed connections; accept
    BEGIN = "begin"  # serve without the old process, with what was received
    REFUSE = "refuse"  # send the refusal with its reason
    LEAVE = "leave"  # notify the old process that this one was ordered to end while it serves
