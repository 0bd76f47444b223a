"""What a leader does: takes proposals, keeps its peers up, commits, changes members, gives its place up.
No I/O.

Ongaro and Ousterhout 2014, 5.3, 5.4.2 and 8; the dissertation, 3.10, 4.2, 6.2 and 10.2.1."""

from __future__ import annotations

from ..types import LogEntry, MemberId, Proposal
from .configuration import configuration_entry, next_configuration
from .interfaces import ChangeMembers, ProposalRejected
from .log import entry_size
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshotResponse, TimeoutNow
from .progress import Progress
from .read_index import ReadIndexQueue
from .state import RaftState, Role


class Leader:
    """From its election to its end; then a new one begins anew."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.reads = ReadIndexQueue(state, state.log.last + 1)
        self.peers: dict[MemberId, Progress] = {}
        self.wishes: dict[MemberId, ChangeMembers] = {}  # not reached yet
        self.open = sum(
            map(entry_size, state.log.some(state.commit_index + 1, state.log.last))
        )  # bytes not committed
        self.beat_due = state.now + state.settings["beat"]
        self.heir: MemberId | None = None  # to whom the place is given up
        self.heir_until = 0
        state.be(Role.LEADER, state.member_id)
        self.renew_peers()
        self.add(LogEntry(state.log.last + 1, state.term, "", b""))
        self.beat()

    # ---- entries -----------------------------------------------------------------------------------

    def add(self, entry: LogEntry) -> None:
        self.open += entry_size(entry)
        self.state.store(0, (entry,))
        if self.state.configuration.index == entry.index:
            self.renew_peers()

    def renew_peers(self) -> None:
        """One that was taken out stays until it has heard of it."""
        for who in self.state.configuration.everyone:
            if who != self.state.member_id and who not in self.peers:
                self.peers[who] = Progress(self.state, who)

    def feed(self) -> None:
        for peer in self.peers.values():
            peer.feed(self.reads.read_round)

    def propose(self, proposal: Proposal) -> None:
        """What is not committed is bounded, in number and in bytes; above it the proposer comes back."""
        state, bootstrap = self.state, self.state.settings
        most = bootstrap["append_most"] * bootstrap["inflight"]
        if len(proposal.body) > most:
            # One entry goes in one word: a larger one would never reach anybody, and hold up all behind it.
            state.note(
                "proposal_too_large",
                kind=proposal.kind,
                proposer=proposal.proposer,
                bytes=len(proposal.body),
                most=most,
                remedy="propose it in parts",
            )
            state.out.append(ProposalRejected(proposal, bootstrap["election"], None))
        elif self.heir is not None:
            state.out.append(ProposalRejected(proposal, bootstrap["beat"], None))
        elif state.log.last - state.commit_index >= bootstrap["proposals_most"] or self.open >= most:
            state.out.append(ProposalRejected(proposal, bootstrap["beat"], state.member_id))
        else:
            self.add(
                LogEntry(
                    state.log.last + 1,
                    state.term,
                    proposal.kind,
                    proposal.body,
                    proposal.proposer,
                    proposal.incarnation,
                    proposal.number,
                )
            )
            self.feed()

    def advance(self) -> None:
        """Commit what a majority holds, if it is of this term: older entries go with it (5.4.2).  The leader
        counts for itself only what its own disk holds."""
        state = self.state
        held = sorted(
            (
                state.durable.match_index
                if who == state.member_id
                else self.peers[who].match_index
                if who in self.peers
                else 0
                for who in state.configuration.voters
            ),
            reverse=True,
        )
        index = held[state.configuration.majority - 1]
        if index > state.commit_index and self.own_term(index):
            self.open -= sum(map(entry_size, state.log.some(state.commit_index + 1, index)))
            state.commit_to(index)
            # Who waits for it elsewhere hears of it soon, and not with each commit under load.
            self.beat_due = min(self.beat_due, state.now + state.settings["beat"] // 10)
            self.changed()
        while self.reads.answer():
            self.new_round()

    def own_term(self, index: int) -> bool:
        """An older entry on a majority of disks may yet be void (figure 8)."""
        return self.state.log.term(index) == self.state.term

    # ---- answers -----------------------------------------------------------------------------------

    def heard(self, sender: MemberId, word: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        peer = self.peers.get(sender)
        if peer is None or word.term != self.state.term:
            return
        if isinstance(word, InstallSnapshotResponse):
            peer.pieced(word)
            return
        self.reads.heard(sender, word.read_round)
        more = peer.appended(word)
        peer.feed(self.reads.read_round)
        if more and sender in self.wishes:
            self.wish(self.wishes[sender])
        if more or self.reads.waiting:
            self.advance()
        self.hand_on()

    # ---- time --------------------------------------------------------------------------------------

    def due(self) -> None:
        """Each beat.  Who hears no majority for an election's time leads nobody (dissertation, 6.2).  A beat
        that comes late by another says that this process stood still: answers may lie unread, so it judges
        at the next."""
        state = self.state
        heard = {who for who, peer in self.peers.items() if not peer.silent} | {state.member_id}
        stood_still = state.now - self.beat_due >= state.settings["beat"]
        if len(heard & state.configuration.voters) < state.configuration.majority and not stood_still:
            state.note("majority_lost", term=state.term, heard=sorted(who.name for who in heard))
            state.be(Role.FOLLOWER, None)
            return
        if self.heir is not None and state.now >= self.heir_until:
            state.note("not_handed_over", term=state.term, to=self.heir.name)
            self.heir = None
        for wish in list(self.wishes.values()):
            self.wish(wish)
        self.beat()
        last = state.configuration.index
        for who in [
            who
            for who, peer in self.peers.items()
            if who not in state.configuration.everyone
            and (peer.silent or peer.match_index >= last <= state.commit_index)
        ]:
            del self.peers[who]  # it has been told with this beat that its end is committed

    def beat(self) -> None:
        self.beat_due = self.state.now + self.state.settings["beat"]
        for peer in self.peers.values():
            peer.beat(self.reads.read_round)

    # ---- reads -------------------------------------------------------------------------------------

    def read(self, number: int) -> None:
        if self.reads.ask(number):
            self.new_round()
            self.advance()  # alone, it is its own majority

    def new_round(self) -> None:
        round, state = self.reads.begin(), self.state
        for who in self.peers:
            if who in state.configuration.voters:
                state.send(who, AppendEntries(state.term, 0, 0, 0, (), round, state.now))

    # ---- members -----------------------------------------------------------------------------------

    def change(self, change: ChangeMembers) -> None:
        """A wish is kept until it is reached or this leader ends; who has it asks till the members are so."""
        self.wishes[change.member] = change
        self.wish(change)

    @property
    def may_change(self) -> bool:
        return self.state.commit_index >= max(self.state.configuration.index, self.reads.first)

    def wish(self, change: ChangeMembers) -> None:
        """The next step towards it, if none is under way."""
        state, peer = self.state, self.peers.get(change.member)
        if not self.may_change:
            return
        try:
            members = next_configuration(
                state.configuration.members,
                change.member,
                change.remove,
                change.as_voter,
                peer is not None and peer.learned,
            )
        except ValueError as bad:
            self.wishes.pop(change.member, None)
            state.note("change_refused", who=change.member.name, number=change.member.number, why=str(bad))
            return
        if members is not None:
            self.add(configuration_entry(members, state.log.last + 1, state.term))
            self.feed()
        elif change.remove or not change.as_voter or change.member in state.configuration.voters:
            del self.wishes[change.member]

    def changed(self) -> None:
        """A leader that doesn't vote any more ends once that is committed (dissertation, 4.2.2)."""
        state = self.state
        if (
            state.member_id not in state.configuration.voters
            and state.commit_index >= state.configuration.index
        ):
            self.beat()  # so that the others know it to be committed
            state.be(Role.FOLLOWER, None)

    # ---- giving up the place -----------------------------------------------------------------------

    def hand_over(self, to: MemberId | None) -> None:
        state = self.state
        able = [
            (peer.match_index, who)
            for who, peer in self.peers.items()
            if who in state.configuration.voters and not peer.silent and (to is None or who == to)
        ]
        if not able:
            state.note("not_handed_over", term=state.term, to=to.name if to else "")
            return
        self.heir = max(able)[1]
        self.heir_until = state.now + state.settings["election"]
        self.hand_on()

    def hand_on(self) -> None:
        """Once the heir has all that this one has."""
        if self.heir in self.peers and self.peers[self.heir].match_index >= self.state.log.last:
            self.state.send(self.heir, TimeoutNow(self.state.term))
