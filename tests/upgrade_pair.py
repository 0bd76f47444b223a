"""A model of both processes of an upgrade, which checks the invariants after every step."""

from __future__ import annotations

import random
from collections.abc import Callable

from indigohitch.upgrade.phases import Phase
from indigohitch.upgrade.predecessor import Predecessor
from upgrade_actions import NewActions, OldActions
from upgrade_process import Process

CONNECTIONS = range(6)


class Pair:
    """Both processes with their state machines; the drivers and the channel are modelled by lists."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.steps: list[tuple[str, str, str]] = []  # process, event, phase before it
        self.old = Process(Predecessor())
        self.new: Process | None = None
        self.old.owned = set(CONNECTIONS)
        self.unconfirmed: set[int] = set()  # passed by the old process, not confirmed
        self.received: set[int] = set()  # by the new process before the commit
        self.lost: set[int] = set()  # connections whose only owner has died
        self.reports: list[str] = []

    # ---- steps

    def step(self, side: str, event: str) -> None:
        """Feed an event to a machine, run its actions and check the invariants."""
        process = self.old if side == "old" else self.new
        if not process.is_alive or process.is_hung:
            return
        phase_before = process.machine.phase
        self.steps.append((side, event, phase_before.value))
        # As in upgradable_process.py: a new process that serves ends at some later time.
        process.ordered_to_end |= event == "told_to_end" and side == "new" and process.machine.accepting
        actions = OldActions(self) if side == "old" else NewActions(self)
        for action in process.machine.step(event):
            getattr(actions, action.value)()
        self.check()

    def send(self, to: Process | None, message: str | tuple[str, frozenset[int]]) -> None:
        """Send a message, unless the receiver is dead or its end of the channel is closed."""
        if to is not None and to.is_alive and not to.channel_cut:
            to.inbox.append(message)

    def end_new_by_order(self) -> None:
        """End the new process, which served and was ordered to end."""
        self.new.ended_by_order = True
        self.exit(self.new)

    # ---- events outside of the machines

    def kill(self, process: Process | None) -> None:
        """Kill a process that is still alive."""
        if process is not None and process.is_alive:
            self.exit(process)

    def exit(self, process: Process) -> None:
        """End a process; connections that no other process owns are lost."""
        process.is_alive = False
        other = self.new if process is self.old else self.old
        self.lost |= process.owned
        process.owned = set()
        if process is self.old:
            # A passed connection survives if the new process has it or will receive it.
            inbox = other.inbox if other and other.is_alive else []
            in_transit = {c for message in inbox if isinstance(message, tuple) for c in message[1]}
            surviving = (self.received | other.owned if other and other.is_alive else set()) | in_transit
            self.lost |= self.unconfirmed - surviving
            self.unconfirmed = set()
        if other is not None and other.is_alive:
            other.other_is_dead = other.channel_cut = True

    def deliver(self, side: str) -> None:
        """Deliver the next message to a process."""
        process = self.old if side == "old" else self.new
        message = process.inbox.pop(0)
        if isinstance(message, tuple) and message[0] == "adopted":
            self.unconfirmed -= message[1]
        elif isinstance(message, tuple):
            if self.new.machine.accepting:
                self.send(self.old, ("adopted", message[1]))
                self.new.owned |= message[1]
            else:
                self.received |= message[1]
        else:
            self.step(side, message)

    def choices(self, faults: bool) -> list[Callable[[], object]]:
        """Return the possible next moves, likely ones several times; `faults` adds deaths, hangs and cuts."""
        moves: list[Callable[[], object]] = []
        for side, process in (("old", self.old), ("new", self.new)):
            if process is not None and process.is_alive and not process.is_hung:
                moves += self.channel_choices(side, process)
        if self.old.is_alive:
            moves += self.old_choices()
        if self.new and self.new.is_alive and not self.new.is_hung:
            moves += self.new_choices()
        if faults:
            moves += self.fault_choices()
        return moves

    def channel_choices(self, side: str, process: Process) -> list[Callable[[], object]]:
        """Return the moves by which something reaches a process from the other."""
        moves: list[Callable[[], object]] = []
        if process.inbox:
            moves += [lambda: self.deliver(side)] * 6
        elif process.channel_cut and not process.noticed_cut:
            moves += [lambda: self.eof(side)]
        if process.other_is_dead and not process.noticed_death:
            moves += [lambda: self.death(side)] * 2
        return moves

    def old_choices(self) -> list[Callable[[], object]]:
        """Return the moves of the old process."""
        match self.old.machine.phase:
            case Phase.SETTLING:
                return [lambda: self.step("old", "settled")] * 4
            case Phase.DRAINING:
                return [
                    lambda: self.step("old", "drained"),
                    self.pass_late,
                    lambda: self.step("old", "watched"),
                ]
        return []

    def new_choices(self) -> list[Callable[[], object]]:
        """Return the moves of the new process."""
        moves: list[Callable[[], object]] = []
        if not self.new.has_started:
            moves += [lambda: (setattr(self.new, "has_started", True), self.step("new", "started"))] * 4
        if self.new.ordered_to_end:
            moves += [self.end_new_by_order]
        return moves

    def fault_choices(self) -> list[Callable[[], object]]:
        """Return the possible faults."""
        moves: list[Callable[[], object]] = []
        if self.new and self.new.is_alive:
            moves += [
                lambda: self.kill(self.new),
                lambda: setattr(self.new, "is_hung", True),
                self.cut,
            ]
        if self.old.is_alive and self.rng.random() < 0.3:
            moves += [lambda: self.kill(self.old)]
        return moves

    def death(self, side: str) -> None:
        """Report the death of the other process to a process."""
        process = self.old if side == "old" else self.new
        while process.inbox and process.is_alive:  # messages sent before the death arrive first
            self.deliver(side)
        if process.is_alive:
            process.noticed_death = True
            ended = side == "old" and self.new.ended_by_order and process.machine.phase is Phase.DRAINING
            self.step(side, "refused" if ended else "died")

    def eof(self, side: str) -> None:
        """Report the end of the channel to a process."""
        (self.old if side == "old" else self.new).noticed_cut = True
        self.step(side, "eof")

    def pass_late(self) -> None:
        """Pass a connection that became idle while the old process drains."""
        if self.old.owned and not self.old.channel_cut:
            idle = {min(self.old.owned)}
            self.old.owned -= idle
            self.unconfirmed |= idle
            self.send(self.new, ("passed", frozenset(idle)))

    def cut(self) -> None:
        """Cut the channel; some of the last messages are lost."""
        for process in (self.old, self.new):
            if process.is_alive:
                process.inbox = process.inbox[: self.rng.randint(0, len(process.inbox))]
                process.channel_cut = True

    def deadlines(self) -> None:
        """Report the deadlines of both machines as passed."""
        if self.old.is_alive and self.old.machine.timeout_name:
            self.step("old", "deadline")
        if self.new and self.new.is_alive and not self.new.is_hung and self.new.machine.timeout_name:
            self.step("new", "deadline")

    # ---- invariants

    def check(self) -> None:
        """Assert that at most one process accepts, and that each connection has one owner."""
        accepting = [p for p in (self.old, self.new) if p and p.accepting]
        assert len(accepting) <= 1, "both processes accept"
        if self.new:
            assert not self.old.owned & self.new.owned, "both processes own a connection"
            assert not self.new.owned & self.lost

    def run_without_faults(self) -> None:
        """Run without further faults; deadlines pass until nothing changes."""
        for _ in range(60):
            for _ in range(200):
                moves = self.choices(False)
                if not moves:
                    break
                self.rng.choice(moves)()
            before = (self.old.machine.phase, self.old.is_alive, self.new and self.new.machine.phase)
            self.deadlines()
            after = (self.old.machine.phase, self.old.is_alive, self.new and self.new.machine.phase)
            if before == after and not self.choices(False):
                return
