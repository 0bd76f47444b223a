"""What a follower does with a leader's words: entries, beats, pieces of a snapshot.  No I/O.

Ongaro and Ousterhout 2014, 5.3 and 7."""

from __future__ import annotations

from ...encoding.rows import digest
from ...net.clock import SECOND
from ..types import MemberId
from .interfaces import Snapshot
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from .state import RaftState, Role

# How long the quickest way of a word from a leader is remembered.  Clocks that differ by a thousandth part by
# 20 ms in twice that, which is little against an election's time.
MIN_DELAY_WINDOW = 10 * SECOND


class DelayMonitor:
    """By how much a leader's words come later than its quickest did.  Two clocks are compared by differences
    alone, over a time in which their drift is small."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.begin(0)

    def begin(self, now: int) -> None:
        """Of another leader."""
        self.until = now + MIN_DELAY_WINDOW
        self.least = self.before = 1 << 62

    def late(self, now: int, at: int) -> bool:
        """Whether a word sent at `at`, by the leader's clock, came too late to tell that the leader is there:
        over a link that trickles its beats come on, each later than the one before, and what it proposes is
        as good as lost."""
        if not at:
            return False
        if now >= self.until:
            self.until, self.before, self.least = now + MIN_DELAY_WINDOW, self.least, 1 << 62
        self.least = min(self.least, now - at)
        return now - at - min(self.least, self.before) > self.bound


class Follower:
    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.agreed = 0  # up to here the log is as this term's leader has it
        self.agreed_in = 0  # that term
        self.read_round = 0  # of the last word of that leader
        self.owed = False  # an answer waits for the ballot to be written
        self.told = 0  # up to where it was acknowledged in this term
        self.echoed = 0  # the last round that was echoed in it
        self.coming: tuple | None = None  # the snapshot whose pieces come: index, term, digest
        self.pieces = bytearray()
        self.lateness = DelayMonitor(state.settings["election"])

    def led_by(self, sender: MemberId, word: AppendEntries | InstallSnapshot) -> bool:
        """Whether the word is of this term's leader."""
        state = self.state
        if word.term < state.term:
            if not state.durable.failed:
                state.send(sender, AppendEntriesResponse(state.term, False, 0))
            return False
        if word.term > state.term:
            state.vote(word.term, None)
            state.be(Role.FOLLOWER, sender)
        if state.role is Role.LEADER:
            raise ValueError(f"two leaders in term {word.term}: {sender.name} too")
        if self.agreed_in != word.term:
            self.agreed, self.agreed_in, self.read_round = 0, word.term, 0
            self.owed, self.told, self.echoed = False, 0, 0
            self.lateness.begin(state.now)
        state.be(Role.FOLLOWER, sender)
        if isinstance(word, InstallSnapshot) or not self.lateness.late(state.now, word.sent_at):
            state.heard = state.now
            state.wait_anew()
        return True

    def heard_append(self, sender: MemberId, word: AppendEntries) -> None:
        if not self.led_by(sender, word):
            return
        state, log = self.state, self.state.log
        self.read_round = max(self.read_round, word.read_round)
        index, entries = word.prev_log_index, word.entries
        if index < log.base:  # what stands there was committed: it is the same
            entries = entries[log.base - index :]
            index = min(index + len(word.entries), log.base)
        elif log.term(index) != word.prev_log_term:
            if not state.durable.failed:
                at, term = log.hint(index, word.prev_log_term)
                state.send(sender, AppendEntriesResponse(state.term, False, at, index, term, word.read_round))
            return
        known = 0
        for entry in entries:
            if log.term(entry.index) != entry.term:
                break
            known += 1
        fresh = entries[known:]
        if fresh:
            first = fresh[0].index
            state.store(first if first <= log.last else 0, fresh)
        self.agreed = max(self.agreed, index + len(entries))
        if self.coming and self.agreed >= self.coming[0]:
            self.drop()
        state.commit_to(min(word.leader_commit, self.agreed))
        # New entries are answered once they are written; a round of reads doesn't wait for the disk.
        if not fresh or self.read_round > self.echoed:
            self.answer()

    def answer(self) -> None:
        """What is on the disk and as the leader has it; nothing before the ballot is there."""
        state = self.state
        self.owed = not state.durable.safe
        if not self.owed:
            self.told, self.echoed = self.match_index, self.read_round
            state.send(
                state.leader, AppendEntriesResponse(state.term, True, self.told, read_round=self.read_round)
            )

    @property
    def match_index(self) -> int:
        return min(max(self.agreed, self.state.commit_index), self.state.durable.match_index)

    def written(self) -> None:
        """More may be acknowledged than was, or something at last."""
        state = self.state
        if (
            state.role is Role.FOLLOWER
            and state.leader is not None
            and state.durable.safe
            and self.agreed_in == state.term
            and (self.owed or self.match_index > self.told)
        ):
            self.answer()

    # ---- a snapshot in pieces ----------------------------------------------------------------------

    def drop(self) -> None:
        self.coming, self.pieces = None, bytearray()

    def heard_piece(self, sender: MemberId, word: InstallSnapshot) -> None:
        """Pieces are taken in order, one snapshot at a time; the answer says from where to go on, so that one
        that was broken off is gone on with."""
        if not self.led_by(sender, word):
            return
        state = self.state
        if (
            word.last_included_index <= state.commit_index
            or state.log.term(word.last_included_index) == word.last_included_term
        ):
            self.drop()
            self.agreed = max(self.agreed, word.last_included_index)
            state.commit_to(word.last_included_index)
            self.answer()
            return
        if state.durable.failed:
            return
        of = (word.last_included_index, word.last_included_term, word.digest)
        if of != self.coming:
            self.coming, self.pieces = of, bytearray()
        if word.offset == len(self.pieces):
            self.pieces += word.data
        if len(self.pieces) >= word.total:
            state_bytes = bytes(self.pieces)
            self.drop()
            if digest(state_bytes) == word.digest:
                state.install(
                    Snapshot(word.last_included_index, word.last_included_term, word.members, state_bytes)
                )
                self.agreed = max(self.agreed, word.last_included_index)
                return  # answered once it is written
            state.note("snapshot_spoilt", index=word.last_included_index, sender=sender.name)
        state.send(sender, InstallSnapshotResponse(state.term, word.last_included_index, len(self.pieces)))
