"""The orderly leave of a member: it transfers its leadership and releases its incarnation."""

from __future__ import annotations

from ..membership.member_work import Phase as MemberPhase
from ..raft.interfaces import TransferLeadership
from .interfaces import NodeContext
from .phases import Phase


class LeaveProcedure:
    """Stops a node from taking part before its process ends or is upgraded."""

    def __init__(self, node: NodeContext) -> None:
        """Creates the procedure of a node."""
        self.node = node

    def leave(self, give_up: bool) -> None:
        """Transfers the leadership; with `give_up` also releases the incarnation if no work depends on it.

        If a work still depends on it, the lease expires instead.  `has_left` becomes true when it is done.
        """
        node = self.node
        if node.phase is not Phase.TAKING_PART:
            return
        node.enter(Phase.LEAVING)
        now = node.loop.clock.now()
        if give_up and not node.work_loop.has_leased_resources(now):
            audit_work = node.assembly.audit_work
            membership = node.assembly.membership
            node.work_loop.request(audit_work, audit_work.propose_last_head(now))
            node.work_loop.request(membership, membership.leave())
        self._transfer_leadership()

    def _transfer_leadership(self) -> None:
        """Waits for the outcome of the leave first: during a transfer, Raft rejects all proposals."""
        node = self.node
        if node.phase is Phase.LEAVING and node.driver.leads:
            if not node.membership_driver.is_leaving:
                node.driver.step(TransferLeadership())
            node.loop.call_after(node.text.waits["election"] // 2, self._transfer_leadership)

    @property
    def has_left(self) -> bool:
        """Whether the leave is complete, or the node does not leave."""
        node = self.node
        if node.phase is not Phase.LEAVING:
            return True
        if node.membership_driver.is_leaving:
            return False
        return not node.driver.leads or len(node.driver.members.voters) <= 1

    def cancel(self) -> None:
        """Takes part again, under a new incarnation if the old one was released."""
        node = self.node
        if node.phase is Phase.LEAVING:
            node.enter(Phase.TAKING_PART)
            if node.assembly.membership.phase is MemberPhase.LEFT:
                node.assembly.membership.rejoin()
