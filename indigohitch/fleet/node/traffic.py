"""What goes between this node and the others beside the machines' words: proposals, reads, leases' words."""

from __future__ import annotations

from collections.abc import Callable

from ...encoding.rows import Row
from ...errors import UnavailableError
from ...net.clock import Clock
from ..raft.interfaces import MessageReceived, Propose
from ..raft.interfaces import ReadRequest as Ask
from ..transport.links import Transport
from ..types import MemberId, Outcome, Proposal
from .driver import Driver
from .messages import MACHINE, Forward, ProposalRejected, ReadIndexRequest, ReadIndexResponse
from .proposals import Proposals
from .reads import Reads

Handler = Callable[[MemberId, Row], None]


class Traffic:
    """`handlers`: of the words that others than this take, by their type; filled by the node."""

    def __init__(
        self, clock: Clock, links: Transport, driver: Driver, name: str, token: int, resend_after: int
    ) -> None:
        self.clock, self.links, self.driver, self.name = clock, links, driver, name
        self.state_machine = driver.state_machine
        self.proposals = Proposals(name, token, resend_after)
        self.reads = Reads()
        self.handlers: dict[type[Row], Handler] = {
            Forward: self.on_forward,
            ProposalRejected: self.on_turned_away,
            ReadIndexRequest: self.on_read_ask,
            ReadIndexResponse: self.on_read_at,
        }

    def heard(self, who: MemberId, word: Row) -> None:
        if type(word) in MACHINE:
            self.driver.step(MessageReceived(who, word))
        elif (heard := self.handlers.get(type(word))) is not None:
            heard(who, word)

    def tell(self, name: str, word: Row) -> None:
        """A member, or this one itself."""
        if name == self.name:
            self.handlers[type(word)](self.links.own_id, word)
        else:
            self.links.send_to(name, word)

    # ---- proposals ---------------------------------------------------------------------------------

    def propose(self, kind: str, body: bytes, done: Callable[[Outcome | None], None]) -> None:
        """Raises NotNow."""
        self.proposals.put(self.clock.now(), kind, body, done)
        self.send()

    def send(self) -> None:
        """What is due, to the leader."""
        leader, now = self.driver.leader, self.clock.now()
        if leader is None:
            return
        for one in self.proposals.due(now):
            if leader == self.links.own_id:
                self.proposals.sent(now, one)
                self.driver.step(Propose(one.proposal))
            elif self.links.send(leader, Forward(one.proposal)):
                self.proposals.sent(now, one)
            else:
                return  # the next beat tries again

    def turned(self, proposal: Proposal, again: int) -> None:
        """The machine here did not take it, whoever made it."""
        word = ProposalRejected(proposal.proposer, proposal.incarnation, proposal.number, again)
        self.tell(proposal.proposer.partition("?")[0], word)

    def on_forward(self, who: MemberId, word: Forward) -> None:
        self.driver.step(Propose(word.proposal))

    def on_turned_away(self, who: MemberId, word: ProposalRejected) -> None:
        self.proposals.turned(self.clock.now(), word.proposer, word.incarnation, word.number, word.again)

    # ---- reads -------------------------------------------------------------------------------------

    def read(self, done: Callable[[int | None], None]) -> None:
        """`done(index)`: the state here stands there or later, and all that was committed before this call is
        in it; None: not confirmed.  Raises NotNow."""
        number, leader = self.reads.begin(self.clock.now(), done), self.driver.leader
        if self.driver.leads:
            self.driver.step(Ask(number))
        elif leader is None or not self.links.send(leader, ReadIndexRequest(number)):
            self.reads.answered(number, 0, False, 0)

    def on_read_ask(self, who: MemberId, word: ReadIndexRequest) -> None:
        def done(index: int | None) -> None:
            self.links.send_to(who.name, ReadIndexResponse(word.number, index or 0, index is not None))

        if not self.driver.leads:
            done(None)  # no leader's leader is asked in turn
            return
        try:
            self.read(done)
        except UnavailableError:
            done(None)

    def on_read_at(self, who: MemberId, word: ReadIndexResponse) -> None:
        self.reads.answered(word.number, word.index, word.ok, self.state_machine.index)

    def readable(self, number: int, index: int, ok: bool) -> None:
        self.reads.answered(number, index, ok, self.state_machine.index)
