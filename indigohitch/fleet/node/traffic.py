"""What goes between this node and the others beside the machines' words: proposals, reads, leases' words."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...errors import NotNow
from ...packed.rows import Row
from ..distribution.messages import Report
from ..ledger.ports import Heard, Propose
from ..ledger.ports import Read as Ask
from ..members.words import NotRenewed, Renew, Renewed
from ..terms import Outcome, Proposal, Who
from .proposals import Proposals
from .reads import Reads
from .words import MACHINE, Admit, Admitted, Forward, ReadAsk, ReadAt, TurnedAway

if TYPE_CHECKING:
    from .node import Node


class Traffic:
    def __init__(self, node: Node) -> None:
        self.node, self.clock, self.links, self.driver = node, node.loop.clock, node.links, node.driver
        self.proposals = Proposals(node.text.me, node.token, 2 * node.text.waits["election"])
        self.reads = Reads()
        self.by_word: dict[type[Row], Callable] = {
            Forward: self.on_forward,
            TurnedAway: self.on_turned_away,
            ReadAsk: self.on_read_ask,
            ReadAt: self.on_read_at,
            Admit: lambda who, word: node.admitting.asked(who, word),
            Admitted: lambda who, word: node.admitting.admitted(who, word),
            Report: lambda who, word: node.assembly.heard_report(who, word),
            **dict.fromkeys(
                (Renew, Renewed, NotRenewed), lambda who, word: node.belonging.heard(who.name, word)
            ),
        }

    def heard(self, who: Who, word: Row) -> None:
        if type(word) in MACHINE:
            self.driver.step(Heard(who, word))
        elif (heard := self.by_word.get(type(word))) is not None:
            heard(who, word)

    def tell(self, name: str, word: Row) -> None:
        """A member, or this one itself."""
        if name == self.node.text.me:
            self.by_word[type(word)](self.links.me, word)
        else:
            self.links.say_to(name, word)

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
            if leader == self.links.me:
                self.proposals.sent(now, one)
                self.driver.step(Propose(one.proposal))
            elif self.links.say(leader, Forward(one.proposal)):
                self.proposals.sent(now, one)
            else:
                return  # the next beat tries again

    def turned(self, proposal: Proposal, again: int) -> None:
        """The machine here did not take it, whoever made it."""
        word = TurnedAway(proposal.proposer, proposal.incarnation, proposal.number, again)
        self.tell(proposal.proposer.partition("?")[0], word)

    def on_forward(self, who: Who, word: Forward) -> None:
        self.driver.step(Propose(word.proposal))

    def on_turned_away(self, who: Who, word: TurnedAway) -> None:
        self.proposals.turned(self.clock.now(), word.proposer, word.incarnation, word.number, word.again)

    # ---- reads -------------------------------------------------------------------------------------

    def read(self, done: Callable[[int | None], None]) -> None:
        """`done(index)`: the book here stands there or later, and all that was committed before this call is
        in it; None: not confirmed.  Raises NotNow."""
        number, leader = self.reads.begin(self.clock.now(), done), self.driver.leader
        if self.driver.leads:
            self.driver.step(Ask(number))
        elif leader is None or not self.links.say(leader, ReadAsk(number)):
            self.reads.answered(number, 0, False, 0)

    def on_read_ask(self, who: Who, word: ReadAsk) -> None:
        def done(index: int | None) -> None:
            self.links.say_to(who.name, ReadAt(word.number, index or 0, index is not None))

        if not self.driver.leads:
            done(None)  # no leader's leader is asked in turn
            return
        try:
            self.read(done)
        except NotNow:
            done(None)

    def on_read_at(self, who: Who, word: ReadAt) -> None:
        self.reads.answered(word.number, word.index, word.ok, self.node.book.index)

    def readable(self, number: int, index: int, ok: bool) -> None:
        self.reads.answered(number, index, ok, self.node.book.index)
