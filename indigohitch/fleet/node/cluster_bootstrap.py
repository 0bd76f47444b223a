"""A member whose disk is new: may it found, must it ask to be admitted, or has it to wait?  And the leader's
side of it.  No I/O.

A voter that lost its disk has forgotten its vote and what it acknowledged; under its old number it could
help to elect a leader that lacks what was committed.  So a new disk founds under number 1 only if every other
voter that its file lists has answered and none ever met a number of this name; else the leader admits it
under a number that was never used."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from ..raft.interfaces import Members
from ..transport.messages import HandshakeAccepted
from ..types import MemberId
from .messages import JoinRequest


class BootstrapMode(enum.Enum):
    FOUND = "found"
    ASK = "ask"  # to be admitted
    WAIT = "wait"


def bootstrap_mode(
    name: str, votes: bool, voters: tuple[str, ...], welcomes: Mapping[str, HandshakeAccepted]
) -> tuple[BootstrapMode, str]:
    """What to do, and for the log why.  `voters`: all that the file lists, in order of name; `welcomes`: the
    last of each member that has answered since this process began."""
    known = {who: w for who, w in welcomes.items() if w is not None}
    if any(w.met or w.who.number and w.founders != voters for w in known.values()):
        return BootstrapMode.ASK, "the fleet is older than this disk"
    if not votes:
        return BootstrapMode.ASK, "it follows"
    silent = [other for other in voters if other != name and other not in known]
    if silent:
        return BootstrapMode.WAIT, f"not heard yet: {', '.join(silent)}"
    other = [who for who in voters if who != name and known[who].founders != voters]
    if other:
        return BootstrapMode.WAIT, f"another list of voters in the file of {', '.join(other)}"
    return BootstrapMode.FOUND, ""


def founders(voters: tuple[str, ...]) -> Members:
    return Members(tuple(MemberId(name, 1) for name in voters))


class Admission:
    """At the leader."""

    def __init__(self) -> None:
        self.given: dict[str, tuple[int, int]] = {}  # name -> start token, number

    def who(self, asked: JoinRequest, members: Members, met: int) -> MemberId | None:
        """The number under which it is to be in the ledger; None for a disk that was replaced since."""
        stood = [w.number for w in members.voters + members.followers if w.name == asked.name]
        highest = max([met, *stood])
        if asked.number:
            return MemberId(asked.name, asked.number) if asked.number >= highest else None
        token, number = self.given.get(asked.name, (0, 0))
        if token != asked.token or number < highest:
            number = max(highest, number) + 1
            self.given[asked.name] = (asked.token, number)
        return MemberId(asked.name, number)


def stands(who: MemberId, votes: bool, members: Members) -> bool:
    """Whether it is in the ledger as it should be."""
    return who in (members.voters if votes else members.followers)
