"""Checks the records in the members' folders against the heads in the replicated state.  No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from ...encoding.rows import Row
from ...net.clock import SECOND
from .chain import Record, root_digest
from .heads import AuditState, KnownIncarnation

# Largest difference of two members' estimates of fleet time at one instant, as fleet time is slewed.  An
# action that seems later than the end of its member's lease by less than that proves nothing (docs/audit.md).
MAX_TIME_DIFFERENCE = SECOND // 2


class Finding(Row, frozen=True):
    """A violation that the check has found.

    `kind` is `missing`, `doubled`, `order`, `changed`, `old_version`, `after_gone`, `no_lease`, `unknown`,
    `contradiction` or `spoilt` (the file can't be decoded there).
    """

    kind: str
    member: str
    incarnation: int
    number: int  # of the record, or the first one concerned
    what: str


class VersionActivity(Row, frozen=True):
    """How many actions a member based on one version, and when."""

    member: str
    incarnation: int
    version: int
    actions: int
    first_at: int  # fleet time as the member estimated it, tenths of a ms
    last_at: int


Records = Mapping[str, Mapping[int, Sequence[Record]]]  # by member and incarnation, in the order of the files


def check(
    records: Records, facts: AuditState, max_time_difference: int = MAX_TIME_DIFFERENCE
) -> list[Finding]:
    """Returns all violations by member, incarnation and number, then the contradictions between heads.

    Incarnations older than the oldest one that the replicated state still knows are not checked.
    """
    found: list[Finding] = []
    for member in sorted(records.keys() | facts.incarnations.keys()):
        incarnations = {one.incarnation: one for one in facts.incarnations.get(member, ())}
        chains = records.get(member, {})
        oldest = min(incarnations, default=0)
        for incarnation in sorted(one for one in chains.keys() | incarnations.keys() if one >= oldest):
            checker = IncarnationChecker(
                member, incarnation, chains.get(incarnation, ()), incarnations.get(incarnation)
            )
            found += [*checker.check_chain(), *checker.check_actions(facts, max_time_difference)]
    found += [
        Finding(
            "contradiction",
            later.member,
            later.incarnation,
            later.number,
            f"a head of {later.number} after one of {known.number}",
        )
        for known, later in facts.contradictions
    ]
    return found


def activity_by_version(records: Records, versions: Sequence[int] = ()) -> list[VersionActivity]:
    """Returns which member acted on which version, and from when to when.

    `versions`: log entries that changed what members act on, in order; an action counts for the last one up
    to the version in its stamp.  Without them each log entry counts as a version.
    """
    found = []
    for member, chains in sorted(records.items()):
        for incarnation, chain in sorted(chains.items()):
            times_by_version: dict[int, list[int]] = {}
            for record in chain:
                version = record.stamp.version
                if versions:
                    version = max((one for one in versions if one <= version), default=0)
                times_by_version.setdefault(version, []).append(record.at)
            found += [
                VersionActivity(member, incarnation, version, len(times), min(times), max(times))
                for version, times in sorted(times_by_version.items())
            ]
    return found


class ChainChecker:
    """Checks the chain of one incarnation, record by record."""

    def __init__(self, member: str, incarnation: int, known: KnownIncarnation | None) -> None:
        """Starts before the first record; `known`: what the replicated state knows of the incarnation."""
        self.member = member
        self.incarnation = incarnation
        self.known = known
        self.last: Record | None = None

    def finding(self, kind: str, number: int, what: str) -> Finding:
        """Returns a finding about a record of this chain."""
        return Finding(kind, self.member, self.incarnation, number, what)

    def check_next(self, record: Record) -> Iterator[Finding]:
        """Yields what is wrong with a record in relation to the one before and to the known head.

        Numbers must have no gap, digests must match, and terms and versions must not decrease.
        """
        stamp = record.stamp
        last = self.last
        self.last = record
        if (stamp.member, stamp.incarnation) != (self.member, self.incarnation):
            yield self.finding("changed", stamp.number, f"stamped {stamp.member} {stamp.incarnation}")
        before = last.stamp.number if last is not None else 0
        if last is None and 1 < stamp.number <= (self.known.first if self.known else 1):
            pass  # the records before were deleted, and the replicated state says so
        elif stamp.number > before + 1:
            yield self.finding("missing", before + 1, f"{before + 1} to {stamp.number - 1}")
        elif stamp.number == before:
            yield self.finding("doubled", stamp.number, "comes twice")
        elif stamp.number < before:
            yield self.finding("order", stamp.number, f"comes after {before}")
        elif record.previous_digest != (
            last.digest() if last else root_digest(self.member, self.incarnation)
        ):
            yield self.finding("changed", before or 1, "its digest isn't what the next record holds")
        if last is not None and (stamp.term, stamp.version) < (last.stamp.term, last.stamp.version):
            yield self.finding(
                "order", stamp.number, f"by version {stamp.version} after {last.stamp.version}"
            )
        known = self.known
        if known is not None and stamp.number == known.number and record.digest() != known.digest:
            yield self.finding("changed", stamp.number, "the ledger knows another digest")

    def check_end(self) -> Iterator[Finding]:
        """Yields a finding if the chain ends before the known head."""
        last = self.last.stamp.number if self.last is not None else 0
        if self.known is not None and last < self.known.number:
            yield self.finding("missing", last + 1, f"the ledger knows of {self.known.number}")


class IncarnationChecker(ChainChecker):
    """Checks all records of one incarnation: their chain, and whether each action was allowed."""

    def __init__(
        self, member: str, incarnation: int, chain: Sequence[Record], known: KnownIncarnation | None
    ) -> None:
        """Takes all records of the incarnation in the order in which the files hold them."""
        super().__init__(member, incarnation, known)
        self.chain = chain

    def check_chain(self) -> Iterator[Finding]:
        """Yields what is wrong with the chain itself."""
        for record in self.chain:
            yield from self.check_next(record)
        yield from self.check_end()

    def check_actions(self, facts: AuditState, max_time_difference: int) -> Iterator[Finding]:
        """Yields a finding for each action that its member was not allowed to take."""
        if self.chain and self.known is None:
            yield self.finding("unknown", 1, "the ledger knows nothing of this incarnation")
        known = self.known or KnownIncarnation(self.incarnation)
        bounds = [
            (actions, change.version)
            for change in facts.converged_changes
            for name, incarnation, actions in change.taken
            if (name, incarnation) == (self.member, self.incarnation)
        ]
        for record in self.chain:
            stamp = record.stamp
            if record.left <= 0:
                yield self.finding("no_lease", stamp.number, "its lease had run out")
            if any(0 < end <= stamp.version for end in (known.evicted_index, known.lease_ended_index)):
                yield self.finding("after_gone", stamp.number, "it knew that it was shut out")
            elif known.lease_ended_at and record.at > known.lease_ended_at + max_time_difference:
                yield self.finding(
                    "after_gone",
                    stamp.number,
                    f"{record.at - known.lease_ended_at} after its lease had run out",
                )
            for actions, version in bounds:
                if stamp.number > actions and stamp.version < version:
                    yield self.finding(
                        "old_version", stamp.number, f"by {stamp.version}, and {version} was in force"
                    )
