"""Routes messages between this node and others: Raft's, proposals, reads and those of other handlers."""

from __future__ import annotations

from collections.abc import Callable

from ...encoding.rows import Row
from ...errors import UnavailableError
from ...net.clock import Clock
from ..raft.interfaces import MessageReceived, Propose, ReadRequest
from ..transport.links import Transport
from ..types import MemberId, Outcome, Proposal
from .driver import Driver
from .messages import RAFT_MESSAGES, Forward, ProposalRejected, ReadIndexRequest, ReadIndexResponse
from .proposals import Proposals
from .reads import Reads

Handler = Callable[[MemberId, Row], None]


class Messaging:
    """Sends messages, and passes received ones to their handlers.

    `handlers` maps a message type to its handler; the node adds those of its other parts.
    """

    def __init__(
        self, clock: Clock, links: Transport, driver: Driver, name: str, token: int, resend_after: int
    ) -> None:
        """Creates the messaging of the member `name`; `token` identifies the start of its process."""
        self.clock = clock
        self.links = links
        self.driver = driver
        self.name = name
        self.state_machine = driver.state_machine
        self.proposals = Proposals(name, token, resend_after)
        self.reads = Reads()
        self.handlers: dict[type[Row], Handler] = {
            Forward: self.on_forward,
            ProposalRejected: self.on_proposal_rejected,
            ReadIndexRequest: self.on_read_request,
            ReadIndexResponse: self.on_read_response,
        }

    def on_message(self, sender: MemberId, message: Row) -> None:
        """Passes a message to Raft or to its handler; ignores one without a handler."""
        if type(message) in RAFT_MESSAGES:
            self.driver.step(MessageReceived(sender, message))
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def send_to(self, name: str, message: Row) -> None:
        """Sends a message to a member by name; handles it at once if that is this member."""
        if name == self.name:
            self.handlers[type(message)](self.links.own_id, message)
        else:
            self.links.send_to(name, message)

    # ---- proposals ---------------------------------------------------------------------------------

    def propose(self, kind: str, body: bytes, done: Callable[[Outcome | None], None]) -> None:
        """Submits a proposal; raises UnavailableError if too many are pending."""
        self.proposals.submit(self.clock.now(), kind, body, done)
        self.send_due()

    def send_due(self) -> None:
        """Sends the due proposals to the leader, if there is one."""
        leader = self.driver.leader
        now = self.clock.now()
        if leader is None:
            return
        for pending in self.proposals.due(now):
            if leader == self.links.own_id:
                self.proposals.on_sent(now, pending)
                self.driver.step(Propose(pending.proposal))
            elif self.links.send(leader, Forward(pending.proposal)):
                self.proposals.on_sent(now, pending)
            else:
                return  # the next tick retries

    def on_rejected(self, proposal: Proposal, retry_after: int) -> None:
        """Tells the proposer that Raft at this member rejected the proposal."""
        message = ProposalRejected(proposal.proposer, proposal.incarnation, proposal.number, retry_after)
        self.send_to(proposal.proposer.partition("?")[0], message)

    def on_forward(self, sender: MemberId, message: Forward) -> None:
        """Proposes an entry on behalf of another member."""
        self.driver.step(Propose(message.proposal))

    def on_proposal_rejected(self, sender: MemberId, message: ProposalRejected) -> None:
        """Schedules the resend of a rejected proposal."""
        self.proposals.on_rejected(
            self.clock.now(), message.proposer, message.incarnation, message.number, message.retry_after
        )

    # ---- reads -------------------------------------------------------------------------------------

    def read(self, done: Callable[[int | None], None]) -> None:
        """Starts a linearizable read; raises UnavailableError if too many are in progress.

        `done(index)` is called once the state machine here has applied every entry committed before this
        call, the last one being `index` or later; `done(None)` if a majority does not confirm the read.
        """
        number = self.reads.start(self.clock.now(), done)
        leader = self.driver.leader
        if self.driver.leads:
            self.driver.step(ReadRequest(number))
        elif leader is None or not self.links.send(leader, ReadIndexRequest(number)):
            self.reads.on_result(number, 0, False, 0)

    def on_read_request(self, sender: MemberId, message: ReadIndexRequest) -> None:
        """Starts a read for another member; only the leader does."""

        def done(index: int | None) -> None:
            self.links.send_to(sender.name, ReadIndexResponse(message.number, index or 0, index is not None))

        if not self.driver.leads:
            done(None)  # it is not forwarded to another leader
            return
        try:
            self.read(done)
        except UnavailableError:
            done(None)

    def on_read_response(self, sender: MemberId, message: ReadIndexResponse) -> None:
        """Handles the leader's response to a read request."""
        self.on_read_result(message.number, message.index, message.ok)

    def on_read_result(self, number: int, index: int, ok: bool) -> None:
        """Handles the result of a read."""
        self.reads.on_result(number, index, ok, self.state_machine.index)
