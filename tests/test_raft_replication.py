"""Log replication: proposals, acknowledgements and commits; slow members and failing disks."""

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
from raft_cluster import (
    SETTINGS,
    A,
    B,
    C,
    Cluster,
    elect,
    entries,
    make_node,
    messages_of,
    outputs_of,
    proposal,
)


def cluster_led_by_a(*members, **settings):
    cluster = Cluster(*members or (A, B, C), **settings)
    cluster.fire_timer(A)
    return cluster


def test_all_members_apply_proposals_in_the_same_order():
    cluster = cluster_led_by_a()
    cluster.propose(A, 1, 2, 3)
    cluster.advance(SETTINGS["beat"])
    assert cluster.applied_numbers(A) == cluster.applied_numbers(B) == cluster.applied_numbers(C) == [1, 2, 3]


def test_follower_redirects_proposals_and_reads_to_the_leader():
    cluster = cluster_led_by_a()
    cluster.propose(B, 1)
    cluster.step(B, ReadRequest(7))
    assert [type(output) for output in cluster.other_outputs[B][-2:]] == [ProposalRejected, ReadConfirmed]
    assert [output.leader for output in cluster.other_outputs[B][-2:]] == [A, A]
    assert not cluster.other_outputs[B][-1].is_confirmed


def test_entries_are_acknowledged_only_after_they_are_written():
    node = make_node(B)
    outputs = node.step(1, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1, 1)))))
    assert not messages_of(AppendEntriesResponse, outputs)
    writes = outputs_of(WriteEntries, outputs)
    assert not messages_of(AppendEntriesResponse, node.step(2, WriteCompleted(writes[0].number)))
    outputs = node.step(3, MessageReceived(A, AppendEntries(1, 2, 1, 0)))
    assert messages_of(AppendEntriesResponse, outputs)[0][1].match_index == 0
    outputs = node.step(4, WriteCompleted(writes[1].number))
    assert messages_of(AppendEntriesResponse, outputs)[0][1].match_index == 2


def test_leader_counts_itself_only_after_its_own_write():
    cluster = cluster_led_by_a()
    cluster.disconnected.add(C)
    cluster.slow_disks.add(A)
    cluster.propose(A, 1)
    assert cluster.applied_numbers(A) == [] and cluster.nodes[B].state.log.last_index == 2
    cluster.step(A, WriteCompleted(cluster.pending_writes[A][-1].number))
    assert cluster.applied_numbers(A) == [1]


def test_entry_of_an_older_term_is_not_committed_by_counting_replicas():
    """A majority has entry 2 of term 2, which may be overwritten until one of term 4 commits (figure 8)."""
    node = make_node(A, hard_state=HardState(3), log=entries(1, 2))
    elect(node)
    now = node.state.now
    node.step(now, WriteCompleted(node.state.durable.last_write))
    assert not outputs_of(ApplyEntries, node.step(now, MessageReceived(B, AppendEntriesResponse(4, True, 2))))
    outputs = node.step(now, MessageReceived(B, AppendEntriesResponse(4, True, 3)))
    committed = outputs_of(ApplyEntries, outputs)
    assert [entry.term for entry in committed[0].entries] == [1, 2, 4]


def test_conflicting_tail_is_truncated_but_never_a_committed_entry():
    node = make_node(B, hard_state=HardState(2), log=entries(1, 2, 2))
    rejected = node.step(1, MessageReceived(A, AppendEntries(3, 3, 3, 0)))
    node.step(2, WriteCompleted(node.state.durable.last_write))
    assert messages_of(AppendEntriesResponse, rejected)[0][1] == AppendEntriesResponse(3, False, 3, 3, 2)
    outputs = node.step(3, MessageReceived(A, AppendEntries(3, 1, 1, 1, (LogEntry(2, 3, "x.y", b""),))))
    assert outputs_of(WriteEntries, outputs)[0].truncate_from == 2 and node.state.log.last_index == 2
    assert outputs_of(ApplyEntries, outputs)[0].entries == tuple(entries(1))
    with pytest.raises(ValueError, match="committed"):
        node.step(4, MessageReceived(A, AppendEntries(3, 0, 0, 0, (LogEntry(1, 3, "x.y", b""),))))


def test_acknowledgement_excludes_entries_that_the_leader_may_not_have():
    node = make_node(B, hard_state=HardState(1), log=entries(1, 1, 1))
    node.step(1, MessageReceived(A, AppendEntries(2, 1, 1, 0)))
    outputs = node.step(2, WriteCompleted(node.state.durable.last_write))
    assert messages_of(AppendEntriesResponse, outputs)[0][1].match_index == 1


def test_matching_index_of_a_lagging_member_is_found_in_few_rejections():
    cluster = Cluster(A, B, C)
    cluster.nodes.clear()
    cluster.add(make_node(A, hard_state=HardState(9), log=entries(*[1] * 50, *[8] * 50)))
    cluster.add(make_node(B, hard_state=HardState(9), log=entries(*[1] * 50, *[2] * 60)))
    cluster.add(make_node(C, hard_state=HardState(9)))
    cluster.fire_timer(A)
    cluster.advance(SETTINGS["beat"])
    assert len(cluster.applied[B]) == len(cluster.applied[C]) == 101
    responses = [message for _, _, message in cluster.sent if type(message) is AppendEntriesResponse]
    rejections = [response for response in responses if not response.success]
    assert len(rejections) <= 4


def test_uncommitted_entries_are_bounded_and_rejections_say_when_to_retry():
    cluster = cluster_led_by_a()
    cluster.disconnected.update((B, C))
    cluster.propose(A, *range(1, 40))
    rejections = [output for output in cluster.other_outputs[A] if type(output) is ProposalRejected]
    assert cluster.nodes[A].state.log.last_index <= SETTINGS["proposals_most"] + 1
    assert len(rejections) == 39 - SETTINGS["proposals_most"]
    assert {rejection.retry_after_ticks for rejection in rejections} == {SETTINGS["beat"]}
    for body in range(3):
        cluster.step(A, Propose(proposal(100 + body, bytes(2000))))
    assert type(cluster.other_outputs[A][-1]) is ProposalRejected


def test_proposal_too_large_for_a_message_is_rejected_and_logged():
    cluster = cluster_led_by_a()
    cluster.step(A, Propose(proposal(1, bytes(SETTINGS["append_most"] * SETTINGS["inflight"] + 1))))
    event, rejection = cluster.other_outputs[A][-2:]
    assert event.event == "proposal_too_large" and rejection.retry_after_ticks == SETTINGS["election"]
    assert cluster.nodes[A].state.log.last_index == 1


def test_slow_member_delays_no_other_and_has_few_messages_in_flight():
    cluster = cluster_led_by_a(inflight=2, append_most=200)
    cluster.slow_disks.add(C)
    cluster.propose(A, *range(1, 30))
    assert cluster.applied_numbers(A) == list(range(1, 30))
    sent_to_c = [message for _, to, message in cluster.sent if to == C and type(message) is AppendEntries]
    assert (
        len([message for message in sent_to_c if message.entries]) <= 4
        and len(cluster.pending_writes[C]) <= 4
    )
    cluster.slow_disks.clear()
    while cluster.pending_writes[C]:
        cluster.step(C, WriteCompleted(cluster.pending_writes[C].pop().number))
    cluster.advance(3 * SETTINGS["beat"])
    assert cluster.applied_numbers(C) == list(range(1, 30))


def test_lost_messages_are_sent_again():
    cluster = cluster_led_by_a()
    cluster.disconnected.add(C)
    cluster.propose(A, 1, 2)
    cluster.disconnected.clear()
    cluster.propose(A, 3)
    cluster.advance(2 * SETTINGS["beat"])
    assert cluster.applied_numbers(C) == [1, 2, 3]


def test_leader_with_a_full_disk_steps_down_and_rejoins_after_recovery():
    cluster = cluster_led_by_a()
    cluster.slow_disks.add(A)
    cluster.propose(A, 1)
    cluster.step(A, StorageFailed("full"))
    assert not cluster.leaders() and cluster.nodes[A].role.value == "follower"
    cluster.slow_disks.clear()
    cluster.advance(2 * SETTINGS["election"])
    leader = cluster.leaders()[0]
    assert leader != A
    cluster.propose(leader, 2)
    cluster.step(A, StorageRecovered())
    cluster.advance(2 * SETTINGS["beat"])
    assert cluster.applied_numbers(A) == cluster.applied_numbers(leader)
    assert cluster.nodes[A].state.durable.stable_index == cluster.nodes[leader].state.durable.stable_index


def test_unconfirmed_writes_are_repeated_after_a_disk_failure():
    node = make_node(B)
    node.step(1, MessageReceived(A, AppendEntries(1, 0, 0, 0, tuple(entries(1, 1)))))
    node.step(2, WriteCompleted(2))
    node.step(3, MessageReceived(A, AppendEntries(1, 2, 1, 0, (LogEntry(3, 1, "x.y", b""),))))
    node.step(4, StorageFailed("full"))
    assert node.step(5, WriteCompleted(3)) == []
    rewrite = outputs_of(WriteEntries, node.step(6, StorageRecovered()))[0]
    assert (rewrite.hard_state, rewrite.truncate_from) == (HardState(1), 3)
    assert [entry.index for entry in rewrite.entries] == [3]
