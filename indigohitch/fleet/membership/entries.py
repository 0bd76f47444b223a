"""Log entries of the state machine part `members`, and the rows of its snapshot.  Data types only."""

from __future__ import annotations

import enum

from ...encoding.rows import Row


class Join(Row):
    """Starts an incarnation; a process proposes it as `name?token` at its start and after an eviction."""

    name: str
    token: int
    votes: bool = False


class Leave(Row):
    """Ends an incarnation; the member itself proposes it at an orderly shutdown, after its last action."""

    name: str
    incarnation: int


class Evicted(Row):
    """Evicts an incarnation; the leader proposes it and no longer renews that lease."""

    name: str
    incarnation: int
    why: str


class LeaseExpired(Row):
    """Frees what an evicted member held; the leader proposes it once the lease has expired by its clock.

    `when` is the fleet time of the expiry, or 0 if it is unknown.
    """

    name: str
    incarnation: int
    when: int = 0


class Compare(Row):
    """Marks the index at which every member computes the digest of its state machine."""


class Agreed(Row):
    """Records the digest of the majority at that index; a member with a different digest stops acting."""

    index: int
    digest: bytes


class Readmitted(Row):
    """Lets a member act, because its digest at `index` equals that of the majority."""

    name: str
    incarnation: int
    index: int


class Announce(Row):
    """Announces a change of the members' files (classes and servers), which are not replicated state.

    The index of this entry is the version of the change; `hard` and `allowed` are as in `Change`.
    """

    what: str
    hard: bool
    allowed: int = 0


class InForce(Row):
    """Records that every member that may act has applied all changes up to `version`.

    `taken` holds the name and incarnation of each, and how many actions it had stamped when it reported
    `version` or a later one; the audit checks its actions against that number.
    """

    version: int
    taken: tuple[tuple[str, int, int], ...] = ()


class MemberState(enum.StrEnum):
    """States of an incarnation, which only moves forward in this order."""

    BEING_COMPARED = "being compared"
    VALID = "valid"
    EVICTED = "shut out"
    LEASE_EXPIRED = "gone"


class Member(Row):
    """One incarnation of a member, as the roster holds it."""

    name: str
    incarnation: int
    votes: bool
    joined: int  # index of its `join` entry
    state: MemberState = MemberState.BEING_COMPARED
    since: int = 0  # index of the entry that put it into this state
    why: str = ""


class Change(Row):
    """Describes a change that members must apply.

    Once a hard change is in force nobody may act on the version before it.  After any other change members
    may do so for `allowed` ticks longer.
    """

    index: int
    what: str
    hard: bool
    allowed: int = 0


SNAPSHOT_VERSION = 1


class RosterRow(Row):
    """Snapshot of the roster; `form` is the version of its format."""

    members: list[Member]
    highest: dict[str, int]
    tokens: dict[str, list[tuple[int, int]]]
    changes: list[Change]
    in_force: int
    compared: int
    agreed: Agreed
    form: int = SNAPSHOT_VERSION
