"""The right to act, given by the leader and counted by two clocks.  No I/O.

Both clocks are monotonic and gain or lose at most `drift` of true time (1e-3: ten times what a bad quartz
does; the margin that it costs is a thousandth of the span).  The holder counts `span * (1 - drift)` from
before it asked, the giver `span * (1 + drift)` from after the asking came; so in true time the holder's ends
first: its start is earlier and its span at most `span`, the giver's at least `span` (Gray and Cheriton 1989).

Across leaders: an answer goes out only after a read confirmed by a majority that began after the asking
came. Whoever is elected later got a vote of one of that majority after it confirmed, so what was answered was
asked before the election: a new leader that takes every member to hold a lease until `span * (1 + drift)`
after its election is never too early.  tests/test_members_leases.py walks the orders with drifting clocks."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import Lease
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease

# Askings a lease.  Three may be lost or late before a lease runs out.
ASKINGS = 4
# Clocks are read in whole units, rounded down: one unit at either end.
READING = 1
# Askings a member remembers the sending of: those of two spans.
REMEMBERED = 2 * ASKINGS


def holder_span(span: int, drift: float) -> int:
    """How long a holder may count, by its clock."""
    return max(0, math.floor(span * (1 - drift)) - READING)


def grantor_span(span: int, drift: float) -> int:
    """How long a giver must count, by its clock."""
    return math.ceil(span * (1 + drift)) + READING


class LeaseHolder:
    """The member's side.  `until`: by its own clock; it may act while `now < until`."""

    def __init__(self, span: int, drift: float) -> None:
        self.span, self.length = span, holder_span(span, drift)
        self.incarnation = self.until = 0
        self.number, self.due = 0, 0
        self.sent: dict[int, int] = {}  # number -> when, before it went out

    def begin(self, incarnation: int) -> None:
        """A new incarnation holds nothing, whatever the last one held."""
        self.incarnation, self.until, self.due = incarnation, 0, 0
        self.sent.clear()

    def drop(self) -> None:
        """It acts no more: shut out, or its state differs.  Answers under way count no more either."""
        self.until = 0
        self.sent.clear()

    def ask(self, now: int) -> int | None:
        """The number of an asking to send now; None while none is due."""
        if not self.incarnation or now < self.due:
            return None
        self.number += 1
        self.sent[self.number] = now
        for old in [n for n in self.sent if n <= self.number - REMEMBERED]:
            del self.sent[old]
        self.due = now + self.span // ASKINGS
        return self.number

    def heard(self, word: LeaseRenewed, age: int = 0) -> int:
        """Counted from before the asking that it answers; one that comes twice or late gives nothing more.
        `age`: what the answer goes by was true so long before it was sent.  Returns until when this answer
        alone lets the holder act; 0: not at all."""
        sent = self.sent.get(word.number)
        if word.incarnation != self.incarnation or sent is None:
            return 0
        until = sent - age + self.length
        self.until = max(self.until, until)
        return until

    def lease(self, now: int) -> Lease | None:
        return Lease(self.incarnation, self.until) if now < self.until else None


class ReadFirst(Row, frozen=True):
    """Put `Read(number)` into the ledger's machine, and call `confirmed` once it is answered and the state
    machine has been applied up to the index that the answer names."""

    number: int


class Answer(Row, frozen=True):
    to: str
    word: LeaseRenewed | LeaseNotRenewed


@dataclass(slots=True)
class Round:
    """A read that is out, and the askings that it will answer: all of them came before it began."""

    number: int
    begun: int
    askings: dict[str, RenewLease] = field(default_factory=dict)


class LeaseGrantor:
    """The leader's side.  `fit(name, incarnation)` says why that one gets none, "" where it does: by the
    state (roster.Roster.unfit), and nobody whose shutting out this leader has proposed."""

    def __init__(self, span: int, drift: float, fit: Callable[[str, int], str]) -> None:
        self.span, self.length, self.fit = span, grantor_span(span, drift), fit
        self.term = 0  # 0: does not lead
        self.assumed = 0  # until then anyone may hold one, of a leader before
        self.until: dict[tuple[str, int], int] = {}  # given by this one since its election
        self.waiting: dict[str, RenewLease] = {}
        self.round: Round | None = None
        self.reads = 0

    def elected(self, now: int, term: int) -> None:
        self.deposed()
        self.term, self.assumed = term, now + self.length

    def deposed(self) -> None:
        self.term, self.round = 0, None
        self.waiting.clear()
        self.until.clear()

    def came(self, now: int, name: str, word: RenewLease) -> list[ReadFirst | Answer]:
        if not self.term:
            return [Answer(name, LeaseNotRenewed(word.number, word.incarnation, "does not lead"))]
        self.waiting[name] = word
        # A read that is not answered within a quarter is given up: its askings have asked again by then.
        if self.round is not None and now < self.round.begun + self.span // ASKINGS:
            return []
        return self.read(now)

    def read(self, now: int) -> list[ReadFirst | Answer]:
        if not self.waiting:
            return []
        self.reads += 1
        self.round = Round(self.reads, now, self.waiting)
        self.waiting = {}
        return [ReadFirst(self.reads)]

    def confirmed(self, now: int, number: int, ok: bool = True) -> list[ReadFirst | Answer]:
        """`now`: read after the confirmation came; the words go out at once, or not at all."""
        if self.round is None or number != self.round.number or not self.term:
            return []
        askings, self.round = self.round.askings, None
        self.until = {one: until for one, until in self.until.items() if now < until}
        out: list[ReadFirst | Answer] = [
            Answer(name, self.answer(now, name, word, ok)) for name, word in askings.items()
        ]
        return out + self.read(now)

    def answer(self, now: int, name: str, word: RenewLease, ok: bool) -> LeaseRenewed | LeaseNotRenewed:
        one = name, word.incarnation
        if not ok:
            return LeaseNotRenewed(word.number, word.incarnation, "no majority confirmed the leader")
        if why := self.fit(*one):
            return LeaseNotRenewed(word.number, word.incarnation, why, why in OVER)
        self.until[one] = max(self.until.get(one, 0), now + self.length)
        return LeaseRenewed(word.number, word.incarnation, self.term)

    def over(self, now: int, name: str, incarnation: int) -> bool:
        """Its lease has surely run out, by the giver's reckoning.  True only at a leader."""
        return bool(self.term) and now >= max(self.assumed, self.until.get((name, incarnation), 0))


# Why an incarnation never gets a lease again; the roster's words.
OVER = ("shut out", "gone", "a later incarnation has joined")
