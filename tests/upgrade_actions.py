"""The actions of both state machines of an upgrade, on the model in upgrade_pair.py."""

from __future__ import annotations

from typing import TYPE_CHECKING

from indigohitch.upgrade.successor import Successor
from upgrade_process import Process

if TYPE_CHECKING:
    from upgrade_pair import Pair


class OldActions:
    """The actions of the old process, by the values of `Act`."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair

    def spawn(self) -> None:
        """Start a new process, which has to be the only one."""
        assert self.pair.new is None or not self.pair.new.alive, "a second new process beside a living one"
        self.pair.new = Process(Successor())
        self.pair.held = set()
        old = self.pair.old
        old.inbox = []
        old.cut = False
        old.heard_cut = False
        old.sees_death = False
        old.saw_death = False

    def settle(self) -> None:
        """Do nothing: no work is pending in this model."""

    def give(self) -> None:
        """Send the listeners and the state."""
        self.pair.say(self.pair.new, "listeners")
        self.pair.say(self.pair.new, "state")

    def commit(self) -> None:
        """Pass some of the connections, then send the commit."""
        waiting = {number for number in self.pair.old.reads if self.pair.rng.random() < 0.7}
        self.pair.old.reads -= waiting
        self.pair.passed |= waiting
        self.pair.say(self.pair.new, ("passed", frozenset(waiting)))
        self.pair.say(self.pair.new, "commit")

    def release(self) -> None:
        """Check that the new process has confirmed every passed connection."""
        assert not self.pair.passed, "released what nobody said to have"

    def drain(self) -> None:
        """Do nothing: `late` passes the rest."""

    def thaw(self) -> None:
        """Do nothing: there is no module in this model."""

    def reclaim(self) -> None:
        """Take the passed connections back from a dead process."""
        assert not self.pair.new.alive, "taken back beside a living one"
        self.pair.old.reads |= self.pair.passed
        self.pair.passed = set()

    def kill(self) -> None:
        """Kill the new process."""
        self.pair.kill(self.pair.new)

    def call_off(self) -> None:
        """Send the cancellation."""
        self.pair.say(self.pair.new, "call_off")

    def done(self) -> None:
        """Send the end of the drain."""
        self.pair.say(self.pair.new, "done")

    def report(self) -> None:
        """Record the result of the upgrade."""
        self.pair.reports.append(self.pair.old.machine.result)

    def end(self) -> None:
        """End the old process."""
        self.pair.exit(self.pair.old)


class NewActions:
    """The actions of the new process, by the values of `Act`."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair

    def hello(self) -> None:
        """Send hello."""
        self.pair.say(self.pair.old, "hello")

    def restore(self) -> None:
        """Restore the state, which sometimes fails."""
        if self.pair.rng.random() < 0.9:
            self.pair.say(self.pair.old, "restored")
            self.pair.step("new", "built")
        else:
            self.pair.step("new", "failed")

    def prove(self) -> None:
        """Check the state, which sometimes fails."""
        if self.pair.rng.random() < 0.9:
            self.pair.say(self.pair.old, "proven")
            self.pair.step("new", "works")
        else:
            self.pair.step("new", "failed")

    def accept(self) -> None:
        """Confirm the passed connections and read them."""
        self.pair.say(self.pair.old, ("adopted", frozenset(self.pair.held)))
        self.pair.say(self.pair.old, "accepting")
        self.pair.new.reads |= self.pair.held
        self.pair.held = set()

    def begin(self) -> None:
        """Read the passed connections; the old process is dead."""
        assert not self.pair.old.alive
        self.pair.new.reads |= self.pair.held
        self.pair.held = set()

    def refuse(self) -> None:
        """Send the refusal."""
        self.pair.say(self.pair.old, "refused")

    def leave(self) -> None:
        """Send the refusal of a service that has to end."""
        self.pair.say(self.pair.old, "refused")

    def end(self) -> None:
        """End the new process."""
        self.pair.exit(self.pair.new)
