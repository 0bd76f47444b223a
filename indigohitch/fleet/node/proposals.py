"""The pending proposals of this process, each under one number until its outcome is known.  No I/O.

A proposal is resent until then: the leader may fail, the message may be lost, the entry may be overwritten.
The state machine applies each number once as long as the number is within its deduplication window, so no
pending number may leave the window.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...errors import UnavailableError
from ..state_machine import WINDOW
from ..types import LogEntry, Outcome, Proposal

# The rest of the window is kept for duplicates that arrive late.
MAX_PENDING = WINDOW // 2
# The longest delay of a resend, as a multiple of the first delay.
MAX_BACKOFF_FACTOR = 8

Done = Callable[[Outcome | None], None]


@dataclass(slots=True)
class PendingProposal:
    """A proposal whose outcome is not known yet; times in ticks."""

    proposal: Proposal
    done: Done
    due_at: int  # when to send or resend it
    backoff: int


class Proposals:
    """The pending proposals of one incarnation, in the order of their numbers."""

    def __init__(self, proposer: str, incarnation: int, resend_after: int) -> None:
        """Creates an empty list; `resend_after` is the delay of the first resend, in ticks; it doubles."""
        self.proposer = proposer
        self.incarnation = incarnation
        self.resend_after = resend_after
        self.number = 0
        self.pending: dict[int, PendingProposal] = {}

    def start(self, proposer: str, incarnation: int) -> None:
        """Starts another incarnation; pending proposals end with an unknown outcome."""
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
                f"{len(self.pending)} proposals are pending",
                remedy="retry once some of them are committed",
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
        """Schedules the resend of a proposal that the leader rejected."""
        if (proposer, incarnation) == (self.proposer, self.incarnation) and number in self.pending:
            self.pending[number].due_at = now + retry_after
            self.pending[number].backoff = self.resend_after

    def resend_all(self, now: int) -> None:
        """Makes all proposals due, as a new leader may lack the entries of the previous one."""
        for pending in self.pending.values():
            pending.due_at = now
            pending.backoff = self.resend_after

    def on_applied(self, entry: LogEntry, outcome: Outcome) -> bool:
        """Reports the outcome if the entry is one of these proposals; returns whether it is."""
        if (entry.proposer, entry.incarnation) != (self.proposer, self.incarnation):
            return False
        pending = self.pending.pop(entry.number, None)
        if pending is not None:
            pending.done(outcome)
        return pending is not None
