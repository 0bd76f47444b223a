"""Runs a leader: accepts proposals, replicates and commits entries, and changes members.  No I/O.

See Ongaro and Ousterhout 2014, 5.3, 5.4.2 and 8, and Ongaro's dissertation, 4.2, 6.2 and 10.2.1.
"""

from __future__ import annotations

from ..types import LogEntry, MemberId, Proposal
from .configuration import configuration_entry, next_configuration
from .interfaces import ChangeMembers, ProposalRejected
from .leadership_transfer import LeadershipTransfer
from .log import entry_size
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshotResponse
from .progress import Progress
from .read_index import ReadIndexQueue
from .state import RaftState, Role


class Leader:
    """Leads one term, from the election until this member steps down."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.reads = ReadIndexQueue(state, state.log.last_index + 1)
        self.progress: dict[MemberId, Progress] = {}
        self.pending_changes: dict[MemberId, ChangeMembers] = {}
        uncommitted = state.log.entries_between(state.commit_index + 1, state.log.last_index)
        self.uncommitted_bytes = sum(map(entry_size, uncommitted))
        self.heartbeat_due_at = state.now + state.settings["beat"]
        self.transfer = LeadershipTransfer(state, self.progress)
        state.change_role(Role.LEADER, state.member_id)
        self._add_progress()
        self._append(LogEntry(state.log.last_index + 1, state.term, "", b""))
        self._send_heartbeats()

    # ---- entries -----------------------------------------------------------------------------------

    def _append(self, entry: LogEntry) -> None:
        self.uncommitted_bytes += entry_size(entry)
        self.state.append_entries(0, (entry,))
        if self.state.configuration.index == entry.index:
            self._add_progress()

    def _add_progress(self) -> None:
        """Starts replication to new members; a removed one is kept until it has learned of its removal."""
        for member in self.state.configuration.all_members:
            if member != self.state.member_id and member not in self.progress:
                self.progress[member] = Progress(self.state, member)

    def _send_entries(self) -> None:
        for progress in self.progress.values():
            progress.send_entries(self.reads.read_round)

    def propose(self, proposal: Proposal) -> None:
        """Appends a proposal; rejects it if the uncommitted entries are too many or too large."""
        state = self.state
        settings = state.settings
        max_bytes = settings["append_most"] * settings["inflight"]
        backlog = state.log.last_index - state.commit_index
        if len(proposal.body) > max_bytes:
            # An entry is sent in one message: a larger one would never arrive, and block all later ones.
            state.log_event(
                "proposal_too_large",
                kind=proposal.kind,
                proposer=proposal.proposer,
                bytes=len(proposal.body),
                most=max_bytes,
                remedy="propose it in parts",
            )
            state.outputs.append(ProposalRejected(proposal, settings["election"], None))
        elif self.transfer.is_active:
            state.outputs.append(ProposalRejected(proposal, settings["beat"], None))
        elif backlog >= settings["proposals_most"] or self.uncommitted_bytes >= max_bytes:
            state.outputs.append(ProposalRejected(proposal, settings["beat"], state.member_id))
        else:
            self._append_proposal(proposal)

    def _append_proposal(self, proposal: Proposal) -> None:
        entry = LogEntry(
            self.state.log.last_index + 1,
            self.state.term,
            proposal.kind,
            proposal.body,
            proposal.proposer,
            proposal.incarnation,
            proposal.number,
        )
        self._append(entry)
        self._send_entries()

    def commit_replicated(self) -> None:
        """Commits the entries that a majority has, and confirms the reads that this allows.

        Only an entry of the current term is committed by counting; it commits all earlier ones (5.4.2).  The
        leader counts itself only for entries on its own disk.
        """
        state = self.state
        match_indexes = sorted(map(self._match_index, state.configuration.voters), reverse=True)
        index = match_indexes[state.configuration.majority - 1]
        if index > state.commit_index and self.is_of_own_term(index):
            committed = state.log.entries_between(state.commit_index + 1, index)
            self.uncommitted_bytes -= sum(map(entry_size, committed))
            state.advance_commit_index(index)
            # Followers learn of the commit soon, but under load not by a message for each commit.
            self.heartbeat_due_at = min(self.heartbeat_due_at, state.now + state.settings["beat"] // 10)
            self._step_down_if_removed()
        while self.reads.confirm():
            self._start_read_round()

    def _match_index(self, voter: MemberId) -> int:
        if voter == self.state.member_id:
            return self.state.durable.match_index
        progress = self.progress.get(voter)
        return progress.match_index if progress is not None else 0

    def is_of_own_term(self, index: int) -> bool:
        """Returns whether the entry is of the current term.

        An entry of an older term may still be overwritten even if a majority has it (figure 8).
        """
        return self.state.log.term(index) == self.state.term

    # ---- responses ---------------------------------------------------------------------------------

    def handle_response(
        self, sender: MemberId, response: AppendEntriesResponse | InstallSnapshotResponse
    ) -> None:
        """Handles a follower's response: sends further entries, commits, continues a membership change."""
        progress = self.progress.get(sender)
        if progress is None or response.term != self.state.term:
            return
        if isinstance(response, InstallSnapshotResponse):
            progress.handle_snapshot_response(response)
            return
        self.reads.on_echo(sender, response.read_round)
        has_advanced = progress.handle_append_response(response)
        progress.send_entries(self.reads.read_round)
        if has_advanced and sender in self.pending_changes:
            self._continue_change(self.pending_changes[sender])
        if has_advanced or self.reads.waiting:
            self.commit_replicated()
        self.transfer.send_timeout_now()

    # ---- time --------------------------------------------------------------------------------------

    def on_heartbeat_due(self) -> None:
        """Sends heartbeats; steps down if no majority responded within an election timeout (6.2).

        If the heartbeat itself is late by a whole interval, this process was stalled and responses may still
        be unread.  The majority is then checked at the next heartbeat.
        """
        state = self.state
        responsive = {member for member, progress in self.progress.items() if not progress.is_silent}
        responsive.add(state.member_id)
        was_stalled = state.now - self.heartbeat_due_at >= state.settings["beat"]
        has_majority = len(responsive & state.configuration.voters) >= state.configuration.majority
        if not has_majority and not was_stalled:
            names = sorted(member.name for member in responsive)
            state.log_event("majority_lost", term=state.term, heard=names)
            state.change_role(Role.FOLLOWER, None)
            return
        self.transfer.abort_if_overdue()
        for change in list(self.pending_changes.values()):
            self._continue_change(change)
        self._send_heartbeats()
        self._drop_removed()

    def _send_heartbeats(self) -> None:
        self.heartbeat_due_at = self.state.now + self.state.settings["beat"]
        for progress in self.progress.values():
            progress.send_heartbeat(self.reads.read_round)

    def _drop_removed(self) -> None:
        """Stops replication to removed members that are silent, or know that their removal is committed.

        The heartbeat that was sent just before contains the commit index.
        """
        state = self.state
        last_change = state.configuration.index
        for member, progress in list(self.progress.items()):
            is_member = member in state.configuration.all_members
            knows_removal = progress.match_index >= last_change <= state.commit_index
            if not is_member and (progress.is_silent or knows_removal):
                del self.progress[member]

    # ---- reads -------------------------------------------------------------------------------------

    def read(self, number: int) -> None:
        """Queues a read, which is answered by a `ReadConfirmed`."""
        if self.reads.add(number):
            self._start_read_round()
            self.commit_replicated()  # a single voter is its own majority

    def _start_read_round(self) -> None:
        state = self.state
        read_round = self.reads.start_round()
        for member in self.progress:
            if member in state.configuration.voters:
                state.send(member, AppendEntries(state.term, 0, 0, 0, (), read_round, state.now))

    # ---- members -----------------------------------------------------------------------------------

    def change_members(self, change: ChangeMembers) -> None:
        """Starts a membership change, which is pending until it is complete or this leader steps down."""
        self.pending_changes[change.member] = change
        self._continue_change(change)

    @property
    def can_change_members(self) -> bool:
        """Returns whether the last membership change and an entry of this term are committed."""
        return self.state.commit_index >= max(self.state.configuration.index, self.reads.first_index)

    def _continue_change(self, change: ChangeMembers) -> None:
        """Appends the next step of a membership change, unless another step is in progress."""
        state = self.state
        member = change.member
        progress = self.progress.get(member)
        if not self.can_change_members:
            return
        has_caught_up = progress is not None and progress.has_caught_up
        try:
            members = next_configuration(
                state.configuration.members, member, change.remove, change.as_voter, has_caught_up
            )
        except ValueError as error:
            self.pending_changes.pop(member, None)
            state.log_event("change_refused", who=member.name, number=member.number, why=str(error))
            return
        if members is not None:
            self._append(configuration_entry(members, state.log.last_index + 1, state.term))
            self._send_entries()
        elif change.remove or not change.as_voter or member in state.configuration.voters:
            del self.pending_changes[member]

    def _step_down_if_removed(self) -> None:
        """Steps down once the removal of this leader from the voters is committed (dissertation, 4.2.2)."""
        state = self.state
        is_voter = state.member_id in state.configuration.voters
        if not is_voter and state.commit_index >= state.configuration.index:
            self._send_heartbeats()  # so that the others learn that it is committed
            state.change_role(Role.FOLLOWER, None)
