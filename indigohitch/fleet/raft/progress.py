"""How far a peer is, by its leader's reckoning, and what may be sent to it now.  No I/O.

Each peer has its own, so that a slow one holds up nobody, and holds little: `inflight` messages of
`append_most` bytes, or one piece of a snapshot."""

from __future__ import annotations

import enum
from collections import deque

from ...encoding.rows import digest
from ..types import MemberId
from .interfaces import Snapshot
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from .state import RaftState


class ProgressState(enum.Enum):
    PROBING = "probing"  # where its log ends as ours is not known: one message at a time
    STREAMING = "streaming"  # one after the other, without waiting for answers
    SNAPSHOT = "snapshot"  # the log before was forgotten: pieces, one at a time


class Progress:
    def __init__(self, state: RaftState, who: MemberId) -> None:
        self.state, self.who = state, who
        self.match_index, self.next = 0, state.log.last + 1
        self.way, self.probed = ProgressState.PROBING, False
        self.out: deque[int] = deque()  # last entry of each message that is out
        # As if just heard: a new leader has an election's time to find its majority.
        self.heard = state.now
        self.snapshot: Snapshot | None = None
        self.offset = 0
        self.piece_at = 0  # when the last piece went out
        self.again = False  # it went out again: the answer counts wherever it stands
        self.digest = b""
        # Rounds of learning (dissertation, 4.2.1): where the log ended as this one began, and when.
        self.target, self.since, self.learned = state.log.last, state.now, False

    @property
    def silent(self) -> bool:
        return self.state.now - self.heard >= self.state.settings["election"]

    # ---- sending -----------------------------------------------------------------------------------

    def feed(self, round: int) -> None:
        """What it lacks, as far as may be out at a time."""
        state, log = self.state, self.state.log
        if self.way is ProgressState.SNAPSHOT or (self.way is ProgressState.PROBING and self.probed):
            return
        while self.next <= log.last and len(self.out) < state.settings["inflight"]:
            if self.next <= log.base:
                self.begin_snapshot()
                return
            entries = log.up_to(self.next, state.settings["append_most"])
            self.append(entries, round)
            if self.way is ProgressState.PROBING:
                self.probed = True
                return
            self.next += len(entries)
            self.out.append(self.next - 1)

    def beat(self, round: int) -> None:
        """That a leader is there; and one that lost what was sent says so by its answer."""
        if self.way is ProgressState.SNAPSHOT:
            # Sent again only where an answer is overdue; one that says nothing is asked with few bytes.
            if self.silent and (self.offset or self.snapshot is not self.state.log.snapshot):
                self.begin_snapshot()
            elif self.state.now - self.piece_at >= self.state.settings["election"]:
                self.again = True
                self.piece()
            self.state.send(self.who, AppendEntries(self.state.term, 0, 0, 0, (), round, self.state.now))
            return
        if self.next <= self.state.log.base:
            self.begin_snapshot()
            return
        self.probed = self.silent and self.way is ProgressState.PROBING
        before = len(self.state.out)
        if self.way is ProgressState.PROBING:
            self.feed(round)
        if len(self.state.out) == before:
            self.append((), round)

    def append(self, entries: tuple, round: int) -> None:
        state = self.state
        self.state.send(
            self.who,
            AppendEntries(
                state.term,
                self.next - 1,
                state.log.term(self.next - 1),
                state.commit_index,
                entries,
                round,
                state.now,
            ),
        )

    # ---- answers -----------------------------------------------------------------------------------

    def appended(self, word: AppendEntriesResponse) -> bool:
        """Whether it is known to have more than before."""
        self.heard = self.state.now
        if not word.success:
            self.backed(word)
            return False
        more = word.match_index > self.match_index
        if more:
            self.match_index = word.match_index
            while self.out and self.out[0] <= self.match_index:
                self.out.popleft()
        if self.way is ProgressState.SNAPSHOT:
            if self.match_index >= self.snapshot.index:
                self.stream()
        elif self.way is ProgressState.PROBING and (more or word.match_index >= self.next - 1):
            self.stream()
        self.next = max(self.next, self.match_index + 1)
        self.learn()
        return more

    def stream(self) -> None:
        self.way, self.probed, self.snapshot = ProgressState.STREAMING, False, None
        self.next = max(self.next, self.match_index + 1)
        self.out.clear()

    def backed(self, word: AppendEntriesResponse) -> None:
        """Its log differs at `prev_index`, or ends before it: go back to where both may agree (the search by
        terms of 5.3, from both sides)."""
        if self.way is ProgressState.SNAPSHOT or word.prev_log_index <= self.match_index:
            return
        if self.way is ProgressState.PROBING and word.prev_log_index != self.next - 1:
            return  # of a message from before
        at, _ = self.state.log.hint(min(word.match_index, word.prev_log_index - 1), word.conflict_term)
        self.next = max(self.match_index, at) + 1
        self.way, self.probed = ProgressState.PROBING, False
        self.out.clear()

    def learn(self) -> None:
        """It has learned once a round, to where the log ended as it began, took less than an election's
        time."""
        state = self.state
        if not self.learned and self.match_index >= self.target:
            self.learned = state.now - self.since < state.settings["election"]
            self.target, self.since = state.log.last, state.now

    # ---- a snapshot --------------------------------------------------------------------------------

    def begin_snapshot(self) -> None:
        """Of the newest; a peer that keeps answering gets the one that was begun to its end."""
        self.way, self.probed, self.offset = ProgressState.SNAPSHOT, False, 0
        self.out.clear()
        self.next = self.match_index + 1
        if self.snapshot is not self.state.log.snapshot:
            self.snapshot = self.state.log.snapshot
            self.digest = digest(self.snapshot.state)
        self.piece()

    def piece(self) -> None:
        state, snap = self.state, self.snapshot
        data = snap.state[self.offset : self.offset + (0 if self.silent else state.settings["piece"])]
        self.piece_at = state.now
        state.send(
            self.who,
            InstallSnapshot(
                state.term,
                snap.index,
                snap.term,
                snap.members,
                len(snap.state),
                self.digest,
                self.offset,
                data,
            ),
        )

    def pieced(self, word: InstallSnapshotResponse) -> None:
        """It goes on from where the peer is; an answer that comes twice sends nothing twice."""
        self.heard = self.state.now
        if self.way is not ProgressState.SNAPSHOT or word.last_included_index != self.snapshot.index:
            return
        if word.offset > self.offset or self.again:
            self.offset, self.again = word.offset, False
            if self.offset < len(self.snapshot.state):
                self.piece()
