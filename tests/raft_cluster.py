"""Provides Raft nodes, and a cluster of them with a simulated network, disks and clock."""

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

SETTINGS = {
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
    return [LogEntry(position + 1, term, "x.y", b"") for position, term in enumerate(terms)]


def make_node(member=A, voters=(A, B, C), hard_state=None, snapshot=None, log=(), now=0, **settings):
    recovered = RecoveredState(
        hard_state or HardState(0), snapshot or Snapshot(0, 0, Members(tuple(voters)), b""), list(log)
    )
    return RaftNode(member, recovered, {**SETTINGS, **settings}, lambda: 0.0, now)


def start_election(node):
    """Makes the node a candidate whose own vote is on the disk; returns the outputs, with its requests."""
    node.step(node.due_at, Tick())
    node.step(node.due_at, MessageReceived(B, RequestVoteResponse(node.term + 1, True, True)))
    return node.step(node.state.now, WriteCompleted(node.state.durable.last_write))


def elect(node):
    """Makes the node a leader by a vote of B; returns the outputs."""
    start_election(node)
    return node.step(node.state.now, MessageReceived(B, RequestVoteResponse(node.term, True)))


def proposal(number, body=b""):
    return Proposal("p", 1, number, "x.y", body)


def outputs_of(kind, outputs):
    return [output for output in outputs if type(output) is kind]


def messages_of(kind, outputs):
    """Returns the sent messages of that type, each with its receiver."""
    return [
        (output.to, output.message)
        for output in outputs
        if type(output) is SendMessage and type(output.message) is kind
    ]


class Cluster:
    """Runs nodes over a simulated network, with simulated disks.

    Messages arrive at once and in order, unless the sender or receiver is in `disconnected`.  Writes complete
    at once, unless the member is in `slow_disks`: then they are kept in `pending_writes`.
    """

    def __init__(self, *members, **settings):
        self.now = 0
        self.settings = settings
        self.nodes = {}
        self.disconnected = set()
        self.slow_disks = set()
        self.applied = {}
        self.other_outputs = {}  # such as rejections, read confirmations and role changes
        self.pending_writes = {}
        self.sent = []  # (sender, receiver, message)
        self.queue = deque()
        for member in members:
            self.add(make_node(member, members, **settings))

    def add(self, node):
        member = node.state.member_id
        self.nodes[member] = node
        self.applied[member] = []
        self.other_outputs[member] = []
        self.pending_writes[member] = []

    def step(self, member, event):
        self.queue.append((member, event))
        while self.queue:
            member, event = self.queue.popleft()
            if member in self.nodes:
                for output in self.nodes[member].step(self.now, event):
                    self.carry_out(member, output)

    def carry_out(self, member, output):
        kind = type(output)
        if kind is SendMessage:
            self.sent.append((member, output.to, output.message))
            if member not in self.disconnected and output.to not in self.disconnected:
                self.queue.append((output.to, MessageReceived(member, output.message)))
        elif kind is WriteEntries:
            if member in self.slow_disks:
                self.pending_writes[member].append(output)
            else:
                self.queue.append((member, WriteCompleted(output.number)))
        elif kind is ApplyEntries:
            self.applied[member] += output.entries
        elif kind is TakeSnapshot:
            state = b"%d" % output.index * 100
            self.queue.append(
                (member, SnapshotCompleted(Snapshot(output.index, output.term, output.members, state)))
            )
        elif kind is RestoreSnapshot:
            self.applied[member].append(output)
            self.queue.append((member, SnapshotCompleted(output.snapshot)))
        else:
            self.other_outputs[member].append(output)

    def fire_timer(self, member):
        """Advances the clock to the member's next tick, without ticks at the other members."""
        self.now = max(self.now, self.nodes[member].due_at)
        self.step(member, Tick())

    def advance(self, ticks):
        """Advances the clock, with the ticks of all members that are due."""
        until = self.now + ticks
        while True:
            member = min(self.nodes, key=lambda member: self.nodes[member].due_at)
            if self.nodes[member].due_at > until:
                break
            self.fire_timer(member)
        self.now = until

    def propose(self, member, *numbers):
        for number in numbers:
            self.step(member, Propose(proposal(number)))

    def leaders(self):
        return [member for member, node in self.nodes.items() if node.leadership is not None]

    def applied_numbers(self, member):
        """Returns the numbers of the proposals that the member has applied."""
        return [entry.number for entry in self.applied[member] if type(entry) is LogEntry and entry.number]
