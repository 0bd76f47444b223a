"""Proposals of the work on batches that are not answered yet, and what went wrong with them.  No I/O."""

from __future__ import annotations

from ...net.clock import SECOND
from ..interfaces import ProposalRequest
from ..types import Outcome

PATIENCE = 5 * SECOND  # a proposal without an answer for so long is made anew
CONTRACT_TAG, PRICES_TAG, PLAN_TAG, LATE_TAG = "contract", "prices", "plan", "late"


class PendingProposals:
    def __init__(self) -> None:
        self.trouble = ""  # of the contract or the prices: for the log and `status`
        self.since: dict[str, int] = {}  # by tag

    def waits(self, now: int, tag: str) -> bool:
        return now - self.since.get(tag, -PATIENCE) < PATIENCE

    def once(self, now: int, tag: str, wanted: ProposalRequest) -> list[ProposalRequest]:
        """Not again while one of that tag is out."""
        if self.waits(now, tag):
            return []
        self.since[tag] = now
        return [wanted]

    def answered(self, tag: str, outcome: Outcome | None) -> None:
        self.since.pop(tag, None)
        if outcome is not None and outcome.rejection and tag in (CONTRACT_TAG, PRICES_TAG):
            self.trouble = outcome.rejection
