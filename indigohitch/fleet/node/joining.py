"""The incarnation of this process: got by an entry, given up by one.

A process proposes `members.join` under a name of its own, `name?token`, as it has no incarnation yet; all
that it proposes later goes under the number that came back."""
from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from ...log import Log
from ..members.roster import Join, Leave
from ..terms import Outcome
from .proposals import Proposals


class Phase(enum.Enum):
    OUT = "out"
    JOINING = "joining"
    IN = "in"
    LEAVING = "leaving"
    LEFT = "left"


class Joining:
    """`token()`: a new one of 62 random bits.  `joined(incarnation)` is told once it is known."""

    def __init__(self, log: Log, name: str, votes: bool, token: Callable[[], int], proposals: Proposals,
                 joined: Callable[[int], None]) -> None:
        self.log, self.name, self.votes, self.token = log, name, votes, token
        self.proposals, self.joined = proposals, joined
        self.phase, self.incarnation = Phase.OUT, 0

    def join(self, now: int) -> None:
        """As another start of this member: under a token that no process used before."""
        if self.phase in (Phase.LEAVING, Phase.LEFT):
            return
        token = self.token()
        self.phase, self.incarnation = Phase.JOINING, 0
        self.proposals.begin(f"{self.name}?{token}", token)
        self.proposals.put(now, "members.join", msgspec.msgpack.encode(Join(self.name, token, self.votes)),
                           self.answered)

    def answered(self, outcome: Outcome | None) -> None:
        if outcome is None or self.phase is not Phase.JOINING:
            return
        if outcome.refused:
            self.log.trouble("join_refused", why=outcome.refused)
            self.phase = Phase.OUT
            return
        self.phase, self.incarnation = Phase.IN, msgspec.msgpack.decode(outcome.told, type=int)
        self.log.event("joined", incarnation=self.incarnation, index=outcome.index)
        self.proposals.begin(self.name, self.incarnation)
        self.joined(self.incarnation)

    def leave(self, now: int) -> None:
        if self.phase is not Phase.IN:
            self.phase = Phase.LEFT
            return
        self.phase = Phase.LEAVING
        self.proposals.put(now, "members.leave", msgspec.msgpack.encode(Leave(self.name, self.incarnation)),
                           self.left)

    def left(self, outcome: Outcome | None) -> None:
        self.phase = Phase.LEFT

    def again(self) -> None:
        """The process goes on after all."""
        self.phase = Phase.OUT
