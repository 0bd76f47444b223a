"""This process' own proposals, each under one number until its outcome is known.  No I/O.

They are sent again and again: the leader may be lost, the message dropped, the entry overwritten.  The state
machine lets each take effect once, as long as its number is within the window; so none leaves it before its
outcome is known.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...errors import UnavailableError
from ..state_machine import WINDOW
from ..types import LogEntry, Outcome, Proposal

# The rest of the window is for proposals that arrive late for a second time.
MAX_PENDING = WINDOW // 2
# Longest delay of a resend, in first delays.
MAX_BACKOFF_FACTOR = 8

Done = Callable[[Outcome | None], None]


@dataclass(slots=True)
class PendingProposal:
    """A proposal without an outcome; times in ticks."""

    proposal: Proposal
    done: Done
    due_at: int  # when it is to be sent (again)
    backoff: int


class Proposals:
    """The pending proposals of one incarnation, in the order of their numbers."""

    def __init__(self, proposer: str, incarnation: int, resend_after: int) -> None:
        """Creates an empty list; `resend_after` is the first delay of a resend, which doubles each time."""
        self.proposer = proposer
        self.incarnation = incarnation
        self.resend_after = resend_after
        self.number = 0
        self.pending: dict[int, PendingProposal] = {}

    def start(self, proposer: str, incarnation: int) -> None:
        """Starts another incarnation; the outcomes of the pending proposals stay unknown."""
        abandoned = self.pending
        self.pending = {}
        self.proposer = proposer
        self.incarnation = incarnation
        self.number = 0
        for pending in abandoned.values():
            pending.done(None)

    def submit(self, now: int, kind: str, body: bytes, done: Done) -> None:
        """Adds a proposal; raises UnavailableError if too many are pending."""
        first = next(iter(self.pending), self.number + 1)
        if len(self.pending) >= MAX_PENDING or self.number + 1 - first >= WINDOW - 1:
            raise UnavailableError(
                f"{len(self.pending)} proposals are out",
                remedy="come back once some are known",
                retry_after_ticks=self.resend_after,
            )
        self.number += 1
        proposal = Proposal(self.proposer, self.incarnation, self.number, kind, body)
        self.pending[self.number] = PendingProposal(proposal, done, now, self.resend_after)

    def due(self, now: int) -> list[PendingProposal]:
        """Returns the proposals to send now."""
        return [pending for pending in self.pending.values() if pending.due_at <= now]

    def on_sent(self, now: int, pending: PendingProposal) -> None:
        """Schedules the resend of a proposal that was sent."""
        pending.due_at = now + pending.backoff
        pending.backoff = min(2 * pending.backoff, MAX_BACKOFF_FACTOR * self.resend_after)

    def on_rejected(self, now: int, proposer: str, incarnation: int, number: int, retry_after: int) -> None:
        """Schedules the resend of a proposal that was not taken."""
        if (proposer, incarnation) == (self.proposer, self.incarnation) and number in self.pending:
            self.pending[number].due_at = now + retry_after
            self.pending[number].backoff = self.resend_after

    def resend_all(self, now: int) -> None:
        """Makes all due, as there is another leader: what the last one had may be void."""
        for pending in self.pending.values():
            pending.due_at = now
            pending.backoff = self.resend_after

    def on_applied(self, entry: LogEntry, outcome: Outcome) -> bool:
        """Passes the outcome on if the entry is one of these proposals; returns whether it is."""
        if (entry.proposer, entry.incarnation) != (self.proposer, self.incarnation):
            return False
        pending = self.pending.pop(entry.number, None)
        if pending is not None:
            pending.done(outcome)
        return pending is not None
