"""One member of a simulated fleet: its disk, its clock, and the part `things`, whose resources it acts on."""

from itertools import count

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.audit.action_chain import ActionChain
from indigohitch.fleet.audit.heads import Heads
from indigohitch.fleet.audit.work import AuditWork
from indigohitch.fleet.membership.member_work import Membership
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.net.clock import SECOND

SPAN = 2 * SECOND  # of a lease
DRIFT = 0.02  # of a clock, at most


class AcquireResource(Row):
    what: str


class ChangeContract(Row):
    hard: bool


class ResourcePart:
    """State machine part with resources, each held by one member until its lease expires, and changes."""

    name = "things"
    kinds = {"take": AcquireResource, "alter": ChangeContract}

    def __init__(self):
        self.held = {}

    def apply(self, at, kind, body):
        if kind == "alter":
            self.state_machine.parts["members"].add_change(at, "contract", body.hard, SECOND)
        elif body.what in self.held or self.state_machine.parts["members"].ineligibility(
            at.proposer, at.incarnation
        ):
            raise InvalidRequestError("held")
        else:
            self.held[body.what] = (at.proposer, at.incarnation)

    def on_member_lease_expired(self, at, name, incarnation):
        self.held = {what: holder for what, holder in self.held.items() if holder != (name, incarnation)}

    def row(self):
        return self.held

    def restore(self, row):
        self.held = msgspec.msgpack.decode(row, type=dict[str, tuple[str, int]])


class MemoryStore:
    """A disk of action records, by incarnation; it never fails."""

    folder = "memory"
    torn_bytes_cut = 0

    def __init__(self):
        self.chains = {}
        self.evidence = []

    def append(self, record, firm):
        self.chains.setdefault(record.stamp.incarnation, []).append(record)

    def sync(self):
        pass

    def start_sync(self, done):
        done(None)

    def retained_range(self):
        return 1, 0

    def delete_released(self, first, oldest):
        pass

    def save_evidence(self, name, data):
        self.evidence.append(name)


class SimulatedMember:
    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.clock_rate = 1 + DRIFT * rng.uniform(-1, 1)
        self.clock_offset = rng.randint(0, 10**6)
        self.store = MemoryStore()
        self.entries_per_step = 200
        self.errors = []
        self.paused_until = 0
        self.state_machine = ReplicatedStateMachine([Roster(), Heads(), ResourcePart()])
        self.start()

    def start(self):
        """Starts a new process with the disk and the state machine of the last one."""
        parts = self.state_machine.parts
        self.membership = Membership(
            self.name, True, parts["members"], SPAN, DRIFT, lambda: self.rng.getrandbits(62)
        )
        self.actions = ActionChain(
            self.name, self.membership.lease, self.state_machine, self.store, self.errors.append
        )
        self.audit_work = AuditWork(self.actions, parts["audit"], self.membership, self.errors.append)
        self.audit_work.scrub.step = lambda now: []  # there are no files
        self.pending_proposals = {}
        self.proposal_numbers = count(1)
        self.proposal_requests = []
        self.leader_term = 0  # the term in which it believes that it leads; 0: in none

    def now(self, time):
        return self.clock_offset + int(self.clock_rate * time)
