"""Comparison of the members' states by digests taken at the same index.  No I/O."""

from __future__ import annotations

from collections import Counter

from ...encoding.rows import Row
from .entries import Agreed, Compare, Member, MemberState, Readmitted
from .observations import MemberObservation, Observations
from .roster import Roster

# Leases from one comparison to the next, while entries come: a digest of a large state takes some ms.
COMPARISON_INTERVAL = 5


class StateComparison:
    """Proposes comparisons, the digest of the majority, and the readmission of members that have it."""

    def __init__(self, roster: Roster, span: int, observations: Observations) -> None:
        """Creates a comparison that has not started; `span` is the duration of a lease."""
        self.roster = roster
        self.span = span
        self.observations = observations
        self.index = 0  # of the last comparison
        self.started_at = 0

    def start(self, now: int) -> None:
        """Starts at the election of this leader."""
        self.started_at = now
        self.index = self.roster.compared

    def proposals(self, now: int, members: list[Member]) -> list[Row]:
        """Returns the entries to propose; `members` are those valid or being compared."""
        roster = self.roster
        if roster.compared != self.index:
            self.index = roster.compared
            self.started_at = now
        observed = [(member, self._observation(now, member)) for member in members]
        proposals: list[Row] = [
            Readmitted(member.name, member.incarnation, roster.agreed.index)
            for member, observation in observed
            if self._is_equal(member, observation)
        ]
        if roster.compared > roster.agreed.index:
            return proposals + self._agreement(now, [observation for _, observation in observed])
        if self._is_busy(now) or any(
            self._needs_comparison(now, member, observation) for member, observation in observed
        ):
            proposals.append(Compare())
        return proposals

    def _observation(self, now: int, member: Member) -> MemberObservation:
        return self.observations.of(now, member.name, member.incarnation)

    def _is_equal(self, member: Member, observation: MemberObservation) -> bool:
        agreed = self.roster.agreed
        return (
            member.life is MemberState.COMPARED
            and observation.digest_at == agreed.index > member.joined
            and observation.digest == agreed.digest
        )

    def _agreement(self, now: int, observations: list[MemberObservation]) -> list[Row]:
        """Proposes the digest of the open comparison, once all have reported or half a lease has passed."""
        index = self.roster.compared
        own = self.roster.digests.get(index)
        counts = Counter(each.digest for each in observations if each.digest_at == index)
        has_waited = now >= self.started_at + self.span // 2
        if own is not None and counts and (has_waited or counts.total() == len(observations)):
            return [Agreed(index, majority_digest(counts, own))]
        # Nobody has reported a digest, or this leader's state was set to a later index.
        return [Compare()] if has_waited else []

    def _needs_comparison(self, now: int, member: Member, observation: MemberObservation) -> bool:
        """Whether a member that is to be compared has joined or was set to a snapshot after the last one."""
        has_waited = now >= self.started_at + self.span
        has_missed = has_waited and observation.digest_at < self.roster.compared
        return member.life is MemberState.COMPARED and (member.joined > self.roster.compared or has_missed)

    def _is_busy(self, now: int) -> bool:
        """Whether entries have come for so long that the next regular comparison is due."""
        has_entries = self.roster.state_machine.index > self.roster.agreed.index + 2
        return has_entries and now >= self.started_at + COMPARISON_INTERVAL * self.span


def majority_digest(counts: Counter[bytes], own: bytes) -> bytes:
    """Returns the digest that more than half have; if there is none, that of the leader, whose log counts."""
    digest, count = counts.most_common(1)[0]
    return digest if 2 * count > counts.total() else own
