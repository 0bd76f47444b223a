"""The roster: who is a member under which incarnation, who may act, which changes are in force.  A part of
the state machine: the same at every member after the same entry.

An incarnation goes one way: being compared, valid, shut out, gone.  It is given by `join` and never again;
one that joins later shuts out those before it.  `gone` is proposed by the leader once that lease has surely
run out (leases.py), and only there the other parts hear that what it held is free."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ...net.clock import SECOND
from ..interfaces import (
    ConvergenceListener,
    EntryContext,
    LeaseEndedListener,
    LeaseExpiredListener,
    MemberEvictedListener,
    MemberJoinedListener,
    listeners,
)
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

# Start tokens remembered for each name, so that a join that comes twice is answered, not carried out twice.
TOKENS = 8
# Changes not yet in force that are told apart; a fleet has a handful.  Beyond, a later one stands for both.
CHANGES = 256
LATER = "a later incarnation has joined"


class Roster:
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
        self.members: dict[tuple[str, int], Member] = {}  # not gone, and the last one of each name
        self.highest: dict[str, int] = {}  # incarnation given, by name
        self.tokens: dict[str, list[tuple[int, int]]] = {}  # token, incarnation
        self.changes: list[Change] = []  # not in force
        self.in_force = 0  # the last change that is
        self.compared = 0  # the last point of comparing
        self.agreed = Agreed(0, b"")
        self.digests: dict[int, bytes] = {}  # this member's own, at the last points: not part of the state

    # ---- asked by other parts, works and the leader --------------------------------------------------

    def unfit(self, name: str, incarnation: int) -> str:
        """Why it may not act; "" where it may, as far as entries tell (it needs its lease too)."""
        if (member := self.members.get((name, incarnation))) is not None:
            return "" if member.life is MemberState.VALID else member.life.value
        return LATER if incarnation < self.highest.get(name, 0) else "not joined"

    @property
    def version(self) -> int:
        """The last entry that changed what the fleet acts by."""
        return self.changes[-1].index if self.changes else self.in_force

    def valid(self) -> list[Member]:
        return [member for member in self.members.values() if member.life is MemberState.VALID]

    def present(self) -> list[Member]:
        """All that may still act: those valid, and those shut out whose lease may run."""
        return [
            member
            for member in self.members.values()
            if member.life in (MemberState.VALID, MemberState.SHUT_OUT)
        ]

    def changed(self, at: EntryContext, what: str, hard: bool = False, allowed: int = 0) -> None:
        """For parts, within the entry that changes what the fleet acts by.  A hard one (a contract cut, a
        member or server removed) may count on the old version's end only once it is in force: `in_force`
        has reached that entry, and `change_in_force(at, version, taken)` of each part that has it is
        called."""
        change = Change(at.index, what, hard, allowed)
        same = [n for n, one in enumerate(self.changes) if (one.what, one.hard) == (what, hard)]
        if same and (not hard or len(self.changes) >= CHANGES):
            del self.changes[same[-1]]
        elif len(self.changes) >= CHANGES:
            del self.changes[0]
        self.changes.append(change)

    # ---- entries -----------------------------------------------------------------------------------

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        match word:
            case "join":
                return self.on_join(at, body)
            case "leave":
                return self.on_leave(at, body)
            case "shut_out":
                return self.on_shut_out(at, body)
            case "gone":
                return self.on_gone(at, body)
            case "compare":
                return self.on_compare(at, body)
            case "agreed":
                return self.on_agreed(at, body)
            case "back":
                return self.on_back(at, body)
            case "in_force":
                return self.on_in_force(at, body)
            case "change":
                return self.on_change(at, body)
        raise ValueError(f"no word of this part: {word}")

    def on_join(self, at: EntryContext, join: Join) -> int:
        """The incarnation: it only grows for that name."""
        tokens = self.tokens.setdefault(join.name, [])
        for token, incarnation in tokens:
            if token == join.token:
                return incarnation
        self.highest[join.name] = incarnation = self.highest.get(join.name, 0) + 1
        tokens.append((join.token, incarnation))
        del tokens[:-TOKENS]
        for old in [
            p for p in self.state_machine.proposers if p.startswith(f"{join.name}?") and p != at.proposer
        ]:
            del self.state_machine.proposers[old]  # starts that are over would pile up
        for member in [member for member in self.members.values() if member.name == join.name]:
            self.shut(at, member, LATER)
            if member.life is MemberState.GONE:
                self.members.pop((member.name, member.incarnation), None)
        self.members[join.name, incarnation] = Member(
            join.name, incarnation, join.votes, at.index, since=at.index
        )
        for part in listeners(self.state_machine.parts, MemberJoinedListener):
            part.member_joined(at, join.name, incarnation)
        return incarnation

    def shut(self, at: EntryContext, member: Member, why: str) -> None:
        """One that was never valid holds nothing: it is gone at once."""
        if member.life is MemberState.VALID:
            member.life, member.since, member.why = MemberState.SHUT_OUT, at.index, why
            for part in listeners(self.state_machine.parts, MemberEvictedListener):
                part.member_shut_out(at, member.name, member.incarnation)
        elif member.life is MemberState.COMPARED:
            member.why = why
            self.end(at, member)

    def end(self, at: EntryContext, member: Member, when: int = 0) -> None:
        member.life, member.since = MemberState.GONE, at.index
        for part in listeners(self.state_machine.parts, LeaseEndedListener):
            part.member_ended(at, member.name, member.incarnation, when)
        for part in listeners(self.state_machine.parts, LeaseExpiredListener):
            part.member_gone(at, member.name, member.incarnation)
        if member.incarnation < self.highest[member.name]:  # of each name the last one gone is told of
            del self.members[member.name, member.incarnation]

    def known(self, name: str, incarnation: int, *lives: MemberState) -> Member:
        member = self.members.get((name, incarnation))
        if member is None or member.life not in lives:
            raise InvalidRequestError(
                f"{name} {incarnation} is {member.life.value if member else 'not known'}"
            )
        return member

    def on_leave(self, at: EntryContext, leave: Leave) -> None:
        if (at.proposer, at.incarnation) != (leave.name, leave.incarnation):
            raise InvalidRequestError("a member leaves by itself")
        member = self.known(
            leave.name, leave.incarnation, MemberState.COMPARED, MemberState.VALID, MemberState.SHUT_OUT
        )
        member.why = "left"
        self.end(at, member)

    def on_shut_out(self, at: EntryContext, out: Evicted) -> None:
        self.shut(at, self.known(out.name, out.incarnation, MemberState.COMPARED, MemberState.VALID), out.why)

    def on_gone(self, at: EntryContext, gone: LeaseExpired) -> None:
        self.end(at, self.known(gone.name, gone.incarnation, MemberState.SHUT_OUT), gone.when)

    def on_compare(self, at: EntryContext, body: Compare) -> int:
        """The digest as the state stands within this entry; each member's is its own, and not told here."""
        self.compared = at.index
        self.digests[at.index] = self.state_machine.digest()
        for old in sorted(self.digests)[:-TOKENS]:
            del self.digests[old]
        return at.index

    def on_agreed(self, at: EntryContext, agreed: Agreed) -> None:
        if agreed.index <= self.agreed.index:
            raise InvalidRequestError(f"point {agreed.index} after {self.agreed.index}")
        self.agreed = agreed

    def on_back(self, at: EntryContext, back: Readmitted) -> None:
        member = self.known(back.name, back.incarnation, MemberState.COMPARED)
        if back.index < member.joined:
            raise InvalidRequestError(f"compared at {back.index}, joined at {member.joined}")
        member.life, member.since = MemberState.VALID, at.index

    def on_change(self, at: EntryContext, change: Announce) -> int:
        self.changed(at, change.what, change.hard, change.allowed)
        return at.index

    def on_in_force(self, at: EntryContext, body: InForce) -> None:
        if not self.in_force < body.version < at.index:
            raise InvalidRequestError(f"version {body.version} after {self.in_force}")
        self.in_force = body.version
        self.changes = [change for change in self.changes if change.index > body.version]
        for part in listeners(self.state_machine.parts, ConvergenceListener):
            part.change_in_force(at, body.version, body.taken)

    # ---- as a whole --------------------------------------------------------------------------------

    def row(self) -> RosterRow:
        return RosterRow(
            list(self.members.values()),
            self.highest,
            self.tokens,
            self.changes,
            self.in_force,
            self.compared,
            self.agreed,
        )

    def restore(self, row: bytes) -> None:
        try:
            row = msgspec.msgpack.decode(row, type=RosterRow)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not a roster: {bad}") from None
        self.members = {(member.name, member.incarnation): member for member in row.members}
        self.highest, self.tokens, self.changes = row.highest, row.tokens, row.changes
        self.in_force, self.compared, self.agreed = row.in_force, row.compared, row.agreed
        self.digests.clear()


def announce_change(
    state_machine: ReplicatedStateMachine | None,
    at: EntryContext,
    what: str,
    hard: bool = False,
    allowed: int = SECOND,
) -> None:
    """For other parts of the state machine: `Roster.changed`, where the state machine has a roster."""
    roster = state_machine.parts.get("members") if state_machine is not None else None
    if isinstance(roster, Roster):
        roster.changed(at, what, hard, allowed)
