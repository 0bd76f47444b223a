"""A version goes to some relays first, and back from them where it harms.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..errors import NotNow
from ..net.clock import SECOND
from .amends import amended
from .halting import Course, Flapping, Staged
from .terms import Version

if TYPE_CHECKING:
    from .desk import Desk

STAGE, HALT = "stage", "halt"  # who pinned it
# After a halt, the next version goes out after that long at first; an operator is awake in the longest.
WAIT, MOST_WAIT = 60 * SECOND, 3600 * SECOND


class Pushing:
    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.staged: Staged | None = None
        self.before: Version | None = None  # what the others stay at
        self.got: frozenset[str] = frozenset()
        self.flapping = Flapping(WAIT, MOST_WAIT)

    def target(self, relay: str) -> Version:
        return self.desk.current if self.staged is None or relay in self.got else self.before

    def begin(self, now: int) -> None:
        """Before the version is made that is to go out in stages, to those first whose names come first.
        Raises NotNow while there is nothing to go back to; OSError."""
        desk = self.desk
        if desk.current is None or desk.pin is not None:
            raise NotNow("nothing to go back to, or a pin stands", "", "push without stages, or unpin first")
        if now < self.flapping.until:
            raise NotNow("a push was halted just now", again=self.flapping.until - now)
        if self.staged is None:
            self.before = desk.current
        desk.store.pin(self.before.number, STAGE, now)
        self.staged = Staged(sorted(desk.sessions))
        self.got = frozenset(self.staged.got())

    def end(self) -> None:
        if self.staged is not None:
            self.staged, self.got = None, frozenset()
            self.desk.store.pin(0, "", 0)

    def amend(self, now: int) -> None:
        """News of backends came: what the others stay at is made fit, under a number of its own."""
        desk = self.desk
        found = amended(self.before, self.before.root, desk.facts)
        if found.root != self.before.root and not found.faults:
            version = Version(
                desk.keeping.newest.number + 1,
                found.root,
                self.before.mark,
                "amended while a push is staged",
                now,
            )
            desk.store.add(version)
            self.before = version
            desk.store.pin(version.number, STAGE, now)

    def looked(self, now: int, counts: Mapping[str, tuple[int, int]]) -> Course | None:
        """Once a second; `counts`: RPCs failed and all since the last look, by relay.  Only relays that have
        come to their version count.  Raises OSError."""
        if self.staged is None:
            return None
        desk = self.desk
        sides = {True: [0, 0], False: [0, 0]}
        for relay, (bad, all) in counts.items():
            if (session := desk.sessions.get(relay)) is not None and session.settled:
                side = sides[relay in self.got]
                side[0], side[1] = side[0] + bad, side[1] + all
        was, course = self.staged.stage, self.staged.look(*sides[True], *sides[False])
        if course is Course.HALTED:
            back, bad = self.before, desk.current.root.digest
            seen = self.staged.seen
            desk.rollback(now, back.number, HALT, frozenset({"blast"}))
            self.flapping.halt(now, bad)
            desk.tell("push_halted", to=back.number, likelihood=seen[-1])
        elif course is Course.DONE or self.staged.stage != was:
            self.got = frozenset(self.staged.got())
            if course is Course.DONE:
                self.end()
            for session in desk.sessions.values():
                desk.give(session)
        return course
