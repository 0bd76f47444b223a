"""Tracks, at the leader, how far another member's log matches, and sends it what it lacks.  No I/O.

Each member has its own instance, so a slow member delays no other.  The data in flight to it is limited to
`inflight` messages of `append_most` bytes, or one snapshot chunk.
"""

from __future__ import annotations

import enum
from collections import deque

from ...encoding.rows import digest
from ..types import LogEntry, MemberId
from .interfaces import Snapshot
from .messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from .state import RaftState


class ProgressState(enum.Enum):
    """Enumerates the ways in which entries are sent to a member."""

    PROBE = "probing"  # the matching index is unknown: one message at a time
    REPLICATE = "streaming"  # messages are sent without waiting for responses
    SNAPSHOT = "snapshot"  # the missing entries were discarded: one snapshot chunk at a time


class Progress:
    """Holds the replication state of one member, and sends it entries or a snapshot."""

    def __init__(self, state: RaftState, member: MemberId) -> None:
        self.state = state
        self.member = member
        self.match_index = 0
        self.next_index = state.log.last_index + 1
        self.mode = ProgressState.PROBE
        self.is_probe_sent = False
        self.in_flight: deque[int] = deque()  # index of the last entry of each message in flight
        # As if the member had just responded, so a new leader has an election timeout to reach a majority.
        self.last_response_at = state.now
        self.snapshot: Snapshot | None = None
        self.offset = 0
        self.chunk_sent_at = 0
        self.is_chunk_resent = False  # if so, the next response is valid whatever its offset
        self.digest = b""
        # Catch-up round (dissertation, 4.2.1): where the log ended when the round began, and when it began.
        self.round_target = state.log.last_index
        self.round_started_at = state.now
        self.has_caught_up = False

    @property
    def is_silent(self) -> bool:
        """Returns whether the member has not responded for an election timeout."""
        return self.state.now - self.last_response_at >= self.state.settings["election"]

    # ---- sending -----------------------------------------------------------------------------------

    def send_entries(self, read_round: int) -> None:
        """Sends entries that the member lacks, up to the limit of messages in flight."""
        state = self.state
        log = state.log
        if self.mode is ProgressState.SNAPSHOT or (self.mode is ProgressState.PROBE and self.is_probe_sent):
            return
        while self.next_index <= log.last_index and len(self.in_flight) < state.settings["inflight"]:
            if self.next_index <= log.base_index:
                self._start_snapshot()
                return
            entries = log.entries_up_to_size(self.next_index, state.settings["append_most"])
            self._send_append(entries, read_round)
            if self.mode is ProgressState.PROBE:
                self.is_probe_sent = True
                return
            self.next_index += len(entries)
            self.in_flight.append(self.next_index - 1)

    def send_heartbeat(self, read_round: int) -> None:
        """Sends a heartbeat; the response reveals whether the member has lost messages."""
        if self.mode is ProgressState.SNAPSHOT:
            self._resend_chunk_if_overdue()
            self.state.send(
                self.member, AppendEntries(self.state.term, 0, 0, 0, (), read_round, self.state.now)
            )
            return
        if self.next_index <= self.state.log.base_index:
            self._start_snapshot()
            return
        self.is_probe_sent = self.is_silent and self.mode is ProgressState.PROBE
        sent_before = len(self.state.outputs)
        if self.mode is ProgressState.PROBE:
            self.send_entries(read_round)
        if len(self.state.outputs) == sent_before:
            self._send_append((), read_round)

    def _resend_chunk_if_overdue(self) -> None:
        """Resends the current chunk if its response is overdue.

        For a silent member it restarts with the latest snapshot, and sends empty chunks as small probes.
        """
        if self.is_silent and (self.offset or self.snapshot is not self.state.log.snapshot):
            self._start_snapshot()
        elif self.state.now - self.chunk_sent_at >= self.state.settings["election"]:
            self.is_chunk_resent = True
            self._send_chunk()

    def _send_append(self, entries: tuple[LogEntry, ...], read_round: int) -> None:
        state = self.state
        prev_log_index = self.next_index - 1
        prev_log_term = state.log.term(prev_log_index)
        message = AppendEntries(
            state.term, prev_log_index, prev_log_term, state.commit_index, entries, read_round, state.now
        )
        state.send(self.member, message)

    # ---- responses ---------------------------------------------------------------------------------

    def handle_append_response(self, response: AppendEntriesResponse) -> bool:
        """Handles a response; returns whether the member's match index has increased."""
        self.last_response_at = self.state.now
        if not response.success:
            self._step_back(response)
            return False
        has_advanced = response.match_index > self.match_index
        if has_advanced:
            self.match_index = response.match_index
            while self.in_flight and self.in_flight[0] <= self.match_index:
                self.in_flight.popleft()
        if self.mode is ProgressState.SNAPSHOT:
            if self.match_index >= self.snapshot.index:
                self._replicate()
        elif self.mode is ProgressState.PROBE and (
            has_advanced or response.match_index >= self.next_index - 1
        ):
            self._replicate()
        self.next_index = max(self.next_index, self.match_index + 1)
        self._update_catch_up()
        return has_advanced

    def _replicate(self) -> None:
        self.mode = ProgressState.REPLICATE
        self.is_probe_sent = False
        self.snapshot = None
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight.clear()

    def _step_back(self, response: AppendEntriesResponse) -> None:
        """Moves the next index back to where both logs may match, after a rejection at `prev_log_index`.

        This is the search by terms of Ongaro and Ousterhout 2014, 5.3, using the terms of both logs.
        """
        if self.mode is ProgressState.SNAPSHOT or response.prev_log_index <= self.match_index:
            return
        if self.mode is ProgressState.PROBE and response.prev_log_index != self.next_index - 1:
            return  # the response to an earlier message
        limit = min(response.match_index, response.prev_log_index - 1)
        last_possible, _ = self.state.log.conflict_hint(limit, response.conflict_term)
        self.next_index = max(self.match_index, last_possible) + 1
        self.mode = ProgressState.PROBE
        self.is_probe_sent = False
        self.in_flight.clear()

    def _update_catch_up(self) -> None:
        """Records that the member has caught up, once a catch-up round took less than an election timeout."""
        state = self.state
        if not self.has_caught_up and self.match_index >= self.round_target:
            self.has_caught_up = state.now - self.round_started_at < state.settings["election"]
            self.round_target = state.log.last_index
            self.round_started_at = state.now

    # ---- snapshots ---------------------------------------------------------------------------------

    def _start_snapshot(self) -> None:
        """Starts to send the latest snapshot from its first byte.

        A member that keeps responding completes this one, even if a later one is taken meanwhile.
        """
        self.mode = ProgressState.SNAPSHOT
        self.is_probe_sent = False
        self.offset = 0
        self.in_flight.clear()
        self.next_index = self.match_index + 1
        if self.snapshot is not self.state.log.snapshot:
            self.snapshot = self.state.log.snapshot
            self.digest = digest(self.snapshot.state)
        self._send_chunk()

    def _send_chunk(self) -> None:
        state = self.state
        snapshot = self.snapshot
        size = 0 if self.is_silent else state.settings["piece"]
        data = snapshot.state[self.offset : self.offset + size]
        self.chunk_sent_at = state.now
        message = InstallSnapshot(
            state.term,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            len(snapshot.state),
            self.digest,
            self.offset,
            data,
        )
        state.send(self.member, message)

    def handle_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        """Sends the next chunk; a duplicated response does not cause a second one."""
        self.last_response_at = self.state.now
        is_current = self.mode is ProgressState.SNAPSHOT
        if not is_current or response.last_included_index != self.snapshot.index:
            return
        if response.offset > self.offset or self.is_chunk_resent:
            self.offset = response.offset
            self.is_chunk_resent = False
            if self.offset < len(self.snapshot.state):
                self._send_chunk()
