"""Runs elections: pre-votes, vote requests and the votes that this member grants.  No I/O.

See Ongaro and Ousterhout 2014, 5.2 and 5.4.1, and Ongaro's dissertation, 9.6 (pre-vote), 4.2.3 (no vote
against a live leader) and 3.10 (leadership transfer).
"""

from __future__ import annotations

from collections.abc import Callable

from ..types import MemberId
from .messages import RequestVote, RequestVoteResponse, TimeoutNow
from .state import RaftState, Role


class Election:
    """Handles elections as candidate and as voter; calls `on_elected` when this member has won one."""

    def __init__(self, state: RaftState, on_elected: Callable[[], None]) -> None:
        self.state = state
        self.on_elected = on_elected
        self.votes_received: set[MemberId] = set()
        self.is_leadership_transfer = False

    # ---- as a candidate ----------------------------------------------------------------------------

    @property
    def can_start_election(self) -> bool:
        """Returns whether this member may start an election.

        A member that the last configuration entry removes may do so until that entry is committed, because
        it may be the only member that has the entry (dissertation, 4.2.2).
        """
        state = self.state
        member_id = state.member_id
        configuration = state.configuration
        is_voter = (
            member_id in configuration.voters
            or member_id in configuration.members_at(state.commit_index).voters
        )
        return (
            is_voter
            and not state.durable.failed
            and not state.durable.installing
            and not configuration.is_outdated(member_id)
        )

    def on_timeout(self) -> None:
        """Starts a pre-vote because no leader was heard from for an election timeout."""
        state = self.state
        state.reset_election_timer()
        if not self.can_start_election:
            state.change_role(Role.FOLLOWER, None)
            return
        state.change_role(Role.PRE_CANDIDATE, None)
        self.votes_received = {state.member_id}
        self._request_votes(state.term + 1, is_pre_vote=True)
        self._count_votes()

    def _start_election(self, is_leadership_transfer: bool = False) -> None:
        """Votes for itself in the next term; requests votes only once its own vote is on the disk."""
        state = self.state
        state.reset_election_timer()
        state.save_hard_state(state.term + 1, state.member_id)
        state.change_role(Role.CANDIDATE, None)
        self.votes_received = set()
        self.is_leadership_transfer = is_leadership_transfer

    def on_write_completed(self) -> None:
        """Requests votes if this candidate's own vote has reached the disk."""
        state = self.state
        is_waiting = state.role is Role.CANDIDATE and not self.votes_received
        if is_waiting and state.durable.is_hard_state_durable:
            self.votes_received = {state.member_id}
            self._request_votes(state.term, is_pre_vote=False)
            self._count_votes()

    def _request_votes(self, term: int, is_pre_vote: bool) -> None:
        log = self.state.log
        is_transfer = self.is_leadership_transfer and not is_pre_vote
        request = RequestVote(term, log.last_index, log.last_term, is_pre_vote, is_transfer)
        for voter in self.state.configuration.members.voters:
            if voter != self.state.member_id:
                self.state.send(voter, request)

    def handle_request_vote_response(self, sender: MemberId, response: RequestVoteResponse) -> None:
        """Counts a granted vote; becomes a follower if a denial has a higher term."""
        state = self.state
        if not response.vote_granted:
            if response.term > state.term:
                state.save_hard_state(response.term, None)
                state.change_role(Role.FOLLOWER, None)
            return
        if response.is_pre_vote:
            is_valid = state.role is Role.PRE_CANDIDATE and response.term == state.term + 1
        else:
            is_candidate = state.role is Role.CANDIDATE and bool(self.votes_received)
            is_valid = is_candidate and response.term == state.term
        if is_valid and sender in state.configuration.voters:
            self.votes_received.add(sender)
            self._count_votes()

    def _count_votes(self) -> None:
        state = self.state
        if len(self.votes_received & state.configuration.voters) < state.configuration.majority:
            return
        if state.role is Role.PRE_CANDIDATE:
            self._start_election()
        elif state.role is Role.CANDIDATE:
            self.on_elected()

    def handle_timeout_now(self, sender: MemberId, message: TimeoutNow) -> None:
        """Starts an election at once if the leader of this term asks for it."""
        state = self.state
        if message.term == state.term and sender == state.leader and self.can_start_election:
            self._start_election(is_leadership_transfer=True)

    # ---- as a voter --------------------------------------------------------------------------------

    def handle_request_vote(self, sender: MemberId, request: RequestVote) -> None:
        """Grants or denies a vote; a granted vote is sent once it is on the disk.

        The sender need not be in this member's configuration, which may be outdated.
        """
        state = self.state
        if state.durable.failed:
            return
        own_log = (state.log.last_term, state.log.last_index)
        is_up_to_date = (request.last_log_term, request.last_log_index) >= own_log
        if request.is_pre_vote:
            is_granted = is_up_to_date and request.term > state.term and not state.has_live_leader
            term = request.term if is_granted else state.term
            state.send(sender, RequestVoteResponse(term, is_granted, True))
            return
        is_disruptive = state.has_live_leader and not request.is_leadership_transfer
        if request.term < state.term or is_disruptive:
            state.send(sender, RequestVoteResponse(state.term, False))
            return
        if self._choose_vote(sender, request.term, is_up_to_date) == sender:
            state.reset_election_timer()
            state.send_when_durable(sender, RequestVoteResponse(request.term, True))
        else:
            state.send(sender, RequestVoteResponse(state.term, False))

    def _choose_vote(self, candidate: MemberId, term: int, is_up_to_date: bool) -> MemberId | None:
        """Votes in `term`, the current or a later one; returns the candidate that has this member's vote."""
        state = self.state
        if term > state.term:
            vote = candidate if is_up_to_date else None
            state.save_hard_state(term, vote)
            state.change_role(Role.FOLLOWER, None)
            return vote
        vote = state.hard_state.vote
        if vote is None and is_up_to_date and state.role in (Role.FOLLOWER, Role.PRE_CANDIDATE):
            vote = candidate
            state.save_hard_state(term, vote)
            state.change_role(Role.FOLLOWER, state.leader)
        return vote
