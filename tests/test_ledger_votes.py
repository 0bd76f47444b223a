"""Elections of the ledger: who asks, who votes, what has to lie on the disk before."""

import pytest

from indigohitch.fleet.raft.interfaces import (
    HardState,
    MessageReceived,
    RoleChanged,
    StorageFailed,
    StorageRecovered,
    Tick,
    TransferLeadership,
    WriteCompleted,
)
from indigohitch.fleet.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from indigohitch.fleet.types import MemberId
from ledger_group import BOOTSTRAP, A, B, C, Group, entries, machine, of, stand, words


def test_who_gets_a_majority_leads_and_the_others_follow():
    group = Group(A, B, C)
    group.due(A)
    assert group.leaders() == [A]
    assert {group.machines[me].leader for me in (A, B, C)} == {A}
    assert group.machines[C].commit_index == 0 and group.machines[A].commit_index == 1
    group.pass_time(BOOTSTRAP["beat"])
    assert group.machines[C].commit_index == 1


def test_own_vote_is_on_the_disk_before_others_are_asked_for_theirs():
    one = machine()
    assert [word.is_pre_vote for _, word in words(RequestVote, one.step(one.due_at, Tick()))] == [True, True]
    asked = one.step(one.due_at, MessageReceived(B, RequestVoteResponse(1, True, True)))
    assert not words(RequestVote, asked) and one.term == 1
    # Votes that come before count nothing: nobody was asked.
    assert not of(RoleChanged, one.step(one.due_at, MessageReceived(B, RequestVoteResponse(1, True))))
    assert [
        to for to, _ in words(RequestVote, one.step(one.state.now, WriteCompleted(one.state.durable.number)))
    ] == [B, C]


def test_vote_goes_out_once_it_is_on_the_disk_and_to_one_in_a_term():
    one = machine(C)
    out = one.step(10, MessageReceived(A, RequestVote(1, 0, 0)))
    assert not words(RequestVoteResponse, out)
    assert words(RequestVoteResponse, one.step(20, WriteCompleted(one.state.durable.number))) == [
        (A, RequestVoteResponse(1, True))
    ]
    assert words(RequestVoteResponse, one.step(30, MessageReceived(B, RequestVote(1, 0, 0)))) == [
        (B, RequestVoteResponse(1, False))
    ]
    # The same after a restart: the ballot is what was written.
    again = machine(C, hard_state=HardState(1, A))
    assert words(RequestVoteResponse, again.step(10, MessageReceived(B, RequestVote(1, 0, 0)))) == [
        (B, RequestVoteResponse(1, False))
    ]
    assert words(RequestVoteResponse, again.step(20, MessageReceived(A, RequestVote(1, 0, 0)))) == [
        (A, RequestVoteResponse(1, True))
    ]


@pytest.mark.parametrize(
    "last_index, last_term, given", [(3, 2, True), (9, 1, False), (2, 2, False), (1, 3, True)]
)
def test_vote_only_for_a_log_at_least_as_far(last_index, last_term, given):
    one = machine(C, hard_state=HardState(2), log=entries(1, 2, 2))
    assert (
        words(
            RequestVoteResponse, one.step(9, MessageReceived(A, RequestVote(4, last_index, last_term, True)))
        )[0][1].vote_granted
        is given
    )
    out = one.step(10, MessageReceived(A, RequestVote(4, last_index, last_term)))
    out += one.step(20, WriteCompleted(one.state.durable.number))
    assert words(RequestVoteResponse, out)[0][1].vote_granted is given
    assert one.term == 4


def test_member_that_comes_back_doesnt_unseat_a_leader():
    group = Group(A, B, C)
    group.due(A)
    group.cut.add(C)
    group.pass_time(20 * BOOTSTRAP["election"])
    assert group.machines[C].role.value == "asking" and group.machines[C].term == 1
    group.cut.clear()
    group.pass_time(4 * BOOTSTRAP["election"])
    assert group.machines[C].leader == A
    assert group.leaders() == [A] and group.machines[A].term == 1


def test_no_vote_against_a_leader_that_is_heard_even_in_a_later_term():
    one = machine(C)
    one.step(10, MessageReceived(A, AppendEntries(1, 0, 0, 0)))
    out = one.step(20, MessageReceived(B, RequestVote(7, 99, 7))) + one.step(
        30, MessageReceived(B, RequestVote(7, 99, 7, True))
    )
    assert [word.vote_granted for _, word in words(RequestVoteResponse, out)] == [
        False,
        False,
    ] and one.term == 1
    later = one.step(10 + BOOTSTRAP["election"], MessageReceived(B, RequestVote(7, 99, 7, True)))
    assert words(RequestVoteResponse, later) == [(B, RequestVoteResponse(7, True, True))] and one.term == 1


def test_leader_that_hears_no_majority_steps_down():
    group = Group(A, B, C)
    group.due(A)
    group.cut.update((B, C))
    group.pass_time(BOOTSTRAP["election"] + BOOTSTRAP["beat"])
    assert not group.leaders()
    assert [note.event for note in group.told[A] if hasattr(note, "event")] == ["majority_lost"]


def test_leader_that_stood_still_hears_what_came_meanwhile_before_it_judges():
    group = Group(A, B, C)
    group.due(A)
    group.now += BOOTSTRAP["election"] + 100
    group.step(A, Tick())
    assert group.leaders() == [A]
    group.pass_time(3 * BOOTSTRAP["election"])
    assert group.leaders() == [A] and group.machines[A].term == 1


def test_votes_of_strangers_and_of_lost_disks_count_nothing():
    one = machine(A, (A, B, MemberId("c", 2)))
    stand(one)
    for stranger in (MemberId("x", 1), MemberId("c", 1), MemberId("c", 3)):
        assert not of(
            RoleChanged, one.step(one.state.now, MessageReceived(stranger, RequestVoteResponse(1, True)))
        )
    assert (
        of(RoleChanged, one.step(one.state.now, MessageReceived(B, RequestVoteResponse(1, True))))[0].role
        == "leader"
    )


def test_old_number_of_a_name_is_not_answered_and_a_stranger_is():
    one = machine(A, (A, B, MemberId("c", 2)))
    assert one.step(10, MessageReceived(MemberId("c", 1), RequestVote(5, 9, 9, True))) == []
    assert words(
        RequestVoteResponse, one.step(10, MessageReceived(MemberId("x", 1), RequestVote(5, 9, 9, True)))
    )


def test_member_without_disk_neither_votes_nor_stands_until_it_is_back():
    one = machine(C)
    one.step(5, StorageFailed("full"))
    assert (
        one.step(10, MessageReceived(A, RequestVote(1, 0, 0)))
        == one.step(11, MessageReceived(A, RequestVote(1, 0, 0, True)))
        == []
    )
    assert not words(
        AppendEntriesResponse, one.step(12, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1)))))
    )
    assert not words(RequestVote, one.step(one.due_at, Tick()))
    one.step(one.state.now, StorageRecovered())
    said = one.step(one.state.now, WriteCompleted(one.state.durable.number))
    assert (
        words(RequestVote, one.step(one.due_at, Tick()))
        and one.state.durable.stable == 1
        and not words(RequestVoteResponse, said)
    )


def test_vote_under_way_when_the_disk_fails_is_never_told():
    one = machine(C)
    one.step(10, MessageReceived(A, RequestVote(1, 0, 0)))
    number = one.state.durable.number
    one.step(11, StorageFailed("full"))
    assert one.step(12, WriteCompleted(number)) == []


def test_leader_hands_over_at_once_to_one_that_has_all():
    group = Group(A, B, C)
    group.due(A)
    before = group.now
    group.step(A, TransferLeadership(B))
    assert group.leaders() == [B] and group.now == before and group.machines[B].term == 2
    group.step(B, TransferLeadership(MemberId("x", 1)))
    assert group.leaders() == [B]


def test_proposals_are_turned_away_while_handing_over_and_taken_again_after():
    group = Group(A, B, C)
    group.due(A)
    group.cut.add(B)
    group.step(A, TransferLeadership(B))
    group.propose(A, 1)
    assert group.told[A][-1].retry_after_ticks == BOOTSTRAP["beat"]
    group.pass_time(BOOTSTRAP["election"] + BOOTSTRAP["beat"])
    group.propose(A, 1)
    assert group.leaders() == [A] and group.numbers(A) == [1]


def test_take_of_one_that_doesnt_lead_means_nothing():
    one = machine(C)
    one.step(10, MessageReceived(A, AppendEntries(1, 0, 0, 0)))
    assert (
        one.step(20, MessageReceived(B, TimeoutNow(1))) == []
        and one.step(20, MessageReceived(A, TimeoutNow(0))) == []
    )
    assert one.role.value == "follower"


def test_two_leaders_in_a_term_end_the_member():
    group = Group(A, B, C)
    group.due(A)
    with pytest.raises(ValueError, match="two leaders"):
        group.step(A, MessageReceived(B, AppendEntries(1, 0, 0, 0)))
