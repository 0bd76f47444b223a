"""Detects, at the leader, members that lag or have failed, and proposes what follows from it.  No I/O.

A member may act on the old version for the time that a soft change states.  For a hard change, and for a
member that lags by more than `MAX_LAG` entries, that time is half a lease.  After it the member may catch up
as long as it makes progress, for at most `CATCH_UP_LEASES` leases; otherwise it is evicted.  A member that
has sent no renewal for a lease is evicted too.  What a hard change takes away is free only with the entry
`in_force`, when every member that may act has applied the change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ...encoding.rows import Row
from ..types import MemberStanding
from .entries import Agreed, Compare, Evicted, InForce, LeaseExpired, Member, MemberState, Readmitted
from .messages import RenewLease
from .observations import MemberObservation, Observations
from .roster import Roster
from .state_comparison import StateComparison

# A member that lacks at most this many entries is not behind: a burst of proposals adds as many within a few
# heartbeats.
MAX_LAG = 512
# Leases for which a member that makes progress may catch up before it is evicted.  2,000 entries or a
# snapshot of some MB take a fraction of one lease; beyond, rejoining is better than acting on old state.
CATCH_UP_LEASES = 5
# Leases for which a member that sends renewals may apply none of the entries that it lacks.
STALL_LEASES = 2

_STANDING_BY_STATE = {
    MemberState.EVICTED: MemberStanding.EVICTED,
    MemberState.LEASE_EXPIRED: MemberStanding.LEASE_EXPIRED,
    MemberState.BEING_COMPARED: MemberStanding.READMITTED,
}


class FailureDetector:
    """Tracks the members from the election of this leader on; not used by followers."""

    def __init__(self, roster: Roster, span: int, has_expired: Callable[[int, str, int], bool]) -> None:
        """Creates a detector; `span` is the lease duration, `has_expired` is LeaseGrantor.has_expired."""
        self.roster = roster
        self.span = span
        self.has_expired = has_expired
        self.last_run_at = 0  # for `status`
        self.fleet_time: Callable[[int], int] = lambda now: now  # 0: unknown
        self.observations = Observations()
        self.eviction_reasons: dict[tuple[str, int], str] = {}  # of members whose eviction was proposed
        self.known_since: dict[int, int] = {}  # index of a change -> when this leader first saw it
        self.comparison = StateComparison(roster, span, self.observations)

    def start(self, now: int) -> None:
        """Resets the observations at the election of this leader, which knows nothing of the members yet."""
        self.last_run_at = now
        self.comparison.start(now)
        self.observations.by_member.clear()
        self.eviction_reasons.clear()
        self.known_since.clear()

    def on_renewal(self, now: int, name: str, message: RenewLease) -> None:
        """Records the state that a member reports with its lease renewal."""
        self.observations.of(now, name, message.incarnation).on_renewal(now, message)

    def _observation(self, now: int, member: Member) -> MemberObservation:
        return self.observations.of(now, member.name, member.incarnation)

    # ---- standings ---------------------------------------------------------------------------------

    def standing(self, now: int, member: Member) -> MemberStanding:
        """Returns the standing of a member, from the applied entries and its renewals."""
        if member.state is not MemberState.VALID:
            return _STANDING_BY_STATE[member.state]
        observation = self._observation(now, member)
        deadline = min(self._deadlines(now, member, observation), default=None)
        if deadline is None:
            observation.late_since = 0
            return MemberStanding.CURRENT
        if now < deadline:
            return MemberStanding.BEHIND
        observation.late_since = observation.late_since or now
        has_progress = now < observation.progressed_at + self.span
        if has_progress and now < observation.late_since + CATCH_UP_LEASES * self.span:
            return MemberStanding.CATCHING_UP
        return MemberStanding.STRAGGLER

    def _deadlines(self, now: int, member: Member, observation: MemberObservation) -> Iterator[int]:
        """Yields, for each change or backlog of entries that the member lacks, until when it may lack it."""
        for change in self.roster.changes:
            if not self.has_applied(member, observation, change.index):
                known_since = self.known_since.setdefault(change.index, now)
                yield known_since + (self.span // 2 if change.hard else change.allowed)
        if self.roster.state_machine.index - max(observation.applied, member.since) > MAX_LAG:
            observation.lagging_since = observation.lagging_since or now
            yield observation.lagging_since + self.span // 2
        else:
            observation.lagging_since = 0

    def is_stalled(self, now: int, member: Member) -> bool:
        """Returns whether a member sends renewals but applies nothing: it would never free what it holds."""
        observation = self._observation(now, member)
        if self.roster.state_machine.index <= max(observation.applied, member.since):
            observation.stalled_since = 0
            return False
        observation.stalled_since = observation.stalled_since or now
        return now >= observation.stalled_since + STALL_LEASES * self.span

    @staticmethod
    def has_applied(member: Member, observation: MemberObservation, version: int) -> bool:
        """Returns whether a member acts on `version` or later: it reports so, or became valid after it."""
        return member.since > version or observation.applied >= version

    def is_silent(self, now: int, member: Member) -> bool:
        """Returns whether a member has sent no renewal for the duration of a lease."""
        return now >= self._observation(now, member).last_renewal_at + self.span

    def has_diverged(self, now: int, member: Member) -> bool:
        """Returns whether the state of a member differs from that of the majority."""
        observation = self._observation(now, member)
        agreed = self.roster.agreed
        return observation.digest_at == agreed.index > 0 and observation.digest != agreed.digest

    # ---- proposals ---------------------------------------------------------------------------------

    def proposals(self, now: int) -> list[Row]:
        """Returns the entries to propose now; an entry is returned again until it has been applied."""
        self.last_run_at = now
        members = list(self.roster.members.values())
        self._forget_removed()
        proposals: list[Row] = []
        for member in members:
            proposals += self._proposals_about(now, member)
        proposals += self._convergence(now)
        live = [
            member for member in members if member.state in (MemberState.VALID, MemberState.BEING_COMPARED)
        ]
        return proposals + self.comparison.proposals(now, live)

    def _forget_removed(self) -> None:
        for known in (self.observations.by_member, self.eviction_reasons):
            for member in known.keys() - self.roster.members.keys():
                del known[member]
        for change in self.known_since.keys() - {change.index for change in self.roster.changes}:
            del self.known_since[change]

    def _proposals_about(self, now: int, member: Member) -> list[Row]:
        match member.state:
            case MemberState.EVICTED:
                if self.has_expired(now, member.name, member.incarnation):
                    return [LeaseExpired(member.name, member.incarnation, self.fleet_time(now))]
            case MemberState.VALID | MemberState.BEING_COMPARED:
                if why := self._eviction_reason(now, member):
                    return [Evicted(member.name, member.incarnation, why)]
        return []

    def _eviction_reason(self, now: int, member: Member) -> str:
        """Returns why a member is to be evicted, "" if it is not.

        An eviction is proposed again until it is applied, as the lease is not renewed any more from the
        first proposal on.
        """
        key = (member.name, member.incarnation)
        if (why := self.eviction_reasons.get(key)) is not None:
            return why
        if self.is_silent(now, member):
            why = "not heard of for a lease"
        elif self.is_stalled(now, member):
            why = "it asks, and takes no entry"
        elif self.has_diverged(now, member):
            why = "its state differs"
        elif self.standing(now, member) is MemberStanding.STRAGGLER:
            why = "a straggler that isn't brought up"
        else:
            return ""
        self.eviction_reasons[key] = why
        return why

    def _convergence(self, now: int) -> list[Row]:
        """Proposes the last change that all applied; an evicted member blocks it until its lease ends."""
        acting = [(member, self._observation(now, member)) for member in self.roster.possibly_acting()]
        for change in reversed(self.roster.changes):
            if all(
                member.state is MemberState.VALID and self.has_applied(member, observation, change.index)
                for member, observation in acting
            ):
                taken = tuple(
                    (member.name, member.incarnation, observation.acts)
                    for member, observation in acting
                    if observation.applied >= change.index
                )
                return [InForce(change.index, taken)]
        return []


def entry_kind(row: Row) -> tuple[str, str]:
    """Returns the kind of an entry without the prefix `members.`, and its member and incarnation, if any."""
    match row:
        case Evicted():
            return "shut_out", f"{row.name} {row.incarnation}"
        case LeaseExpired():
            return "gone", f"{row.name} {row.incarnation}"
        case Readmitted():
            return "back", f"{row.name} {row.incarnation}"
        case InForce():
            return "in_force", ""
        case Compare():
            return "compare", ""
        case Agreed():
            return "agreed", ""
    raise TypeError(f"not an entry that the failure detector proposes: {row}")
