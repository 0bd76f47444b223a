"""Carries out what the ledger's machine says: to the disk, over the links, into the state machine.

Inputs are taken one after the other, also those that come while one is being carried out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import digest
from ...log import Log
from ...net.due_timer import DueTimer
from ...net.loop import EventLoop
from ..raft.interfaces import (
    ApplyEntries,
    Input,
    LogNote,
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

RECENT = 512  # entries whose digests people can ask for


class Driver:
    """`broken(why)`: the machine or the state machine met what must never be; this member has to end."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        disk: Storage,
        links: Transport,
        state_machine: ReplicatedStateMachine,
        bootstrap: Mapping,
        chance: Callable[[], float],
        broken: Callable[[BaseException], None],
    ) -> None:
        self.loop, self.log, self.disk, self.links, self.state_machine = loop, log, disk, links, state_machine
        self.bootstrap, self.chance, self.broken = bootstrap, chance, broken
        self.machine: RaftNode | None = None
        self.waiting: deque[Input] = deque()
        self.stepping = False
        self.timer = DueTimer(loop, self.next_due, lambda: self.step(Tick()))
        self.recent: deque[tuple[LogEntry, bytes, Outcome]] = deque(maxlen=RECENT)  # without bodies; digests
        self.on_applied: Callable[[LogEntry, Outcome], None] = lambda entry, outcome: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_turned: Callable[[Proposal, int], None] = lambda proposal, again: None
        self.on_readable: Callable[[int, int, bool], None] = lambda number, index, ok: None
        self.on_became: Callable[[RoleChanged], None] = lambda became: None

    def begin(self, me: MemberId, held: RecoveredState) -> None:
        """Raises Unreadable for a state machine that can't be read."""
        if held.snapshot.state:
            self.state_machine.restore(held.snapshot.state)
        self.machine = RaftNode(me, held, self.bootstrap, self.chance, self.loop.clock.now())
        self.on_restored()
        self.timer.arm()

    @property
    def members(self) -> Members:
        return self.machine.members if self.machine is not None else Members(())

    @property
    def leads(self) -> bool:
        return self.machine is not None and self.machine.role.value == "leader"

    @property
    def leader(self) -> MemberId | None:
        return self.machine.leader if self.machine is not None else None

    # ---- in and out --------------------------------------------------------------------------------

    def step(self, input: Input) -> None:
        if self.machine is None:
            return
        self.waiting.append(input)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.waiting and self.machine is not None:
                for output in self.machine.step(self.loop.clock.now(), self.waiting.popleft()):
                    self.carry(output)
        except Exception as broken:  # whatever it is, going on could break a promise
            self.end()
            self.broken(broken)
        finally:
            self.stepping = False
        self.timer.arm()

    def carry(self, output: Output) -> None:
        match output:
            case SendMessage(to, word):
                self.links.send(to, word)
            case WriteEntries():
                self.disk.write(output)
            case ApplyEntries(entries):
                for entry in entries:
                    self.apply(entry)
            case RestoreSnapshot(snap):
                if snap.index > self.state_machine.index:  # else it comes again, after a disk that failed
                    self.state_machine.restore(snap.state)
                    self.log.event("snapshot_taken_over", index=snap.index, bytes=len(snap.state))
                    self.on_restored()
                self.disk.snapshot(snap, False)
            case TakeSnapshot(index, term, members):
                self.disk.snapshot(Snapshot(index, term, members, self.state_machine.snapshot()), True)
            case ProposalRejected(proposal, again):
                self.on_turned(proposal, again)
            case ReadConfirmed(number, index, ok):
                self.on_readable(number, index, ok)
            case RoleChanged():
                self.log.event(
                    "ledger_role",
                    role=output.role,
                    term=output.term,
                    leader=output.leader.name if output.leader else "",
                )
                self.on_became(output)
            case LogNote(event, fields):
                self.log.event(event, **fields)

    def apply(self, entry: LogEntry) -> None:
        outcome = self.state_machine.apply(entry)
        check = digest(msgspec.msgpack.encode(entry))
        self.recent.append(
            (msgspec.structs.replace(entry, body=b""), check, msgspec.structs.replace(outcome, result=b""))
        )
        self.on_applied(entry, outcome)

    # ---- time --------------------------------------------------------------------------------------

    def next_due(self) -> int | None:
        return self.machine.due_at if self.machine is not None else None

    def end(self) -> None:
        self.machine = None
        self.waiting.clear()
        self.timer.cancel()
