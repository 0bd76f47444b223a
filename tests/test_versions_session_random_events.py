"""Sessions under random sequences of events, compared with what the relay really holds."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from indigohitch.net.clock import SECOND
from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions.session import BACKOFF, Phase, Session
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Channel, Guard
from tests.publishing import quiet, version

NAMES = ("a", "b", "c", "w")
LINES = st.dictionaries(st.sampled_from(NAMES), st.sampled_from((1.0, 2.0)), min_size=1)
TABLES = st.dictionaries(st.sampled_from((0, 1, 255, 256, 65535)), LINES, min_size=5)
CHANNEL = Channel(messages=6, lines=3, queue=8, stall=100)


class Sessions(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now, self.numbers = 0, 0
        self.roots = {Root().digest: Root()}
        self.relay = TableRelay()
        self.session = Session("r", CHANNEL, self.roots.get)
        self.down, self.up, self.send_times = [], [], []
        self.connection = 0
        self.served = set()  # slices that had lines, and have to keep them
        self.join()

    def join(self):
        self.connection += 1
        self.session.on_connect(self.now, self.connection, self.relay.connect(self.connection))

    @rule(tables=TABLES)
    def set_target(self, tables):
        self.numbers += 1
        root = root_of(tables)
        self.roots[root.digest] = root
        self.session.set_target(version(self.numbers, root), Guard())

    @rule(wait=st.sampled_from((0, 300, SECOND, 3 * SECOND)))
    def send(self, wait):
        self.now += wait
        for message in self.session.due(self.now):
            self.down.append(message)
            self.send_times.append(self.now)

    @rule(lost=st.booleans())
    def deliver_message(self, lost):
        if self.down:
            message = self.down.pop(0)
            if not lost and (said := self.relay.receive(message)) is not None:
                self.up.append(said)

    @rule(lost=st.booleans())
    def answer(self, lost):
        if self.up:
            said = self.up.pop(0)
            if not lost:
                (self.session.on_nack if hasattr(said, "gap") else self.session.on_ack)(self.now, said)

    @rule(again=st.integers(0, 3))
    def duplicate_message(self, again):
        """Duplicates the next message to the relay, and its answers to the session."""
        if self.down and self.down[0].sequence == self.relay.taken + 1:
            said = [self.relay.receive(self.down[0]) for _ in range(again)]
            self.up += [one for one in said if one is not None]

    @rule(heard=st.booleans())
    def break_connection(self, heard):
        self.down.clear()
        late, self.up = self.up, []
        if heard:
            self.session.on_disconnect(self.connection)
        self.join()
        for said in late:  # answers on the previous connection must have no effect
            (self.session.on_nack if hasattr(said, "gap") else self.session.on_ack)(self.now, said)

    @rule(tables=TABLES, empty=st.booleans())
    def restart_relay(self, tables, empty):
        """Restarts the relay with nothing, or with a content that never was a version."""
        self.relay.root = Root() if empty else root_of(tables)
        self.served.clear()
        self.break_connection(True)

    @rule()
    def report_wrong_digest(self):
        self.relay.false_digests = 1

    @invariant()
    def content_is_possible_and_no_slice_is_empty(self):
        session, held = self.session, self.relay.root
        if (
            session.phase is Phase.UPDATING
            and session.connection == self.relay.connection
            and not self.relay.false_digests
        ):
            assert held in session.possible_contents()  # the real content is one of the possible ones
        empty_slices = {slice for slice in self.served if not held.lines_of(slice)}
        assert not empty_slices, f"bare: {empty_slices}"
        self.served |= {slice for slice, _ in held.items()}
        for at in self.send_times:
            assert sum(at <= other < at + Channel.WINDOW for other in self.send_times) <= CHANNEL.messages

    def teardown(self):
        if self.session.target is not None:
            self.relay.false_digests = 0
            self.break_connection(True)
            quiet(self.session, self.relay, self.now + BACKOFF)
            assert self.relay.root == self.session.target.root


TestSessions = Sessions.TestCase
TestSessions.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, database=None, derandomize=True
)
