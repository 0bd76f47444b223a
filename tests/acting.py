"""Acts of one incarnation over a real folder, for the tests of the audit."""

from indigohitch.fleet.audit.acts import ActionChain
from indigohitch.fleet.audit.check import check
from indigohitch.fleet.audit.files import Store, read
from indigohitch.fleet.audit.heads import Head, Heads
from indigohitch.fleet.audit.scrub import Scrub
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease
from indigohitch.net.clock import SECOND


class Acting:
    """Acts of one incarnation over a real folder; the heads of its chain are taken."""

    def __init__(self, folder, member="m", incarnation=1, **store):
        self.state_machine, self.troubles = ReplicatedStateMachine([Roster(), Heads()]), []
        self.store, self.member = Store(folder, **store), member
        self.lease = Lease(incarnation, 10**9)
        self.acts = ActionChain(
            member,
            lambda now: self.lease,
            self.state_machine,
            self.store,
            self.troubles.append,
            frozenset({"firm"}),
        )
        self.heads = self.state_machine.parts["audit"]
        self.heads.on_member_joined(None, member, incarnation)
        self.now = 0

    def do(self, count, kind="done"):
        for _ in range(count):
            self.now += 10
            self.state_machine.index += 1
            stamp = self.acts.stamp(self.now, kind, b"it")
        return stamp

    def tell(self):
        assert self.acts.sync()
        chain, (first, oldest) = self.acts.chain, self.store.wanted()
        at = EntryContext(1, 1, 0, self.member, chain.incarnation)
        told = self.heads.apply(
            at, "head", Head(self.member, chain.incarnation, chain.number, chain.head, first, oldest)
        )
        self.store.give_up(first, oldest)
        return told


def found(acting, records=None):
    records = read(acting.store.folder)[0] if records is None else records
    return check({acting.member: records}, acting.heads.facts)


def scrubbed(acting, rounds=2):
    """What the member itself finds in its folder while it runs."""
    scrub, now = Scrub("m", acting.store, lambda: acting.heads.facts), 0
    while scrub.rounds < rounds:
        now += SECOND
        scrub.step(now)
    return {one.kind for one in scrub.found}


def begun(folder):
    one = Acting(folder)
    one.do(40)
    one.tell()
    return one
