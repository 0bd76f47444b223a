"""Connects the membership of this process to its node: its proposer, its lease, and as leader all leases."""

from __future__ import annotations

from collections.abc import Callable

from ...encoding.rows import Row
from ...errors import UnavailableError
from ...log import Log
from ...net.clock import Clock
from ..membership.leases import SendReply, StartRead
from ..membership.member_work import Membership, Phase
from ..raft.interfaces import RoleChanged
from ..types import Lease, MemberId
from .proposals import Proposals


class MembershipDriver:
    """Connects a `Membership` to the messages, reads and proposals of its node."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        membership: Membership,
        proposals: Proposals,
        read: Callable[[Callable[[int | None], None]], None],
        send_to: Callable[[str, Row], None],
        action_count: Callable[[], int],
    ) -> None:
        """Creates the driver.

        Args:
            log: log of this process.
            clock: clock of this process.
            membership: the state machine of this process' membership.
            proposals: the pending proposals of this process.
            read: starts a linearizable read, and calls its argument with the index or None.
            send_to: sends a message to a member by name, this one included.
            action_count: returns how many actions this member has stamped.
        """
        self.log = log
        self.clock = clock
        self.membership = membership
        self.proposals = proposals
        self.read = read
        self.send_to = send_to
        self.action_count = action_count
        self.logged_phase = membership.phase

    def lease(self, now: int) -> Lease | None:
        """Returns the lease held now; None if there is none."""
        return self.membership.lease(now)

    @property
    def may_propose(self) -> bool:
        """Whether works other than the membership may propose: the roster has accepted this incarnation."""
        return self.membership.phase in (Phase.BEING_COMPARED, Phase.VALID)

    @property
    def is_leaving(self) -> bool:
        """Whether its leave is proposed but not applied yet."""
        membership = self.membership
        return membership.phase is Phase.LEFT and not membership.roster.ineligibility(
            membership.member_name, membership.incarnation
        )

    def follow_phase(self) -> None:
        """Updates the proposer, and logs a change of the phase; called after anything that may change it."""
        proposer = self.membership.proposer()
        if proposer != (self.proposals.proposer, self.proposals.incarnation):
            self.proposals.start(*proposer)
        if self.membership.phase is not self.logged_phase:
            self._log_phase()

    def _log_phase(self) -> None:
        membership = self.membership
        previous = self.logged_phase
        phase = membership.phase
        self.logged_phase = phase
        fields = {"was": previous.value, "now": phase.value, "incarnation": membership.incarnation}
        if phase is Phase.DIFFERS:
            index, own, agreed = membership.evidence
            self.log.warning(
                "state_differs",
                index=index,
                own=own.hex(),
                agreed=agreed.hex(),
                remedy="keep the folder for an investigation, and start the member without it",
            )
        elif phase is Phase.REPLACED:
            self.log.warning("replaced", **fields, remedy="another process uses this name: stop one of them")
        else:
            refusal = membership.refusal
            self.log.event("membership", **fields, **({"why": refusal} if refusal else {}))

    # ---- messages ----------------------------------------------------------------------------------

    def renew(self, now: int, leader: str, reports: Callable[[int], dict[str, bytes]]) -> None:
        """Sends a renewal of the lease to the leader, if one is due."""
        if leader and now >= self.membership.holder.renewal_due_at:
            message = self.membership.renew(now, Clock.wall(), self.action_count(), reports(now))
            if message is not None:
                self.send_to(leader, message)

    def on_message(self, sender: MemberId, message: Row) -> None:
        """Handles a message about leases."""
        self._carry_out(self.membership.on_message(self.clock.now(), sender.name, message))

    def on_role_changed(self, change: RoleChanged) -> None:
        """Handles a change of this member's role in Raft."""
        self.membership.on_role_changed(self.clock.now(), change.role, change.term)

    def _carry_out(self, actions: list[StartRead | SendReply]) -> None:
        for action in actions:
            match action:
                case StartRead(number):
                    self._start_read(number)
                case SendReply(to, message):
                    self.send_to(to, message)

    def _start_read(self, number: int) -> None:
        def done(index: int | None) -> None:
            self._carry_out(self.membership.on_read_confirmed(self.clock.now(), number, index is not None))

        try:
            self.read(done)
        except UnavailableError:  # the next renewals start another read
            self.log.count("reads_without_room")
