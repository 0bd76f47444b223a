"""The ledger's machine: one member of a replicated log.  No I/O.

By the published Raft algorithm (Ongaro and Ousterhout 2014, and Ongaro's dissertation); docs/ledger.md says
what is kept and how.  `ports.py` has what goes in and what comes out."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..terms import Who
from .following import Following
from .leading import Leading
from .ports import (
    Change,
    DiskBack,
    DiskFailed,
    Due,
    HandOver,
    Heard,
    Held,
    Input,
    Output,
    Propose,
    Read,
    Readable,
    Snapped,
    Turned,
    Written,
)
from .state import Role, State
from .votes import Votes
from .words import Append, Appended, Ask, Piece, Pieced, Take, Vote


class Machine:
    """`held`: what the disk gave back; of a new ledger a snapshot at 0 with its founding members, of a new
    member one without members.  `chance`: a random number from 0 to below 1.  Raises ValueError only for
    what must never be (a committed entry void, two leaders in a term): the member has to end."""

    def __init__(
        self, me: Who, held: Held, bootstrap: Mapping[str, int], chance: Callable[[], float], now: int
    ) -> None:
        self.state = State(me, held, bootstrap, chance, now)
        self.votes = Votes(self.state, self.elected)
        self.following = Following(self.state)
        self.leading: Leading | None = None
        self.steps = {
            Heard: self.heard,
            Propose: self.propose,
            Read: self.read,
            Change: self.change,
            Written: self.written,
            DiskFailed: self.disk_failed,
            DiskBack: self.disk_back,
            Snapped: self.snapped,
            Due: self.timed,
            HandOver: self.hand_over,
        }
        self.words = {
            Ask: self.votes.heard_ask,
            Vote: self.votes.heard_vote,
            Take: self.votes.heard_take,
            Append: self.following.heard_append,
            Piece: self.following.heard_piece,
            Appended: self.answered,
            Pieced: self.answered,
        }

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, input: Input) -> list[Output]:
        """What to do, in order."""
        state = self.state
        state.now, state.out = now, []
        self.steps[type(input)](input)
        if self.leading is not None and state.role is not Role.LEADER:
            self.leading.reads.end(state.leader)
            self.leading = None
            state.wait_anew()
        out, state.out = state.out, []
        return out

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        return self.leading.beat_due if self.leading is not None else self.state.election_due

    @property
    def role(self) -> Role:
        return self.state.role

    @property
    def term(self) -> int:
        return self.state.term

    @property
    def settled(self) -> bool:
        """Leads, and an entry of its own is committed and put out: its state holds all that was committed
        before its election.  Until then it may stand far back (all have just started), and nothing is to be
        decided by it."""
        return self.leading is not None and self.state.commit >= self.leading.reads.first

    @property
    def leader(self) -> Who | None:
        return self.state.leader

    @property
    def commit(self) -> int:
        return self.state.commit

    @property
    def members(self):
        """As this member's log has them now."""
        return self.state.belonging.members

    # ---- by input ----------------------------------------------------------------------------------

    def heard(self, input: Heard) -> None:
        if not self.state.belonging.outdated(input.sender) and input.sender != self.state.me:
            self.words[type(input.word)](input.sender, input.word)

    def answered(self, sender: Who, word: Appended | Pieced) -> None:
        state = self.state
        if word.term > state.term:
            state.vote(word.term, None)
            state.be(Role.FOLLOWER, None)
        elif self.leading is not None:
            self.leading.heard(sender, word)

    def elected(self) -> None:
        self.leading = Leading(self.state)
        self.leading.advance()

    def propose(self, input: Propose) -> None:
        state = self.state
        if self.leading is not None:
            self.leading.propose(input.proposal)
        else:
            state.out.append(Turned(input.proposal, state.bootstrap["beat"], state.leader))

    def read(self, input: Read) -> None:
        if self.leading is not None:
            self.leading.read(input.number)
        else:
            self.state.out.append(Readable(input.number, 0, False, self.state.leader))

    def change(self, input: Change) -> None:
        if self.leading is not None:
            self.leading.change(input)

    def hand_over(self, input: HandOver) -> None:
        if self.leading is not None:
            self.leading.hand_over(input.to)

    def timed(self, input: Due) -> None:
        if self.state.now < self.due:
            return
        if self.leading is not None:
            self.leading.due()
        else:
            self.votes.due()

    # ---- by the disk -------------------------------------------------------------------------------

    def written(self, input: Written) -> None:
        self.state.out += self.state.durable.written(input.number)
        self.kept()

    def snapped(self, input: Snapped) -> None:
        self.state.snapped(input.snap)
        self.kept()

    def kept(self) -> None:
        """More lies on the disk: what waited for it."""
        self.votes.written()
        self.following.written()
        if self.leading is not None:
            self.leading.advance()

    def disk_failed(self, input: DiskFailed) -> None:
        state = self.state
        if not state.durable.failed:
            state.durable.fail()
            state.note("ledger_disk_failed", why=input.why)
            if state.role is not Role.FOLLOWER:
                state.be(Role.FOLLOWER, None)

    def disk_back(self, input: DiskBack) -> None:
        self.state.disk_back()
