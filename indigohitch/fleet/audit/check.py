"""The judge over all records: holds what lies in the members' folders against what the ledger tells.  No
I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from ...encoding.rows import Row
from ...net.clock import SECOND
from .chain import Record, root
from .heads import Facts, Kept

# By how much two members' reckonings of one instant may differ: an act that seems later than its member's end
# by less than that proves nothing (fleet time is slewed, docs/audit.md).
APART = SECOND // 2


class Finding(Row, frozen=True):
    """`kind`: `missing`, `doubled`, `order`, `changed`, `old_version`, `after_gone`, `no_lease`, `unknown`,
    `contradiction`, `spoilt`."""

    kind: str
    member: str
    incarnation: int
    number: int  # of the record, or the first one concerned
    what: str


class Acted(Row, frozen=True):
    """A member's acts by one version: how many, and from when to when by its own reckoning."""

    member: str
    incarnation: int
    version: int
    acts: int
    begun: int
    ended: int


Records = Mapping[str, Mapping[int, Sequence[Record]]]  # by member, by incarnation, as they lie there


def check(records: Records, facts: Facts, apart: int = APART) -> list[Finding]:
    """All that is wrong, by member, incarnation and number."""
    found: list[Finding] = []
    for member in sorted(records.keys() | facts.kept.keys()):
        kept = {one.incarnation: one for one in facts.kept.get(member, ())}
        chains = records.get(member, {})
        oldest = min(kept, default=0)  # what was before the ledger has let go
        for incarnation in sorted(one for one in chains.keys() | kept.keys() if one >= oldest):
            one = One(member, incarnation, chains.get(incarnation, ()), kept.get(incarnation))
            found += [*one.whole(), *one.allowed(facts, apart)]
    found += [
        Finding(
            "contradiction",
            later.member,
            later.incarnation,
            later.number,
            f"a head of {later.number} after one of {known.number}",
        )
        for known, later in facts.evidence
    ]
    return found


def acted(records: Records, versions: Sequence[int] = ()) -> list[Acted]:
    """Who acted by which version, from when to when.  `versions`: entries that changed what is acted by, in
    order; an act goes by the last one up to its stamp's.  Without them each entry counts as one."""
    told = []
    for member, chains in sorted(records.items()):
        for incarnation, chain in sorted(chains.items()):
            spans: dict[int, list[int]] = {}
            for record in chain:
                version = record.stamp.version
                if versions:
                    version = max((one for one in versions if one <= version), default=0)
                spans.setdefault(version, []).append(record.at)
            told += [
                Acted(member, incarnation, version, len(times), min(times), max(times))
                for version, times in sorted(spans.items())
            ]
    return told


class Links:
    """One chain, record after record."""

    def __init__(self, member: str, incarnation: int, kept: Kept | None) -> None:
        self.member = member
        self.incarnation = incarnation
        self.kept = kept
        self.last: Record | None = None

    def finding(self, kind: str, number: int, what: str) -> Finding:
        return Finding(kind, self.member, self.incarnation, number, what)

    def next(self, record: Record) -> Iterator[Finding]:
        """In itself: numbers without a gap, digests that meet, nothing that goes back; and as the ledger
        knows it."""
        stamp = record.stamp
        last = self.last
        self.last = record
        if (stamp.member, stamp.incarnation) != (self.member, self.incarnation):
            yield self.finding("changed", stamp.number, f"stamped {stamp.member} {stamp.incarnation}")
        before = last.stamp.number if last is not None else 0
        if last is None and 1 < stamp.number <= (self.kept.first if self.kept else 1):
            pass  # what was before was given up, and the ledger knows
        elif stamp.number > before + 1:
            yield self.finding("missing", before + 1, f"{before + 1} to {stamp.number - 1}")
        elif stamp.number == before:
            yield self.finding("doubled", stamp.number, "comes twice")
        elif stamp.number < before:
            yield self.finding("order", stamp.number, f"comes after {before}")
        elif record.before != (last.digest() if last else root(self.member, self.incarnation)):
            yield self.finding("changed", before or 1, "its digest isn't what the next record holds")
        if last is not None and (stamp.term, stamp.version) < (last.stamp.term, last.stamp.version):
            yield self.finding(
                "order", stamp.number, f"by version {stamp.version} after {last.stamp.version}"
            )
        kept = self.kept
        if kept is not None and stamp.number == kept.number and record.digest() != kept.digest:
            yield self.finding("changed", stamp.number, "the ledger knows another digest")

    def end(self) -> Iterator[Finding]:
        """What the ledger was told of lies here."""
        last = self.last.stamp.number if self.last is not None else 0
        if self.kept is not None and last < self.kept.number:
            yield self.finding("missing", last + 1, f"the ledger knows of {self.kept.number}")


class One(Links):
    """All records of one incarnation."""

    def __init__(self, member: str, incarnation: int, chain: Sequence[Record], kept: Kept | None) -> None:
        super().__init__(member, incarnation, kept)
        self.chain = chain

    def whole(self) -> Iterator[Finding]:
        for record in self.chain:
            yield from self.next(record)
        yield from self.end()

    def allowed(self, facts: Facts, apart: int) -> Iterator[Finding]:
        """Each act was one that its member might do."""
        if self.chain and self.kept is None:
            yield self.finding("unknown", 1, "the ledger knows nothing of this incarnation")
        kept = self.kept or Kept(self.incarnation)
        bounds = [
            (acts, held.version)
            for held in facts.held
            for name, incarnation, acts in held.taken
            if (name, incarnation) == (self.member, self.incarnation)
        ]
        for record in self.chain:
            stamp = record.stamp
            if record.left <= 0:
                yield self.finding("no_lease", stamp.number, "its lease had run out")
            if any(0 < end <= stamp.version for end in (kept.shut_out, kept.gone)):
                yield self.finding("after_gone", stamp.number, "it knew that it was shut out")
            elif kept.gone_at and record.at > kept.gone_at + apart:
                yield self.finding(
                    "after_gone", stamp.number, f"{record.at - kept.gone_at} after its lease had run out"
                )
            for acts, version in bounds:
                if stamp.number > acts and stamp.version < version:
                    yield self.finding(
                        "old_version", stamp.number, f"by {stamp.version}, and {version} was in force"
                    )
