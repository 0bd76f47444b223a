"""This process' own proposals, each under one number until it is known what it came to.  No I/O.

They are sent again and again: the leader may be gone, the word lost, the entry taken back.  The state lets
each take effect once, as long as its number is within the window; so none leaves it before it is known."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...errors import UnavailableError
from ..state_machine import WINDOW
from ..types import LogEntry, Outcome, Proposal

MOST = WINDOW // 2  # out at a time; the rest of the window is for those that come again late
LONGEST = 8  # of what a sending again waits, in first waits

Done = Callable[[Outcome | None], None]


@dataclass(slots=True)
class Open:
    proposal: Proposal
    done: Done
    due: int  # to be sent (again)
    wait: int


class Proposals:
    def __init__(self, proposer: str, incarnation: int, again: int) -> None:
        """`again`: until a proposal of which nothing was heard is sent again; it doubles each time."""
        self.proposer, self.incarnation, self.again = proposer, incarnation, again
        self.number = 0
        self.open: dict[int, Open] = {}

    def begin(self, proposer: str, incarnation: int) -> None:
        """Under another incarnation from here on: nobody will tell what becomes of those that are out."""
        out, self.open = self.open, {}
        self.proposer, self.incarnation, self.number = proposer, incarnation, 0
        for one in out.values():
            one.done(None)

    def put(self, now: int, kind: str, body: bytes, done: Done) -> None:
        """Raises NotNow where too many are out."""
        first = next(iter(self.open), self.number + 1)
        if len(self.open) >= MOST or self.number + 1 - first >= WINDOW - 1:
            raise UnavailableError(
                f"{len(self.open)} proposals are out",
                remedy="come back once some are known",
                retry_after_ticks=self.again,
            )
        self.number += 1
        proposal = Proposal(self.proposer, self.incarnation, self.number, kind, body)
        self.open[self.number] = Open(proposal, done, now, self.again)

    def due(self, now: int) -> list[Open]:
        return [one for one in self.open.values() if one.due <= now]

    def sent(self, now: int, one: Open) -> None:
        one.due = now + one.wait
        one.wait = min(2 * one.wait, LONGEST * self.again)

    def turned(self, now: int, proposer: str, incarnation: int, number: int, again: int) -> None:
        if (proposer, incarnation) == (self.proposer, self.incarnation) and number in self.open:
            self.open[number].due = now + again
            self.open[number].wait = self.again

    def hurry(self, now: int) -> None:
        """There is another leader: what the last one had may be void."""
        for one in self.open.values():
            one.due, one.wait = now, self.again

    def applied(self, entry: LogEntry, outcome: Outcome) -> bool:
        """Whether it was one of these; its owner is told."""
        if (entry.proposer, entry.incarnation) != (self.proposer, self.incarnation):
            return False
        one = self.open.pop(entry.number, None)
        if one is not None:
            one.done(outcome)
        return one is not None
