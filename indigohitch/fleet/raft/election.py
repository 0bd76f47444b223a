"""Votes: who asks for them, who gives them, and the vote before the vote.  No I/O.

Ongaro and Ousterhout 2014, 5.2 and 5.4.1; the dissertation, 9.6 (the vote before the vote), 4.2.3 (none
against a leader that is heard) and 3.10 (a leader that gives its place up)."""

from __future__ import annotations

from collections.abc import Callable

from ..types import MemberId
from .messages import RequestVote, RequestVoteResponse, TimeoutNow
from .state import RaftState, Role


class Election:
    def __init__(self, state: RaftState, elected: Callable[[], None]) -> None:
        self.state, self.elected = state, elected
        self.given: set[MemberId] = set()
        self.handed = False

    # ---- asking ------------------------------------------------------------------------------------

    @property
    def may_stand(self) -> bool:
        """Also one that the last entry takes out, until that is committed: it may be the only one that has
        the entry (dissertation, 4.2.2)."""
        state = self.state
        belongs = (
            state.member_id in state.configuration.voters
            or state.member_id in state.configuration.at(state.commit_index).voters
        )
        return (
            belongs
            and not state.durable.failed
            and not state.durable.installing
            and not state.configuration.outdated(state.member_id)
        )

    def due(self) -> None:
        """No leader was heard for this member's time."""
        state = self.state
        state.wait_anew()
        if not self.may_stand:
            state.be(Role.FOLLOWER, None)
            return
        state.be(Role.ASKING, None)
        self.given = {state.member_id}
        self.ask(state.term + 1, pre=True)
        self.counted()

    def stand(self, handed: bool = False) -> None:
        """In the next term, with the own vote; it counts, and the others are asked, once it is written."""
        state = self.state
        state.wait_anew()
        state.vote(state.term + 1, state.member_id)
        state.be(Role.CANDIDATE, None)
        self.given, self.handed = set(), handed

    def written(self) -> None:
        state = self.state
        if state.role is Role.CANDIDATE and not self.given and state.durable.safe:
            self.given = {state.member_id}
            self.ask(state.term, pre=False)
            self.counted()

    def ask(self, term: int, pre: bool) -> None:
        log = self.state.log
        word = RequestVote(term, log.last, log.last_term, pre, self.handed and not pre)
        for who in self.state.configuration.members.voters:
            if who != self.state.member_id:
                self.state.send(who, word)

    def heard_vote(self, sender: MemberId, word: RequestVoteResponse) -> None:
        state = self.state
        if not word.vote_granted:
            if word.term > state.term:
                state.vote(word.term, None)
                state.be(Role.FOLLOWER, None)
            return
        if word.is_pre_vote:
            fits = state.role is Role.ASKING and word.term == state.term + 1
        else:
            fits = state.role is Role.CANDIDATE and word.term == state.term and bool(self.given)
        if fits and sender in state.configuration.voters:
            self.given.add(sender)
            self.counted()

    def counted(self) -> None:
        state = self.state
        if len(self.given & state.configuration.voters) < state.configuration.majority:
            return
        if state.role is Role.ASKING:
            self.stand()
        elif state.role is Role.CANDIDATE:
            self.elected()

    def heard_take(self, sender: MemberId, word: TimeoutNow) -> None:
        state = self.state
        if word.term == state.term and sender == state.leader and self.may_stand:
            self.stand(handed=True)

    # ---- being asked -------------------------------------------------------------------------------

    def heard_ask(self, sender: MemberId, word: RequestVote) -> None:
        """`Vote` goes out once it is written.  Who isn't in this member's list may ask: the list may be
        behind."""
        state = self.state
        if state.durable.failed:
            return
        fits = (word.last_log_term, word.last_log_index) >= (state.log.last_term, state.log.last)
        if word.is_pre_vote:
            given = fits and word.term > state.term and not state.led
            state.send(sender, RequestVoteResponse(word.term if given else state.term, given, True))
            return
        if word.term < state.term or (state.led and not word.is_leadership_transfer):
            state.send(sender, RequestVoteResponse(state.term, False))
            return
        if word.term > state.term:
            vote = sender if fits else None
            state.vote(word.term, vote)
            state.be(Role.FOLLOWER, None)
        else:
            vote = state.hard_state.vote
            if vote is None and fits and state.role in (Role.FOLLOWER, Role.ASKING):
                vote = sender
                state.vote(word.term, vote)
                state.be(Role.FOLLOWER, state.leader)
        if vote == sender:
            state.wait_anew()
            state.promise(sender, RequestVoteResponse(word.term, True))
        else:
            state.send(sender, RequestVoteResponse(state.term, False))
