"""Whether a member with a new disk bootstraps the fleet, requests to join it or waits; and the leader's side.

No I/O.  A voter that lost its disk has forgotten its vote and what it acknowledged; under its old number it
could help to elect a leader that lacks committed entries.  So a new disk bootstraps under number 1 only if
every other voter of its file has replied and none has ever seen a number of this name; else the leader admits
it under a number that was never used.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

from ..raft.interfaces import Members
from ..transport.messages import HandshakeAccepted
from ..types import MemberId
from .messages import JoinRequest


class BootstrapMode(enum.Enum):
    """What a member with a new disk does."""

    FOUND = "found"
    ASK = "ask"  # requests to join
    WAIT = "wait"


def bootstrap_mode(
    name: str, votes: bool, voters: tuple[str, ...], replies: Mapping[str, HandshakeAccepted | None]
) -> tuple[BootstrapMode, str]:
    """Returns what a member with a new disk does, and why for the log.

    Args:
        name: of this member.
        votes: whether it votes, by its file.
        voters: names of all voters of its file, sorted.
        replies: the last accepted handshake of each other member since this process started.
    """
    known = {other: reply for other, reply in replies.items() if reply is not None}
    if any(_is_older(reply, voters) for reply in known.values()):
        return BootstrapMode.ASK, "the fleet is older than this disk"
    if not votes:
        return BootstrapMode.ASK, "it follows"
    others = [voter for voter in voters if voter != name]
    silent = [voter for voter in others if voter not in known]
    if silent:
        return BootstrapMode.WAIT, f"not heard yet: {', '.join(silent)}"
    differing = [voter for voter in others if known[voter].founders != voters]
    if differing:
        return BootstrapMode.WAIT, f"another list of voters in the file of {', '.join(differing)}"
    return BootstrapMode.FOUND, ""


def _is_older(reply: HandshakeAccepted, voters: tuple[str, ...]) -> bool:
    """Whether the sender has seen this name before, or was bootstrapped with other voters."""
    return bool(reply.met) or (reply.who.number != 0 and reply.founders != voters)


def initial_members(voters: tuple[str, ...]) -> Members:
    """Returns Raft's first configuration: each voter under number 1."""
    return Members(tuple(MemberId(voter, 1) for voter in voters))


class Admission:
    """At the leader: assigns numbers to members that request to join."""

    def __init__(self) -> None:
        """Creates an admission that has assigned none."""
        self.assigned: dict[str, tuple[int, int]] = {}  # name -> start token, number

    def assign(self, request: JoinRequest, members: Members, highest_seen: int) -> MemberId | None:
        """Returns the member's name and number; None if its disk has been replaced by an older one."""
        numbers = [
            member.number for member in members.voters + members.followers if member.name == request.name
        ]
        highest = max([highest_seen, *numbers])
        if request.number:
            return MemberId(request.name, request.number) if request.number >= highest else None
        token, number = self.assigned.get(request.name, (0, 0))
        if token != request.token or number < highest:
            number = max(highest, number) + 1
            self.assigned[request.name] = (request.token, number)
        return MemberId(request.name, number)


def is_configured(member: MemberId, votes: bool, members: Members) -> bool:
    """Whether Raft's configuration has the member in its role."""
    return member in (members.voters if votes else members.followers)
