"""Elections: pre-votes, votes, what has to be on the disk before them, and leadership transfer."""

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
from raft_cluster import (
    SETTINGS,
    A,
    B,
    C,
    Cluster,
    entries,
    make_node,
    messages_of,
    outputs_of,
    start_election,
)


def test_candidate_with_a_majority_leads_and_the_others_follow():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    assert cluster.leaders() == [A]
    assert {cluster.nodes[member].leader for member in (A, B, C)} == {A}
    assert cluster.nodes[C].commit_index == 0 and cluster.nodes[A].commit_index == 1
    cluster.advance(SETTINGS["beat"])
    assert cluster.nodes[C].commit_index == 1


def test_candidate_requests_votes_after_its_own_vote_is_on_the_disk():
    node = make_node()
    outputs = node.step(node.due_at, Tick())
    assert [message.is_pre_vote for _, message in messages_of(RequestVote, outputs)] == [True, True]
    outputs = node.step(node.due_at, MessageReceived(B, RequestVoteResponse(1, True, True)))
    assert not messages_of(RequestVote, outputs) and node.term == 1
    # A vote that comes before that is ignored, as none was requested.
    outputs = node.step(node.due_at, MessageReceived(B, RequestVoteResponse(1, True)))
    assert not outputs_of(RoleChanged, outputs)
    outputs = node.step(node.state.now, WriteCompleted(node.state.durable.last_write))
    assert [to for to, _ in messages_of(RequestVote, outputs)] == [B, C]


def test_vote_is_sent_once_it_is_on_the_disk_and_to_one_candidate_per_term():
    node = make_node(C)
    outputs = node.step(10, MessageReceived(A, RequestVote(1, 0, 0)))
    assert not messages_of(RequestVoteResponse, outputs)
    assert messages_of(RequestVoteResponse, node.step(20, WriteCompleted(node.state.durable.last_write))) == [
        (A, RequestVoteResponse(1, True))
    ]
    assert messages_of(RequestVoteResponse, node.step(30, MessageReceived(B, RequestVote(1, 0, 0)))) == [
        (B, RequestVoteResponse(1, False))
    ]
    # The same holds after a restart, as the vote was written.
    restarted = make_node(C, hard_state=HardState(1, A))
    assert messages_of(RequestVoteResponse, restarted.step(10, MessageReceived(B, RequestVote(1, 0, 0)))) == [
        (B, RequestVoteResponse(1, False))
    ]
    assert messages_of(RequestVoteResponse, restarted.step(20, MessageReceived(A, RequestVote(1, 0, 0)))) == [
        (A, RequestVoteResponse(1, True))
    ]


@pytest.mark.parametrize(
    "last_index, last_term, is_granted", [(3, 2, True), (9, 1, False), (2, 2, False), (1, 3, True)]
)
def test_vote_is_granted_only_to_a_log_that_is_at_least_as_up_to_date(last_index, last_term, is_granted):
    node = make_node(C, hard_state=HardState(2), log=entries(1, 2, 2))
    outputs = node.step(9, MessageReceived(A, RequestVote(4, last_index, last_term, True)))
    assert messages_of(RequestVoteResponse, outputs)[0][1].vote_granted is is_granted
    outputs = node.step(10, MessageReceived(A, RequestVote(4, last_index, last_term)))
    outputs += node.step(20, WriteCompleted(node.state.durable.last_write))
    assert messages_of(RequestVoteResponse, outputs)[0][1].vote_granted is is_granted
    assert node.term == 4


def test_member_that_rejoins_does_not_depose_the_leader():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    cluster.disconnected.add(C)
    cluster.advance(20 * SETTINGS["election"])
    assert cluster.nodes[C].role.value == "asking" and cluster.nodes[C].term == 1
    cluster.disconnected.clear()
    cluster.advance(4 * SETTINGS["election"])
    assert cluster.nodes[C].leader == A
    assert cluster.leaders() == [A] and cluster.nodes[A].term == 1


def test_no_vote_is_granted_against_a_live_leader_even_in_a_later_term():
    node = make_node(C)
    node.step(10, MessageReceived(A, AppendEntries(1, 0, 0, 0)))
    outputs = node.step(20, MessageReceived(B, RequestVote(7, 99, 7)))
    outputs += node.step(30, MessageReceived(B, RequestVote(7, 99, 7, True)))
    responses = messages_of(RequestVoteResponse, outputs)
    assert [message.vote_granted for _, message in responses] == [False, False] and node.term == 1
    outputs = node.step(10 + SETTINGS["election"], MessageReceived(B, RequestVote(7, 99, 7, True)))
    assert messages_of(RequestVoteResponse, outputs) == [(B, RequestVoteResponse(7, True, True))]
    assert node.term == 1


def test_leader_without_responses_of_a_majority_steps_down():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    cluster.disconnected.update((B, C))
    cluster.advance(SETTINGS["election"] + SETTINGS["beat"])
    assert not cluster.leaders()
    events = [output.event for output in cluster.other_outputs[A] if hasattr(output, "event")]
    assert events == ["majority_lost"]


def test_stalled_leader_reads_waiting_responses_before_it_steps_down():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    cluster.now += SETTINGS["election"] + 100
    cluster.step(A, Tick())
    assert cluster.leaders() == [A]
    cluster.advance(3 * SETTINGS["election"])
    assert cluster.leaders() == [A] and cluster.nodes[A].term == 1


def test_votes_of_unknown_members_and_of_lost_disks_are_ignored():
    node = make_node(A, (A, B, MemberId("c", 2)))
    start_election(node)
    for unknown_member in (MemberId("x", 1), MemberId("c", 1), MemberId("c", 3)):
        response = MessageReceived(unknown_member, RequestVoteResponse(1, True))
        assert not outputs_of(RoleChanged, node.step(node.state.now, response))
    outputs = node.step(node.state.now, MessageReceived(B, RequestVoteResponse(1, True)))
    assert outputs_of(RoleChanged, outputs)[0].role == "leader"


def test_outdated_member_number_gets_no_response_but_an_unknown_member_does():
    node = make_node(A, (A, B, MemberId("c", 2)))
    assert node.step(10, MessageReceived(MemberId("c", 1), RequestVote(5, 9, 9, True))) == []
    assert messages_of(
        RequestVoteResponse, node.step(10, MessageReceived(MemberId("x", 1), RequestVote(5, 9, 9, True)))
    )


def test_member_with_a_failed_disk_neither_votes_nor_starts_an_election():
    node = make_node(C)
    node.step(5, StorageFailed("full"))
    assert node.step(10, MessageReceived(A, RequestVote(1, 0, 0))) == []
    assert node.step(11, MessageReceived(A, RequestVote(1, 0, 0, True))) == []
    outputs = node.step(12, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1)))))
    assert not messages_of(AppendEntriesResponse, outputs)
    assert not messages_of(RequestVote, node.step(node.due_at, Tick()))
    node.step(node.state.now, StorageRecovered())
    outputs = node.step(node.state.now, WriteCompleted(node.state.durable.last_write))
    assert messages_of(RequestVote, node.step(node.due_at, Tick()))
    assert node.state.durable.stable_index == 1 and not messages_of(RequestVoteResponse, outputs)


def test_vote_whose_write_fails_is_never_sent():
    node = make_node(C)
    node.step(10, MessageReceived(A, RequestVote(1, 0, 0)))
    number = node.state.durable.last_write
    node.step(11, StorageFailed("full"))
    assert node.step(12, WriteCompleted(number)) == []


def test_leadership_is_transferred_at_once_to_a_voter_with_a_complete_log():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    before = cluster.now
    cluster.step(A, TransferLeadership(B))
    assert cluster.leaders() == [B] and cluster.now == before and cluster.nodes[B].term == 2
    cluster.step(B, TransferLeadership(MemberId("x", 1)))
    assert cluster.leaders() == [B]


def test_proposals_are_rejected_during_a_leadership_transfer_and_accepted_after_it():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    cluster.disconnected.add(B)
    cluster.step(A, TransferLeadership(B))
    cluster.propose(A, 1)
    assert cluster.other_outputs[A][-1].retry_after_ticks == SETTINGS["beat"]
    cluster.advance(SETTINGS["election"] + SETTINGS["beat"])
    cluster.propose(A, 1)
    assert cluster.leaders() == [A] and cluster.applied_numbers(A) == [1]


def test_timeout_now_is_ignored_from_another_member_or_an_older_term():
    node = make_node(C)
    node.step(10, MessageReceived(A, AppendEntries(1, 0, 0, 0)))
    assert node.step(20, MessageReceived(B, TimeoutNow(1))) == []
    assert node.step(20, MessageReceived(A, TimeoutNow(0))) == []
    assert node.role.value == "follower"


def test_second_leader_in_a_term_raises_an_error():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    with pytest.raises(ValueError, match="two leaders"):
        cluster.step(A, MessageReceived(B, AppendEntries(1, 0, 0, 0)))
