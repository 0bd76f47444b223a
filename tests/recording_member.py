"""A member that records actions in a real folder, for the tests of the audit."""

from indigohitch.fleet.audit.action_chain import ActionChain
from indigohitch.fleet.audit.check import check
from indigohitch.fleet.audit.files import ChainStore, read_chains
from indigohitch.fleet.audit.heads import Head, Heads
from indigohitch.fleet.audit.scrub import Scrubber
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease
from indigohitch.net.clock import SECOND


class RecordingMember:
    """Records actions of one incarnation in a folder; its state machine applies the heads of the chain."""

    def __init__(self, folder, member="m", incarnation=1, **store):
        self.state_machine = ReplicatedStateMachine([Roster(), Heads()])
        self.errors = []
        self.store = ChainStore(folder, **store)
        self.member = member
        self.lease = Lease(incarnation, 10**9)
        self.acts = ActionChain(
            member,
            lambda now: self.lease,
            self.state_machine,
            self.store,
            self.errors.append,
            frozenset({"durable"}),
        )
        self.heads = self.state_machine.parts["audit"]
        self.heads.on_member_joined(None, member, incarnation)
        self.now = 0

    def act(self, count, kind="done"):
        """Stamps actions, each at a later time and version; returns the last stamp."""
        for _ in range(count):
            self.now += 10
            self.state_machine.index += 1
            stamp = self.acts.stamp(self.now, kind, b"it")
        return stamp

    def commit_head(self):
        """Syncs, applies a head of the chain and deletes the files that it releases; returns the result."""
        assert self.acts.sync()
        chain = self.acts.chain
        first, oldest = self.store.retained_range()
        at = EntryContext(1, 1, 0, self.member, chain.incarnation)
        result = self.heads.apply(
            at, "head", Head(self.member, chain.incarnation, chain.number, chain.head, first, oldest)
        )
        self.store.delete_released(first, oldest)
        return result


def check_findings(member, records=None):
    """Returns what the check finds in the records: those given, or those in the member's folder."""
    records = read_chains(member.store.folder)[0] if records is None else records
    return check({member.member: records}, member.heads.facts)


def scrub_findings(member, rounds=2):
    """Returns the kinds of findings of the member itself, which reads its folder while it runs."""
    scrubber = Scrubber("m", member.store, lambda: member.heads.facts)
    now = 0
    while scrubber.rounds < rounds:
        now += SECOND
        scrubber.step(now)
    return {one.kind for one in scrubber.found}


def member_with_records(folder):
    """Returns a member with 40 recorded actions and a head of them."""
    member = RecordingMember(folder)
    member.act(40)
    member.commit_head()
    return member
