"""Holds the state that the parts of a Raft node share, such as term, role, log and commit index.  No I/O."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping

from ...encoding.rows import Row
from ..types import LogEntry, MemberId
from .configuration import Configuration
from .durability import DurabilityTracker
from .interfaces import (
    ApplyEntries,
    HardState,
    LogEvent,
    Output,
    RecoveredState,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
    Snapshot,
    TakeSnapshot,
)
from .log import Log


class Role(enum.Enum):
    """Enumerates the roles of a member in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # has started a pre-vote
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftState:
    """Holds the Raft state of one member.

    Settings in ticks: `election` (the shortest election timeout) and `beat` (the heartbeat interval).  In
    bytes: `log_most` (entries after a snapshot until the next one is taken), `append_most` (entries of one
    message) and `piece` (a snapshot chunk).  Counts: `inflight` (messages in flight to a member) and
    `proposals_most` (uncommitted entries, and also waiting reads).
    """

    def __init__(
        self,
        member_id: MemberId,
        recovered: RecoveredState,
        settings: Mapping[str, int],
        random: Callable[[], float],
        now: int,
    ) -> None:
        self.member_id = member_id
        self.settings = settings
        self.random = random
        self.now = now
        self.log = Log(recovered.snapshot, recovered.entries)
        self.configuration = Configuration(recovered.snapshot.index, recovered.snapshot.members)
        self.configuration.append(recovered.entries)
        # The hard state is written before the entries of its term.  If it is nevertheless behind the log,
        # the write of the newer one was never acknowledged, so no vote of that term has left this member.
        self.hard_state = max(recovered.hard_state, HardState(self.log.last_term), key=lambda each: each.term)
        self.durable = DurabilityTracker(self.log.last_index)
        self.commit_index = recovered.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: MemberId | None = None
        self.last_announced = (self.role, self.hard_state.term, self.leader)
        self.leader_seen_at = now - 2 * settings["election"]
        self.election_due_at = 0
        self.is_snapshot_pending = False
        self.outputs: list[Output] = []
        self.reset_election_timer()

    @property
    def term(self) -> int:
        """Returns the current term."""
        return self.hard_state.term

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a random timeout of one to two times `election`.

        The randomness makes simultaneous candidates rare (Ongaro and Ousterhout 2014, 5.2).
        """
        self.election_due_at = self.now + int(self.settings["election"] * (1 + self.random()))

    @property
    def has_live_leader(self) -> bool:
        """Returns whether this member leads, or received from a leader within the shortest election timeout.

        If so, it grants no vote and a vote request does not change its term, so that a member that rejoins
        does not depose the leader (dissertation, 4.2.3).
        """
        return self.role is Role.LEADER or (
            self.leader is not None and self.now - self.leader_seen_at < self.settings["election"]
        )

    # ---- messages and writes -----------------------------------------------------------------------

    def send(self, to: MemberId, message: Row) -> None:
        """Puts out a message at once."""
        self.outputs.append(SendMessage(to, message))

    def send_when_durable(self, to: MemberId, message: Row) -> None:
        """Sends a message once all writes so far are completed; drops it if the disk has failed."""
        durable = self.durable
        if durable.failed:
            return
        if durable.completed_write >= durable.last_write:
            self.send(to, message)
        else:
            durable.deferred_messages.append((durable.last_write, SendMessage(to, message)))

    def log_event(self, event: str, **fields: object) -> None:
        """Puts out an event for the operational log."""
        self.outputs.append(LogEvent(event, fields))

    def change_role(self, role: Role, leader: MemberId | None) -> None:
        """Sets the role and the known leader; puts out `RoleChanged` if these or the term have changed."""
        if (role, self.term, leader) != self.last_announced:
            self.role = role
            self.leader = leader
            self.last_announced = (role, self.term, leader)
            self.outputs.append(RoleChanged(role.value, self.term, leader))

    def save_hard_state(self, term: int, vote: MemberId | None) -> None:
        """Sets the term and the vote, and writes them."""
        self.hard_state = HardState(term, vote)
        self.outputs += self.durable.write(self.hard_state, 0, (), self.log.last_index)

    def append_entries(self, truncate_from: int, entries: tuple[LogEntry, ...]) -> None:
        """Truncates the log from that index on (0: not at all), appends entries and writes the change.

        Raises ValueError if this would remove a committed entry, which violates Raft's safety.
        """
        if truncate_from:
            if truncate_from <= self.commit_index:
                raise ValueError(f"entry {truncate_from} is committed and cannot be truncated")
            self.log.truncate(truncate_from)
            self.configuration.truncate(truncate_from)
        self.log.append(entries)
        self.configuration.append(entries)
        self.outputs += self.durable.write(None, truncate_from, entries, self.log.last_index)

    def advance_commit_index(self, index: int) -> None:
        """Commits the entries up to `index`."""
        if index <= self.commit_index:
            return
        self.outputs.append(ApplyEntries(self.log.entries_between(self.commit_index + 1, index)))
        self.commit_index = index
        self.compact()

    # ---- snapshots ---------------------------------------------------------------------------------

    def compact(self) -> None:
        """Requests a snapshot if the log exceeds `log_most`, which bounds memory and disk."""
        if (
            self.log.bytes_since_snapshot > self.settings["log_most"]
            and self.commit_index > self.log.snapshot.index
            and not (self.is_snapshot_pending or self.durable.failed or self.durable.installing)
        ):
            self.is_snapshot_pending = True
            index = self.commit_index
            term = self.log.term(index)
            self.outputs.append(TakeSnapshot(index, term, self.configuration.members_at(index)))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log, which is behind the leader's snapshot, by that snapshot."""
        self.log.replace(snapshot)
        self.configuration.replace(snapshot.index, snapshot.members)
        self.commit_index = snapshot.index
        self.is_snapshot_pending = False
        self.durable.start_install(snapshot.index)
        if not self.durable.failed:
            self.outputs.append(RestoreSnapshot(snapshot))

    def on_snapshot_written(self, snapshot: Snapshot) -> None:
        """Discards the part of the log that a snapshot on the disk covers."""
        self.durable.on_snapshot_written(snapshot.index)
        if snapshot.index > self.log.snapshot.index:
            self.is_snapshot_pending = False
            self.log.compact(snapshot, self.settings["log_most"] // 2)
            self.configuration.discard_before(self.log.base_index)
            self.compact()

    def on_storage_recovered(self) -> None:
        """Rewrites everything that is not known to be on the disk."""
        if not self.durable.failed:
            return
        self.durable.failed = False
        self.is_snapshot_pending = False
        if self.durable.installing:
            self.outputs.append(RestoreSnapshot(self.log.snapshot))
        first = max(self.durable.stable_index, self.log.snapshot.index if self.durable.installing else 0) + 1
        last = self.log.last_index
        self.outputs += self.durable.write(
            self.hard_state, first, self.log.entries_between(first, last), last
        )
        self.compact()
