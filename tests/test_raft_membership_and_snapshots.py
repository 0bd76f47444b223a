"""Membership changes, one step at a time, and snapshots sent in chunks."""

import msgspec
import pytest

from indigohitch.encoding.rows import digest
from indigohitch.fleet.raft.configuration import encode_members, next_configuration
from indigohitch.fleet.raft.interfaces import (
    ChangeMembers,
    HardState,
    Members,
    MessageReceived,
    RestoreSnapshot,
    Snapshot,
    SnapshotCompleted,
    StorageFailed,
    StorageRecovered,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
)
from indigohitch.fleet.types import LogEntry, MemberId
from raft_cluster import SETTINGS, A, B, C, Cluster, D, elect, entries, make_node, messages_of, outputs_of

B2 = MemberId("b", 2)


def cluster_led_by_a(*members, **settings):
    cluster = Cluster(*members or (A, B, C), **settings)
    cluster.fire_timer(A)
    return cluster


def make_empty_node(member, **settings):
    return make_node(member, (), **settings)


def applied_changes(cluster, member=A):
    return [
        entry
        for entry in cluster.applied[member]
        if type(entry) is LogEntry and entry.kind == "ledger.members"
    ]


def test_new_member_becomes_a_voter_once_it_has_caught_up():
    cluster = cluster_led_by_a()
    cluster.propose(A, *range(1, 9))
    cluster.add(make_empty_node(D))
    cluster.disconnected.add(D)
    cluster.step(A, ChangeMembers(D))
    assert cluster.nodes[A].members == Members((A, B, C), (D,))
    cluster.advance(2 * SETTINGS["election"])
    assert cluster.nodes[A].members == Members((A, B, C), (D,))
    cluster.disconnected.clear()
    cluster.advance(4 * SETTINGS["beat"])
    assert cluster.nodes[D].members == Members((A, B, C, D))
    assert cluster.applied_numbers(D) == list(range(1, 9))


def test_non_voting_member_gets_all_entries_and_never_starts_an_election():
    cluster = cluster_led_by_a()
    cluster.add(make_empty_node(D))
    cluster.step(A, ChangeMembers(D, as_voter=False))
    cluster.propose(A, 1)
    cluster.advance(SETTINGS["beat"])
    assert cluster.applied_numbers(D) == [1]
    cluster.disconnected.update((A, B, C))
    cluster.advance(10 * SETTINGS["election"])
    assert cluster.nodes[D].role.value == "follower"
    assert not [1 for sender, _, message in cluster.sent if sender == D and type(message) is RequestVote]


def test_changes_are_made_one_at_a_time_after_an_entry_of_the_own_term_is_committed():
    node = make_node(A)
    elect(node)
    now = node.state.now
    assert node.step(now, ChangeMembers(B, remove=True)) == []
    node.step(now, WriteCompleted(node.state.durable.last_write))
    node.step(now, MessageReceived(C, AppendEntriesResponse(1, True, 1)))
    assert outputs_of(WriteEntries, node.step(now, ChangeMembers(B, remove=True)))
    assert not outputs_of(WriteEntries, node.step(now, ChangeMembers(C, remove=True)))
    assert node.members == Members((A, C))


def test_member_with_a_lost_disk_returns_under_its_next_number():
    cluster = cluster_led_by_a()
    del cluster.nodes[B]
    cluster.add(make_empty_node(B2))
    cluster.step(A, ChangeMembers(B2))
    cluster.advance(4 * SETTINGS["beat"])
    assert set(cluster.nodes[A].members.voters) == {A, C, B2}
    sizes = [len(members.voters) for members in map(decode_members, applied_changes(cluster))]
    assert sizes == [3, 2, 3]
    with pytest.raises(ValueError, match="higher number"):
        next_configuration(cluster.nodes[A].members, B, False, True, True)


def decode_members(entry):
    return msgspec.msgpack.decode(entry.body, type=Members)


def test_removed_leader_steps_down_once_its_removal_is_committed():
    cluster = cluster_led_by_a()
    cluster.disconnected.update((B, C))
    cluster.step(A, ChangeMembers(A, remove=True))
    assert cluster.leaders() == [A]
    cluster.disconnected.clear()
    cluster.advance(SETTINGS["beat"])
    assert A not in cluster.leaders() and cluster.nodes[B].members == Members((B, C))
    cluster.advance(3 * SETTINGS["election"])
    assert len(cluster.leaders()) == 1 and cluster.leaders()[0] in (B, C)


def test_last_voter_cannot_be_removed():
    cluster = cluster_led_by_a(A)
    cluster.step(A, ChangeMembers(A, remove=True))
    assert cluster.nodes[A].members == Members((A,))
    assert cluster.other_outputs[A][-1].event == "change_refused"


def test_removed_member_can_be_elected_until_its_removal_is_committed():
    """It may be the only member with that entry, without which the others make no progress (4.2.2)."""
    removal = LogEntry(2, 1, "ledger.members", encode_members(Members((A,))))
    cluster = Cluster()
    cluster.add(make_node(A, (A, B), HardState(1), log=entries(1)))
    cluster.add(make_node(B, (A, B), HardState(1), log=[*entries(1), removal]))
    cluster.advance(5 * SETTINGS["election"])
    assert cluster.leaders() == [A] and cluster.nodes[A].commit_index >= 2


def test_truncated_change_is_reverted():
    change = LogEntry(2, 1, "ledger.members", encode_members(Members((A, B))))
    node = make_node(B, hard_state=HardState(1), log=[*entries(1), change])
    assert node.members == Members((A, B))
    node.step(1, MessageReceived(A, AppendEntries(2, 1, 1, 0, (LogEntry(2, 2, "", b""),))))
    assert node.members == Members((A, B, C))


# ---- snapshots ---------------------------------------------------------------------------------------


def test_log_is_bounded_and_a_lagging_member_gets_the_snapshot_in_chunks():
    cluster = cluster_led_by_a(log_most=2000)
    cluster.disconnected.add(C)
    cluster.propose(A, *range(1, 201))
    log = cluster.nodes[A].state.log
    assert log.base_index > 100 and log.bytes_since_snapshot <= 2000 and len(log.entries) < 60
    cluster.disconnected.clear()
    cluster.advance(2 * SETTINGS["election"])
    installed = [output for output in cluster.applied[C] if type(output) is RestoreSnapshot]
    assert len(installed) == 1 and installed[0].snapshot.state == b"%d" % installed[0].snapshot.index * 100
    assert cluster.applied_numbers(C)[-1] == 200
    assert cluster.nodes[C].commit_index == cluster.nodes[A].commit_index
    chunks = [1 for _, to, message in cluster.sent if type(message) is InstallSnapshot]
    assert len(chunks) >= len(installed[0].snapshot.state) // 100


SNAPSHOT = Snapshot(7, 2, Members((A, B, C)), bytes(range(250)))


def snapshot_chunk(offset, size=100, term=3, data=None, snapshot=SNAPSHOT):
    state = snapshot.state
    data = state[offset : offset + size] if data is None else data
    return MessageReceived(
        A,
        InstallSnapshot(
            term, snapshot.index, snapshot.term, snapshot.members, len(state), digest(state), offset, data
        ),
    )


def acknowledged_offset(outputs):
    return messages_of(InstallSnapshotResponse, outputs)[0][1].offset


def test_interrupted_snapshot_transfer_resumes_at_its_offset():
    node = make_node(B)
    assert acknowledged_offset(node.step(1, snapshot_chunk(0))) == 100
    assert acknowledged_offset(node.step(2, snapshot_chunk(0))) == 100  # duplicate
    assert acknowledged_offset(node.step(3, snapshot_chunk(200))) == 100  # a chunk was lost
    # Another leader probes with an empty chunk.
    assert acknowledged_offset(node.step(4, snapshot_chunk(0, 0, term=4))) == 100
    assert acknowledged_offset(node.step(5, snapshot_chunk(100, term=4))) == 200
    outputs = node.step(6, snapshot_chunk(200, term=4))
    assert outputs_of(RestoreSnapshot, outputs)[0].snapshot == SNAPSHOT
    assert not messages_of(AppendEntriesResponse, outputs) and node.commit_index == 7
    # The hard state is not written yet.
    assert messages_of(AppendEntriesResponse, node.step(7, SnapshotCompleted(SNAPSHOT))) == []
    outputs = node.step(8, WriteCompleted(node.state.durable.last_write))
    assert messages_of(AppendEntriesResponse, outputs)[0][1].match_index == 7


def test_snapshot_with_a_wrong_digest_is_restarted():
    node = make_node(B)
    node.step(1, snapshot_chunk(0))
    node.step(2, snapshot_chunk(100))
    outputs = node.step(3, snapshot_chunk(200, data=bytes(50)))
    assert not outputs_of(RestoreSnapshot, outputs) and acknowledged_offset(outputs) == 0


def test_snapshot_of_entries_in_the_log_only_advances_the_commit_index():
    node = make_node(B, hard_state=HardState(2), log=entries(1, 1, 1, 1, 2, 2, 2, 2))
    outputs = node.step(1, snapshot_chunk(0, 0))
    assert (
        not outputs_of(RestoreSnapshot, outputs) and node.commit_index == 7 and node.state.log.last_index == 8
    )


def test_snapshot_is_written_again_after_a_disk_failure():
    node = make_node(B)
    for offset in (0, 100, 200):
        node.step(1, snapshot_chunk(offset))
    node.step(2, StorageFailed("full"))
    outputs = node.step(3, StorageRecovered())
    assert outputs_of(RestoreSnapshot, outputs)[0].snapshot == SNAPSHOT
    assert outputs_of(WriteEntries, outputs)[0].truncate_from == 8
    node.step(4, SnapshotCompleted(SNAPSHOT))
    outputs = node.step(5, WriteCompleted(node.state.durable.last_write))
    assert messages_of(AppendEntriesResponse, outputs)[0][1].match_index == 7


def test_node_that_starts_from_a_snapshot_continues_after_it():
    node = make_node(B, (), HardState(3), SNAPSHOT, [LogEntry(8, 3, "x.y", b"")])
    assert (node.commit_index, node.state.log.last_index, node.members) == (7, 8, SNAPSHOT.members)
    sent = tuple(LogEntry(index, 3, "x.y", b"") for index in range(4, 10))
    outputs = node.step(1, MessageReceived(A, AppendEntries(3, 3, 1, 8, sent)))
    assert [entry.index for entry in outputs_of(WriteEntries, outputs)[0].entries] == [9]
    assert node.commit_index == 8
