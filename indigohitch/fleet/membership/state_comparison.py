"""Compares the members' states by digests computed at the same index.  No I/O."""

from __future__ import annotations

from collections import Counter

from ...encoding.rows import Row
from .entries import Agreed, Compare, Member, MemberState, Readmitted
from .observations import MemberObservation, Observations
from .roster import Roster

# Leases between two comparisons while entries are applied: the digest of a large state takes some ms.
COMPARISON_INTERVAL = 5


class StateComparison:
    """Proposes comparisons, the digest of the majority, and the readmission of members with that digest."""

    def __init__(self, roster: Roster, span: int, observations: Observations) -> None:
        """Creates a comparison that has not started; `span` is the lease duration."""
        self.roster = roster
        self.span = span
        self.observations = observations
        self.index = 0  # of the last comparison
        self.started_at = 0

    def start(self, now: int) -> None:
        """Starts at the election of this leader, with the last comparison of the roster."""
        self.started_at = now
        self.index = self.roster.compared

    def proposals(self, now: int, members: list[Member]) -> list[Row]:
        """Returns the entries to propose; `members` are those that are valid or being compared."""
        roster = self.roster
        if roster.compared != self.index:
            self.index = roster.compared
            self.started_at = now
        observed = [(member, self._observation(now, member)) for member in members]
        proposals: list[Row] = [
            Readmitted(member.name, member.incarnation, roster.agreed.index)
            for member, observation in observed
            if self._equals_majority(member, observation)
        ]
        if roster.compared > roster.agreed.index:
            return proposals + self._agreement(now, [observation for _, observation in observed])
        if self._is_due(now) or any(
            self._needs_comparison(now, member, observation) for member, observation in observed
        ):
            proposals.append(Compare())
        return proposals

    def _observation(self, now: int, member: Member) -> MemberObservation:
        return self.observations.of(now, member.name, member.incarnation)

    def _equals_majority(self, member: Member, observation: MemberObservation) -> bool:
        agreed = self.roster.agreed
        return (
            member.state is MemberState.BEING_COMPARED
            and observation.digest_at == agreed.index > member.joined
            and observation.digest == agreed.digest
        )

    def _agreement(self, now: int, observations: list[MemberObservation]) -> list[Row]:
        """Proposes the majority digest once all have reported theirs or half a lease has passed."""
        index = self.roster.compared
        own_digest = self.roster.digests.get(index)
        counts = Counter(each.digest for each in observations if each.digest_at == index)
        has_waited = now >= self.started_at + self.span // 2
        if own_digest is not None and counts and (has_waited or counts.total() == len(observations)):
            return [Agreed(index, majority_digest(counts, own_digest))]
        # Nobody has reported a digest, or a snapshot has set this leader's state to a later index.
        return [Compare()] if has_waited else []

    def _needs_comparison(self, now: int, member: Member, observation: MemberObservation) -> bool:
        """Returns whether a member to be compared has missed the last one, by a later join or a snapshot."""
        has_waited = now >= self.started_at + self.span
        has_missed = has_waited and observation.digest_at < self.roster.compared
        return member.state is MemberState.BEING_COMPARED and (
            member.joined > self.roster.compared or has_missed
        )

    def _is_due(self, now: int) -> bool:
        """Returns whether the next regular comparison is due, given entries applied since the last one."""
        has_entries = self.roster.state_machine.index > self.roster.agreed.index + 2
        return has_entries and now >= self.started_at + COMPARISON_INTERVAL * self.span


def majority_digest(counts: Counter[bytes], own_digest: bytes) -> bytes:
    """Returns the digest of more than half; without a majority that of the leader, whose log is decisive."""
    digest, count = counts.most_common(1)[0]
    return digest if 2 * count > counts.total() else own_digest
