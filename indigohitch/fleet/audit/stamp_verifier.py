"""Rejects stale stamps at a receiver of actions, as fencing tokens are checked.  No I/O.

A stamp is stale if its incarnation was evicted, or if a newer stamp has arrived.
"""

from __future__ import annotations

from collections import OrderedDict

from ..types import Stamp

# Number of resources for which the last stamp is kept.  For one that was displaced by that many others, an
# older stamp of a valid incarnation would be accepted.
MAX_RESOURCES = 4096


class StampVerifier:
    """Accepts or rejects the stamps of actions that reach one receiver."""

    def __init__(self) -> None:
        self.highest_incarnation: dict[str, int] = {}  # accepted so far, by member
        self.ended_incarnation: dict[str, int] = {}  # the last known to be evicted or expired, by member
        self.min_version = 0  # the last hard change in force
        # Incarnation and number of the last stamp accepted, by member and resource.
        self.last: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()
        self.rejected = 0  # number of stamps

    def revoke_incarnation(self, member: str, incarnation: int) -> None:
        """Rejects all further stamps of a member up to that incarnation, which was evicted or has expired."""
        self.ended_incarnation[member] = max(self.ended_incarnation.get(member, 0), incarnation)

    def raise_minimum_version(self, version: int) -> None:
        """Rejects further stamps of versions before a hard change, which is now in force everywhere."""
        self.min_version = max(self.min_version, version)

    def check(self, stamp: Stamp, resource: str = "") -> str:
        """Returns "" if the action may take effect, else why not.

        `resource` is what the action applies to: of a member's actions on one resource, an older one is
        rejected after a newer one.
        """
        reason = self._rejection_reason(stamp, resource)
        if reason:
            self.rejected += 1
            return reason
        self.highest_incarnation[stamp.member] = stamp.incarnation
        if resource:
            self.last[stamp.member, resource] = stamp.incarnation, stamp.number
            self.last.move_to_end((stamp.member, resource))
            if len(self.last) > MAX_RESOURCES:
                self.last.popitem(last=False)
        return ""

    def _rejection_reason(self, stamp: Stamp, resource: str) -> str:
        if stamp.incarnation <= self.ended_incarnation.get(stamp.member, 0):
            return "of an incarnation that is shut out"
        if stamp.incarnation < self.highest_incarnation.get(stamp.member, 0):
            return "of an incarnation before one that has come"
        if stamp.version < self.min_version:
            return "by a version from before a change in force"
        if resource and (stamp.incarnation, stamp.number) <= self.last.get((stamp.member, resource), (0, 0)):
            return "older than what has come"
        return ""
