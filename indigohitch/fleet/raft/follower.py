"""Handles a leader's messages at a follower: entries, heartbeats and snapshot chunks.  No I/O.

See Ongaro and Ousterhout 2014, 5.3 and 7.
"""

from __future__ import annotations

from ...encoding.rows import digest
from ...net.clock import SECOND
from ..types import LogEntry, MemberId
from .interfaces import Snapshot
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from .state import RaftState, Role

# The minimum delay is taken over the current and the previous window.  Clocks whose rates differ by 0.1%
# drift apart by 20 ms in two windows, which is small against an election timeout.
MIN_DELAY_WINDOW = 10 * SECOND
_NO_DELAY_YET = 1 << 62


class DelayMonitor:
    """Measures by how much a leader's messages are delayed beyond the fastest recent one.

    The clocks of leader and follower need not agree: only differences of delays count, over a time in which
    the drift of the clocks is small.
    """

    def __init__(self, max_extra_delay: int) -> None:
        self.max_extra_delay = max_extra_delay
        self.reset(0)

    def reset(self, now: int) -> None:
        """Forgets the delays of the previous leader."""
        self.window_end = now + MIN_DELAY_WINDOW
        self.min_delay = _NO_DELAY_YET
        self.previous_min_delay = _NO_DELAY_YET

    def is_late(self, now: int, sent_at: int) -> bool:
        """Returns whether a message is too late to be a sign of life; `sent_at` is by the leader's clock.

        Over a link that passes only a few bytes at a time, heartbeats still arrive, each later than the one
        before, while the leader's entries arrive too late to be of use.
        """
        if not sent_at:
            return False
        if now >= self.window_end:
            self.window_end = now + MIN_DELAY_WINDOW
            self.previous_min_delay = self.min_delay
            self.min_delay = _NO_DELAY_YET
        delay = now - sent_at
        self.min_delay = min(self.min_delay, delay)
        return delay - min(self.min_delay, self.previous_min_delay) > self.max_extra_delay


class Follower:
    """Handles the messages of the current term's leader."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.agreed_index = 0  # up to here the log equals that of the leader of `agreed_term`
        self.agreed_term = 0
        self.read_round = 0  # the latest read round of that leader
        self.is_response_pending = False  # a response waits until the hard state is on the disk
        self.acknowledged_index = 0  # acknowledged in this term
        self.echoed_round = 0  # the last read round that was echoed in this term
        self.incoming_snapshot: tuple[int, int, bytes] | None = None  # index, term, digest
        self.received_chunks = bytearray()  # the first bytes of that snapshot
        self.delay_monitor = DelayMonitor(state.settings["election"])

    def _accept_leader(self, sender: MemberId, message: AppendEntries | InstallSnapshot) -> bool:
        """Returns whether the sender leads the current term.

        If so, it restarts the election timer, unless the message is late by the delay monitor.  Raises
        ValueError for a second leader in a term.
        """
        state = self.state
        if message.term < state.term:
            if not state.durable.failed:
                state.send(sender, AppendEntriesResponse(state.term, False, 0))
            return False
        if message.term > state.term:
            state.save_hard_state(message.term, None)
            state.change_role(Role.FOLLOWER, sender)
        if state.role is Role.LEADER:
            raise ValueError(f"two leaders in term {message.term}: this member and {sender.name}")
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
        """Appends a leader's entries, or rejects them if they do not match the log.

        Raises ValueError for a second leader in a term.
        """
        if not self._accept_leader(sender, message):
            return
        state = self.state
        log = state.log
        self.read_round = max(self.read_round, message.read_round)
        index = message.prev_log_index
        entries = message.entries
        if index < log.base_index:  # entries up to the base are committed, hence equal to the leader's
            entries = entries[log.base_index - index :]
            index = min(index + len(message.entries), log.base_index)
        elif log.term(index) != message.prev_log_term:
            self._reject_entries(sender, message)
            return
        new_entries = self._append_new(entries)
        self.agreed_index = max(self.agreed_index, index + len(entries))
        if self.incoming_snapshot and self.agreed_index >= self.incoming_snapshot[0]:
            self._discard_chunks()
        state.advance_commit_index(min(message.leader_commit, self.agreed_index))
        # New entries are acknowledged once they are written; the echo of a read round does not wait for that.
        if not new_entries or self.read_round > self.echoed_round:
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

    def _append_new(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Appends the entries that the log lacks, in place of conflicting ones, and returns them."""
        log = self.state.log
        known_count = 0
        for entry in entries:
            if log.term(entry.index) != entry.term:
                break
            known_count += 1
        new_entries = entries[known_count:]
        if new_entries:
            first = new_entries[0].index
            self.state.append_entries(first if first <= log.last_index else 0, new_entries)
        return new_entries

    def _acknowledge(self) -> None:
        """Acknowledges the entries up to `match_index`, once the hard state is on the disk."""
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
        """Returns the index up to which entries are on the disk and equal the leader's."""
        return min(max(self.agreed_index, self.state.commit_index), self.state.durable.match_index)

    def on_write_completed(self) -> None:
        """Sends an acknowledgement that a completed write has made possible."""
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

    def _discard_chunks(self) -> None:
        self.incoming_snapshot = None
        self.received_chunks = bytearray()

    def handle_install_snapshot(self, sender: MemberId, message: InstallSnapshot) -> None:
        """Collects chunks in order, of one snapshot at a time, and installs the snapshot when it is complete.

        The response contains the offset of the next chunk, so that an interrupted transfer can resume there.
        Raises ValueError for a second leader in a term.
        """
        if not self._accept_leader(sender, message):
            return
        state = self.state
        index = message.last_included_index
        if index <= state.commit_index or state.log.term(index) == message.last_included_term:
            self._discard_chunks()
            self.agreed_index = max(self.agreed_index, index)
            state.advance_commit_index(index)
            self._acknowledge()
            return
        if state.durable.failed:
            return
        snapshot = (index, message.last_included_term, message.digest)
        if snapshot != self.incoming_snapshot:
            self.incoming_snapshot = snapshot
            self.received_chunks = bytearray()
        if message.offset == len(self.received_chunks):
            self.received_chunks += message.data
        if len(self.received_chunks) >= message.total and self._install(sender, message):
            return  # the snapshot is acknowledged once it is on the disk
        state.send(sender, InstallSnapshotResponse(state.term, index, len(self.received_chunks)))

    def _install(self, sender: MemberId, message: InstallSnapshot) -> bool:
        """Installs a completely received snapshot; returns False if its digest does not match."""
        encoded = bytes(self.received_chunks)
        self._discard_chunks()
        index = message.last_included_index
        if digest(encoded) != message.digest:
            self.state.log_event("snapshot_spoilt", index=index, sender=sender.name)
            return False
        snapshot = Snapshot(index, message.last_included_term, message.members, encoded)
        self.state.install_snapshot(snapshot)
        self.agreed_index = max(self.agreed_index, index)
        return True
