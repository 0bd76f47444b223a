"""Entries of the state machine part `members`, and the rows of its state.  Shapes only."""

from __future__ import annotations

import enum

from ...encoding.rows import Row


class Join(Row):
    """Proposed as `name?token` by a process that has just started, or that was evicted and joins again."""

    name: str
    token: int
    votes: bool = False


class Leave(Row):
    """Proposed by the member itself at an orderly shutdown, after its last action."""

    name: str
    incarnation: int


class Evicted(Row):
    """Proposed by the leader: the lease of that incarnation is renewed no more."""

    name: str
    incarnation: int
    why: str


class LeaseExpired(Row):
    """Proposed by the leader once an evicted member's lease has expired by the leader's clock.

    `when` is the fleet time of the expiry; 0 if it is not known.
    """

    name: str
    incarnation: int
    when: int = 0


class Compare(Row):
    """Index at which every member takes the digest of its state machine."""


class Agreed(Row):
    """Digest of the majority at that index; a member with another one stops acting."""

    index: int
    digest: bytes


class Readmitted(Row):
    """The member's digest at `index` is that of the majority: it may act."""

    name: str
    incarnation: int
    index: int


class Announce(Row):
    """A change of the members' files (classes and servers), which no part of the state holds.

    The index of this entry is its version; `hard` and `allowed` are those of `Change`.
    """

    what: str
    hard: bool
    allowed: int = 0


class InForce(Row):
    """Every member that may act has applied all changes up to `version`.

    `taken` has the name and incarnation of each, and the number of its actions stamped when it reported
    `version` or later; the audit checks its actions against that.
    """

    version: int
    taken: tuple[tuple[str, int, int], ...] = ()


class MemberState(enum.StrEnum):
    """State of one incarnation; it only moves forward in this order."""

    COMPARED = "being compared"
    VALID = "valid"
    EVICTED = "shut out"
    LEASE_EXPIRED = "gone"


class Member(Row):
    """One incarnation of a member."""

    name: str
    incarnation: int
    votes: bool
    joined: int  # index of its entry `join`
    life: MemberState = MemberState.COMPARED
    since: int = 0  # index of the entry that brought it into this state
    why: str = ""


class Change(Row):
    """A change that members must apply.

    After a hard one is in force nobody may act on what was before; after another one members may for
    `allowed` ticks longer.
    """

    index: int
    what: str
    hard: bool
    allowed: int = 0


FORM = 1  # version of the roster's snapshot


class RosterRow(Row):
    """Snapshot of the roster."""

    members: list[Member]
    highest: dict[str, int]
    tokens: dict[str, list[tuple[int, int]]]
    changes: list[Change]
    in_force: int
    compared: int
    agreed: Agreed
    form: int = FORM
