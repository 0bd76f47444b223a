"""Reads of the ledger, confirmed by a majority, and from when on a leader's state machine may be gone by."""

from indigohitch.fleet.raft.interfaces import MessageReceived, ReadConfirmed, ReadRequest, WriteCompleted
from indigohitch.fleet.raft.messages import AppendEntriesResponse
from ledger_group import BOOTSTRAP, A, B, C, Group, lead, machine, of


def led(*who):
    group = Group(*who or (A, B, C))
    group.due(A)
    return group


def reads(group, me=A):
    return [told for told in group.told[me] if type(told) is ReadConfirmed]


def test_read_is_answered_by_a_majority_asked_after_it_came():
    group = led()
    group.propose(A, 1)
    group.cut.update((B, C))
    group.step(A, ReadRequest(1))
    assert not reads(group)
    group.cut.discard(C)
    group.pass_time(BOOTSTRAP["beat"])
    assert reads(group) == [ReadConfirmed(1, 2)]


def test_echo_of_an_earlier_round_confirms_nothing():
    group = led()
    group.step(A, ReadRequest(1))
    group.cut.update((B, C))
    group.step(A, ReadRequest(2))
    group.step(A, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=1)))
    assert [told.number for told in reads(group)] == [1]
    group.step(A, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=2)))
    assert [told.number for told in reads(group)] == [1, 2]


def test_new_leader_answers_reads_once_an_entry_of_its_own_is_committed():
    one = machine(A)
    lead(one)
    now = one.state.now
    one.step(now, ReadRequest(1))
    assert not of(
        ReadConfirmed, one.step(now, MessageReceived(B, AppendEntriesResponse(1, True, 0, read_round=1)))
    )
    one.step(now, WriteCompleted(one.state.durable.number))
    assert of(
        ReadConfirmed, one.step(now, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=1)))
    ) == [ReadConfirmed(1, 1)]


def test_leader_is_settled_once_an_entry_of_its_own_is_committed():
    group = Group(A, B, C)
    group.due(A)
    group.propose(A, 1, 2)
    group.cut.update((A, B))
    before = group.machines[C].state
    group.machines[C] = machine(C, hard_state=before.hard_state, log=before.log.entries, now=group.now)
    assert group.machines[C].commit_index == 0
    group.cut.clear()
    group.cut.add(A)
    group.slow.add(B)
    group.pass_time(3 * BOOTSTRAP["election"])
    assert not any(one.has_committed_in_term for one in group.machines.values())
    group.slow.clear()
    for write in group.unwritten[B]:
        group.step(B, WriteCompleted(write.number))
    group.pass_time(3 * BOOTSTRAP["election"])
    leader = group.leaders()[0]
    assert group.machines[leader].has_committed_in_term and group.numbers(leader) == [1, 2]


def test_reads_of_a_leader_that_ends_are_refused_and_their_number_is_bounded():
    group = led()
    group.cut.update((B, C))
    for number in range(BOOTSTRAP["proposals_most"] + 3):
        group.step(A, ReadRequest(number))
    assert [told.is_confirmed for told in reads(group)] == [False] * 3
    group.pass_time(BOOTSTRAP["election"] + BOOTSTRAP["beat"])
    assert len(reads(group)) == BOOTSTRAP["proposals_most"] + 3 and not any(
        told.is_confirmed for told in reads(group)
    )


def test_one_alone_is_its_own_majority():
    group = led(A)
    group.propose(A, 1)
    group.step(A, ReadRequest(1))
    assert group.numbers(A) == [1] and reads(group) == [ReadConfirmed(1, 2)]
