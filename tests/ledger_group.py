"""Machines of a ledger side by side, with words and disks in hand, for plain cases."""

from collections import deque

from indigohitch.fleet.raft.interfaces import (
    ApplyEntries,
    HardState,
    Members,
    MessageReceived,
    Propose,
    RecoveredState,
    RestoreSnapshot,
    SendMessage,
    Snapshot,
    SnapshotCompleted,
    TakeSnapshot,
    Tick,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import RequestVoteResponse
from indigohitch.fleet.raft.node import RaftNode
from indigohitch.fleet.types import LogEntry, MemberId, Proposal

BOOTSTRAP = {
    "election": 3000,
    "beat": 500,
    "log_most": 1 << 20,
    "append_most": 1000,
    "piece": 100,
    "inflight": 3,
    "proposals_most": 16,
}
A, B, C, D = (MemberId(name, 1) for name in "abcd")


def entries(*terms):
    return [LogEntry(at + 1, term, "x.y", b"") for at, term in enumerate(terms)]


def machine(me=A, voters=(A, B, C), hard_state=None, snap=None, log=(), now=0, **bootstrap):
    recovered = RecoveredState(
        hard_state or HardState(0), snap or Snapshot(0, 0, Members(tuple(voters)), b""), list(log)
    )
    return RaftNode(me, recovered, {**BOOTSTRAP, **bootstrap}, lambda: 0.0, now)


def stand(one):
    """Up to its own vote being on the disk and the others asked; what comes out then."""
    one.step(one.due_at, Tick())
    one.step(one.due_at, MessageReceived(B, RequestVoteResponse(one.term + 1, True, True)))
    return one.step(one.state.now, WriteCompleted(one.state.durable.number))


def lead(one):
    """By the vote of B."""
    stand(one)
    return one.step(one.state.now, MessageReceived(B, RequestVoteResponse(one.term, True)))


def proposal(number, body=b""):
    return Proposal("p", 1, number, "x.y", body)


def of(kind, outputs):
    return [output for output in outputs if type(output) is kind]


def words(kind, outputs):
    return [(o.to, o.message) for o in outputs if type(o) is SendMessage and type(o.message) is kind]


class Group:
    """Words arrive at once and in order, unless their sender or receiver is in `cut`; disks write at once,
    unless their member is in `slow`."""

    def __init__(self, *who, **bootstrap):
        self.now, self.bootstrap = 0, bootstrap
        self.machines, self.cut, self.slow = {}, set(), set()
        self.applied, self.told, self.unwritten, self.sent = {}, {}, {}, []
        self.queue = deque()
        for one in who:
            self.add(machine(one, who, **bootstrap))

    def add(self, machine):
        me = machine.state.member_id
        self.machines[me] = machine
        self.applied[me], self.told[me], self.unwritten[me] = [], [], []

    def step(self, me, input):
        self.queue.append((me, input))
        while self.queue:
            me, input = self.queue.popleft()
            if me in self.machines:
                for output in self.machines[me].step(self.now, input):
                    self.carry_out(me, output)

    def carry_out(self, me, output):
        kind = type(output)
        if kind is SendMessage:
            self.sent.append((me, output.to, output.message))
            if me not in self.cut and output.to not in self.cut:
                self.queue.append((output.to, MessageReceived(me, output.message)))
        elif kind is WriteEntries:
            if me in self.slow:
                self.unwritten[me].append(output)
            else:
                self.queue.append((me, WriteCompleted(output.number)))
        elif kind is ApplyEntries:
            self.applied[me] += output.entries
        elif kind is TakeSnapshot:
            state = b"%d" % output.index * 100
            self.queue.append(
                (me, SnapshotCompleted(Snapshot(output.index, output.term, output.members, state)))
            )
        elif kind is RestoreSnapshot:
            self.applied[me].append(output)
            self.queue.append((me, SnapshotCompleted(output.snapshot)))
        else:
            self.told[me].append(output)

    def due(self, me):
        """Its timer ends; nobody else's does."""
        self.now = max(self.now, self.machines[me].due_at)
        self.step(me, Tick())

    def pass_time(self, span):
        until = self.now + span
        while True:
            me = min(self.machines, key=lambda me: self.machines[me].due_at)
            if self.machines[me].due_at > until:
                break
            self.due(me)
        self.now = until

    def propose(self, me, *numbers):
        for number in numbers:
            self.step(me, Propose(proposal(number)))

    def leaders(self):
        return [me for me, machine in self.machines.items() if machine.leadership is not None]

    def numbers(self, me):
        """Of the proposals that it applied."""
        return [entry.number for entry in self.applied[me] if type(entry) is LogEntry and entry.number]
