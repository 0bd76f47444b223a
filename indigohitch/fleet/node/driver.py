"""Connects the Raft node to its disk, its links, its timer and the replicated state machine.

Inputs are processed in order; those that arrive while outputs are being carried out are queued.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping

import msgspec

from ...encoding.rows import digest
from ...log import Log
from ...net.due_timer import DueTimer
from ...net.loop import EventLoop
from ..raft.interfaces import (
    ApplyEntries,
    Input,
    LogEvent,
    Members,
    Output,
    ProposalRejected,
    ReadConfirmed,
    RecoveredState,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
    Snapshot,
    TakeSnapshot,
    Tick,
    WriteEntries,
)
from ..raft.node import RaftNode
from ..state_machine import ReplicatedStateMachine
from ..storage.store import Storage
from ..transport.links import Transport
from ..types import LogEntry, MemberId, Outcome, Proposal

MAX_RECENT = 512  # entries that the control socket can show with their digests


class Driver:
    """Steps the Raft node of this member and carries out its outputs."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        disk: Storage,
        links: Transport,
        state_machine: ReplicatedStateMachine,
        settings: Mapping[str, int],
        uniform: Callable[[], float],
        on_broken: Callable[[BaseException], None],
    ) -> None:
        """Creates a driver without a Raft node.

        Args:
            loop: event loop of this process.
            log: log of this process.
            disk: storage of this member.
            links: transport of this member.
            state_machine: applies the committed entries.
            settings: settings of the Raft node.
            uniform: returns random numbers in [0, 1), for the election timeouts.
            on_broken: called with an error after which this member has to stop.
        """
        self.loop = loop
        self.log = log
        self.disk = disk
        self.links = links
        self.state_machine = state_machine
        self.settings = settings
        self.uniform = uniform
        self.on_broken = on_broken
        self.raft_node: RaftNode | None = None
        self.inputs: deque[Input] = deque()
        self.is_stepping = False
        self.timer = DueTimer(loop, self._due_at, lambda: self.step(Tick()))
        self.recent_entries: deque[tuple[LogEntry, bytes, Outcome]] = deque(
            maxlen=MAX_RECENT
        )  # entries without bodies, their digests, their outcomes
        self.on_applied: Callable[[LogEntry, Outcome], None] = lambda entry, outcome: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_rejected: Callable[[Proposal, int], None] = lambda proposal, retry_after: None
        self.on_read_result: Callable[[int, int, bool], None] = lambda number, index, ok: None
        self.on_role_changed: Callable[[RoleChanged], None] = lambda change: None

    def start(self, own_id: MemberId, recovered: RecoveredState) -> None:
        """Starts the Raft node; raises InvalidDataError for a snapshot that can't be read."""
        if recovered.snapshot.state:
            self.state_machine.restore(recovered.snapshot.state)
        self.raft_node = RaftNode(own_id, recovered, self.settings, self.uniform, self.loop.clock.now())
        self.on_restored()
        self.timer.arm()

    @property
    def members(self) -> Members:
        """The Raft configuration; empty while this member takes no part."""
        return self.raft_node.members if self.raft_node is not None else Members(())

    @property
    def leads(self) -> bool:
        """Whether this member is the leader."""
        return self.raft_node is not None and self.raft_node.role.value == "leader"

    @property
    def leader(self) -> MemberId | None:
        """The leader that this member knows of, if any."""
        return self.raft_node.leader if self.raft_node is not None else None

    @property
    def leader_name(self) -> str:
        """The name of the leader; "" if none is known."""
        return self.leader.name if self.leader is not None else ""

    @property
    def voter_names(self) -> tuple[str, ...]:
        """The names of the voters in the Raft configuration."""
        return tuple(member.name for member in self.members.voters)

    # ---- inputs and outputs --------------------------------------------------------------------------------

    def step(self, event: Input) -> None:
        """Processes an input, or queues it while another one is being processed."""
        if self.raft_node is None:
            return
        self.inputs.append(event)
        if self.is_stepping:
            return
        self.is_stepping = True
        try:
            while self.inputs and self.raft_node is not None:
                for output in self.raft_node.step(self.loop.clock.now(), self.inputs.popleft()):
                    self._carry_out(output)
        except Exception as error:  # after any error, going on could break a vote or an acknowledgement
            self.end()
            self.on_broken(error)
        finally:
            self.is_stepping = False
        self.timer.arm()

    def _carry_out(self, output: Output) -> None:
        match output:
            case SendMessage(to, message):
                self.links.send(to, message)
            case WriteEntries():
                self.disk.write(output)
            case ApplyEntries(entries):
                self._apply_all(entries)
            case RestoreSnapshot(snapshot):
                self._restore(snapshot)
            case TakeSnapshot(index, term, members):
                self.disk.snapshot(Snapshot(index, term, members, self.state_machine.snapshot()), True)
            case ProposalRejected(proposal, retry_after):
                self.on_rejected(proposal, retry_after)
            case ReadConfirmed(number, index, ok):
                self.on_read_result(number, index, ok)
            case RoleChanged():
                self._change_role(output)
            case LogEvent(event, fields):
                self.log.event(event, **fields)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.index > self.state_machine.index:  # otherwise it is a repetition after a disk failure
            self.state_machine.restore(snapshot.state)
            self.log.event("snapshot_taken_over", index=snapshot.index, bytes=len(snapshot.state))
            self.on_restored()
        self.disk.snapshot(snapshot, False)

    def _change_role(self, change: RoleChanged) -> None:
        self.log.event(
            "ledger_role",
            role=change.role,
            term=change.term,
            leader=change.leader.name if change.leader else "",
        )
        self.on_role_changed(change)

    def _apply_all(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            self._apply(entry)

    def _apply(self, entry: LogEntry) -> None:
        outcome = self.state_machine.apply(entry)
        entry_digest = digest(msgspec.msgpack.encode(entry))
        self.recent_entries.append(
            (
                msgspec.structs.replace(entry, body=b""),
                entry_digest,
                msgspec.structs.replace(outcome, result=b""),
            )
        )
        self.on_applied(entry, outcome)

    # ---- time --------------------------------------------------------------------------------------

    def _due_at(self) -> int | None:
        return self.raft_node.due_at if self.raft_node is not None else None

    def end(self) -> None:
        """Stops the Raft node; queued inputs are dropped."""
        self.raft_node = None
        self.inputs.clear()
        self.timer.cancel()
