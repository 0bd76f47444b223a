"""Starts and ends the incarnations of all members, as part of the roster's replicated state."""

from __future__ import annotations

from collections.abc import Mapping

from ...errors import InvalidRequestError
from ..interfaces import (
    EntryContext,
    LeaseEndedListener,
    LeaseExpiredListener,
    MemberEvictedListener,
    MemberJoinedListener,
    StateMachinePart,
    listeners,
)
from .entries import Join, Member, MemberState

# Tokens kept for each name, so that a duplicate `join` gets the incarnation of the first and starts no other.
MAX_TOKENS = 8
REPLACED_REASON = "a later incarnation has joined"

Parts = Mapping[str, StateMachinePart]


class Incarnations:
    """Holds the members by name and incarnation, and notifies the other parts of each change."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self.members: dict[tuple[str, int], Member] = {}  # lease not expired, or the last of its name
        self.highest: dict[str, int] = {}  # name -> highest incarnation assigned
        self.tokens: dict[str, list[tuple[int, int]]] = {}  # name -> (token, incarnation) of its last joins

    def find(self, name: str, incarnation: int, *states: MemberState) -> Member:
        """Returns an incarnation of a member; raises InvalidRequestError if it is in none of the states."""
        member = self.members.get((name, incarnation))
        if member is None or member.state not in states:
            raise InvalidRequestError(
                f"{name} {incarnation} is {member.state.value if member else 'not known'}"
            )
        return member

    def assigned_incarnation(self, join: Join) -> int:
        """Returns the incarnation that the same join has got already, or 0."""
        for token, incarnation in self.tokens.get(join.name, ()):
            if token == join.token:
                return incarnation
        return 0

    def join(self, parts: Parts, at: EntryContext, join: Join) -> int:
        """Starts a new incarnation, evicts the earlier ones, and returns its number, the highest so far."""
        incarnation = self.highest.get(join.name, 0) + 1
        self.highest[join.name] = incarnation
        tokens = self.tokens.setdefault(join.name, [])
        tokens.append((join.token, incarnation))
        del tokens[:-MAX_TOKENS]
        self._evict_earlier(parts, at, join.name)
        self.members[join.name, incarnation] = Member(
            join.name, incarnation, join.votes, at.index, since=at.index
        )
        for part in listeners(parts, MemberJoinedListener):
            part.on_member_joined(at, join.name, incarnation)
        return incarnation

    def _evict_earlier(self, parts: Parts, at: EntryContext, name: str) -> None:
        for member in [member for member in self.members.values() if member.name == name]:
            self.evict(parts, at, member, REPLACED_REASON)
            if member.state is MemberState.LEASE_EXPIRED:
                self.members.pop((member.name, member.incarnation), None)

    def evict(self, parts: Parts, at: EntryContext, member: Member, why: str) -> None:
        """Evicts a member; one that was never valid holds nothing, so its lease counts as expired at once."""
        if member.state is MemberState.VALID:
            member.state = MemberState.EVICTED
            member.since = at.index
            member.why = why
            for part in listeners(parts, MemberEvictedListener):
                part.on_member_evicted(at, member.name, member.incarnation)
        elif member.state is MemberState.BEING_COMPARED:
            member.why = why
            self.expire(parts, at, member)

    def expire(self, parts: Parts, at: EntryContext, member: Member, when: int = 0) -> None:
        """Notifies the other parts that the lease of a member ended at the fleet time `when`."""
        member.state = MemberState.LEASE_EXPIRED
        member.since = at.index
        for part in listeners(parts, LeaseEndedListener):
            part.on_member_lease_ended(at, member.name, member.incarnation, when)
        for part in listeners(parts, LeaseExpiredListener):
            part.on_member_lease_expired(at, member.name, member.incarnation)
        if member.incarnation < self.highest[member.name]:  # the last one of each name stays, for `status`
            del self.members[member.name, member.incarnation]
