"""The actions of both state machines of an upgrade, on the model in upgrade_pair.py."""

from __future__ import annotations

from typing import TYPE_CHECKING

from indigohitch.upgrade.successor import Successor
from upgrade_process import Process

if TYPE_CHECKING:
    from upgrade_pair import Pair


class OldActions:
    """The actions of the old process, by the values of `Action`."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair

    def spawn(self) -> None:
        """Start a new process, which has to be the only one."""
        assert self.pair.new is None or not self.pair.new.is_alive, (
            "a second new process was started while the first is alive"
        )
        self.pair.new = Process(Successor())
        self.pair.received = set()
        old = self.pair.old
        old.inbox = []
        old.channel_cut = False
        old.noticed_cut = False
        old.other_is_dead = False
        old.noticed_death = False

    def settle(self) -> None:
        """Do nothing: no work is pending in this model."""

    def give(self) -> None:
        """Send the listeners and the state."""
        self.pair.send(self.pair.new, "listeners")
        self.pair.send(self.pair.new, "state")

    def commit(self) -> None:
        """Pass some of the connections, then send the commit."""
        idle = {number for number in self.pair.old.owned if self.pair.rng.random() < 0.7}
        self.pair.old.owned -= idle
        self.pair.unconfirmed |= idle
        self.pair.send(self.pair.new, ("passed", frozenset(idle)))
        self.pair.send(self.pair.new, "commit")

    def release(self) -> None:
        """Check that the new process has confirmed every passed connection."""
        assert not self.pair.unconfirmed, "released a connection that was not confirmed"

    def drain(self) -> None:
        """Do nothing: `pass_late` passes the remaining connections."""

    def thaw(self) -> None:
        """Do nothing: this model has no decision module."""

    def reclaim(self) -> None:
        """Take the passed connections back from a dead process."""
        assert not self.pair.new.is_alive, "taken back from a living process"
        self.pair.old.owned |= self.pair.unconfirmed
        self.pair.unconfirmed = set()

    def kill(self) -> None:
        """Kill the new process."""
        self.pair.kill(self.pair.new)

    def call_off(self) -> None:
        """Send the cancellation."""
        self.pair.send(self.pair.new, "call_off")

    def done(self) -> None:
        """Notify the new process that the drain is complete."""
        self.pair.send(self.pair.new, "done")

    def report(self) -> None:
        """Record the result of the upgrade."""
        self.pair.reports.append(self.pair.old.machine.result)

    def end(self) -> None:
        """End the old process."""
        self.pair.exit(self.pair.old)


class NewActions:
    """The actions of the new process, by the values of `Action`."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair

    def hello(self) -> None:
        """Send hello."""
        self.pair.send(self.pair.old, "hello")

    def restore(self) -> None:
        """Restore the state, which sometimes fails."""
        if self.pair.rng.random() < 0.9:
            self.pair.send(self.pair.old, "restored")
            self.pair.step("new", "built")
        else:
            self.pair.step("new", "failed")

    def prove(self) -> None:
        """Check the state, which sometimes fails."""
        if self.pair.rng.random() < 0.9:
            self.pair.send(self.pair.old, "proven")
            self.pair.step("new", "works")
        else:
            self.pair.step("new", "failed")

    def accept(self) -> None:
        """Confirm the passed connections and take ownership of them."""
        self.pair.send(self.pair.old, ("adopted", frozenset(self.pair.received)))
        self.pair.send(self.pair.old, "accepting")
        self.pair.new.owned |= self.pair.received
        self.pair.received = set()

    def begin(self) -> None:
        """Take ownership of the passed connections from the dead old process."""
        assert not self.pair.old.is_alive
        self.pair.new.owned |= self.pair.received
        self.pair.received = set()

    def refuse(self) -> None:
        """Send the refusal."""
        self.pair.send(self.pair.old, "refused")

    def leave(self) -> None:
        """Notify the old process that this one was ordered to end while it served."""
        self.pair.send(self.pair.old, "refused")

    def end(self) -> None:
        """End the new process."""
        self.pair.exit(self.pair.new)
