"""A member's orderly leave: it gives up its leadership and its incarnation, or stays after all."""

from __future__ import annotations

from ..membership.member_work import Phase as MemberPhase
from ..raft.interfaces import TransferLeadership
from .phases import Phase
from .ports import NodeContext


class Leaving:
    """Takes a node out of its work before its process ends or is upgraded."""

    def __init__(self, node: NodeContext) -> None:
        """Creates the procedure for that node."""
        self.node = node

    def leave(self, give_up: bool) -> None:
        """Gives up the leadership, and with `give_up` also the incarnation if no work depends on it.

        Where a work still does, the lease expires instead.  `has_left` becomes true once that is done.
        """
        node = self.node
        if node.phase is not Phase.TAKING_PART:
            return
        node.enter(Phase.LEAVING)
        now = node.loop.clock.now()
        if give_up and not node.work_loop.has_leased_resources(now):
            auditing = node.assembly.auditing
            membership = node.assembly.membership
            node.work_loop.request(auditing, auditing.last(now))
            node.work_loop.request(membership, membership.leave())
        self._transfer_leadership()

    def _transfer_leadership(self) -> None:
        """Once the outcome of its own proposals is known: from then on it rejects all."""
        node = self.node
        if node.phase is Phase.LEAVING and node.driver.leads:
            if not node.membership_driver.is_leaving:
                node.driver.step(TransferLeadership())
            node.loop.call_after(node.text.waits["election"] // 2, self._transfer_leadership)

    @property
    def has_left(self) -> bool:
        """Whether nothing is left to wait for."""
        node = self.node
        if node.phase is not Phase.LEAVING:
            return True
        if node.membership_driver.is_leaving:
            return False
        return not node.driver.leads or len(node.driver.members.voters) <= 1

    def stay(self) -> None:
        """Takes part again, under a new incarnation if it had given the old one up."""
        node = self.node
        if node.phase is Phase.LEAVING:
            node.enter(Phase.TAKING_PART)
            if node.assembly.membership.phase is MemberPhase.LEFT:
                node.assembly.membership.rejoin()
