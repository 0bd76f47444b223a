"""Both sides of an upgrade on lists: what giving.py and taking.py do for the machines, with the rules checked
after every step."""

from indigohitch.upgrade.phases import Phase
from indigohitch.upgrade.predecessor import Predecessor
from indigohitch.upgrade.successor import Successor

CONNECTIONS = range(6)


class Process:
    def __init__(self, machine):
        self.machine, self.alive, self.hung, self.told_to_end = machine, True, False, False
        self.reads = set()  # connections that it reads
        self.inbox = []  # what the other said, not delivered yet
        self.cut = self.heard_cut = False  # of its end of the channel
        self.sees_death = self.saw_death = self.started = False
        self.in_order = False  # a service that was told to end, and did

    @property
    def accepting(self):
        return self.alive and not self.told_to_end and self.machine.accepting


class Pair:
    """What giving.py and taking.py do for the machines, on lists."""

    def __init__(self, rng):
        self.rng, self.steps = rng, []
        self.old, self.new = Process(Predecessor()), None
        self.old.reads = set(CONNECTIONS)
        self.passed = set()  # of the old one: not known to have their owner
        self.held = set()  # of the new one: before the commit
        self.died_with = set()  # connections of which the one owner has died
        self.reports = []

    # ---- doing

    def step(self, side, event):
        process = self.old if side == "old" else self.new
        if not process.alive or process.hung:
            return
        was = process.machine.phase
        self.steps.append((side, event, was.value))
        # As replaceable.py: a new one that is the service ends as any does, at some later time.
        process.told_to_end |= event == "told_to_end" and side == "new" and process.machine.accepting
        for act in process.machine.step(event):
            getattr(self, f"{side}_{act.value}")()
        self.check()

    def say(self, to, word):
        if to is not None and to.alive and not to.cut:
            to.inbox.append(word)

    def old_spawn(self):
        assert self.new is None or not self.new.alive, "a second new process beside a living one"
        self.new = Process(Successor())
        self.held = set()
        self.old.inbox, self.old.cut, self.old.heard_cut = [], False, False
        self.old.sees_death = self.old.saw_death = False

    def old_settle(self):
        pass

    def old_give(self):
        self.say(self.new, "listeners")
        self.say(self.new, "state")

    def old_commit(self):
        waiting = {c for c in self.old.reads if self.rng.random() < 0.7}
        self.old.reads -= waiting
        self.passed |= waiting
        self.say(self.new, ("passed", frozenset(waiting)))
        self.say(self.new, "commit")

    def old_release(self):
        assert not self.passed, "released what nobody said to have"

    def old_drain(self):
        pass

    def old_thaw(self):
        pass

    def old_reclaim(self):
        assert not self.new.alive, "taken back beside a living one"
        self.old.reads |= self.passed
        self.passed = set()

    def old_kill(self):
        self.kill(self.new)

    def old_call_off(self):
        self.say(self.new, "call_off")

    def old_done(self):
        self.say(self.new, "done")

    def old_report(self):
        self.reports.append(self.old.machine.result)

    def old_end(self):
        self.exit(self.old)

    def new_hello(self):
        self.say(self.old, "hello")

    def new_restore(self):
        if self.rng.random() < 0.9:
            self.say(self.old, "restored")
            self.step("new", "built")
        else:
            self.step("new", "failed")

    def new_prove(self):
        if self.rng.random() < 0.9:
            self.say(self.old, "proven")
            self.step("new", "works")
        else:
            self.step("new", "failed")

    def new_accept(self):
        self.say(self.old, ("adopted", frozenset(self.held)))
        self.say(self.old, "accepting")
        self.new.reads |= self.held
        self.held = set()

    def new_begin(self):
        assert not self.old.alive
        self.new.reads |= self.held
        self.held = set()

    def new_refuse(self):
        self.say(self.old, "refused")

    def new_leave(self):
        self.say(self.old, "refused")

    def new_end(self):
        self.exit(self.new)

    def new_ends_in_order(self):
        self.new.in_order = True
        self.exit(self.new)

    # ---- what happens

    def kill(self, process):
        if process is not None and process.alive:
            self.exit(process)

    def exit(self, process):
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

    def deliver(self, side):
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

    def choices(self, faults):
        found = []
        for side, process in (("old", self.old), ("new", self.new)):
            if process is None or not process.alive or process.hung:
                continue
            if process.inbox:
                found += [lambda side=side: self.deliver(side)] * 6
            elif process.cut and not process.heard_cut:
                found += [lambda side=side: self.eof(side)]
            if process.sees_death and not process.saw_death:
                found += [lambda side=side: self.death(side)] * 2
        phase = self.old.machine.phase
        if self.old.alive:
            found += {
                Phase.SETTLING: [lambda: self.step("old", "settled")] * 4,
                Phase.DRAINING: [
                    lambda: self.step("old", "drained"),
                    lambda: self.late(),
                    lambda: self.step("old", "watched"),
                ],
            }.get(phase, [])
        if self.new and self.new.alive and not self.new.hung and not self.new.started:
            found += [lambda: (setattr(self.new, "started", True), self.step("new", "started"))] * 4
        if self.new and self.new.alive and not self.new.hung and self.new.told_to_end:
            found += [self.new_ends_in_order]
        if faults:
            if self.new and self.new.alive:
                found += [lambda: self.kill(self.new), lambda: setattr(self.new, "hung", True), self.cut]
            if self.old.alive and self.rng.random() < 0.3:
                found += [lambda: self.kill(self.old)]
        return found

    def death(self, side):
        process = self.old if side == "old" else self.new
        while process.inbox and process.alive:  # its last words came first
            self.deliver(side)
        if process.alive:
            process.saw_death = True
            ended = side == "old" and self.new.in_order and process.machine.phase is Phase.DRAINING
            self.step(side, "refused" if ended else "died")

    def eof(self, side):
        (self.old if side == "old" else self.new).heard_cut = True
        self.step(side, "eof")

    def late(self):
        """A connection came free while the old one drains."""
        if self.old.reads and not self.old.cut:
            one = {min(self.old.reads)}
            self.old.reads -= one
            self.passed |= one
            self.say(self.new, ("passed", frozenset(one)))

    def cut(self):
        for process in (self.old, self.new):
            if process.alive:
                process.inbox = process.inbox[: self.rng.randint(0, len(process.inbox))]
                process.cut = True

    def deadlines(self):
        if self.old.alive and self.old.machine.wait:
            self.step("old", "deadline")
        if self.new and self.new.alive and not self.new.hung and self.new.machine.wait:
            self.step("new", "deadline")

    # ---- what must hold

    def check(self):
        accepting = [p for p in (self.old, self.new) if p and p.accepting]
        assert len(accepting) <= 1, "two accept"
        if self.new:
            assert not self.old.reads & self.new.reads, "two read one connection"
            assert not self.new.reads & self.died_with

    def settle(self):
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
