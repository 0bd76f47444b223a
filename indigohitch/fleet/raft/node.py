"""The ledger's machine: one member of a replicated log.  No I/O.

By the published Raft algorithm (Ongaro and Ousterhout 2014, and Ongaro's dissertation); docs/ledger.md says
what is kept and how.  `ports.py` has what goes in and what comes out."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..types import MemberId
from .election import Election
from .follower import Follower
from .interfaces import (
    ChangeMembers,
    Input,
    MessageReceived,
    Output,
    ProposalRejected,
    Propose,
    ReadConfirmed,
    ReadRequest,
    RecoveredState,
    SnapshotCompleted,
    StorageFailed,
    StorageRecovered,
    Tick,
    TransferLeadership,
    WriteCompleted,
)
from .leader import Leader
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from .state import RaftState, Role


class RaftNode:
    """`held`: what the disk gave back; of a new ledger a snapshot at 0 with its founding members, of a new
    member one without members.  `chance`: a random number from 0 to below 1.  Raises ValueError only for
    what must never be (a committed entry void, two leaders in a term): the member has to end."""

    def __init__(
        self,
        me: MemberId,
        held: RecoveredState,
        bootstrap: Mapping[str, int],
        chance: Callable[[], float],
        now: int,
    ) -> None:
        self.state = RaftState(me, held, bootstrap, chance, now)
        self.votes = Election(self.state, self.elected)
        self.following = Follower(self.state)
        self.leadership: Leader | None = None
        self.steps = {
            MessageReceived: self.heard,
            Propose: self.propose,
            ReadRequest: self.read,
            ChangeMembers: self.change,
            WriteCompleted: self.written,
            StorageFailed: self.disk_failed,
            StorageRecovered: self.disk_back,
            SnapshotCompleted: self.snapped,
            Tick: self.timed,
            TransferLeadership: self.hand_over,
        }
        self.words = {
            RequestVote: self.votes.heard_ask,
            RequestVoteResponse: self.votes.heard_vote,
            TimeoutNow: self.votes.heard_take,
            AppendEntries: self.following.heard_append,
            InstallSnapshot: self.following.heard_piece,
            AppendEntriesResponse: self.answered,
            InstallSnapshotResponse: self.answered,
        }

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, input: Input) -> list[Output]:
        """What to do, in order."""
        state = self.state
        state.now, state.out = now, []
        self.steps[type(input)](input)
        if self.leadership is not None and state.role is not Role.LEADER:
            self.leadership.reads.end(state.leader)
            self.leadership = None
            state.wait_anew()
        out, state.out = state.out, []
        return out

    @property
    def due_at(self) -> int:
        """When `Due` is to come at the latest."""
        return self.leadership.beat_due if self.leadership is not None else self.state.election_due

    @property
    def role(self) -> Role:
        return self.state.role

    @property
    def term(self) -> int:
        return self.state.term

    @property
    def has_committed_in_term(self) -> bool:
        """Leads, and an entry of its own is committed and put out: its state holds all that was committed
        before its election.  Until then it may stand far back (all have just started), and nothing is to be
        decided by it."""
        return self.leadership is not None and self.state.commit_index >= self.leadership.reads.first

    @property
    def leader(self) -> MemberId | None:
        return self.state.leader

    @property
    def commit_index(self) -> int:
        return self.state.commit_index

    @property
    def members(self):
        """As this member's log has them now."""
        return self.state.configuration.members

    # ---- by input ----------------------------------------------------------------------------------

    def heard(self, input: MessageReceived) -> None:
        if not self.state.configuration.outdated(input.sender) and input.sender != self.state.member_id:
            self.words[type(input.message)](input.sender, input.message)

    def answered(self, sender: MemberId, word: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        state = self.state
        if word.term > state.term:
            state.vote(word.term, None)
            state.be(Role.FOLLOWER, None)
        elif self.leadership is not None:
            self.leadership.heard(sender, word)

    def elected(self) -> None:
        self.leadership = Leader(self.state)
        self.leadership.advance()

    def propose(self, input: Propose) -> None:
        state = self.state
        if self.leadership is not None:
            self.leadership.propose(input.proposal)
        else:
            state.out.append(ProposalRejected(input.proposal, state.settings["beat"], state.leader))

    def read(self, input: ReadRequest) -> None:
        if self.leadership is not None:
            self.leadership.read(input.number)
        else:
            self.state.out.append(ReadConfirmed(input.number, 0, False, self.state.leader))

    def change(self, input: ChangeMembers) -> None:
        if self.leadership is not None:
            self.leadership.change(input)

    def hand_over(self, input: TransferLeadership) -> None:
        if self.leadership is not None:
            self.leadership.hand_over(input.to)

    def timed(self, input: Tick) -> None:
        if self.state.now < self.due_at:
            return
        if self.leadership is not None:
            self.leadership.due()
        else:
            self.votes.due()

    # ---- by the disk -------------------------------------------------------------------------------

    def written(self, input: WriteCompleted) -> None:
        self.state.out += self.state.durable.written(input.number)
        self.kept()

    def snapped(self, input: SnapshotCompleted) -> None:
        self.state.snapped(input.snapshot)
        self.kept()

    def kept(self) -> None:
        """More lies on the disk: what waited for it."""
        self.votes.written()
        self.following.written()
        if self.leadership is not None:
            self.leadership.advance()

    def disk_failed(self, input: StorageFailed) -> None:
        state = self.state
        if not state.durable.failed:
            state.durable.fail()
            state.note("ledger_disk_failed", why=input.why)
            if state.role is not Role.FOLLOWER:
                state.be(Role.FOLLOWER, None)

    def disk_back(self, input: StorageRecovered) -> None:
        self.state.disk_back()
