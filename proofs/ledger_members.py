"""Members of a small ledger by number: each place that one can be in, and each move from it, once."""

from __future__ import annotations

import pickle
from typing import NamedTuple

from indigohitch.fleet.raft.interfaces import (
    ApplyEntries,
    HardState,
    Members,
    MessageReceived,
    ReadConfirmed,
    RecoveredState,
    SendMessage,
    Snapshot,
    Tick,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import AppendEntriesResponse, RequestVote, RequestVoteResponse
from indigohitch.fleet.raft.node import RaftNode
from indigohitch.fleet.raft.state import Role
from indigohitch.fleet.types import LogEntry

BOOTSTRAP = {
    "election": 1000,
    "beat": 500,
    "log_most": 1 << 30,
    "append_most": 100,
    "piece": 100,
    "inflight": 2,
    "proposals_most": 8,
}


class Found(Exception):
    """A promise is broken."""


def none() -> float:
    """Chance: timers end when the scene says so."""
    return 0.0


def canonical(machine: RaftNode) -> tuple:
    """All that its next steps hang on; times and numbers of writes count from now."""
    state, follower, leading = machine.state, machine.follower, machine.leadership
    durable, now = state.durable, state.now
    led = None
    if leading is not None:
        reads = leading.reads
        led = (
            reads.first_index,
            reads.read_round,
            tuple(sorted(reads.echoed_rounds.items())),
            tuple(reads.waiting),
            leading.heartbeat_due_at - now,
            tuple(
                (
                    who,
                    peer.match_index,
                    peer.next_index,
                    peer.mode,
                    peer.is_probe_sent,
                    tuple(peer.in_flight),
                    min(now - peer.last_response_at, BOOTSTRAP["election"]),
                )
                for who, peer in leading.progress.items()
            ),
        )
    return (
        state.member_id,
        state.role,
        state.hard_state,
        state.leader,
        state.commit_index,
        tuple((entry.term, entry.kind, entry.number) for entry in state.log.entries),
        durable.stable_index,
        durable.last_write - durable.completed_write,
        durable.hard_state_write > durable.completed_write,
        tuple((number - durable.completed_write, last) for number, last in durable.pending),
        tuple((number - durable.completed_write, send) for number, send in durable.deferred_messages),
        min(now - state.leader_seen_at, BOOTSTRAP["election"]),
        state.election_due_at - now,
        frozenset(machine.election.votes_received),
        machine.election.is_leadership_transfer,
        follower.agreed_index,
        follower.agreed_term,
        follower.read_round,
        follower.is_response_pending,
        follower.acknowledged_index,
        follower.echoed_round,
        led,
    )


class Done(NamedTuple):
    """What a move of one member came to."""

    place: int
    words: tuple[int, ...]  # that it sent
    commits: tuple[LogEntry, ...]
    read: ReadConfirmed | None


def written(disk: tuple, write: WriteEntries) -> tuple:
    ballot, held = disk
    return write.hard_state or ballot, (
        held[: write.truncate_from - 1] if write.truncate_from else held
    ) + write.entries


class Places:
    """A place is all that concerns one member: its machine (None while it is down), what its disk holds, and
    what waits to be written.  Places and words are numbered, and each move from a place is done once."""

    def __init__(self, voters: tuple) -> None:
        self.voters = voters
        self.numbers: dict[tuple, int] = {}
        self.places: list[tuple] = []  # pickled machine or None, disk, queue
        self.leads: list[int | None] = []  # the term that it leads
        self.logs: list[tuple[int, ...]] = []  # terms of its log
        self.word_numbers: dict[tuple, int] = {}
        self.words: list[tuple] = []  # from, to, word
        self.moves: dict[tuple, Done] = {}
        self.vain: dict[tuple, bool] = {}

    def place(self, machine: RaftNode | None, disk: tuple, queue: tuple) -> int:
        key = (machine and canonical(machine), disk, queue)
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.places)
            self.places.append((machine and pickle.dumps(machine), disk, queue))
            leading = machine is not None and machine.leadership is not None
            self.leads.append(machine.term if leading else None)
            self.logs.append(tuple(e.term for e in machine.state.log.entries) if machine else ())
        return number

    def word(self, sender: int, to: int, word) -> int:
        key = (sender, to, word)
        number = self.word_numbers.get(key)
        if number is None:
            number = self.word_numbers[key] = len(self.words)
            self.words.append(key)
        return number

    def started(self, at: int, disk: tuple) -> int:
        ballot, entries = disk
        held = RecoveredState(ballot, Snapshot(0, 0, Members(self.voters), b""), list(entries))
        return self.place(RaftNode(self.voters[at], held, BOOTSTRAP, none, 0), disk, ())

    def move(self, at: int, place: int, what, at_once: bool) -> Done:
        """`what`: the number of a word that comes, or "crash", "start", "write", or an input.  `at_once`:
        what is asked of the disk is written before anything else comes.  Raises `Found`."""
        done = self.moves.get((at, place, what, at_once))
        if done is None:
            done = self.moves[at, place, what, at_once] = self.moved(at, place, what, at_once)
        return done

    def moved(self, at: int, place: int, what, at_once: bool) -> Done:
        pickled, disk, queue = self.places[place]
        if what == "crash":
            return Done(self.place(None, disk, ()), (), (), None)
        if what == "start":
            return Done(self.started(at, disk), (), (), None)
        if pickled is None:
            return Done(place, (), (), None)
        machine = pickle.loads(pickled)
        now = machine.state.now
        if what == "write":
            for write in queue:
                disk = written(disk, write)
            queue, what = (), WriteCompleted(machine.state.durable.last_write)
        elif type(what) is int:
            sender, _, word = self.words[what]
            what = MessageReceived(self.voters[sender], word)
        elif type(what) is Tick:
            now = max(now, machine.due_at)
        words, commits, read = [], (), None
        outputs = machine.step(now, what)
        for output in outputs:
            kind = type(output)
            if kind is SendMessage:
                self.sent(at, disk[0], output.message)
                words.append(self.word(at, self.voters.index(output.to), output.message))
            elif kind is WriteEntries and at_once and not queue:
                disk = written(disk, output)
                outputs += machine.step(now, WriteCompleted(output.number))
            elif kind is WriteEntries:
                queue += (WriteEntries(0, output.hard_state, output.truncate_from, output.entries),)
            elif kind is ApplyEntries:
                commits += output.entries
            elif kind is ReadConfirmed:
                read = output
        return Done(self.place(machine, disk, queue), tuple(words), commits, read)

    def in_vain(self, word: int, place: int) -> bool:
        """An answer that can change nothing any more, whenever it comes: it is of a term before that on its
        receiver's disk, or a vote of that term when the receiver isn't standing (and never will again)."""
        vain = self.vain.get((word, place))
        if vain is None:
            row, (pickled, (ballot, _), _) = self.words[word][2], self.places[place]
            vain = type(row) in (RequestVoteResponse, AppendEntriesResponse) and row.term < ballot.term
            if type(row) is RequestVoteResponse and row.term == ballot.term and pickled is not None:
                vain = (
                    row.is_pre_vote
                    or not row.vote_granted
                    or pickle.loads(pickled).role is not Role.CANDIDATE
                )
            self.vain[word, place] = vain
        return vain

    def sent(self, at: int, ballot: HardState, word) -> None:
        """No vote is told, the own neither, before it is on the disk."""
        if (
            type(word) is RequestVoteResponse
            and word.vote_granted
            and not word.is_pre_vote
            and ballot.term <= word.term
        ):
            if ballot.term < word.term or ballot.vote is None:
                raise Found(f"{self.voters[at].name} tells a vote that its disk doesn't hold")
        elif (
            type(word) is RequestVote
            and not word.is_pre_vote
            and ballot != HardState(word.term, self.voters[at])
        ):
            raise Found(f"{self.voters[at].name} asks for votes without its own on the disk")
