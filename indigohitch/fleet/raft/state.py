"""The state that the parts of a Raft node share: term, role, log, configuration, commit index.  No I/O."""

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
    LogNote,
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
    """What a member is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # in a pre-vote
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftState:
    """The state of one member.

    `settings`: times `election` and `beat` in ticks; bytes `log_most` (of entries after a snapshot, before
    the next is taken), `append_most` (of a message) and `piece` (of a snapshot chunk); counts `inflight`
    (messages in flight to a member) and `proposals_most` (entries that are not committed).
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
        # The hard state is written before the entries of its term; one behind them was never acknowledged.
        self.hard_state = max(recovered.hard_state, HardState(self.log.last_term), key=lambda each: each.term)
        self.durable = DurabilityTracker(self.log.last)
        self.commit_index = recovered.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: MemberId | None = None
        self.announced = (self.role, self.hard_state.term, self.leader)
        self.leader_seen_at = now - 2 * settings["election"]
        self.election_due_at = 0
        self.is_snapshot_pending = False
        self.outputs: list[Output] = []
        self.reset_election_timer()

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    def reset_election_timer(self) -> None:
        """Waits an election timeout, up to twice as long at random, so that few stand at once (5.2)."""
        self.election_due_at = self.now + int(self.settings["election"] * (1 + self.random()))

    @property
    def has_live_leader(self) -> bool:
        """Whether this is a leader, or got a message of one within the shortest election timeout.

        No vote is granted then, and no request for one changes the term, so that a member that comes back
        does not unseat a leader (dissertation, 4.2.3).
        """
        return self.role is Role.LEADER or (
            self.leader is not None and self.now - self.leader_seen_at < self.settings["election"]
        )

    # ---- messages and writes -----------------------------------------------------------------------

    def send(self, to: MemberId, message: Row) -> None:
        """Sends a message."""
        self.outputs.append(SendMessage(to, message))

    def send_when_durable(self, to: MemberId, message: Row) -> None:
        """Sends a message once all writes so far are completed; never if the disk is failed."""
        durable = self.durable
        if durable.failed:
            return
        if durable.done >= durable.number:
            self.send(to, message)
        else:
            durable.promises.append((durable.number, SendMessage(to, message)))

    def note(self, event: str, **fields: object) -> None:
        """Puts out an event for the log."""
        self.outputs.append(LogNote(event, fields))

    def change_role(self, role: Role, leader: MemberId | None) -> None:
        """Sets the role and the known leader, and announces a change of them or of the term."""
        if (role, self.term, leader) != self.announced:
            self.role = role
            self.leader = leader
            self.announced = (role, self.term, leader)
            self.outputs.append(RoleChanged(role.value, self.term, leader))

    def save_hard_state(self, term: int, vote: MemberId | None) -> None:
        """Sets the term and the vote, and writes them."""
        self.hard_state = HardState(term, vote)
        self.outputs += self.durable.write(self.hard_state, 0, (), self.log.last)

    def append_entries(self, truncate_from: int, entries: tuple[LogEntry, ...]) -> None:
        """Appends entries to the log, after it was truncated from that index on (0: not), and writes them.

        Raises ValueError if a committed entry would be void, which must never be.
        """
        if truncate_from:
            if truncate_from <= self.commit_index:
                raise ValueError(f"entry {truncate_from} was committed and is to be void")
            self.log.truncate(truncate_from)
            self.configuration.truncate(truncate_from)
        self.log.append(entries)
        self.configuration.append(entries)
        self.outputs += self.durable.write(None, truncate_from, entries, self.log.last)

    def advance_commit_index(self, index: int) -> None:
        """Commits the entries up to `index`."""
        if index <= self.commit_index:
            return
        self.outputs.append(ApplyEntries(self.log.between(self.commit_index + 1, index)))
        self.commit_index = index
        self.compact()

    # ---- snapshots ---------------------------------------------------------------------------------

    def compact(self) -> None:
        """Takes a snapshot if the log has grown, so that memory and disk are bounded."""
        if (
            self.log.grown > self.settings["log_most"]
            and self.commit_index > self.log.snapshot.index
            and not (self.is_snapshot_pending or self.durable.failed or self.durable.installing)
        ):
            self.is_snapshot_pending = True
            index = self.commit_index
            term = self.log.term(index)
            self.outputs.append(TakeSnapshot(index, term, self.configuration.members_at(index)))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces a log that is behind the leader's snapshot."""
        self.log.replace(snapshot)
        self.configuration.replace(snapshot.index, snapshot.members)
        self.commit_index = snapshot.index
        self.is_snapshot_pending = False
        self.durable.start_install(snapshot.index)
        if not self.durable.failed:
            self.outputs.append(RestoreSnapshot(snapshot))

    def on_snapshot_written(self, snapshot: Snapshot) -> None:
        """Discards the log that the snapshot covers."""
        self.durable.on_snapshot_written(snapshot.index)
        if snapshot.index > self.log.snapshot.index:
            self.is_snapshot_pending = False
            self.log.compact(snapshot, self.settings["log_most"] // 2)
            self.configuration.discard_before(self.log.base)
            self.compact()

    def on_storage_recovered(self) -> None:
        """Writes again all that is not known to be on the disk."""
        if not self.durable.failed:
            return
        self.durable.failed = False
        self.is_snapshot_pending = False
        if self.durable.installing:
            self.outputs.append(RestoreSnapshot(self.log.snapshot))
        first = max(self.durable.stable, self.log.snapshot.index if self.durable.installing else 0) + 1
        last = self.log.last
        self.outputs += self.durable.write(self.hard_state, first, self.log.between(first, last), last)
        self.compact()
