"""A follower's handling of a leader's messages: entries, heartbeats, chunks of a snapshot.  No I/O.

By Ongaro and Ousterhout 2014, 5.3 and 7.
"""

from __future__ import annotations

from ...encoding.rows import digest
from ...net.clock import SECOND
from ..types import LogEntry, MemberId
from .interfaces import Snapshot
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from .state import RaftState, Role

# How long the smallest delay of a leader's messages is remembered.  Clocks that differ by a thousandth drift
# by 20 ms in twice that, which is little against an election timeout.
MIN_DELAY_WINDOW = 10 * SECOND
_NO_DELAY_YET = 1 << 62


class DelayMonitor:
    """By how much a leader's messages take longer than its fastest one did.

    Two clocks are compared by differences alone, over a time in which their drift is small.
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.reset(0)

    def reset(self, now: int) -> None:
        """Starts again for another leader."""
        self.window_end = now + MIN_DELAY_WINDOW
        self.min_delay = _NO_DELAY_YET
        self.previous_min_delay = _NO_DELAY_YET

    def is_late(self, now: int, sent_at: int) -> bool:
        """Whether a message took too long to show that the leader is alive; `sent_at` is by its clock.

        Over a link that passes a few bytes at a time heartbeats still come, each later than the one before,
        and what the leader proposes is as good as lost.
        """
        if not sent_at:
            return False
        if now >= self.window_end:
            self.window_end = now + MIN_DELAY_WINDOW
            self.previous_min_delay = self.min_delay
            self.min_delay = _NO_DELAY_YET
        delay = now - sent_at
        self.min_delay = min(self.min_delay, delay)
        return delay - min(self.min_delay, self.previous_min_delay) > self.bound


class Follower:
    """What a member does with the messages of its term's leader."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.agreed_index = 0  # up to here the log equals that of this term's leader
        self.agreed_term = 0  # that term
        self.read_round = 0  # of the last message of that leader
        self.is_response_pending = False  # a response waits for the hard state to be written
        self.acknowledged_index = 0  # in this term
        self.echoed_round = 0  # the last round of reads that was echoed in this term
        self.incoming: tuple[int, int, bytes] | None = None  # a snapshot: index, term, digest
        self.chunks = bytearray()  # what has come of it
        self.delay_monitor = DelayMonitor(state.settings["election"])

    def _accept_leader(self, sender: MemberId, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether the message is of this term's leader; raises ValueError for a second one in a term."""
        state = self.state
        if message.term < state.term:
            if not state.durable.failed:
                state.send(sender, AppendEntriesResponse(state.term, False, 0))
            return False
        if message.term > state.term:
            state.save_hard_state(message.term, None)
            state.change_role(Role.FOLLOWER, sender)
        if state.role is Role.LEADER:
            raise ValueError(f"two leaders in term {message.term}: {sender.name} too")
        if self.agreed_term != message.term:
            self._start_term(message.term)
        state.change_role(Role.FOLLOWER, sender)
        if isinstance(message, InstallSnapshot) or not self.delay_monitor.is_late(state.now, message.sent_at):
            state.leader_seen_at = state.now
            state.reset_election_timer()
        return True

    def _start_term(self, term: int) -> None:
        self.agreed_index = 0
        self.agreed_term = term
        self.read_round = 0
        self.is_response_pending = False
        self.acknowledged_index = 0
        self.echoed_round = 0
        self.delay_monitor.reset(self.state.now)

    def handle_append_entries(self, sender: MemberId, message: AppendEntries) -> None:
        """Appends a leader's entries, or asks for earlier ones; raises ValueError for a second leader."""
        if not self._accept_leader(sender, message):
            return
        state = self.state
        log = state.log
        self.read_round = max(self.read_round, message.read_round)
        index = message.prev_log_index
        entries = message.entries
        if index < log.base:  # what is there was committed: it is the same
            entries = entries[log.base - index :]
            index = min(index + len(message.entries), log.base)
        elif log.term(index) != message.prev_log_term:
            self._reject_entries(sender, message)
            return
        fresh = self._append_fresh(entries)
        self.agreed_index = max(self.agreed_index, index + len(entries))
        if self.incoming and self.agreed_index >= self.incoming[0]:
            self._drop_chunks()
        state.advance_commit_index(min(message.leader_commit, self.agreed_index))
        # New entries are acknowledged once they are written; a round of reads does not wait for the disk.
        if not fresh or self.read_round > self.echoed_round:
            self._acknowledge()

    def _reject_entries(self, sender: MemberId, message: AppendEntries) -> None:
        state = self.state
        if state.durable.failed:
            return
        index = message.prev_log_index
        last_possible, term = state.log.conflict_hint(index, message.prev_log_term)
        state.send(
            sender, AppendEntriesResponse(state.term, False, last_possible, index, term, message.read_round)
        )

    def _append_fresh(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Appends the entries that are not in the log, in place of those that differ, and returns them."""
        log = self.state.log
        known = 0
        for entry in entries:
            if log.term(entry.index) != entry.term:
                break
            known += 1
        fresh = entries[known:]
        if fresh:
            first = fresh[0].index
            self.state.append_entries(first if first <= log.last else 0, fresh)
        return fresh

    def _acknowledge(self) -> None:
        """Acknowledges what is on the disk and equals the leader's log, once the hard state is written."""
        state = self.state
        self.is_response_pending = not state.durable.is_hard_state_durable
        if self.is_response_pending:
            return
        self.acknowledged_index = self.match_index
        self.echoed_round = self.read_round
        response = AppendEntriesResponse(
            state.term, True, self.acknowledged_index, read_round=self.read_round
        )
        state.send(state.leader, response)

    @property
    def match_index(self) -> int:
        """Entries up to here are on the disk and equal the leader's log."""
        return min(max(self.agreed_index, self.state.commit_index), self.state.durable.match_index)

    def on_write_completed(self) -> None:
        """Acknowledges what could not be acknowledged before."""
        state = self.state
        if (
            state.role is Role.FOLLOWER
            and state.leader is not None
            and state.durable.is_hard_state_durable
            and self.agreed_term == state.term
            and (self.is_response_pending or self.match_index > self.acknowledged_index)
        ):
            self._acknowledge()

    # ---- snapshots ---------------------------------------------------------------------------------

    def _drop_chunks(self) -> None:
        self.incoming = None
        self.chunks = bytearray()

    def handle_install_snapshot(self, sender: MemberId, message: InstallSnapshot) -> None:
        """Takes chunks in order, one snapshot at a time, and installs a snapshot that is complete.

        The response has the offset to go on from, so that a transfer that broke off is resumed.  Raises
        ValueError for a second leader in a term.
        """
        if not self._accept_leader(sender, message):
            return
        state = self.state
        index = message.last_included_index
        if index <= state.commit_index or state.log.term(index) == message.last_included_term:
            self._drop_chunks()
            self.agreed_index = max(self.agreed_index, index)
            state.advance_commit_index(index)
            self._acknowledge()
            return
        if state.durable.failed:
            return
        snapshot = (index, message.last_included_term, message.digest)
        if snapshot != self.incoming:
            self.incoming = snapshot
            self.chunks = bytearray()
        if message.offset == len(self.chunks):
            self.chunks += message.data
        if len(self.chunks) >= message.total and self._install(sender, message):
            return  # acknowledged once it is written
        state.send(sender, InstallSnapshotResponse(state.term, index, len(self.chunks)))

    def _install(self, sender: MemberId, message: InstallSnapshot) -> bool:
        """Installs the snapshot whose chunks are all here; returns False if its digest is wrong."""
        encoded = bytes(self.chunks)
        self._drop_chunks()
        index = message.last_included_index
        if digest(encoded) != message.digest:
            self.state.note("snapshot_spoilt", index=index, sender=sender.name)
            return False
        snapshot = Snapshot(index, message.last_included_term, message.members, encoded)
        self.state.install_snapshot(snapshot)
        self.agreed_index = max(self.agreed_index, index)
        return True
