"""Implements a Raft node, one member of a replicated log.  No I/O.

It follows the published algorithm (Ongaro and Ousterhout 2014, and Ongaro's dissertation); docs/ledger.md
lists the implemented parts.  `interfaces.py` defines the inputs and outputs.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..types import MemberId
from .election import Election
from .follower import Follower
from .interfaces import (
    ChangeMembers,
    Input,
    Members,
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
    """Processes the inputs of one member of the cluster and returns its outputs.

    `recovered` is the content of the member's disk.  For a new cluster that is a snapshot at index 0 with the
    initial members, for a new member of an existing cluster one without members.  `random` returns a number
    in [0, 1).  `step` raises ValueError only for a violation of Raft's safety (a committed entry would be
    removed, two leaders in a term), after which the process has to exit.
    """

    def __init__(
        self,
        member_id: MemberId,
        recovered: RecoveredState,
        settings: Mapping[str, int],
        random: Callable[[], float],
        now: int,
    ) -> None:
        self.state = RaftState(member_id, recovered, settings, random, now)
        self.election = Election(self.state, self._on_elected)
        self.follower = Follower(self.state)
        self.leadership: Leader | None = None

    # ---- interface ---------------------------------------------------------------------------------

    def step(self, now: int, event: Input) -> list[Output]:
        """Processes one input and returns the outputs to carry out, in order."""
        state = self.state
        state.now = now
        state.outputs = []
        self._handle(event)
        if self.leadership is not None and state.role is not Role.LEADER:
            self.leadership.reads.close(state.leader)
            self.leadership = None
            state.reset_election_timer()
        outputs = state.outputs
        state.outputs = []
        return outputs

    @property
    def due_at(self) -> int:
        """Returns the time at which the driver has to pass a `Tick` at the latest."""
        if self.leadership is not None:
            return self.leadership.heartbeat_due_at
        return self.state.election_due_at

    @property
    def role(self) -> Role:
        """Returns the role of this member."""
        return self.state.role

    @property
    def term(self) -> int:
        """Returns the current term."""
        return self.state.term

    @property
    def has_committed_in_term(self) -> bool:
        """Returns whether this member leads and has committed an entry of its own term.

        Its state machine then includes everything that was committed before its election.  Until then it may
        be far behind, and no decision may be based on it.
        """
        return self.leadership is not None and self.state.commit_index >= self.leadership.reads.first_index

    @property
    def leader(self) -> MemberId | None:
        """Returns the leader of the current term, or None if it is not known."""
        return self.state.leader

    @property
    def commit_index(self) -> int:
        """Returns the index of the last committed entry."""
        return self.state.commit_index

    @property
    def members(self) -> Members:
        """Returns the members by the last configuration change in this member's log, committed or not."""
        return self.state.configuration.members

    # ---- inputs ------------------------------------------------------------------------------------

    def _handle(self, event: Input) -> None:
        match event:
            case MessageReceived():
                self._handle_message(event)
            case WriteCompleted():
                self.state.outputs += self.state.durable.on_write_completed(event.number)
                self._on_durable()
            case Tick():
                self._handle_tick()
            case SnapshotCompleted():
                self.state.on_snapshot_written(event.snapshot)
                self._on_durable()
            case StorageFailed():
                self._handle_storage_failed(event)
            case StorageRecovered():
                self.state.on_storage_recovered()
            case _:
                self._handle_request(event)

    def _handle_request(self, request: Input) -> None:
        leadership = self.leadership
        match request:
            case Propose():
                self._propose(request)
            case ReadRequest():
                self._read(request)
            case ChangeMembers():
                if leadership is not None:
                    leadership.change_members(request)
            case TransferLeadership():
                if leadership is not None:
                    leadership.transfer.start(request.to)
            case _:
                raise TypeError(f"unknown input of a Raft node: {request!r}")

    def _handle_message(self, event: MessageReceived) -> None:
        sender = event.sender
        if self.state.configuration.is_outdated(sender) or sender == self.state.member_id:
            return
        match event.message:
            case AppendEntries() as message:
                self.follower.handle_append_entries(sender, message)
            case AppendEntriesResponse() | InstallSnapshotResponse() as response:
                self._handle_response(sender, response)
            case InstallSnapshot() as message:
                self.follower.handle_install_snapshot(sender, message)
            case RequestVote() as message:
                self.election.handle_request_vote(sender, message)
            case RequestVoteResponse() as response:
                self.election.handle_request_vote_response(sender, response)
            case TimeoutNow() as message:
                self.election.handle_timeout_now(sender, message)
            case message:
                raise TypeError(f"unknown message of a Raft node: {message!r}")

    def _handle_response(
        self, sender: MemberId, response: AppendEntriesResponse | InstallSnapshotResponse
    ) -> None:
        state = self.state
        if response.term > state.term:
            state.save_hard_state(response.term, None)
            state.change_role(Role.FOLLOWER, None)
        elif self.leadership is not None:
            self.leadership.handle_response(sender, response)

    def _on_elected(self) -> None:
        self.leadership = Leader(self.state)
        self.leadership.commit_replicated()

    def _propose(self, request: Propose) -> None:
        state = self.state
        if self.leadership is not None:
            self.leadership.propose(request.proposal)
        else:
            rejection = ProposalRejected(request.proposal, state.settings["beat"], state.leader)
            state.outputs.append(rejection)

    def _read(self, request: ReadRequest) -> None:
        if self.leadership is not None:
            self.leadership.read(request.number)
        else:
            self.state.outputs.append(ReadConfirmed(request.number, 0, False, self.state.leader))

    def _handle_tick(self) -> None:
        if self.state.now < self.due_at:
            return
        if self.leadership is not None:
            self.leadership.on_heartbeat_due()
        else:
            self.election.on_timeout()

    # ---- storage -----------------------------------------------------------------------------------

    def _on_durable(self) -> None:
        """Resumes the parts of the node that were waiting for a write."""
        self.election.on_write_completed()
        self.follower.on_write_completed()
        if self.leadership is not None:
            self.leadership.commit_replicated()

    def _handle_storage_failed(self, event: StorageFailed) -> None:
        state = self.state
        if not state.durable.failed:
            state.durable.fail()
            state.log_event("ledger_disk_failed", why=event.reason)
            if state.role is not Role.FOLLOWER:
                state.change_role(Role.FOLLOWER, None)
