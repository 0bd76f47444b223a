"""One member of a simulated fleet: its disk, its clock, and the part `things` that it acts on."""

from itertools import count

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.audit.acts import ActionChain
from indigohitch.fleet.audit.heads import Heads
from indigohitch.fleet.audit.work import AuditWork
from indigohitch.fleet.membership.member_work import Membership
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.net.clock import SECOND

SPAN, DRIFT = 2 * SECOND, 0.02  # of a lease; of a clock, at most


class Take(Row):
    what: str


class Alter(Row):
    hard: bool


class Things:
    """What one member at a time may act on, until it is gone; and changes."""

    name, kinds = "things", {"take": Take, "alter": Alter}

    def __init__(self):
        self.held = {}

    def apply(self, at, word, body):
        if word == "alter":
            self.state_machine.parts["members"].add_change(at, "contract", body.hard, SECOND)
        elif body.what in self.held or self.state_machine.parts["members"].ineligibility(
            at.proposer, at.incarnation
        ):
            raise InvalidRequestError("held")
        else:
            self.held[body.what] = (at.proposer, at.incarnation)

    def on_member_lease_expired(self, at, name, incarnation):
        self.held = {what: by for what, by in self.held.items() if by != (name, incarnation)}

    def row(self):
        return self.held

    def restore(self, row):
        self.held = msgspec.msgpack.decode(row, type=dict[str, tuple[str, int]])


class Kept:
    """A disk: records by incarnation."""

    folder, cut = "memory", 0

    def __init__(self):
        self.chains, self.evidence = {}, []

    def append(self, record, firm):
        self.chains.setdefault(record.stamp.incarnation, []).append(record)

    def sync(self):
        pass

    def sync_soon(self, done):
        done(None)

    def wanted(self):
        return 1, 0

    def give_up(self, first, oldest):
        pass

    def keep(self, name, data):
        self.evidence.append(name)


class Simulated:
    def __init__(self, name, chance):
        self.name, self.chance = name, chance
        self.rate, self.offset = 1 + DRIFT * chance.uniform(-1, 1), chance.randint(0, 10**6)
        self.store, self.slow, self.troubles = Kept(), 200, []
        self.stopped = 0  # until when
        self.state_machine = ReplicatedStateMachine([Roster(), Heads(), Things()])
        self.start()

    def start(self):
        """A process over what its disk holds."""
        parts = self.state_machine.parts
        self.membership = Membership(
            self.name, True, parts["members"], SPAN, DRIFT, lambda: self.chance.getrandbits(62)
        )
        self.acts = ActionChain(
            self.name, self.membership.lease, self.state_machine, self.store, self.troubles.append
        )
        self.auditing = AuditWork(self.acts, parts["audit"], self.membership, self.troubles.append)
        self.auditing.scrub.step = lambda now: []  # there are no files
        self.out, self.numbers, self.wants = {}, count(1), []
        self.leads = 0  # the term in which it believes that it leads

    def now(self, time):
        return self.offset + int(self.rate * time)
