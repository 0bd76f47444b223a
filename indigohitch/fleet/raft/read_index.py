"""Reads confirmed by a majority that answered a word sent after the read came.  No I/O.

The dissertation, 6.4.  A round is one count over all words of a leader: an answer that echoes it was sent
after the round began, by a member that knew of no later leader."""

from __future__ import annotations

from collections import deque

from ..types import MemberId
from .interfaces import ReadConfirmed
from .state import RaftState


class ReadIndexQueue:
    """Of one leader, from its election on."""

    def __init__(self, state: RaftState, first: int) -> None:
        self.state, self.first = state, first  # its first entry
        self.read_round = 0
        self.echoed: dict[MemberId, int] = {}
        self.waiting: deque[tuple[int, int, int]] = deque()  # number, round, index

    @property
    def open(self) -> bool:
        """A round is out that a read waits for."""
        return bool(self.waiting) and self.waiting[0][1] <= self.read_round

    def ask(self, number: int) -> bool:
        """Whether a round has to begin now: those that come while one is out share the next."""
        if len(self.waiting) >= self.state.settings["proposals_most"]:
            self.state.out.append(ReadConfirmed(number, 0, False))  # memory is bounded: come back
            return False
        begin = not self.open
        self.waiting.append((number, self.read_round + 1, max(self.state.commit_index, self.first)))
        return begin

    def begin(self) -> int:
        self.read_round += 1
        return self.read_round

    def heard(self, who: MemberId, round: int) -> None:
        if round > self.echoed.get(who, 0):
            self.echoed[who] = round

    def confirmed(self) -> int:
        """The last round that a majority has echoed."""
        belonging = self.state.configuration
        rounds = sorted(
            (
                self.read_round if who == self.state.member_id else self.echoed.get(who, 0)
                for who in belonging.voters
            ),
            reverse=True,
        )
        return rounds[belonging.majority - 1]

    def answer(self) -> bool:
        """Puts out what is confirmed; whether the next round has to begin."""
        if not self.waiting:
            return False
        confirmed, was_open = self.confirmed(), self.open
        while (
            self.waiting and self.waiting[0][1] <= confirmed and self.waiting[0][2] <= self.state.commit_index
        ):
            number, _, index = self.waiting.popleft()
            self.state.out.append(ReadConfirmed(number, index))
        return was_open and bool(self.waiting) and self.waiting[0][1] > self.read_round

    def end(self, leader: MemberId | None) -> None:
        for number, _, _ in self.waiting:
            self.state.out.append(ReadConfirmed(number, 0, False, leader))
        self.waiting.clear()
