"""Proposals of a member's work on batches that have no answer yet, and the last error among them.  No I/O."""

from __future__ import annotations

from ...net.clock import SECOND
from ..interfaces import ProposalRequest
from ..types import Outcome

# A proposal without an answer for this long may be made again.
RETRY_AFTER = 5 * SECOND
CONTRACT_TAG, PRICES_TAG, PLAN_TAG, LATE_TAG = "contract", "prices", "plan", "late"


class PendingProposals:
    """Keeps, by tag, when a proposal was made, so that it is not repeated while its answer is due."""

    def __init__(self) -> None:
        self.last_error = ""  # the last error of the contract or the prices, for `status`
        self.proposed_at: dict[str, int] = {}  # by tag: when the proposal was made

    def is_pending(self, now: int, tag: str) -> bool:
        """Returns whether a proposal of that tag still waits for its answer."""
        return now - self.proposed_at.get(tag, -RETRY_AFTER) < RETRY_AFTER

    def propose_once(self, now: int, tag: str, request: ProposalRequest) -> list[ProposalRequest]:
        """Returns the request as a list, or an empty list while a proposal of that tag is pending."""
        if self.is_pending(now, tag):
            return []
        self.proposed_at[tag] = now
        return [request]

    def answered(self, tag: str, outcome: Outcome | None) -> None:
        """Ends the wait for the proposal; keeps the rejection of a contract or a price list."""
        self.proposed_at.pop(tag, None)
        if outcome is not None and outcome.rejection and tag in (CONTRACT_TAG, PRICES_TAG):
            self.last_error = outcome.rejection
