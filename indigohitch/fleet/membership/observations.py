"""State of the members that the leader derives from their lease renewals.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import RenewLease


@dataclass(slots=True)
class MemberObservation:
    """What the leader has observed of one incarnation; times are of the leader's clock."""

    last_renewal_at: int
    progressed_at: int  # when `applied` last grew
    applied: int = 0
    acts: int = 0
    digest_at: int = 0
    digest: bytes = b""
    stalled_since: int = 0  # since when it lacks entries and has applied none; 0: not stalled
    lagging_since: int = 0  # since when it lacks more than MAX_LAG entries; 0: not lagging
    late_since: int = 0  # since when it has been past a deadline; 0: it is not

    def on_renewal(self, now: int, message: RenewLease) -> None:
        """Records the state that a renewal reports."""
        self.last_renewal_at = now
        if message.applied > self.applied:
            self.applied = message.applied
            self.progressed_at = now
            self.acts = message.acts
            self.stalled_since = 0
        self.digest_at = message.digest_at
        self.digest = message.digest


class Observations:
    """Holds the observation of each incarnation, created at its first use."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self.by_member: dict[tuple[str, int], MemberObservation] = {}

    def of(self, now: int, name: str, incarnation: int) -> MemberObservation:
        """Returns the observation of an incarnation; a new one counts as renewed at `now`."""
        if (name, incarnation) not in self.by_member:
            self.by_member[name, incarnation] = MemberObservation(now, now)
        return self.by_member[name, incarnation]
