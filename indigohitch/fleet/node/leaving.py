"""A member's orderly way out: its place as a leader, its incarnation; and back where it stays after all."""

from __future__ import annotations

from ..membership.member_work import Phase as Member
from ..raft.interfaces import TransferLeadership
from .phases import Phase
from .ports import NodeContext


class Leaving:
    def __init__(self, node: NodeContext) -> None:
        self.node = node

    def leave(self, give_up: bool) -> None:
        """Its place as a leader; with `give_up` also its incarnation, once nothing hangs on that any more;
        where a work has something out, its lease runs out instead.  `left` once that is done."""
        node = self.node
        if node.phase is not Phase.TAKING_PART:
            return
        node.be(Phase.LEAVING)
        now, working = node.loop.clock.now(), node.working
        if give_up and not working.has_leased_resources(now):
            auditing, membership = node.assembly.auditing, node.assembly.membership
            working.want(auditing, auditing.last(now))
            working.want(membership, membership.leave())
        self.hand_over()

    def hand_over(self) -> None:
        """After what it proposes itself is known: from then on it turns all away."""
        node = self.node
        if node.phase is Phase.LEAVING and node.driver.leads:
            if not node.belonging.leaves:
                node.driver.step(TransferLeadership())
            node.loop.call_after(node.text.waits["election"] // 2, self.hand_over)

    @property
    def left(self) -> bool:
        node = self.node
        return (
            node.phase is not Phase.LEAVING
            or not node.belonging.leaves
            and (not node.driver.leads or len(node.driver.members.voters) <= 1)
        )

    def stay(self) -> None:
        """After all; under a new incarnation, where it had given the old one up."""
        node = self.node
        if node.phase is Phase.LEAVING:
            node.be(Phase.TAKING_PART)
            if node.assembly.membership.phase is Member.LEFT:
                node.assembly.membership.rejoin()
