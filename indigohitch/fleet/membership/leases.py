"""Leases: the right to act, granted by the leader and timed by two clocks.  No I/O.

Both clocks are monotonic and gain or lose at most `drift` of true time (1e-3: ten times what a bad quartz
does; the margin that it costs is a thousandth of the duration).  The holder counts `span * (1 - drift)` from
before it sent its request, the grantor `span * (1 + drift)` from after the request came; so in true time the
holder's ends first: its start is earlier and its length at most `span`, the grantor's at least `span` (Gray
and Cheriton 1989).

Across leaders: a reply goes out only after a read confirmed by a majority that started after the request
came.  Whoever is elected later got a vote of one of that majority after it confirmed, so the request of each
lease granted before was sent before the election: a new leader that takes every member to hold a lease until
`span * (1 + drift)` after its election is never too early.  tests/test_members_leases.py walks the orders
with drifting clocks.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import Lease
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease

# Renewals a lease.  Three may be lost or late before a lease expires.
RENEWALS_PER_LEASE = 4
# Clocks are read in whole ticks, rounded down: one tick at either end.
CLOCK_ROUNDING = 1
# Requests of which a member keeps the time of sending: those of two leases.
MAX_REMEMBERED = 2 * RENEWALS_PER_LEASE
# Why an incarnation never gets a lease again; the roster's reasons.
FINAL_REASONS = ("shut out", "gone", "a later incarnation has joined")


def holder_span(span: int, drift: float) -> int:
    """Returns the ticks that a holder may count by its clock."""
    return max(0, math.floor(span * (1 - drift)) - CLOCK_ROUNDING)


def grantor_span(span: int, drift: float) -> int:
    """Returns the ticks that a grantor must count by its clock."""
    return math.ceil(span * (1 + drift)) + CLOCK_ROUNDING


class LeaseHolder:
    """The member's side; it may act while `now < valid_until` by its own clock."""

    def __init__(self, span: int, drift: float) -> None:
        """Creates a holder without a lease; `span` is the nominal duration in ticks."""
        self.span = span
        self.duration = holder_span(span, drift)
        self.incarnation = 0
        self.valid_until = 0
        self.number = 0
        self.renewal_due_at = 0
        self.sent: dict[int, int] = {}  # number of a request -> time, read before it was sent

    def start(self, incarnation: int) -> None:
        """Starts a new incarnation without a lease, whatever the last one held."""
        self.incarnation = incarnation
        self.valid_until = 0
        self.renewal_due_at = 0
        self.sent.clear()

    def drop(self) -> None:
        """Gives the lease up; replies under way do not count any more either."""
        self.valid_until = 0
        self.sent.clear()

    def next_renewal(self, now: int) -> int | None:
        """Returns the number of a request to send now; None while none is due."""
        if not self.incarnation or now < self.renewal_due_at:
            return None
        self.number += 1
        self.sent[self.number] = now
        for old in [number for number in self.sent if number <= self.number - MAX_REMEMBERED]:
            del self.sent[old]
        self.renewal_due_at = now + self.span // RENEWALS_PER_LEASE
        return self.number

    def on_renewed(self, message: LeaseRenewed, age: int = 0) -> int:
        """Extends the lease, counted from before its request was sent; a duplicate extends nothing.

        `age` is how long before the reply its information was true.  Returns until when this reply alone
        allows to act; 0 if it does not.
        """
        sent = self.sent.get(message.number)
        if message.incarnation != self.incarnation or sent is None:
            return 0
        valid_until = sent - age + self.duration
        self.valid_until = max(self.valid_until, valid_until)
        return valid_until

    def lease(self, now: int) -> Lease | None:
        """Returns the lease held now, None if there is none."""
        return Lease(self.incarnation, self.valid_until) if now < self.valid_until else None


class ReadFirst(Row, frozen=True):
    """Order to confirm the leader by a read of that number.

    `on_read_confirmed` is to be called once the read is confirmed and the state machine has been applied up
    to the index that it names.
    """

    number: int


class Answer(Row, frozen=True):
    """Order to send a reply to a member."""

    to: str
    word: LeaseRenewed | LeaseNotRenewed


@dataclass(slots=True)
class Round:
    """A read in flight and the requests that it will answer: all of them came before it started."""

    number: int
    started_at: int
    requests: dict[str, RenewLease] = field(default_factory=dict)


class LeaseGrantor:
    """The leader's side."""

    def __init__(self, span: int, drift: float, ineligibility: Callable[[str, int], str]) -> None:
        """Creates a grantor that does not lead.

        `ineligibility(name, incarnation)` returns why that incarnation gets no lease, "" if it does: by the
        state (Roster.ineligibility), and by this leader's proposals of evictions.
        """
        self.span = span
        self.duration = grantor_span(span, drift)
        self.ineligibility = ineligibility
        self.term = 0  # 0: does not lead
        self.assumed_until = 0  # until then any member may hold a lease of an earlier leader
        self.granted_until: dict[tuple[str, int], int] = {}  # by this leader since its election
        self.waiting: dict[str, RenewLease] = {}
        self.round: Round | None = None
        self.reads = 0

    def on_elected(self, now: int, term: int) -> None:
        """Starts to lead in that term."""
        self.on_deposed()
        self.term = term
        self.assumed_until = now + self.duration

    def on_deposed(self) -> None:
        """Stops leading."""
        self.term = 0
        self.round = None
        self.waiting.clear()
        self.granted_until.clear()

    def on_renewal(self, now: int, name: str, message: RenewLease) -> list[ReadFirst | Answer]:
        """Takes a request and returns what is to be done."""
        if not self.term:
            return [Answer(name, LeaseNotRenewed(message.number, message.incarnation, "does not lead"))]
        self.waiting[name] = message
        # A read without a result for a quarter is given up: its requests have been sent again by then.
        if self.round is not None and now < self.round.started_at + self.span // RENEWALS_PER_LEASE:
            return []
        return self._start_round(now)

    def _start_round(self, now: int) -> list[ReadFirst | Answer]:
        if not self.waiting:
            return []
        self.reads += 1
        self.round = Round(self.reads, now, self.waiting)
        self.waiting = {}
        return [ReadFirst(self.reads)]

    def on_read_confirmed(self, now: int, number: int, ok: bool = True) -> list[ReadFirst | Answer]:
        """Returns the replies to the requests of the round, and the next read.

        `now` is read after the confirmation came; the replies go out at once, or not at all.
        """
        if self.round is None or number != self.round.number or not self.term:
            return []
        requests = self.round.requests
        self.round = None
        self.granted_until = {member: until for member, until in self.granted_until.items() if now < until}
        replies: list[ReadFirst | Answer] = [
            Answer(name, self._reply(now, name, message, ok)) for name, message in requests.items()
        ]
        return replies + self._start_round(now)

    def _reply(self, now: int, name: str, message: RenewLease, ok: bool) -> LeaseRenewed | LeaseNotRenewed:
        member = (name, message.incarnation)
        if not ok:
            return LeaseNotRenewed(message.number, message.incarnation, "no majority confirmed the leader")
        if why := self.ineligibility(*member):
            return LeaseNotRenewed(message.number, message.incarnation, why, why in FINAL_REASONS)
        self.granted_until[member] = max(self.granted_until.get(member, 0), now + self.duration)
        return LeaseRenewed(message.number, message.incarnation, self.term)

    def has_expired(self, now: int, name: str, incarnation: int) -> bool:
        """Returns whether that lease has expired by the grantor's clock; true only at a leader."""
        granted_until = self.granted_until.get((name, incarnation), 0)
        return bool(self.term) and now >= max(self.assumed_until, granted_until)
