"""Reads confirmed by a majority, and when a new leader's state machine is complete."""

from indigohitch.fleet.raft.interfaces import MessageReceived, ReadConfirmed, ReadRequest, WriteCompleted
from indigohitch.fleet.raft.messages import AppendEntriesResponse
from raft_cluster import SETTINGS, A, B, C, Cluster, elect, make_node, outputs_of


def cluster_led_by_a(*members):
    cluster = Cluster(*members or (A, B, C))
    cluster.fire_timer(A)
    return cluster


def answered_reads(cluster, member=A):
    return [output for output in cluster.other_outputs[member] if type(output) is ReadConfirmed]


def test_read_is_confirmed_by_a_majority_that_responds_after_it_came():
    cluster = cluster_led_by_a()
    cluster.propose(A, 1)
    cluster.disconnected.update((B, C))
    cluster.step(A, ReadRequest(1))
    assert not answered_reads(cluster)
    cluster.disconnected.discard(C)
    cluster.advance(SETTINGS["beat"])
    assert answered_reads(cluster) == [ReadConfirmed(1, 2)]


def test_echo_of_an_earlier_round_confirms_nothing():
    cluster = cluster_led_by_a()
    cluster.step(A, ReadRequest(1))
    cluster.disconnected.update((B, C))
    cluster.step(A, ReadRequest(2))
    cluster.step(A, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=1)))
    assert [read.number for read in answered_reads(cluster)] == [1]
    cluster.step(A, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=2)))
    assert [read.number for read in answered_reads(cluster)] == [1, 2]


def test_new_leader_confirms_reads_once_an_entry_of_its_term_is_committed():
    node = make_node(A)
    elect(node)
    now = node.state.now
    node.step(now, ReadRequest(1))
    outputs = node.step(now, MessageReceived(B, AppendEntriesResponse(1, True, 0, read_round=1)))
    assert not outputs_of(ReadConfirmed, outputs)
    node.step(now, WriteCompleted(node.state.durable.last_write))
    outputs = node.step(now, MessageReceived(B, AppendEntriesResponse(1, True, 1, read_round=1)))
    assert outputs_of(ReadConfirmed, outputs) == [ReadConfirmed(1, 1)]


def test_new_leader_is_complete_once_an_entry_of_its_term_is_committed():
    cluster = Cluster(A, B, C)
    cluster.fire_timer(A)
    cluster.propose(A, 1, 2)
    cluster.disconnected.update((A, B))
    before = cluster.nodes[C].state
    cluster.nodes[C] = make_node(C, hard_state=before.hard_state, log=before.log.entries, now=cluster.now)
    assert cluster.nodes[C].commit_index == 0
    cluster.disconnected.clear()
    cluster.disconnected.add(A)
    cluster.slow_disks.add(B)
    cluster.advance(3 * SETTINGS["election"])
    assert not any(node.has_committed_in_term for node in cluster.nodes.values())
    cluster.slow_disks.clear()
    for write in cluster.pending_writes[B]:
        cluster.step(B, WriteCompleted(write.number))
    cluster.advance(3 * SETTINGS["election"])
    leader = cluster.leaders()[0]
    assert cluster.nodes[leader].has_committed_in_term and cluster.applied_numbers(leader) == [1, 2]


def test_waiting_reads_are_bounded_and_rejected_when_the_leader_steps_down():
    cluster = cluster_led_by_a()
    cluster.disconnected.update((B, C))
    for number in range(SETTINGS["proposals_most"] + 3):
        cluster.step(A, ReadRequest(number))
    assert [read.is_confirmed for read in answered_reads(cluster)] == [False] * 3
    cluster.advance(SETTINGS["election"] + SETTINGS["beat"])
    assert len(answered_reads(cluster)) == SETTINGS["proposals_most"] + 3
    assert not any(read.is_confirmed for read in answered_reads(cluster))


def test_single_voter_is_its_own_majority():
    cluster = cluster_led_by_a(A)
    cluster.propose(A, 1)
    cluster.step(A, ReadRequest(1))
    assert cluster.applied_numbers(A) == [1] and answered_reads(cluster) == [ReadConfirmed(1, 2)]
