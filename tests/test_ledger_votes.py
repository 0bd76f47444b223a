"""Elections of the ledger: who asks, who votes, what has to lie on the disk before."""

import pytest

from indigohitch.fleet.ledger.ports import Ballot, Became, DiskBack, DiskFailed, Due, HandOver, Heard, Written
from indigohitch.fleet.ledger.words import Append, Appended, Ask, Take, Vote
from indigohitch.fleet.terms import Who
from ledger_group import BOOTSTRAP, A, B, C, Group, entries, machine, of, stand, words


def test_who_gets_a_majority_leads_and_the_others_follow():
    group = Group(A, B, C)
    group.due(A)
    assert group.leaders() == [A]
    assert {group.machines[me].leader for me in (A, B, C)} == {A}
    assert group.machines[C].commit == 0 and group.machines[A].commit == 1
    group.pass_time(BOOTSTRAP["beat"])
    assert group.machines[C].commit == 1


def test_own_vote_is_on_the_disk_before_others_are_asked_for_theirs():
    one = machine()
    assert [word.pre for _, word in words(Ask, one.step(one.due, Due()))] == [True, True]
    asked = one.step(one.due, Heard(B, Vote(1, True, True)))
    assert not words(Ask, asked) and one.term == 1
    # Votes that come before count nothing: nobody was asked.
    assert not of(Became, one.step(one.due, Heard(B, Vote(1, True))))
    assert [to for to, _ in words(Ask, one.step(one.state.now, Written(one.state.durable.number)))] == [B, C]


def test_vote_goes_out_once_it_is_on_the_disk_and_to_one_in_a_term():
    one = machine(C)
    out = one.step(10, Heard(A, Ask(1, 0, 0)))
    assert not words(Vote, out)
    assert words(Vote, one.step(20, Written(one.state.durable.number))) == [(A, Vote(1, True))]
    assert words(Vote, one.step(30, Heard(B, Ask(1, 0, 0)))) == [(B, Vote(1, False))]
    # The same after a restart: the ballot is what was written.
    again = machine(C, ballot=Ballot(1, A))
    assert words(Vote, again.step(10, Heard(B, Ask(1, 0, 0)))) == [(B, Vote(1, False))]
    assert words(Vote, again.step(20, Heard(A, Ask(1, 0, 0)))) == [(A, Vote(1, True))]


@pytest.mark.parametrize(
    "last_index, last_term, given", [(3, 2, True), (9, 1, False), (2, 2, False), (1, 3, True)]
)
def test_vote_only_for_a_log_at_least_as_far(last_index, last_term, given):
    one = machine(C, ballot=Ballot(2), log=entries(1, 2, 2))
    assert words(Vote, one.step(9, Heard(A, Ask(4, last_index, last_term, True))))[0][1].given is given
    out = one.step(10, Heard(A, Ask(4, last_index, last_term)))
    out += one.step(20, Written(one.state.durable.number))
    assert words(Vote, out)[0][1].given is given
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
    one.step(10, Heard(A, Append(1, 0, 0, 0)))
    out = one.step(20, Heard(B, Ask(7, 99, 7))) + one.step(30, Heard(B, Ask(7, 99, 7, True)))
    assert [word.given for _, word in words(Vote, out)] == [False, False] and one.term == 1
    later = one.step(10 + BOOTSTRAP["election"], Heard(B, Ask(7, 99, 7, True)))
    assert words(Vote, later) == [(B, Vote(7, True, True))] and one.term == 1


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
    group.step(A, Due())
    assert group.leaders() == [A]
    group.pass_time(3 * BOOTSTRAP["election"])
    assert group.leaders() == [A] and group.machines[A].term == 1


def test_votes_of_strangers_and_of_lost_disks_count_nothing():
    one = machine(A, (A, B, Who("c", 2)))
    stand(one)
    for stranger in (Who("x", 1), Who("c", 1), Who("c", 3)):
        assert not of(Became, one.step(one.state.now, Heard(stranger, Vote(1, True))))
    assert of(Became, one.step(one.state.now, Heard(B, Vote(1, True))))[0].role == "leader"


def test_old_number_of_a_name_is_not_answered_and_a_stranger_is():
    one = machine(A, (A, B, Who("c", 2)))
    assert one.step(10, Heard(Who("c", 1), Ask(5, 9, 9, True))) == []
    assert words(Vote, one.step(10, Heard(Who("x", 1), Ask(5, 9, 9, True))))


def test_member_without_disk_neither_votes_nor_stands_until_it_is_back():
    one = machine(C)
    one.step(5, DiskFailed("full"))
    assert one.step(10, Heard(A, Ask(1, 0, 0))) == one.step(11, Heard(A, Ask(1, 0, 0, True))) == []
    assert not words(Appended, one.step(12, Heard(A, Append(1, 0, 0, 0, tuple(entries(1))))))
    assert not words(Ask, one.step(one.due, Due()))
    one.step(one.state.now, DiskBack())
    said = one.step(one.state.now, Written(one.state.durable.number))
    assert words(Ask, one.step(one.due, Due())) and one.state.durable.stable == 1 and not words(Vote, said)


def test_vote_under_way_when_the_disk_fails_is_never_told():
    one = machine(C)
    one.step(10, Heard(A, Ask(1, 0, 0)))
    number = one.state.durable.number
    one.step(11, DiskFailed("full"))
    assert one.step(12, Written(number)) == []


def test_leader_hands_over_at_once_to_one_that_has_all():
    group = Group(A, B, C)
    group.due(A)
    before = group.now
    group.step(A, HandOver(B))
    assert group.leaders() == [B] and group.now == before and group.machines[B].term == 2
    group.step(B, HandOver(Who("x", 1)))
    assert group.leaders() == [B]


def test_proposals_are_turned_away_while_handing_over_and_taken_again_after():
    group = Group(A, B, C)
    group.due(A)
    group.cut.add(B)
    group.step(A, HandOver(B))
    group.propose(A, 1)
    assert group.told[A][-1].again == BOOTSTRAP["beat"]
    group.pass_time(BOOTSTRAP["election"] + BOOTSTRAP["beat"])
    group.propose(A, 1)
    assert group.leaders() == [A] and group.numbers(A) == [1]


def test_take_of_one_that_doesnt_lead_means_nothing():
    one = machine(C)
    one.step(10, Heard(A, Append(1, 0, 0, 0)))
    assert one.step(20, Heard(B, Take(1))) == [] and one.step(20, Heard(A, Take(0))) == []
    assert one.role.value == "follower"


def test_two_leaders_in_a_term_end_the_member():
    group = Group(A, B, C)
    group.due(A)
    with pytest.raises(ValueError, match="two leaders"):
        group.step(A, Heard(B, Append(1, 0, 0, 0)))
