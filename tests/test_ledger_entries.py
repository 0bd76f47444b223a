"""Entries of the ledger: taken, sent, written, committed; slow and failing members; reads."""

import pytest

from indigohitch.fleet.raft.interfaces import (
    ApplyEntries,
    HardState,
    MessageReceived,
    ProposalRejected,
    Propose,
    ReadConfirmed,
    ReadRequest,
    StorageFailed,
    StorageRecovered,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import AppendEntries, AppendEntriesResponse
from indigohitch.fleet.types import LogEntry
from ledger_group import BOOTSTRAP, A, B, C, Group, entries, lead, machine, of, proposal, words


def led(*who, **bootstrap):
    group = Group(*who or (A, B, C), **bootstrap)
    group.due(A)
    return group


def test_proposals_come_to_all_in_one_order():
    group = led()
    group.propose(A, 1, 2, 3)
    group.pass_time(BOOTSTRAP["beat"])
    assert group.numbers(A) == group.numbers(B) == group.numbers(C) == [1, 2, 3]


def test_follower_turns_proposals_and_reads_to_the_leader():
    group = led()
    group.propose(B, 1)
    group.step(B, ReadRequest(7))
    assert [type(told) for told in group.told[B][-2:]] == [ProposalRejected, ReadConfirmed]
    assert [told.leader for told in group.told[B][-2:]] == [A, A] and not group.told[B][-1].is_confirmed


def test_nothing_is_acknowledged_before_it_is_written():
    one = machine(B)
    out = one.step(1, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1, 1)))))
    assert not words(AppendEntriesResponse, out)
    assert not words(AppendEntriesResponse, one.step(2, WriteCompleted(of(WriteEntries, out)[0].number)))
    beat = one.step(3, MessageReceived(A, AppendEntries(1, 2, 1, 0)))
    assert words(AppendEntriesResponse, beat)[0][1].match_index == 0
    assert (
        words(AppendEntriesResponse, one.step(4, WriteCompleted(of(WriteEntries, out)[1].number)))[0][
            1
        ].match_index
        == 2
    )


def test_leader_counts_itself_only_once_it_has_written():
    group = led()
    group.cut.add(C)
    group.slow.add(A)
    group.propose(A, 1)
    assert group.numbers(A) == [] and group.machines[B].state.log.last == 2
    group.step(A, WriteCompleted(group.unwritten[A][-1].number))
    assert group.numbers(A) == [1]


def test_entry_of_an_older_term_is_not_committed_by_counting():
    """Figure 8: a majority holds entry 2 of term 2, and yet it may be void until one of term 4 stands."""
    one = machine(A, hard_state=HardState(3), log=entries(1, 2))
    lead(one)
    now = one.state.now
    one.step(now, WriteCompleted(one.state.durable.number))
    assert not of(ApplyEntries, one.step(now, MessageReceived(B, AppendEntriesResponse(4, True, 2))))
    committed = of(ApplyEntries, one.step(now, MessageReceived(B, AppendEntriesResponse(4, True, 3))))
    assert [entry.term for entry in committed[0].entries] == [1, 2, 4]


def test_tail_that_a_later_leader_doesnt_have_is_void():
    one = machine(B, hard_state=HardState(2), log=entries(1, 2, 2))
    refused = one.step(1, MessageReceived(A, AppendEntries(3, 3, 3, 0)))
    one.step(2, WriteCompleted(one.state.durable.number))
    assert words(AppendEntriesResponse, refused)[0][1] == AppendEntriesResponse(3, False, 3, 3, 2)
    out = one.step(3, MessageReceived(A, AppendEntries(3, 1, 1, 1, (LogEntry(2, 3, "x.y", b""),))))
    assert of(WriteEntries, out)[0].truncate_from == 2 and one.state.log.last == 2
    assert of(ApplyEntries, out)[0].entries == tuple(entries(1))
    with pytest.raises(ValueError, match="committed"):
        one.step(4, MessageReceived(A, AppendEntries(3, 0, 0, 0, (LogEntry(1, 3, "x.y", b""),))))


def test_acknowledgement_covers_no_entry_that_the_leader_may_not_have():
    one = machine(B, hard_state=HardState(1), log=entries(1, 1, 1))
    one.step(1, MessageReceived(A, AppendEntries(2, 1, 1, 0)))
    assert (
        words(AppendEntriesResponse, one.step(2, WriteCompleted(one.state.durable.number)))[0][1].match_index
        == 1
    )


def test_member_far_behind_is_found_in_few_steps():
    group = Group(A, B, C)
    group.machines.clear()
    group.add(machine(A, hard_state=HardState(9), log=entries(*[1] * 50, *[8] * 50)))
    group.add(machine(B, hard_state=HardState(9), log=entries(*[1] * 50, *[2] * 60)))
    group.add(machine(C, hard_state=HardState(9)))
    group.due(A)
    group.pass_time(BOOTSTRAP["beat"])
    assert len(group.applied[B]) == len(group.applied[C]) == 101
    refusals = [
        to for sender, to, word in group.sent if type(word) is AppendEntriesResponse and not word.success
    ]
    assert len(refusals) <= 4


def test_what_is_not_committed_is_bounded_and_the_proposer_told_when_to_come_back():
    group = led()
    group.cut.update((B, C))
    group.propose(A, *range(1, 40))
    turned = [told for told in group.told[A] if type(told) is ProposalRejected]
    assert group.machines[A].state.log.last <= BOOTSTRAP["proposals_most"] + 1
    assert len(turned) == 39 - BOOTSTRAP["proposals_most"]
    assert {told.retry_after_ticks for told in turned} == {BOOTSTRAP["beat"]}
    for body in range(3):
        group.step(A, Propose(proposal(100 + body, bytes(2000))))
    assert type(group.told[A][-1]) is ProposalRejected


def test_proposal_that_no_word_takes_is_turned_away_and_noted():
    group = led()
    group.step(A, Propose(proposal(1, bytes(BOOTSTRAP["append_most"] * BOOTSTRAP["inflight"] + 1))))
    note, turned = group.told[A][-2:]
    assert note.event == "proposal_too_large" and turned.retry_after_ticks == BOOTSTRAP["election"]
    assert group.machines[A].state.log.last == 1


def test_slow_member_holds_nobody_up_and_little_is_out_to_it():
    group = led(inflight=2, append_most=200)
    group.slow.add(C)
    group.propose(A, *range(1, 30))
    assert group.numbers(A) == list(range(1, 30))
    out = [word for _, to, word in group.sent if to == C and type(word) is AppendEntries and word.entries]
    assert len(out) <= 4 and len(group.unwritten[C]) <= 4
    group.slow.clear()
    while group.unwritten[C]:
        group.step(C, WriteCompleted(group.unwritten[C].pop().number))
    group.pass_time(3 * BOOTSTRAP["beat"])
    assert group.numbers(C) == list(range(1, 30))


def test_lost_words_are_sent_again():
    group = led()
    group.cut.add(C)
    group.propose(A, 1, 2)
    group.cut.clear()
    group.propose(A, 3)
    group.pass_time(2 * BOOTSTRAP["beat"])
    assert group.numbers(C) == [1, 2, 3]


def test_full_disk_ends_promises_and_the_lead_not_the_member():
    group = led()
    group.slow.add(A)
    group.propose(A, 1)
    group.step(A, StorageFailed("full"))
    assert not group.leaders() and group.machines[A].role.value == "follower"
    group.slow.clear()
    group.pass_time(2 * BOOTSTRAP["election"])
    leader = group.leaders()[0]
    assert leader != A
    group.propose(leader, 2)
    group.step(A, StorageRecovered())
    group.pass_time(2 * BOOTSTRAP["beat"])
    assert group.numbers(A) == group.numbers(leader)
    assert group.machines[A].state.durable.stable == group.machines[leader].state.durable.stable


def test_what_a_failed_disk_may_hold_is_written_anew():
    one = machine(B)
    one.step(1, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1, 1)))))
    one.step(2, WriteCompleted(2))
    one.step(3, MessageReceived(A, AppendEntries(1, 2, 1, 0, (LogEntry(3, 1, "x.y", b""),))))
    one.step(4, StorageFailed("full"))
    assert one.step(5, WriteCompleted(3)) == []
    again = of(WriteEntries, one.step(6, StorageRecovered()))[0]
    assert (again.hard_state, again.truncate_from, [entry.index for entry in again.entries]) == (
        HardState(1),
        3,
        [3],
    )
