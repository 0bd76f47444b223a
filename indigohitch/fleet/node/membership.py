"""Drives this process' part in the roster (members/work): what it proposes under, its lease, and while it
leads the leases of all."""

from __future__ import annotations

from collections.abc import Callable

from ...encoding.rows import Row
from ...errors import UnavailableError
from ...log import Log
from ...net.clock import Clock
from ..membership.leases import Answer, ReadFirst
from ..membership.member_work import Membership, Phase
from ..raft.interfaces import RoleChanged
from ..types import Lease, MemberId
from .proposals import Proposals


class MembershipDriver:
    """`read(done)`: one confirmed by a majority, `done(index or None)`; `tell(name, word)`: to a member, this
    one too; `acts()`: how many acts it has stamped."""

    def __init__(
        self,
        log: Log,
        clock,
        membership: Membership,
        proposals: Proposals,
        read: Callable,
        tell: Callable[[str, Row], None],
        acts: Callable[[], int],
    ) -> None:
        self.log, self.clock, self.membership, self.proposals = log, clock, membership, proposals
        self.read, self.tell, self.acts = read, tell, acts
        self.phase = membership.phase  # as last logged

    def lease(self, now: int) -> Lease | None:
        return self.membership.lease(now)

    @property
    def may_propose(self) -> bool:
        """For other works than the roster's: this incarnation counts."""
        return self.membership.phase in (Phase.COMPARED, Phase.VALID)

    @property
    def leaves(self) -> bool:
        """It has said that it leaves, and the state machine does not say so yet."""
        membership = self.membership
        return membership.phase is Phase.LEFT and not membership.roster.ineligibility(
            membership.member_name, membership.incarnation
        )

    def look(self) -> None:
        """After anything that may have moved it: what it proposes under, and what people are told."""
        membership = self.membership
        if (proposer := membership.proposer()) != (self.proposals.proposer, self.proposals.incarnation):
            self.proposals.begin(*proposer)
        if membership.phase is self.phase:
            return
        was, self.phase = self.phase, membership.phase
        fields = {"was": was.value, "now": self.phase.value, "incarnation": membership.incarnation}
        if self.phase is Phase.DIFFERS:
            index, own, agreed = membership.evidence
            self.log.warning(
                "state_differs",
                index=index,
                own=own.hex(),
                agreed=agreed.hex(),
                remedy="keep the folder for who looks into it, and start the member without it",
            )
        elif self.phase is Phase.REPLACED:
            self.log.warning("replaced", **fields, remedy="another process bears this name: end one of them")
        else:
            self.log.event(
                "membership", **fields, **({"why": membership.refusal} if membership.refusal else {})
            )

    # ---- words -------------------------------------------------------------------------------------

    def renew(self, now: int, leader: str, reports: Callable[[int], dict[str, bytes]]) -> None:
        """To the leader, if one is due."""
        if leader and now >= self.membership.holder.renewal_due_at:
            word = self.membership.renew(now, Clock.wall(), self.acts(), reports(now))
            if word is not None:
                self.tell(leader, word)

    def heard(self, sender: MemberId, word: Row) -> None:
        self.carry(self.membership.on_message(self.clock.now(), sender.name, word))

    def became(self, became: RoleChanged) -> None:
        self.membership.on_role_changed(self.clock.now(), became.role, became.term)

    def carry(self, out: list[ReadFirst | Answer]) -> None:
        for one in out:
            match one:
                case ReadFirst(number):

                    def done(index: int | None, number: int = number) -> None:
                        self.carry(
                            self.membership.on_read_confirmed(self.clock.now(), number, index is not None)
                        )

                    try:
                        self.read(done)
                    except UnavailableError:  # it asks again with the next renewals
                        self.log.count("reads_without_room")
                case Answer(to, word):
                    self.tell(to, word)
