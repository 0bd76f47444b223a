"""Checks the audit folders of all members with one call, for operators' tools, tests and proofs."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...errors import InvalidDataError
from . import files
from .check import Finding, Records, VersionActivity, activity_by_version, check
from .heads import AuditState


@dataclass(slots=True)
class AuditResult:
    """Result of an audit of all members."""

    findings: list[Finding]
    unread: list[tuple[str, InvalidDataError]]  # the member, and what of its files can't be read
    activity: list[VersionActivity]
    acts: dict[str, int] = field(default_factory=dict)  # number of recorded actions by member

    def has_findings(self, member: str) -> bool:
        """Returns whether there is any finding about a member, or anything unreadable in its files."""
        return any(one.member == member for one in self.findings) or any(
            name == member for name, _ in self.unread
        )

    def count(self, *kinds: str) -> int:
        """Returns the number of findings of these kinds."""
        return sum(one.kind in kinds for one in self.findings)


def read_folders(
    folders: Mapping[str, str | os.PathLike],
) -> tuple[Records, list[tuple[str, InvalidDataError]]]:
    """Returns the records of all members, and by member what can't be read.

    `folders`: by member, the folder of its chains (`audit` in its data folder).  Raises OSError.
    """
    records = {}
    unread = []
    for member, folder in sorted(folders.items()):
        records[member], errors = files.read_chains(folder)
        unread += [(member, error) for error in errors]
    return records, unread


def audit_folders(folders: Mapping[str, str | os.PathLike], facts: AuditState) -> AuditResult:
    """Checks the folders of all members; raises OSError.

    `facts` is the part `audit` of any member's replicated state.  It has to be taken before this call, so
    that actions recorded meanwhile don't count as violations.
    """
    records, unread = read_folders(folders)
    return AuditResult(
        check(records, facts),
        unread,
        activity_by_version(records),
        {member: sum(map(len, chains.values())) for member, chains in records.items()},
    )
