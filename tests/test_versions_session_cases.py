"""Sessions, case by case: lost messages, claims, refusals, late answers and wrong digests."""

import math

from indigohitch.net.clock import SECOND
from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions.session import BACKOFF, Phase, Session
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Ack, Channel, Claim, Guard, Nack, applied
from indigohitch.versions.window import SPREAD
from tests.publishing import quiet, settled, version


def test_a_lost_version_is_reported_as_a_gap_and_only_its_lines_are_sent_again():
    relay, session, _ = settled({1: {"a": 1.0}, 2: {"a": 1.0}})
    session.set_target(version(2, session.confirmed.with_line(1, "b", 1.0)), Guard())
    session.due(0)  # lost
    session.set_target(version(3, session.target.root.with_line(2, "c", 1.0)), Guard())
    (second,) = session.due(10)
    nack = relay.receive(second)
    assert nack.gap
    session.on_nack(20, nack)
    (again,) = session.due(30)
    assert again.lines() == 2
    session.on_ack(40, relay.receive(again))
    assert session.in_sync and relay.root == session.target.root


def test_an_ack_of_a_superseded_version_updates_the_confirmed_content_but_not_the_target():
    relay, session, _ = settled({1: {"a": 1.0}})
    session.set_target(version(2, root_of({1: {"b": 1.0}})), Guard())
    (first,) = session.due(0)
    session.set_target(version(3, root_of({1: {"c": 1.0}})), Guard())
    session.on_ack(10, relay.receive(first))
    assert session.confirmed == root_of({1: {"b": 1.0}}) and not session.in_sync
    quiet(session, relay, 20)
    assert relay.root == root_of({1: {"c": 1.0}})


def test_a_claim_of_an_unknown_content_replaces_only_the_parts_that_differ():
    tables = {slice: {"a": 1.0} for slice in range(0, 2560, 16)}
    _, session, _ = settled(tables)
    relay = TableRelay(root_of(tables | {16: {"strange": 1.0}}))
    session.on_disconnect(1)
    session.on_connect(5, 2, relay.connect(2))
    assert session.phase is Phase.REPLACING
    (message,) = session.due(10)
    assert message.lines() == 16  # one part of 256 slices
    session.on_ack(20, relay.receive(message))
    assert session.in_sync and relay.root == session.target.root


def test_a_relay_with_wrong_digests_is_replaced_once_and_then_backed_off():
    relay, session, _ = settled({1: {"a": 1.0}})
    session.set_target(version(2, root_of({1: {"b": 1.0}})), Guard())
    relay.false_digests = 2
    sent, now = 0, 0
    while session.phase is not Phase.BACKING_OFF and now < 1000:
        for message in session.due(now):
            sent += 1
            session.on_ack(now, relay.receive(message))
        now += 1
    assert sent == 2 and not session.due(now) and session.next_due(now) > now + BACKOFF - 10
    quiet(session, relay, now)
    assert relay.root == session.target.root


def test_a_refused_version_is_not_sent_again_but_another_one_is():
    relay, session, _ = settled({1: {"a": 1.0}})
    relay.refuses = True
    session.set_target(version(2, root_of({1: {"b": 1.0}})), Guard())
    (message,) = session.due(0)
    session.on_nack(5, relay.receive(message))
    assert session.phase is Phase.BACKING_OFF and not session.due(6)
    relay.refuses = False
    session.set_target(version(3, root_of({1: {"c": 1.0}})), Guard())
    quiet(session, relay, 7)
    assert relay.root == session.target.root


def test_a_relay_without_digests_reaches_the_target_from_any_content_it_may_hold():
    """Whichever of the messages the relay took before the connection broke, the next ones correct it."""
    start = root_of({1: {"a": 1.0}, 2: {"a": 1.0}})
    for taken in range(4):
        session = Session("r", Channel(lines=1), {start.digest: start}.get)
        session.on_connect(0, 1, TableRelay(start).connect(1))
        session.set_target(version(1, root_of({1: {"b": 1.0}, 2: {"a": 1.0, "c": 2.0}})), Guard())
        held, now = start, 0
        sent = []
        while len(sent) < 3:
            sent += session.due(now)
            now += 1
        for message in sent[:taken]:
            held = applied(held, message)
        session.on_disconnect(1)
        session.on_connect(now, 2, None)
        assert held in session.candidates
        session.set_target(version(2, root_of({1: {"d": 1.0}, 2: {"a": 1.0}})), Guard())
        for step in range(50):
            for message in session.due(now + step * 10):
                held = applied(held, message)
                assert held.lines_of(1) and held.lines_of(2)
        assert held == session.target.root


def test_answers_of_an_earlier_connection_are_ignored():
    """Sequences start again on each connection, so a late answer may name a message in flight on this one."""
    relay, session, roots = settled({1: {"a": 1.0}})
    old_ack = Ack(1, 1, session.target.version_id, root_of({1: {"b": 1.0}}).digest)
    old_nack = Nack(1, 1, 0, True, Claim(Root().digest))
    session.on_connect(5, 2, relay.connect(2))
    session.set_target(version(2, root_of({1: {"b": 1.0}})), Guard())
    (message,) = session.due(10)
    for late, tell in ((old_ack, session.on_ack), (old_nack, session.on_nack)):
        tell(20, late)
        assert list(session.in_flight) == [message] and session.confirmed == root_of({1: {"a": 1.0}})
    session.on_connect(30, 1, Claim(Root().digest))
    assert session.connection == 2 and session.confirmed == root_of({1: {"a": 1.0}})
    session.on_ack(40, relay.receive(message))
    assert session.in_sync


def sent_until_window_closes(session, relay, now):
    """Sends one line per version until the window takes no more, and returns the number of messages."""
    count = 0
    while count < 100:
        session.set_target(version(count + 2, session.confirmed.with_line(1, "a", count + 2.0)), Guard())
        messages = session.due(now)
        if not messages:
            break
        count += len(messages)
        for message in messages:
            session.on_ack(now, relay.receive(message))
        now += 10
    return count


def test_a_drain_is_sent_when_the_window_is_closed_to_other_changes():
    relay, session, _ = settled({1: {"a": 1.0}, 2: {"d": 1.0}})
    assert sent_until_window_closes(session, relay, 100) == 7  # of a burst of 13, 6 are reserved for drains
    session.set_target(version(99, session.confirmed.changed({2: {"a": 1.0}})), Guard(frozenset({"d"})))
    (message,) = session.due(5000)
    session.on_ack(5001, relay.receive(message))
    assert session.in_sync and "d" not in relay.root.lines_of(2)


def test_a_restarted_program_counts_messages_sent_before_in_the_window():
    relay, session, roots = settled({1: {"a": 1.0}})
    again = Session("r", Channel(), roots.get)
    claim = relay.connect(2)
    again.on_connect(50, 2, Claim(claim.digest, claim.parts, 25))
    again.set_target(session.target, Guard())
    assert again.in_sync and sent_until_window_closes(again, relay, 100) == 0
    pace, counted = again.window.pace, 25  # sent by the program before it, all counted as of now
    assert again.next_due(1000) == 50 + math.ceil(7 * pace.refill_interval)
    for now in range(50, 50 + Channel.WINDOW + SPREAD, 10):
        if again.window.free(now, (), True):
            pace.record_sent(now)
            counted += 1
    assert counted == Channel().messages and not again.window.free(now, (), True)
    assert again.next_due(now) == 50 + Channel.WINDOW + SPREAD


def test_a_corrected_digest_resets_the_count_of_mismatches():
    relay, session, _ = settled({1: {"a": 1.0}})
    for number, backend in enumerate("bcd", 2):
        relay.false_digests = 1
        session.set_target(version(number, root_of({1: {backend: 1.0}})), Guard())
        quiet(session, relay, number * SECOND)
        assert session.mismatches == 0


def test_a_program_killed_within_a_delta_recovers_what_its_relay_holds():
    relay, session, roots = settled({slice: {"a": 1.0} for slice in range(300)})
    relay.base = session.confirmed.digest
    session.set_target(version(2, root_of({slice: {"a": 1.0, "b": 1.0} for slice in range(300)})), Guard())
    relay.receive(session.due(0)[0])  # 200 lines, the first of two messages
    again = Session("r", Channel(), roots.get)
    again.on_connect(50, 2, relay.connect(2))
    again.set_target(session.target, Guard())
    assert again.confirmed == relay.root and sum(message.lines() for message in again.due(60)) == 100
    told = relay.connect(3)
    fresh = Session("r", Channel(), roots.get)
    fresh.on_connect(70, 3, Claim(told.digest, told.parts, 0, told.base, told.since[1:]))
    assert fresh.phase is Phase.REPLACING  # lines that do not result in the claimed digest are not believed
