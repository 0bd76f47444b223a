"""Leases: the right of a member to act, granted by the leader and timed by both clocks.  No I/O.

Both clocks are monotonic and gain or lose at most `drift` of true time.  A drift of 1e-3 is ten times that of
a bad quartz, and the margin costs a thousandth of the duration.  The holder counts `span * (1 - drift)` from
before it sent its request, the grantor `span * (1 + drift)` from after the request arrived.  In true time the
holder's period ends first, as it starts earlier and lasts at most `span`, the grantor's at least `span` (Gray
and Cheriton 1989).

Across leaders: a reply is sent only after a majority has confirmed a read that started after the request
arrived.  A leader elected later got the vote of one of that majority after it confirmed, so the request of
each lease granted before was sent before the election.  A new leader is therefore never too early if it
assumes that every member holds a lease until `span * (1 + drift)` after its election.
tests/test_lease_safety.py checks all orders of events with drifting clocks.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import Lease
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease

# Renewals sent per lease duration: three may be lost or late before a lease expires.
RENEWALS_PER_LEASE = 4
# Ticks of margin at either end, because clock readings are rounded down to whole ticks.
CLOCK_ROUNDING = 1
# Requests whose sending time a member remembers: those of two lease durations.
MAX_REMEMBERED = 2 * RENEWALS_PER_LEASE
# The roster's reasons with which an incarnation never gets a lease again.
FINAL_REASONS = ("shut out", "gone", "a later incarnation has joined")


def holder_span(span: int, drift: float) -> int:
    """Returns for how many ticks of its clock a holder may use a lease."""
    return max(0, math.floor(span * (1 - drift)) - CLOCK_ROUNDING)


def grantor_span(span: int, drift: float) -> int:
    """Returns for how many ticks of its clock a grantor must assume that a lease is held."""
    return math.ceil(span * (1 + drift)) + CLOCK_ROUNDING


class LeaseHolder:
    """Holds the lease of a member, which may act while `now < valid_until` by its own clock."""

    def __init__(self, span: int, drift: float) -> None:
        """Creates a holder without a lease; `span` is the nominal duration in ticks."""
        self.span = span
        self.duration = holder_span(span, drift)
        self.incarnation = 0
        self.valid_until = 0
        self.number = 0
        self.renewal_due_at = 0
        self.sent: dict[int, int] = {}  # number of a request -> time read before it was sent

    def start(self, incarnation: int) -> None:
        """Starts a new incarnation; a lease of the last one is dropped."""
        self.incarnation = incarnation
        self.valid_until = 0
        self.renewal_due_at = 0
        self.sent.clear()

    def drop(self) -> None:
        """Gives up the lease; replies still in flight are ignored."""
        self.valid_until = 0
        self.sent.clear()

    def next_renewal(self, now: int) -> int | None:
        """Returns the number of the request to send now, or None if none is due."""
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

        `age` is how old the information of the reply was when it was sent.  Returns until when this reply
        alone allows the member to act, or 0 if it answers no remembered request.
        """
        sent = self.sent.get(message.number)
        if message.incarnation != self.incarnation or sent is None:
            return 0
        valid_until = sent - age + self.duration
        self.valid_until = max(self.valid_until, valid_until)
        return valid_until

    def lease(self, now: int) -> Lease | None:
        """Returns the lease held now, or None."""
        return Lease(self.incarnation, self.valid_until) if now < self.valid_until else None


class StartRead(Row, frozen=True):
    """Tells the caller to start a linearizable read, which confirms that this leader still leads.

    The caller calls `on_read_confirmed` once the read is confirmed and the state machine has applied the log
    up to the index of the read.
    """

    number: int


class SendReply(Row, frozen=True):
    """Tells the caller to send a reply to a member."""

    to: str
    message: LeaseRenewed | LeaseNotRenewed


@dataclass(slots=True)
class Round:
    """A read in flight and the requests to answer after it, all of which arrived before it started."""

    number: int
    started_at: int
    requests: dict[str, RenewLease] = field(default_factory=dict)


class LeaseGrantor:
    """Grants leases at the leader."""

    def __init__(self, span: int, drift: float, ineligibility: Callable[[str, int], str]) -> None:
        """Creates a grantor that does not lead.

        `ineligibility(name, incarnation)` returns why that incarnation gets no lease, "" if it does.  It
        considers the state (Roster.ineligibility) and the evictions that this leader has proposed.
        """
        self.span = span
        self.duration = grantor_span(span, drift)
        self.ineligibility = ineligibility
        self.term = 0  # 0: does not lead
        self.assumed_until = 0  # until then any member may hold a lease from an earlier leader
        self.granted_until: dict[tuple[str, int], int] = {}  # of the leases granted since the election
        self.waiting: dict[str, RenewLease] = {}
        self.round: Round | None = None
        self.reads = 0

    def on_elected(self, now: int, term: int) -> None:
        """Starts granting in that term."""
        self.on_deposed()
        self.term = term
        self.assumed_until = now + self.duration

    def on_deposed(self) -> None:
        """Stops granting, and forgets the requests and leases of the term."""
        self.term = 0
        self.round = None
        self.waiting.clear()
        self.granted_until.clear()

    def on_renewal(self, now: int, name: str, message: RenewLease) -> list[StartRead | SendReply]:
        """Queues a request and returns what the caller has to do."""
        if not self.term:
            return [SendReply(name, LeaseNotRenewed(message.number, message.incarnation, "does not lead"))]
        self.waiting[name] = message
        # A read without a result for a quarter of a lease is abandoned: its requests were sent again by then.
        if self.round is not None and now < self.round.started_at + self.span // RENEWALS_PER_LEASE:
            return []
        return self._start_round(now)

    def _start_round(self, now: int) -> list[StartRead | SendReply]:
        if not self.waiting:
            return []
        self.reads += 1
        self.round = Round(self.reads, now, self.waiting)
        self.waiting = {}
        return [StartRead(self.reads)]

    def on_read_confirmed(self, now: int, number: int, confirmed: bool = True) -> list[StartRead | SendReply]:
        """Returns the replies to the requests of the round, and the next read, if requests are waiting.

        `now` must be read after the confirmation arrived, and the replies sent at once or not at all.
        """
        if self.round is None or number != self.round.number or not self.term:
            return []
        requests = self.round.requests
        self.round = None
        self.granted_until = {member: until for member, until in self.granted_until.items() if now < until}
        replies: list[StartRead | SendReply] = [
            SendReply(name, self._reply(now, name, message, confirmed)) for name, message in requests.items()
        ]
        return replies + self._start_round(now)

    def _reply(
        self, now: int, name: str, message: RenewLease, confirmed: bool
    ) -> LeaseRenewed | LeaseNotRenewed:
        member = (name, message.incarnation)
        if not confirmed:
            return LeaseNotRenewed(message.number, message.incarnation, "no majority confirmed the leader")
        if why := self.ineligibility(*member):
            return LeaseNotRenewed(message.number, message.incarnation, why, why in FINAL_REASONS)
        self.granted_until[member] = max(self.granted_until.get(member, 0), now + self.duration)
        return LeaseRenewed(message.number, message.incarnation, self.term)

    def has_expired(self, now: int, name: str, incarnation: int) -> bool:
        """Returns whether a lease has expired by the grantor's clock; always False if it does not lead."""
        granted_until = self.granted_until.get((name, incarnation), 0)
        return bool(self.term) and now >= max(self.assumed_until, granted_until)
