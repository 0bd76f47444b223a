"""Sessions under any course of events, against a plain model: what the relay truly holds."""
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from indigohitch.net.clock import SECOND
from indigohitch.standins.tabled import Tabled
from indigohitch.versions.session import PAUSE, Phase, Session
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Channel, Guard, Version, applied

NAMES = ("a", "b", "c", "w")
LINES = st.dictionaries(st.sampled_from(NAMES), st.sampled_from((1.0, 2.0)), min_size=1)
TABLES = st.dictionaries(st.sampled_from((0, 1, 255, 256, 65535)), LINES, min_size=5)
CHANNEL = Channel(messages=6, lines=3, queue=8, stall=100)


def version(number, root):
    return Version(number, root, None, "test", 0)


def quiet(session, relay, now, most=400):
    """No more trouble: time goes on until it is settled; returns the time."""
    for _ in range(most):
        for message in session.due(now):
            said = relay.takes(message)
            if said is not None:
                (session.nacked if hasattr(said, "gap") else session.acked)(now, said)
        if session.settled:
            return now
        due = session.next_due(now)
        now = max(now + 1, due if due is not None else now)
    raise AssertionError(f"not settled: {session.phase} {session.flight}")


class Sessions(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now, self.numbers = 0, 0
        self.roots = {Root().digest: Root()}
        self.relay = Tabled()
        self.session = Session("r", CHANNEL, self.roots.get)
        self.down, self.up, self.times = [], [], []
        self.connection = 0
        self.served = set()                             # slices that had lines, and have to keep them
        self.join()

    def join(self):
        self.connection += 1
        self.session.joined(self.now, self.connection, self.relay.joins(self.connection))

    @rule(tables=TABLES)
    def want(self, tables):
        self.numbers += 1
        root = root_of(tables)
        self.roots[root.digest] = root
        self.session.want(version(self.numbers, root), Guard())

    @rule(wait=st.sampled_from((0, 300, SECOND, 3 * SECOND)))
    def send(self, wait):
        self.now += wait
        for message in self.session.due(self.now):
            self.down.append(message)
            self.times.append(self.now)

    @rule(lost=st.booleans())
    def arrive(self, lost):
        if self.down:
            message = self.down.pop(0)
            if not lost and (said := self.relay.takes(message)) is not None:
                self.up.append(said)

    @rule(lost=st.booleans())
    def answer(self, lost):
        if self.up:
            said = self.up.pop(0)
            if not lost:
                (self.session.nacked if hasattr(said, "gap") else self.session.acked)(self.now, said)

    @rule(again=st.integers(0, 3))
    def said_twice(self, again):
        """The same message comes to the relay once more, and the same answer to the session."""
        if self.down and self.down[0].sequence == self.relay.taken + 1:
            said = [self.relay.takes(self.down[0]) for _ in range(again)]
            self.up += [one for one in said if one is not None]

    @rule(heard=st.booleans())
    def broken(self, heard):
        self.down.clear()
        late, self.up = self.up, []
        if heard:
            self.session.lost(self.connection)
        self.join()
        for said in late:                               # of the connection before: they must say nothing
            (self.session.nacked if hasattr(said, "gap") else self.session.acked)(self.now, said)

    @rule(tables=TABLES, empty=st.booleans())
    def restarted(self, tables, empty):
        """With nothing, or with what never was a version."""
        self.relay.root = Root() if empty else root_of(tables)
        self.served.clear()
        self.broken(True)

    @rule()
    def lies(self):
        self.relay.lies = 1

    @invariant()
    def truth(self):
        session, held = self.session, self.relay.root
        if session.phase is Phase.MOVING and session.connection == self.relay.connection \
                and not self.relay.lies:
            assert held in session.may_hold()           # in a set, and the true one is in it
        bare = {slice for slice in self.served if not held.lines_of(slice)}
        assert not bare, f"bare: {bare}"
        self.served |= {slice for slice, _ in held.items()}
        for at in self.times:
            assert sum(at <= other < at + Channel.WINDOW for other in self.times) <= CHANNEL.messages

    def teardown(self):
        if self.session.wanted is not None:
            self.relay.lies = 0
            self.broken(True)
            quiet(self.session, self.relay, self.now + PAUSE)
            assert self.relay.root == self.session.wanted.root


TestSessions = Sessions.TestCase
TestSessions.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, database=None,
                                 derandomize=True)


def settled(tables):
    root = root_of(tables)
    roots = {root.digest: root}
    relay, session = Tabled(root), Session("r", Channel(), roots.get)
    session.joined(0, 1, relay.joins(1))
    session.want(version(1, root), Guard())
    assert session.settled and not session.due(0)
    return relay, session, roots


def test_a_missed_version_is_answered_with_a_gap_and_costs_only_its_lines():
    relay, session, _ = settled({1: {"a": 1.0}, 2: {"a": 1.0}})
    session.want(version(2, session.known.with_line(1, "b", 1.0)), Guard())
    session.due(0)                                      # lost
    session.want(version(3, session.wanted.root.with_line(2, "c", 1.0)), Guard())
    (second,) = session.due(10)
    nack = relay.takes(second)
    assert nack.gap
    session.nacked(20, nack)
    (again,) = session.due(30)
    assert again.lines() == 2
    session.acked(40, relay.takes(again))
    assert session.settled and relay.root == session.wanted.root


def test_an_answer_for_what_was_superseded_moves_what_is_known_not_what_is_wanted():
    relay, session, _ = settled({1: {"a": 1.0}})
    session.want(version(2, root_of({1: {"b": 1.0}})), Guard())
    (first,) = session.due(0)
    session.want(version(3, root_of({1: {"c": 1.0}})), Guard())
    session.acked(10, relay.takes(first))
    assert session.known == root_of({1: {"b": 1.0}}) and not session.settled
    quiet(session, relay, 20)
    assert relay.root == root_of({1: {"c": 1.0}})


def test_a_claim_of_a_version_that_never_was_sets_only_the_parts_that_differ():
    tables = {slice: {"a": 1.0} for slice in range(0, 2560, 16)}
    _, session, _ = settled(tables)
    relay = Tabled(root_of(tables | {16: {"strange": 1.0}}))
    session.lost(1)
    session.joined(5, 2, relay.joins(2))
    assert session.phase is Phase.MENDING
    (message,) = session.due(10)
    assert message.lines() == 16                        # one part of 256 slices
    session.acked(20, relay.takes(message))
    assert session.settled and relay.root == session.wanted.root


def test_a_relay_that_lies_is_set_whole_once_and_then_left_for_a_while():
    relay, session, _ = settled({1: {"a": 1.0}})
    session.want(version(2, root_of({1: {"b": 1.0}})), Guard())
    relay.lies = 2
    sent, now = 0, 0
    while session.phase is not Phase.ASIDE:
        for message in session.due(now):
            sent += 1
            session.acked(now, relay.takes(message))
        now += 1
    assert sent == 2 and not session.due(now) and session.next_due(now) > now + PAUSE - 10
    quiet(session, relay, now)
    assert relay.root == session.wanted.root


def test_a_refusal_is_not_repeated_until_another_version_is_wanted():
    relay, session, _ = settled({1: {"a": 1.0}})
    relay.refuses = True
    session.want(version(2, root_of({1: {"b": 1.0}})), Guard())
    (message,) = session.due(0)
    session.nacked(5, relay.takes(message))
    assert session.phase is Phase.ASIDE and not session.due(6)
    relay.refuses = False
    session.want(version(3, root_of({1: {"c": 1.0}})), Guard())
    quiet(session, relay, 7)
    assert relay.root == session.wanted.root


def test_a_relay_without_digests_is_brought_there_from_all_that_it_may_hold():
    """Whichever of the messages it took, after the next ones it is right."""
    start = root_of({1: {"a": 1.0}, 2: {"a": 1.0}})
    for taken in range(4):
        session = Session("r", Channel(lines=1), {start.digest: start}.get)
        session.joined(0, 1, Tabled(start).joins(1))
        session.want(version(1, root_of({1: {"b": 1.0}, 2: {"a": 1.0, "c": 2.0}})), Guard())
        held, now = start, 0
        sent = []
        while len(sent) < 3:
            sent += session.due(now)
            now += 1
        for message in sent[:taken]:
            held = applied(held, message)
        session.lost(1)
        session.joined(now, 2, None)
        assert held in session.possible
        session.want(version(2, root_of({1: {"d": 1.0}, 2: {"a": 1.0}})), Guard())
        for step in range(50):
            for message in session.due(now + step * 10):
                held = applied(held, message)
                assert held.lines_of(1) and held.lines_of(2)
        assert held == session.wanted.root
