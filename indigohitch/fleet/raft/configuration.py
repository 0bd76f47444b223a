"""Tracks the cluster configuration in a member's log and computes the steps of a membership change.  No I/O.

Changes are made one at a time, by an entry that lists all members and takes effect as soon as it is in the
log (Ongaro's dissertation, 4.1 and 4.2).  A change adds or removes at most one voter, so that any majority
before it and any majority after it have a member in common.  A leader proposes a change only when the
previous one and an entry of its own term are committed (the correction of 2015 to 4.1).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..types import LogEntry, MemberId
from .interfaces import Members

CONFIGURATION_KIND = "ledger.members"
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Members).decode


def encode_members(members: Members) -> bytes:
    """Returns the body of a configuration entry for these members."""
    return _encode(members)


class Configuration:
    """Holds the members as of the snapshot and of each later entry that changes them."""

    def __init__(self, index: int, members: Members) -> None:
        self.replace(index, members)

    def replace(self, index: int, members: Members) -> None:
        """Sets the members to those of a snapshot at `index`."""
        self.history: list[tuple[int, Members]] = [(index, members)]
        self._set_latest()

    def _set_latest(self) -> None:
        self.index, self.members = self.history[-1]  # the last change applies whether or not it is committed
        self.voters = frozenset(self.members.voters)
        self.all_members = self.members.voters + self.members.followers
        self.majority = len(self.voters) // 2 + 1
        self.highest_numbers: dict[str, int] = {}
        for member in self.all_members:
            self.highest_numbers[member.name] = max(member.number, self.highest_numbers.get(member.name, 0))

    def is_outdated(self, member: MemberId) -> bool:
        """Returns whether the member's disk is known to be lost: its name is listed under a higher number."""
        return member.number < self.highest_numbers.get(member.name, 0)

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Adds the configuration changes among entries that were appended to the log."""
        changes = [entry for entry in entries if entry.kind == CONFIGURATION_KIND]
        if changes:
            self.history += [(entry.index, _decode(entry.body)) for entry in changes]
            self._set_latest()

    def truncate(self, index: int) -> None:
        """Removes the changes by entries from `index` on, which were truncated."""
        if self.history[-1][0] >= index:
            self.history = [step for step in self.history if step[0] < index]
            self._set_latest()

    def members_at(self, index: int) -> Members:
        """Returns the members in force after entry `index`."""
        return next(members for changed_at, members in reversed(self.history) if changed_at <= index)

    def discard_before(self, index: int) -> None:
        """Discards the changes before the one in force at `index`."""
        while len(self.history) > 1 and self.history[1][0] <= index:
            del self.history[0]


def remove_member(members: Members, member: MemberId) -> Members:
    """Returns the members without the given one."""
    return Members(
        tuple(each for each in members.voters if each != member),
        tuple(each for each in members.followers if each != member),
    )


def next_configuration(
    members: Members, member: MemberId, remove: bool, as_voter: bool, has_caught_up: bool
) -> Members | None:
    """Returns the members after the next step of the change, or None if no step can be taken now.

    If a member returns with another disk, its new number is first added as a non-voting member, then the old
    number is removed, then the new number becomes a voter.  Raises ValueError for an impossible change.
    """
    known = [each for each in members.voters + members.followers if each.name == member.name]
    if remove:
        _require_other_voters(members, member)
        return remove_member(members, member) if member in known else None
    if any(each.number > member.number for each in known):
        raise ValueError(f"{member.name} is already a member under a higher number")
    if member in members.voters and not as_voter:
        _require_other_voters(members, member)
        return Members(remove_member(members, member).voters, (*members.followers, member))
    if member not in known:
        return Members(members.voters, (*members.followers, member))
    for old in known:
        if old != member and (has_caught_up or not as_voter):
            _require_other_voters(members, old)
            return remove_member(members, old)
    if as_voter and member not in members.voters and has_caught_up:
        followers = tuple(each for each in members.followers if each != member)
        return Members((*members.voters, member), followers)
    return None


def _require_other_voters(members: Members, member: MemberId) -> None:
    if members.voters == (member,):
        raise ValueError(f"{member.name} is the last voter")


def configuration_entry(members: Members, index: int, term: int) -> LogEntry:
    """Returns the log entry that sets the members."""
    return LogEntry(index, term, CONFIGURATION_KIND, encode_members(members))
