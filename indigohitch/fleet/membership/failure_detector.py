"""What the leader makes of its members: who is current, behind, a straggler, and what it proposes.  No I/O.

A soft change allows a member its stated time on the old version.  For a hard one, and for a member that lags
far behind, it is a share of a lease.  Who is later than that is brought up, as long as it moves and not for
longer than `BRINGING` leases, or shut out; who isn't heard of for a lease is shut out.  What a hard change
takes away is free only with `in_force`, when every member that may act has taken it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ...encoding.rows import Row
from ..types import MemberStanding
from .entries import Agreed, Compare, Evicted, InForce, LeaseExpired, Member, MemberState, Readmitted
from .messages import RenewLease
from .roster import Roster

# Entries that a member may lack without being behind: some beats' worth under a burst of proposals.
LAG = 512
# Leases for which a straggler that moves is brought up before it is shut out: 2,000 entries or a snapshot of
# some MB take a fraction of one; who needs longer is better off starting anew than acting on what is old.
BRINGING = 5
# Leases for which a member that asks may take nothing while there are entries: it hears none.
DEAF = 2
# Leases from one point of comparing to the next, while entries come: a digest of a large state takes some ms.
COMPARING = 5


@dataclass(slots=True)
class MemberObservation:
    """What the leader knows of one incarnation; times by the leader's clock."""

    heard: int  # when it last asked for a lease
    moved: int  # when `applied` last grew
    applied: int = 0
    acts: int = 0
    digest_at: int = 0
    digest: bytes = b""
    lacks: int = 0  # since when it lacks anything and has taken nothing; 0: it doesn't
    lags: int = 0  # since when it lacks more than LAG entries
    late: int = 0  # since when it is a straggler; 0: it isn't

    def renewed(self, now: int, word: RenewLease) -> None:
        self.heard = now
        if word.applied > self.applied:
            self.applied, self.moved, self.acts, self.lacks = word.applied, now, word.acts, 0
        self.digest_at, self.digest = word.digest_at, word.digest


class FailureDetector:
    """At the leader only, from its election on.  `over(now, name, incarnation)`: has that lease surely run
    out (leases.Giver.over)."""

    def __init__(self, roster: Roster, span: int, over: Callable[[int, str, int], bool]) -> None:
        self.roster, self.span, self.over = roster, span, over
        self.elected = self.now = 0  # `now`: of the last look, for `status`
        self.when: Callable[[int], int] = lambda now: now  # fleet time; 0: not known
        self.seen: dict[tuple[str, int], MemberObservation] = {}
        self.condemned: dict[tuple[str, int], str] = {}  # proposed to be shut out, and why
        self.known_since: dict[int, int] = {}  # change -> when this leader first saw it
        self.point, self.pointed = 0, 0  # of comparing: which, since when

    def begin(self, now: int) -> None:
        self.elected = self.now = self.pointed = now
        self.point = self.roster.compared
        self.seen.clear()
        self.condemned.clear()
        self.known_since.clear()

    def heard(self, now: int, name: str, word: RenewLease) -> None:
        self.of(now, name, word.incarnation).renewed(now, word)

    def of(self, now: int, name: str, incarnation: int) -> MemberObservation:
        if (name, incarnation) not in self.seen:
            self.seen[name, incarnation] = MemberObservation(now, now)
        return self.seen[name, incarnation]

    # ---- standings ---------------------------------------------------------------------------------

    def standing(self, now: int, member: Member) -> MemberStanding:
        """Shut out, gone and back are told by entries; the rest by what was heard."""
        if member.life is not MemberState.VALID:
            return {
                MemberState.SHUT_OUT: MemberStanding.EVICTED,
                MemberState.GONE: MemberStanding.LEASE_EXPIRED,
                MemberState.COMPARED: MemberStanding.READMITTED,
            }[member.life]
        seen = self.of(now, member.name, member.incarnation)
        due = min(self.deadlines(now, member, seen), default=None)
        if due is None:
            seen.late = 0
            return MemberStanding.CURRENT
        if now < due:
            return MemberStanding.BEHIND
        seen.late = seen.late or now
        moving = now < seen.moved + self.span and now < seen.late + BRINGING * self.span
        return MemberStanding.CATCHING_UP if moving else MemberStanding.STRAGGLER

    def deadlines(self, now: int, member: Member, seen: MemberObservation) -> Iterator[int]:
        """Until when it may lack what it lacks."""
        for change in self.roster.changes:
            if not self.took(member, seen, change.index):
                since = self.known_since.setdefault(change.index, now)
                yield since + (self.span // 2 if change.hard else change.allowed)
        if self.roster.state_machine.index - max(seen.applied, member.since) > LAG:
            seen.lags = seen.lags or now
            yield seen.lags + self.span // 2
        else:
            seen.lags = 0

    def deaf(self, now: int, member: Member) -> bool:
        """It asks and hears nothing: it has no lease, and would keep for good what it holds."""
        seen = self.of(now, member.name, member.incarnation)
        if self.roster.state_machine.index <= max(seen.applied, member.since):
            seen.lacks = 0
            return False
        seen.lacks = seen.lacks or now
        return now >= seen.lacks + DEAF * self.span

    @staticmethod
    def took(member: Member, seen: MemberObservation, version: int) -> bool:
        """It acts by `version` or later: it says so, or it acts only since an entry after it."""
        return member.since > version or seen.applied >= version

    def silent(self, now: int, member: Member) -> bool:
        return now >= self.of(now, member.name, member.incarnation).heard + self.span

    # ---- proposals ---------------------------------------------------------------------------------

    def proposals(self, now: int) -> list[Row]:
        """Each is wanted until its entry is applied; the same now, the same again."""
        self.now, members = now, list(self.roster.members.values())
        for known in (self.seen, self.condemned):
            for one in known.keys() - self.roster.members.keys():
                del known[one]
        for change in self.known_since.keys() - {change.index for change in self.roster.changes}:
            del self.known_since[change]
        wanted: list[Row] = []
        for member in members:
            if member.life is MemberState.SHUT_OUT and self.over(now, member.name, member.incarnation):
                wanted.append(LeaseExpired(member.name, member.incarnation, self.when(now)))
            elif member.life in (MemberState.VALID, MemberState.COMPARED) and (
                why := self.why_out(now, member)
            ):
                wanted.append(Evicted(member.name, member.incarnation, why))
        wanted += self.taken(now)
        return wanted + self.comparing(
            now, [m for m in members if m.life in (MemberState.VALID, MemberState.COMPARED)]
        )

    def why_out(self, now: int, member: Member) -> str:
        """Once it is proposed it is wanted until it is so: its lease isn't renewed from then on."""
        one = member.name, member.incarnation
        if (why := self.condemned.get(one)) is not None:
            return why
        if self.silent(now, member):
            why = "not heard of for a lease"
        elif self.deaf(now, member):
            why = "it asks, and takes no entry"
        elif self.differs(now, member):
            why = "its state differs"
        elif self.standing(now, member) is MemberStanding.STRAGGLER:
            why = "a straggler that isn't brought up"
        else:
            return ""
        self.condemned[one] = why
        return why

    def differs(self, now: int, member: Member) -> bool:
        seen, agreed = self.of(now, member.name, member.incarnation), self.roster.agreed
        return seen.digest_at == agreed.index > 0 and seen.digest != agreed.digest

    def taken(self, now: int) -> list[Row]:
        """The last change that all have taken.  One shut out counts until it is gone."""
        present = [
            (member, self.of(now, member.name, member.incarnation)) for member in self.roster.present()
        ]
        for change in reversed(self.roster.changes):
            if all(
                member.life is MemberState.VALID and self.took(member, seen, change.index)
                for member, seen in present
            ):
                return [
                    InForce(
                        change.index,
                        tuple(
                            (member.name, member.incarnation, seen.acts)
                            for member, seen in present
                            if seen.applied >= change.index
                        ),
                    )
                ]
        return []

    # ---- comparing ---------------------------------------------------------------------------------

    def comparing(self, now: int, members: list[Member]) -> list[Row]:
        roster = self.roster
        if roster.compared != self.point:
            self.point, self.pointed = roster.compared, now
        agreed, wanted = roster.agreed, []
        for member in members:
            seen = self.of(now, member.name, member.incarnation)
            if (
                member.life is MemberState.COMPARED
                and seen.digest_at == agreed.index > member.joined
                and seen.digest == agreed.digest
            ):
                wanted.append(Readmitted(member.name, member.incarnation, agreed.index))
        told = [self.of(now, member.name, member.incarnation) for member in members]
        if roster.compared > agreed.index:
            own = roster.digests.get(roster.compared)
            counts = Counter(seen.digest for seen in told if seen.digest_at == roster.compared)
            waited = now >= self.pointed + self.span // 2
            if own is not None and counts and (waited or counts.total() == len(told)):
                wanted.append(Agreed(roster.compared, self.most(counts, own)))
            elif waited:
                wanted.append(Compare())  # nobody could tell, or this leader was set to a later state
            return wanted
        missed = now >= self.pointed + self.span  # one that was brought up past the point
        new = any(
            member.life is MemberState.COMPARED
            and (member.joined > roster.compared or (missed and one.digest_at < roster.compared))
            for member, one in zip(members, told)
        )
        busy = roster.state_machine.index > agreed.index + 2 and now >= self.pointed + COMPARING * self.span
        return wanted + [Compare()] if new or busy else wanted

    @staticmethod
    def most(counts: Counter[bytes], own: bytes) -> bytes:
        """What more than half have; where no digest has that, the leader's, whose log the others follow."""
        digest, count = counts.most_common(1)[0]
        return digest if 2 * count > counts.total() else own
