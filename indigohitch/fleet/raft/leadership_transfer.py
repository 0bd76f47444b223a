"""Transfers the leadership to another voter (Ongaro's dissertation, 3.10).  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..types import MemberId
from .messages import TimeoutNow
from .progress import Progress
from .state import RaftState


class LeadershipTransfer:
    """Tracks a leader's transfer, if one is in progress; `progress` is the replication state by member."""

    def __init__(self, state: RaftState, progress: Mapping[MemberId, Progress]) -> None:
        self.state = state
        self.progress = progress
        self.transferee: MemberId | None = None
        self.deadline = 0

    @property
    def is_active(self) -> bool:
        """Returns whether a transfer is in progress, during which proposals are rejected."""
        return self.transferee is not None

    def start(self, to: MemberId | None) -> None:
        """Starts a transfer to the voter `to`, or to the responsive voter with the longest log."""
        state = self.state
        candidates = [
            (progress.match_index, member)
            for member, progress in self.progress.items()
            if member in state.configuration.voters
            and not progress.is_silent
            and (to is None or member == to)
        ]
        if not candidates:
            state.log_event("not_handed_over", term=state.term, to=to.name if to else "")
            return
        self.transferee = max(candidates)[1]
        self.deadline = state.now + state.settings["election"]
        self.send_timeout_now()

    def send_timeout_now(self) -> None:
        """Asks the transferee to start an election if its log is complete."""
        if self.transferee is None:
            return
        progress = self.progress.get(self.transferee)
        if progress is not None and progress.match_index >= self.state.log.last_index:
            self.state.send(self.transferee, TimeoutNow(self.state.term))

    def abort_if_overdue(self) -> None:
        """Aborts a transfer that took an election timeout, after which the leader accepts proposals again."""
        state = self.state
        if self.transferee is not None and state.now >= self.deadline:
            state.log_event("not_handed_over", term=state.term, to=self.transferee.name)
            self.transferee = None
