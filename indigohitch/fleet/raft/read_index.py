"""Confirms reads by a majority that responded to a message sent after the read came (ReadIndex).  No I/O.

See Ongaro's dissertation, 6.4.  A leader numbers its read rounds and includes the number in its messages.  A
response that echoes a round was sent after that round began, by a member that knew of no later leader.
"""

from __future__ import annotations

from collections import deque

from ..types import MemberId
from .interfaces import ReadConfirmed
from .state import RaftState


class ReadIndexQueue:
    """Queues the reads at one leader; `first` is the index of the first entry of its term."""

    def __init__(self, state: RaftState, first: int) -> None:
        self.state = state
        self.first_index = first
        self.read_round = 0
        self.echoed_rounds: dict[MemberId, int] = {}
        self.waiting: deque[tuple[int, int, int]] = deque()  # number, round, index

    @property
    def is_round_open(self) -> bool:
        """Returns whether a read waits for the round that is in progress."""
        return bool(self.waiting) and self.waiting[0][1] <= self.read_round

    def add(self, number: int) -> bool:
        """Queues a read; returns whether a round has to start now.

        Reads that come during a round share the next one.  A read is rejected if too many are waiting.
        """
        if len(self.waiting) >= self.state.settings["proposals_most"]:
            self.state.outputs.append(ReadConfirmed(number, 0, False))
            return False
        starts_round = not self.is_round_open
        self.waiting.append((number, self.read_round + 1, max(self.state.commit_index, self.first_index)))
        return starts_round

    def start_round(self) -> int:
        """Starts the next round and returns its number."""
        self.read_round += 1
        return self.read_round

    def on_echo(self, member: MemberId, read_round: int) -> None:
        """Records the read round that a member's response echoes."""
        if read_round > self.echoed_rounds.get(member, 0):
            self.echoed_rounds[member] = read_round

    def confirmed_round(self) -> int:
        """Returns the last round that a majority has echoed."""
        configuration = self.state.configuration
        own_id = self.state.member_id
        rounds = sorted(
            (
                self.read_round if voter == own_id else self.echoed_rounds.get(voter, 0)
                for voter in configuration.voters
            ),
            reverse=True,
        )
        return rounds[configuration.majority - 1]

    def confirm(self) -> bool:
        """Puts out confirmed reads whose index is committed; returns whether the next round has to start."""
        if not self.waiting:
            return False
        confirmed = self.confirmed_round()
        was_open = self.is_round_open
        commit_index = self.state.commit_index
        while self.waiting and self.waiting[0][1] <= confirmed and self.waiting[0][2] <= commit_index:
            number, _, index = self.waiting.popleft()
            self.state.outputs.append(ReadConfirmed(number, index))
        return was_open and bool(self.waiting) and self.waiting[0][1] > self.read_round

    def close(self, leader: MemberId | None) -> None:
        """Rejects all waiting reads because this leader has stepped down."""
        for number, _, _ in self.waiting:
            self.state.outputs.append(ReadConfirmed(number, 0, False, leader))
        self.waiting.clear()
