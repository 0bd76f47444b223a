"""The incarnations of all members, and how they start and end.  Part of the roster's replicated state."""

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

# Start tokens kept for each name, so that a join that comes twice is answered, not carried out twice.
MAX_TOKENS = 8
REPLACED_REASON = "a later incarnation has joined"

Parts = Mapping[str, StateMachinePart]


class Incarnations:
    """The members by name and incarnation; the other parts are notified of each change."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self.members: dict[tuple[str, int], Member] = {}  # lease not expired, and the last of each name
        self.highest: dict[str, int] = {}  # incarnation given, by name
        self.tokens: dict[str, list[tuple[int, int]]] = {}  # token, incarnation

    def find(self, name: str, incarnation: int, *states: MemberState) -> Member:
        """Returns that incarnation; raises InvalidRequestError if it is not in one of the states."""
        member = self.members.get((name, incarnation))
        if member is None or member.life not in states:
            raise InvalidRequestError(
                f"{name} {incarnation} is {member.life.value if member else 'not known'}"
            )
        return member

    def joined_by(self, join: Join) -> int:
        """Returns the incarnation that this start of a process has got already; 0 if it has none."""
        for token, incarnation in self.tokens.get(join.name, ()):
            if token == join.token:
                return incarnation
        return 0

    def join(self, parts: Parts, at: EntryContext, join: Join) -> int:
        """Starts a new incarnation, evicts the earlier ones, and returns it: it only grows for a name."""
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
            if member.life is MemberState.LEASE_EXPIRED:
                self.members.pop((member.name, member.incarnation), None)

    def evict(self, parts: Parts, at: EntryContext, member: Member, why: str) -> None:
        """Evicts a member; one that was never valid holds nothing, so that its lease has expired at once."""
        if member.life is MemberState.VALID:
            member.life = MemberState.EVICTED
            member.since = at.index
            member.why = why
            for part in listeners(parts, MemberEvictedListener):
                part.on_member_evicted(at, member.name, member.incarnation)
        elif member.life is MemberState.COMPARED:
            member.why = why
            self.expire(parts, at, member)

    def expire(self, parts: Parts, at: EntryContext, member: Member, when: int = 0) -> None:
        """Notifies the other parts that the member holds nothing any more, since the fleet time `when`."""
        member.life = MemberState.LEASE_EXPIRED
        member.since = at.index
        for part in listeners(parts, LeaseEndedListener):
            part.on_member_lease_ended(at, member.name, member.incarnation, when)
        for part in listeners(parts, LeaseExpiredListener):
            part.on_member_lease_expired(at, member.name, member.incarnation)
        if member.incarnation < self.highest[member.name]:  # `status` shows the last one of each name
            del self.members[member.name, member.incarnation]
