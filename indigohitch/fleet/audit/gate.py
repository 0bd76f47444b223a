"""At a receiver that can check stamps: one from before a shutting-out, or older than what has come, is
refused.  No I/O."""

from __future__ import annotations

from collections import OrderedDict

from ..types import Stamp

# Things acted on that are remembered; on one that as many others have pushed out, an older stamp of a valid
# incarnation would be taken.
THINGS = 4096


class Gate:
    def __init__(self) -> None:
        self.highest: dict[str, int] = {}  # incarnation seen, by member
        self.ended: dict[str, int] = {}  # the last incarnation known to be shut out or gone
        self.floor = 0  # the last hard change in force
        self.last: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()
        self.refused = 0

    def end(self, member: str, incarnation: int) -> None:
        """Its stamps count no more, whenever they come."""
        self.ended[member] = max(self.ended.get(member, 0), incarnation)

    def in_force(self, version: int) -> None:
        """Nobody acts by what was before any more."""
        self.floor = max(self.floor, version)

    def admits(self, stamp: Stamp, thing: str = "") -> str:
        """ "" if the act may take effect, else why not.  `thing`: what it acts on; of two acts of one member
        on it, the older one doesn't come after the newer."""
        why = self.why_not(stamp, thing)
        if why:
            self.refused += 1
            return why
        self.highest[stamp.member] = stamp.incarnation
        if thing:
            self.last[stamp.member, thing] = stamp.incarnation, stamp.number
            self.last.move_to_end((stamp.member, thing))
            if len(self.last) > THINGS:
                self.last.popitem(last=False)
        return ""

    def why_not(self, stamp: Stamp, thing: str) -> str:
        if stamp.incarnation <= self.ended.get(stamp.member, 0):
            return "of an incarnation that is shut out"
        if stamp.incarnation < self.highest.get(stamp.member, 0):
            return "of an incarnation before one that has come"
        if stamp.version < self.floor:
            return "by a version from before a change in force"
        if thing and (stamp.incarnation, stamp.number) <= self.last.get((stamp.member, thing), (0, 0)):
            return "older than what has come"
        return ""
