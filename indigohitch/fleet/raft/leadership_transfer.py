"""The transfer of a leadership to another voter (dissertation, 3.10).  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..types import MemberId
from .messages import TimeoutNow
from .progress import Progress
from .state import RaftState


class LeadershipTransfer:
    """A leader's transfer, if one is under way; `progress` is the leader's, by member."""

    def __init__(self, state: RaftState, progress: Mapping[MemberId, Progress]) -> None:
        self.state = state
        self.progress = progress
        self.transferee: MemberId | None = None
        self.deadline = 0

    @property
    def is_active(self) -> bool:
        """Whether a transfer is under way: no proposals are taken then."""
        return self.transferee is not None

    def start(self, to: MemberId | None) -> None:
        """Transfers the leadership to that voter, or to the one whose log is furthest."""
        state = self.state
        candidates = [
            (progress.match_index, member)
            for member, progress in self.progress.items()
            if member in state.configuration.voters
            and not progress.is_silent
            and (to is None or member == to)
        ]
        if not candidates:
            state.note("not_handed_over", term=state.term, to=to.name if to else "")
            return
        self.transferee = max(candidates)[1]
        self.deadline = state.now + state.settings["election"]
        self.complete()

    def complete(self) -> None:
        """Asks the transferee to stand for election once its log is complete."""
        if self.transferee is None:
            return
        progress = self.progress.get(self.transferee)
        if progress is not None and progress.match_index >= self.state.log.last:
            self.state.send(self.transferee, TimeoutNow(self.state.term))

    def expire(self) -> None:
        """Gives a transfer up that took an election timeout: the leader goes on."""
        state = self.state
        if self.transferee is not None and state.now >= self.deadline:
            state.note("not_handed_over", term=state.term, to=self.transferee.name)
            self.transferee = None
