"""A model of both processes of an upgrade, whose invariants are checked after every step."""

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
        self.steps: list[tuple[str, str, str]] = []  # side, event, phase before it
        self.old = Process(Predecessor())
        self.new: Process | None = None
        self.old.reads = set(CONNECTIONS)
        self.passed: set[int] = set()  # by the old process, unconfirmed
        self.held: set[int] = set()  # by the new process, before the commit
        self.died_with: set[int] = set()  # connections whose only owner has died
        self.reports: list[str] = []

    # ---- doing

    def step(self, side: str, event: str) -> None:
        """Give an event to a machine, run its actions and check the invariants."""
        process = self.old if side == "old" else self.new
        if not process.alive or process.hung:
            return
        phase_before = process.machine.phase
        self.steps.append((side, event, phase_before.value))
        # As in upgradable_process.py: a new one that is the service ends as any does, at some later time.
        process.told_to_end |= event == "told_to_end" and side == "new" and process.machine.accepting
        actions = OldActions(self) if side == "old" else NewActions(self)
        for act in process.machine.step(event):
            getattr(actions, act.value)()
        self.check()

    def say(self, to: Process | None, word: str | tuple[str, frozenset[int]]) -> None:
        """Send a message, unless the receiver is dead or its channel is cut."""
        if to is not None and to.alive and not to.cut:
            to.inbox.append(word)

    def new_ends_in_order(self) -> None:
        """End the new process, which was the service and had to end."""
        self.new.in_order = True
        self.exit(self.new)

    # ---- what happens

    def kill(self, process: Process | None) -> None:
        """Kill a process that is still alive."""
        if process is not None and process.alive:
            self.exit(process)

    def exit(self, process: Process) -> None:
        """End a process; connections without another owner die with it."""
        process.alive = False
        other = self.new if process is self.old else self.old
        self.died_with |= process.reads
        process.reads = set()
        if process is self.old:
            # What it kept for the case of a take-back is the new one's if it has it, or on its way to it.
            inbox = other.inbox if other and other.alive else []
            on_way = {c for word in inbox if isinstance(word, tuple) for c in word[1]}
            has = (self.held | other.reads if other and other.alive else set()) | on_way
            self.died_with |= self.passed - has
            self.passed = set()
        if other is not None and other.alive:
            other.sees_death = other.cut = True

    def deliver(self, side: str) -> None:
        """Deliver the next message to a process."""
        process = self.old if side == "old" else self.new
        word = process.inbox.pop(0)
        if isinstance(word, tuple) and word[0] == "adopted":
            self.passed -= word[1]
        elif isinstance(word, tuple):
            if self.new.machine.accepting:
                self.say(self.old, ("adopted", word[1]))
                self.new.reads |= word[1]
            else:
                self.held |= word[1]
        else:
            self.step(side, word)

    def choices(self, faults: bool) -> list[Callable[[], object]]:
        """Return what can happen next, likelier moves several times; with `faults` deaths, hangs and cuts."""
        found: list[Callable[[], object]] = []
        for side, process in (("old", self.old), ("new", self.new)):
            if process is not None and process.alive and not process.hung:
                found += self.channel_choices(side, process)
        if self.old.alive:
            found += self.old_choices()
        if self.new and self.new.alive and not self.new.hung:
            found += self.new_choices()
        if faults:
            found += self.fault_choices()
        return found

    def channel_choices(self, side: str, process: Process) -> list[Callable[[], object]]:
        """Return what can reach a process from the other."""
        found: list[Callable[[], object]] = []
        if process.inbox:
            found += [lambda: self.deliver(side)] * 6
        elif process.cut and not process.heard_cut:
            found += [lambda: self.eof(side)]
        if process.sees_death and not process.saw_death:
            found += [lambda: self.death(side)] * 2
        return found

    def old_choices(self) -> list[Callable[[], object]]:
        """Return what can happen in the old process."""
        match self.old.machine.phase:
            case Phase.SETTLING:
                return [lambda: self.step("old", "settled")] * 4
            case Phase.DRAINING:
                return [
                    lambda: self.step("old", "drained"),
                    self.late,
                    lambda: self.step("old", "watched"),
                ]
        return []

    def new_choices(self) -> list[Callable[[], object]]:
        """Return what can happen in the new process."""
        found: list[Callable[[], object]] = []
        if not self.new.started:
            found += [lambda: (setattr(self.new, "started", True), self.step("new", "started"))] * 4
        if self.new.told_to_end:
            found += [self.new_ends_in_order]
        return found

    def fault_choices(self) -> list[Callable[[], object]]:
        """Return the faults that can happen."""
        found: list[Callable[[], object]] = []
        if self.new and self.new.alive:
            found += [lambda: self.kill(self.new), lambda: setattr(self.new, "hung", True), self.cut]
        if self.old.alive and self.rng.random() < 0.3:
            found += [lambda: self.kill(self.old)]
        return found

    def death(self, side: str) -> None:
        """Let a process notice the death of the other."""
        process = self.old if side == "old" else self.new
        while process.inbox and process.alive:  # its last words came first
            self.deliver(side)
        if process.alive:
            process.saw_death = True
            ended = side == "old" and self.new.in_order and process.machine.phase is Phase.DRAINING
            self.step(side, "refused" if ended else "died")

    def eof(self, side: str) -> None:
        """Let a process notice the end of the channel."""
        (self.old if side == "old" else self.new).heard_cut = True
        self.step(side, "eof")

    def late(self) -> None:
        """A connection came free while the old one drains."""
        if self.old.reads and not self.old.cut:
            freed = {min(self.old.reads)}
            self.old.reads -= freed
            self.passed |= freed
            self.say(self.new, ("passed", frozenset(freed)))

    def cut(self) -> None:
        """Cut the channel; some of the last messages are lost."""
        for process in (self.old, self.new):
            if process.alive:
                process.inbox = process.inbox[: self.rng.randint(0, len(process.inbox))]
                process.cut = True

    def deadlines(self) -> None:
        """Let the deadlines of both machines pass."""
        if self.old.alive and self.old.machine.wait:
            self.step("old", "deadline")
        if self.new and self.new.alive and not self.new.hung and self.new.machine.wait:
            self.step("new", "deadline")

    # ---- what must hold

    def check(self) -> None:
        """Assert that one process at most accepts, and that each connection has one reader."""
        accepting = [p for p in (self.old, self.new) if p and p.accepting]
        assert len(accepting) <= 1, "two accept"
        if self.new:
            assert not self.old.reads & self.new.reads, "two read one connection"
            assert not self.new.reads & self.died_with

    def settle(self) -> None:
        """No more faults: deadlines pass until nothing changes."""
        for _ in range(60):
            for _ in range(200):
                found = self.choices(False)
                if not found:
                    break
                self.rng.choice(found)()
            before = (self.old.machine.phase, self.old.alive, self.new and self.new.machine.phase)
            self.deadlines()
            after = (self.old.machine.phase, self.old.alive, self.new and self.new.machine.phase)
            if before == after and not self.choices(False):
                return
