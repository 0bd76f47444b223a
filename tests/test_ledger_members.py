"""Changes of the ledger's members, one at a time, and snapshots in pieces."""

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
from ledger_group import BOOTSTRAP, A, B, C, D, Group, entries, lead, machine, of, words

B2 = MemberId("b", 2)


def led(*who, **bootstrap):
    group = Group(*who or (A, B, C), **bootstrap)
    group.due(A)
    return group


def empty(me, **bootstrap):
    return machine(me, (), **bootstrap)


def changes(group, me=A):
    return [
        entry for entry in group.applied[me] if type(entry) is LogEntry and entry.kind == "ledger.members"
    ]


def test_new_member_learns_as_a_follower_and_then_votes():
    group = led()
    group.propose(A, *range(1, 9))
    group.add(empty(D))
    group.cut.add(D)
    group.step(A, ChangeMembers(D))
    assert group.machines[A].members == Members((A, B, C), (D,))
    group.pass_time(2 * BOOTSTRAP["election"])
    assert group.machines[A].members == Members((A, B, C), (D,))
    group.cut.clear()
    group.pass_time(4 * BOOTSTRAP["beat"])
    assert group.machines[D].members == Members((A, B, C, D)) and group.numbers(D) == list(range(1, 9))


def test_follower_hears_all_and_never_stands():
    group = led()
    group.add(empty(D))
    group.step(A, ChangeMembers(D, as_voter=False))
    group.propose(A, 1)
    group.pass_time(BOOTSTRAP["beat"])
    assert group.numbers(D) == [1]
    group.cut.update((A, B, C))
    group.pass_time(10 * BOOTSTRAP["election"])
    assert group.machines[D].role.value == "follower"
    assert not [word for sender, _, word in group.sent if sender == D and type(word) is RequestVote]


def test_one_change_at_a_time_and_none_before_an_own_entry_is_committed():
    one = machine(A)
    lead(one)
    now = one.state.now
    assert one.step(now, ChangeMembers(B, remove=True)) == []
    one.step(now, WriteCompleted(one.state.durable.number))
    one.step(now, MessageReceived(C, AppendEntriesResponse(1, True, 1)))
    assert of(WriteEntries, one.step(now, ChangeMembers(B, remove=True)))
    assert not of(WriteEntries, one.step(now, ChangeMembers(C, remove=True)))
    assert one.members == Members((A, C))


def test_disk_that_was_lost_comes_back_under_the_next_number():
    group = led()
    del group.machines[B]
    group.add(empty(B2))
    group.step(A, ChangeMembers(B2))
    group.pass_time(4 * BOOTSTRAP["beat"])
    assert set(group.machines[A].members.voters) == {A, C, B2}
    sizes = [len(step.voters) for step in map(members_of, changes(group))]
    assert sizes == [3, 2, 3]
    with pytest.raises(ValueError, match="higher number"):
        next_configuration(group.machines[A].members, B, False, True, True)


def members_of(entry):
    return msgspec.msgpack.decode(entry.body, type=Members)


def test_leader_that_is_taken_out_ends_once_that_is_committed():
    group = led()
    group.cut.update((B, C))
    group.step(A, ChangeMembers(A, remove=True))
    assert group.leaders() == [A]
    group.cut.clear()
    group.pass_time(BOOTSTRAP["beat"])
    assert A not in group.leaders() and group.machines[B].members == Members((B, C))
    group.pass_time(3 * BOOTSTRAP["election"])
    assert len(group.leaders()) == 1 and group.leaders()[0] in (B, C)


def test_last_voter_stays():
    group = led(A)
    group.step(A, ChangeMembers(A, remove=True))
    assert group.machines[A].members == Members((A,)) and group.told[A][-1].event == "change_refused"


def test_one_taken_out_stands_while_that_is_not_committed():
    """It may be the only one that has the entry, without which the others can't go on (4.2.2)."""
    out = LogEntry(2, 1, "ledger.members", encode_members(Members((A,))))
    group = Group()
    group.add(machine(A, (A, B), HardState(1), log=entries(1)))
    group.add(machine(B, (A, B), HardState(1), log=[*entries(1), out]))
    group.pass_time(5 * BOOTSTRAP["election"])
    assert group.leaders() == [A] and group.machines[A].commit_index >= 2


def test_change_that_is_void_counts_no_more():
    out = LogEntry(2, 1, "ledger.members", encode_members(Members((A, B))))
    one = machine(B, hard_state=HardState(1), log=[*entries(1), out])
    assert one.members == Members((A, B))
    one.step(1, MessageReceived(A, AppendEntries(2, 1, 1, 0, (LogEntry(2, 2, "", b""),))))
    assert one.members == Members((A, B, C))


# ---- snapshots ---------------------------------------------------------------------------------------


def test_log_is_bounded_and_a_straggler_is_brought_up_in_pieces():
    group = led(log_most=2000)
    group.cut.add(C)
    group.propose(A, *range(1, 201))
    log = group.machines[A].state.log
    assert log.base > 100 and log.bytes_since_snapshot <= 2000 and len(log.entries) < 60
    group.cut.clear()
    group.pass_time(2 * BOOTSTRAP["election"])
    installed = [one for one in group.applied[C] if type(one) is RestoreSnapshot]
    assert len(installed) == 1 and installed[0].snapshot.state == b"%d" % installed[0].snapshot.index * 100
    assert group.numbers(C)[-1] == 200 and group.machines[C].commit_index == group.machines[A].commit_index
    assert (
        len([1 for _, to, word in group.sent if type(word) is InstallSnapshot])
        >= len(installed[0].snapshot.state) // 100
    )


SNAP = Snapshot(7, 2, Members((A, B, C)), bytes(range(250)))


def piece(offset, size=100, term=3, data=None, of=SNAP):
    data = of.state[offset : offset + size] if data is None else data
    return MessageReceived(
        A, InstallSnapshot(term, of.index, of.term, of.members, len(of.state), digest(of.state), offset, data)
    )


def told(outputs):
    return words(InstallSnapshotResponse, outputs)[0][1].offset


def test_pieces_are_gone_on_with_where_they_were_broken_off():
    one = machine(B)
    assert told(one.step(1, piece(0))) == 100
    assert told(one.step(2, piece(0))) == 100  # doubled
    assert told(one.step(3, piece(200))) == 100  # one was lost
    assert told(one.step(4, piece(0, 0, term=4))) == 100  # another leader asks with nothing
    assert told(one.step(5, piece(100, term=4))) == 200
    out = one.step(6, piece(200, term=4))
    assert (
        of(RestoreSnapshot, out)[0].snapshot == SNAP
        and not words(AppendEntriesResponse, out)
        and one.commit_index == 7
    )
    assert (
        words(AppendEntriesResponse, one.step(7, SnapshotCompleted(SNAP))) == []
    )  # the ballot isn't written yet
    assert (
        words(AppendEntriesResponse, one.step(8, WriteCompleted(one.state.durable.number)))[0][1].match_index
        == 7
    )


def test_spoilt_snapshot_is_begun_anew():
    one = machine(B)
    one.step(1, piece(0))
    one.step(2, piece(100))
    out = one.step(3, piece(200, data=bytes(50)))
    assert not of(RestoreSnapshot, out) and told(out) == 0


def test_snapshot_of_what_is_here_sets_nothing():
    one = machine(B, hard_state=HardState(2), log=entries(1, 1, 1, 1, 2, 2, 2, 2))
    out = one.step(1, piece(0, 0))
    assert not of(RestoreSnapshot, out) and one.commit_index == 7 and one.state.log.last == 8


def test_snapshot_that_the_disk_didnt_take_is_written_again():
    one = machine(B)
    for offset in (0, 100, 200):
        one.step(1, piece(offset))
    one.step(2, StorageFailed("full"))
    out = one.step(3, StorageRecovered())
    assert of(RestoreSnapshot, out)[0].snapshot == SNAP and of(WriteEntries, out)[0].truncate_from == 8
    one.step(4, SnapshotCompleted(SNAP))
    assert (
        words(AppendEntriesResponse, one.step(5, WriteCompleted(one.state.durable.number)))[0][1].match_index
        == 7
    )


def test_member_that_starts_from_a_snapshot_goes_on_after_it():
    one = machine(B, (), HardState(3), SNAP, [LogEntry(8, 3, "x.y", b"")])
    assert (one.commit_index, one.state.log.last, one.members) == (7, 8, SNAP.members)
    out = one.step(
        1,
        MessageReceived(
            A, AppendEntries(3, 3, 1, 8, tuple(LogEntry(i, 3, "x.y", b"") for i in range(4, 10)))
        ),
    )
    assert [entry.index for entry in of(WriteEntries, out)[0].entries] == [9] and one.commit_index == 8
