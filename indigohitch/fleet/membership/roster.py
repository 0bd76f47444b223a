"""The roster: the incarnations of all members, who may act, and which changes are in force.

It is a part of the replicated state machine: equal at every member after the same entry.  An incarnation only
moves forward: being compared, valid, evicted, lease expired.  Only with the last (entry `gone`, proposed by
the leader once the lease has expired by its clock) are the other parts notified that what it held is free.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ...net.clock import SECOND
from ..interfaces import ConvergenceListener, EntryContext, listeners
from ..state_machine import ReplicatedStateMachine
from .entries import (
    Agreed,
    Announce,
    Change,
    Compare,
    Evicted,
    InForce,
    Join,
    LeaseExpired,
    Leave,
    Member,
    MemberState,
    Readmitted,
    RosterRow,
)
from .incarnations import REPLACED_REASON, Incarnations

# Digests of this member's own state to keep: one or two comparisons overlap.
MAX_DIGESTS = 8
# Changes not yet in force that are kept; a fleet has a handful.  Beyond, a new one replaces an earlier one.
MAX_CHANGES = 256


class Roster:
    """The state machine part `members`, which applies the entries of `entries`."""

    name = "members"
    kinds: Mapping[str, type[Row]] = {
        "join": Join,
        "leave": Leave,
        "shut_out": Evicted,
        "gone": LeaseExpired,
        "compare": Compare,
        "agreed": Agreed,
        "back": Readmitted,
        "in_force": InForce,
        "change": Announce,
    }
    state_machine: ReplicatedStateMachine

    def __init__(self) -> None:
        """Creates an empty roster."""
        self.incarnations = Incarnations()
        self.changes: list[Change] = []  # not in force yet
        self.in_force = 0  # index of the last change in force
        self.compared = 0  # index of the last comparison
        self.agreed = Agreed(0, b"")
        self.digests: dict[int, bytes] = {}  # of this member's own state by index; not replicated

    # ---- queries -----------------------------------------------------------------------------------

    @property
    def members(self) -> dict[tuple[str, int], Member]:
        """The members by name and incarnation: all whose lease has not expired, and the last of each name."""
        return self.incarnations.members

    def ineligibility(self, name: str, incarnation: int) -> str:
        """Returns why an incarnation may not act; "" if the state allows it (it needs a lease too)."""
        if (member := self.members.get((name, incarnation))) is not None:
            return "" if member.state is MemberState.VALID else member.state.value
        return REPLACED_REASON if incarnation < self.incarnations.highest.get(name, 0) else "not joined"

    @property
    def version(self) -> int:
        """Index of the last change, in force or not."""
        return self.changes[-1].index if self.changes else self.in_force

    def valid(self) -> list[Member]:
        """Returns the members that may act with a lease."""
        return [member for member in self.members.values() if member.state is MemberState.VALID]

    def possibly_acting(self) -> list[Member]:
        """Returns the members that may still act: the valid, and the evicted whose lease may still run."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.VALID, MemberState.EVICTED)
        ]

    def add_change(self, at: EntryContext, what: str, hard: bool = False, allowed: int = 0) -> None:
        """Records a change; other parts call it while they apply the entry that makes the change.

        A part that makes a hard change (a contract cut, a member or server removed) may rely on the end of
        the old version only once the change is in force: `in_force` has reached that entry, and
        `on_change_converged(at, version, taken)` is called on each part that has it.
        """
        change = Change(at.index, what, hard, allowed)
        kinds = [(earlier.what, earlier.hard) for earlier in self.changes]
        same_kind = [position for position, kind in enumerate(kinds) if kind == (what, hard)]
        if same_kind and (not hard or len(self.changes) >= MAX_CHANGES):
            del self.changes[same_kind[-1]]
        elif len(self.changes) >= MAX_CHANGES:
            del self.changes[0]
        self.changes.append(change)

    # ---- entries -----------------------------------------------------------------------------------

    def apply(self, at: EntryContext, kind: str, body: Row) -> object:
        """Applies an entry; raises InvalidRequestError, with nothing changed, if it is rejected."""
        handlers: dict[str, Callable[[EntryContext, Row], object]] = {
            "join": self.on_join,
            "leave": self.on_leave,
            "shut_out": self.on_evicted,
            "gone": self.on_lease_expired,
            "compare": self.on_compare,
            "agreed": self.on_agreed,
            "back": self.on_readmitted,
            "in_force": self.on_in_force,
            "change": self.on_change,
        }
        handler = handlers.get(kind)
        if handler is None:
            raise ValueError(f"unknown kind of entry: {kind}")
        return handler(at, body)

    def on_join(self, at: EntryContext, join: Join) -> int:
        """Returns the incarnation of the member; a duplicate join changes nothing."""
        if incarnation := self.incarnations.assigned_incarnation(join):
            return incarnation
        self._forget_proposers(at, join.name)
        return self.incarnations.join(self.state_machine.parts, at, join)

    def _forget_proposers(self, at: EntryContext, name: str) -> None:
        """Removes the proposers of earlier starts, which would otherwise accumulate."""
        proposers = self.state_machine.proposers
        for old in [other for other in proposers if other.startswith(f"{name}?") and other != at.proposer]:
            del proposers[old]

    def on_leave(self, at: EntryContext, leave: Leave) -> None:
        """Ends an incarnation on its own proposal."""
        if (at.proposer, at.incarnation) != (leave.name, leave.incarnation):
            raise InvalidRequestError("a member leaves by itself")
        member = self.incarnations.find(
            leave.name, leave.incarnation, MemberState.BEING_COMPARED, MemberState.VALID, MemberState.EVICTED
        )
        member.why = "left"
        self.incarnations.expire(self.state_machine.parts, at, member)

    def on_evicted(self, at: EntryContext, evicted: Evicted) -> None:
        """Evicts a member; its lease may not have expired yet."""
        member = self.incarnations.find(
            evicted.name, evicted.incarnation, MemberState.BEING_COMPARED, MemberState.VALID
        )
        self.incarnations.evict(self.state_machine.parts, at, member, evicted.why)

    def on_lease_expired(self, at: EntryContext, expired: LeaseExpired) -> None:
        """Ends an evicted incarnation, which frees what it held."""
        self.incarnations.expire(
            self.state_machine.parts,
            at,
            self.incarnations.find(expired.name, expired.incarnation, MemberState.EVICTED),
            expired.when,
        )

    def on_compare(self, at: EntryContext, body: Compare) -> int:
        """Computes this member's own digest of the state at this entry, and returns the index."""
        self.compared = at.index
        self.digests[at.index] = self.state_machine.digest()
        for old in sorted(self.digests)[:-MAX_DIGESTS]:
            del self.digests[old]
        return at.index

    def on_agreed(self, at: EntryContext, agreed: Agreed) -> None:
        """Records the digest of the majority."""
        if agreed.index <= self.agreed.index:
            raise InvalidRequestError(f"point {agreed.index} after {self.agreed.index}")
        self.agreed = agreed

    def on_readmitted(self, at: EntryContext, readmitted: Readmitted) -> None:
        """Lets a member act, as its state equals that of the majority."""
        member = self.incarnations.find(readmitted.name, readmitted.incarnation, MemberState.BEING_COMPARED)
        if readmitted.index < member.joined:
            raise InvalidRequestError(f"compared at {readmitted.index}, joined at {member.joined}")
        member.state = MemberState.VALID
        member.since = at.index

    def on_change(self, at: EntryContext, change: Announce) -> int:
        """Records a change of the members' files, and returns its version."""
        self.add_change(at, change.what, change.hard, change.allowed)
        return at.index

    def on_in_force(self, at: EntryContext, body: InForce) -> None:
        """Puts all changes up to a version in force, and notifies the other parts."""
        if not self.in_force < body.version < at.index:
            raise InvalidRequestError(f"version {body.version} after {self.in_force}")
        self.in_force = body.version
        self.changes = [change for change in self.changes if change.index > body.version]
        for part in listeners(self.state_machine.parts, ConvergenceListener):
            part.on_change_converged(at, body.version, body.taken)

    # ---- snapshots ---------------------------------------------------------------------------------

    def row(self) -> RosterRow:
        """Returns the snapshot row."""
        return RosterRow(
            list(self.members.values()),
            self.incarnations.highest,
            self.incarnations.tokens,
            self.changes,
            self.in_force,
            self.compared,
            self.agreed,
        )

    def restore(self, row: bytes) -> None:
        """Restores the roster from an encoded snapshot; raises InvalidDataError if it cannot be decoded."""
        try:
            snapshot = msgspec.msgpack.decode(row, type=RosterRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"invalid roster snapshot: {error}") from None
        self.incarnations.members = {(member.name, member.incarnation): member for member in snapshot.members}
        self.incarnations.highest = snapshot.highest
        self.incarnations.tokens = snapshot.tokens
        self.changes = snapshot.changes
        self.in_force = snapshot.in_force
        self.compared = snapshot.compared
        self.agreed = snapshot.agreed
        self.digests.clear()


def announce_change(
    state_machine: ReplicatedStateMachine | None,
    at: EntryContext,
    what: str,
    hard: bool = False,
    allowed: int = SECOND,
) -> None:
    """Records a change on behalf of another part (`Roster.add_change`), if the state machine has a roster."""
    roster = state_machine.parts.get("members") if state_machine is not None else None
    if isinstance(roster, Roster):
        roster.add_change(at, what, hard, allowed)
