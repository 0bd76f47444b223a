"""What the leader knows of the members from their lease renewals.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import RenewLease


@dataclass(slots=True)
class MemberObservation:
    """What the leader knows of one incarnation; times by the leader's clock."""

    last_renewal_at: int
    progressed_at: int  # when `applied` last grew
    applied: int = 0
    acts: int = 0
    digest_at: int = 0
    digest: bytes = b""
    stalled_since: int = 0  # since when entries are missing and none was applied; 0: not stalled
    lagging_since: int = 0  # since when more than MAX_LAG entries are missing; 0: not lagging
    late_since: int = 0  # since when it is a straggler; 0: it is none

    def on_renewal(self, now: int, message: RenewLease) -> None:
        """Takes the state that a renewal reports."""
        self.last_renewal_at = now
        if message.applied > self.applied:
            self.applied = message.applied
            self.progressed_at = now
            self.acts = message.acts
            self.stalled_since = 0
        self.digest_at = message.digest_at
        self.digest = message.digest


class Observations:
    """The observation of each incarnation, made when it is first asked for."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self.by_member: dict[tuple[str, int], MemberObservation] = {}

    def of(self, now: int, name: str, incarnation: int) -> MemberObservation:
        """Returns the observation of that incarnation."""
        if (name, incarnation) not in self.by_member:
            self.by_member[name, incarnation] = MemberObservation(now, now)
        return self.by_member[name, incarnation]
