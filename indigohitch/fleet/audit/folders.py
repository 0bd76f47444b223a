"""The audit over all members' folders: the one call that operators' tools, tests and proofs use."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...errors import InvalidDataError
from . import files
from .check import Acted, Finding, Records, acted, check
from .heads import Facts


@dataclass(slots=True)
class Audited:
    """`findings`: what is wrong, by member; `unread`: what can't be read of whose files; `acted`: who acted
    by which version, from when to when; `acts`: of each member."""

    findings: list[Finding]
    unread: list[tuple[str, InvalidDataError]]
    acted: list[Acted]
    acts: dict[str, int] = field(default_factory=dict)

    def against(self, member: str) -> bool:
        return any(one.member == member for one in self.findings) or any(
            name == member for name, _ in self.unread
        )

    def count(self, *kinds: str) -> int:
        return sum(one.kind in kinds for one in self.findings)


def gathered(folders: Mapping[str, str | os.PathLike]) -> tuple[Records, list[tuple[str, InvalidDataError]]]:
    """`folders`: by member, where its chains lie (`audit` in its ledger's folder).  Raises OSError."""
    records = {}
    unread = []
    for member, folder in sorted(folders.items()):
        records[member], troubles = files.read(folder)
        unread += [(member, trouble) for trouble in troubles]
    return records, unread


def audited(folders: Mapping[str, str | os.PathLike], facts: Facts) -> Audited:
    """`facts`: of the ledger (the part `audit` of any member's state), taken before this is called: what is
    done meanwhile is not held against anyone.  Raises OSError."""
    records, unread = gathered(folders)
    return Audited(
        check(records, facts),
        unread,
        acted(records),
        {member: sum(map(len, chains.values())) for member, chains in records.items()},
    )
