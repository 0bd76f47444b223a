"""The entries of the part `members`, and what the state keeps of a member and a change.  Shapes only."""

from __future__ import annotations

import enum

from ...encoding.rows import Row


class Join(Row):
    """By `name?token`: a process that has just started, or one that was shut out and begins anew."""

    name: str
    token: int
    votes: bool = False


class Leave(Row):
    """By the member itself, at an orderly end, after its last act."""

    name: str
    incarnation: int


class Evicted(Row):
    name: str
    incarnation: int
    why: str


class LeaseExpired(Row):
    """By the leader, once the lease has surely run out by its reckoning; `when` that was in fleet time,
    0: not known."""

    name: str
    incarnation: int
    when: int = 0


class Compare(Row):
    """A point at which every member takes the digest of its state machine."""


class Agreed(Row):
    """What most members had there: who has another shuts itself out."""

    index: int
    digest: bytes


class Readmitted(Row):
    """Compared and found equal at point `index`: it may act."""

    name: str
    incarnation: int
    index: int


class Announce(Row):
    """Something that members go by has changed, and no part of the state holds it (their files' classes and
    servers): this entry is its version.  `hard` and `allowed` as in `Change`."""

    what: str
    hard: bool
    allowed: int = 0


class InForce(Row):
    """Every member that may act has taken all changes up to `version`.  `taken`: name, incarnation, and how
    many acts it had stamped when it said that it goes by `version` or later; the audit holds it to that."""

    version: int
    taken: tuple[tuple[str, int, int], ...] = ()


class MemberState(enum.StrEnum):
    COMPARED = "being compared"
    VALID = "valid"
    SHUT_OUT = "shut out"
    GONE = "gone"


class Member(Row):
    """One incarnation of a name."""

    name: str
    incarnation: int
    votes: bool
    joined: int  # the entry
    life: MemberState = MemberState.COMPARED
    since: int = 0  # the entry that made it so
    why: str = ""


class Change(Row):
    """What members must take.  `hard`: nobody may act by what was before once it is in force; else they may
    for `allowed` longer."""

    index: int
    what: str
    hard: bool
    allowed: int = 0


FORM = 1  # of the roster's snapshot


class RosterRow(Row):
    members: list[Member]
    highest: dict[str, int]
    tokens: dict[str, list[tuple[int, int]]]
    changes: list[Change]
    in_force: int
    compared: int
    agreed: Agreed
    form: int = FORM
