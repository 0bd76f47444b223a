"""Decides whether a member with a new disk bootstraps the fleet, asks to join it or waits; assigns numbers.

No I/O.  A voter that lost its disk has also lost its vote and the entries that it acknowledged; under its old
number it could help to elect a leader that lacks committed entries.  So a member with a new disk bootstraps
under number 1 only if every other voter of its file has replied and none has ever seen a number of this name;
otherwise the leader admits it under a number that was never used.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

from ..raft.interfaces import Members
from ..transport.messages import HandshakeAccepted
from ..types import MemberId
from .messages import JoinRequest


class BootstrapMode(enum.Enum):
    """The next step of a member with a new disk."""

    BOOTSTRAP = "found"
    REQUEST = "ask"  # requests to join
    WAIT = "wait"


def bootstrap_mode(
    name: str, votes: bool, voters: tuple[str, ...], replies: Mapping[str, HandshakeAccepted | None]
) -> tuple[BootstrapMode, str]:
    """Returns the next step of a member with a new disk, and the reason for the log.

    Args:
        name: name of this member.
        votes: whether its file lists it as a voter.
        voters: names of all voters of its file, sorted.
        replies: the last handshake reply of each other member since this process started.
    """
    received = {other: reply for other, reply in replies.items() if reply is not None}
    if any(_is_older(reply, voters) for reply in received.values()):
        return BootstrapMode.REQUEST, "the fleet is older than the disk of this member"
    if not votes:
        return BootstrapMode.REQUEST, "this member does not vote"
    others = [voter for voter in voters if voter != name]
    missing = [voter for voter in others if voter not in received]
    if missing:
        return BootstrapMode.WAIT, f"no reply yet from: {', '.join(missing)}"
    differing = [voter for voter in others if received[voter].founders != voters]
    if differing:
        return BootstrapMode.WAIT, f"the list of voters differs in the file of {', '.join(differing)}"
    return BootstrapMode.BOOTSTRAP, ""


def _is_older(reply: HandshakeAccepted, voters: tuple[str, ...]) -> bool:
    """Whether the sender has seen a number of this name, or was bootstrapped with other voters."""
    return bool(reply.met) or (reply.who.number != 0 and reply.founders != voters)


def initial_members(voters: tuple[str, ...]) -> Members:
    """Returns the initial Raft configuration: each voter under number 1."""
    return Members(tuple(MemberId(voter, 1) for voter in voters))


class Admission:
    """Assigns numbers to members that request to join; only the leader uses it."""

    def __init__(self) -> None:
        """Creates an admission that has assigned no number."""
        self.assigned: dict[str, tuple[int, int]] = {}  # by name: the token of its start, its number

    def assign(self, request: JoinRequest, members: Members, highest_seen: int) -> MemberId | None:
        """Returns the member's name and number; None if the number of its disk has been superseded."""
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
    """Whether the Raft configuration lists the member in its role: voter or follower."""
    return member in (members.voters if votes else members.followers)
