"""Parts of a node without sockets: proposals, reads, bootstrap, admission, notes, message numbers."""

import random
import subprocess
import sys

import pytest

from indigohitch.errors import UnavailableError
from indigohitch.fleet.node.cluster_bootstrap import Admission, BootstrapMode, bootstrap_mode
from indigohitch.fleet.node.messages import MESSAGE_TYPES, JoinRequest
from indigohitch.fleet.node.notes import MAX_CHARACTERS, Notes
from indigohitch.fleet.node.proposals import MAX_PENDING, Proposals
from indigohitch.fleet.node.reads import READ_TIMEOUT, Reads
from indigohitch.fleet.raft.interfaces import Members
from indigohitch.fleet.state_machine import WINDOW, ReplicatedStateMachine
from indigohitch.fleet.transport.messages import HandshakeAccepted
from indigohitch.fleet.types import LogEntry, MemberId

VOTERS = ("a", "b", "c")


@pytest.mark.parametrize("seed", range(40))
def test_each_proposal_is_applied_once_and_reports_its_outcome_once(seed):
    """Messages are lost, duplicated, delayed and rejected: each proposal is still applied exactly once."""
    rng = random.Random(seed)
    proposals, state_machine = Proposals("a", 1, 100), ReplicatedStateMachine([Notes()])
    outcomes, in_flight = {}, []
    submitted = now = index = 0
    while submitted < 300 or proposals.pending:
        now += rng.randint(0, 60)
        if submitted < 300 and rng.random() < 0.6:
            try:
                proposals.submit(
                    now,
                    "notes.add",
                    b"\x91\xa4%04d" % submitted,
                    lambda outcome, note=submitted: outcomes.setdefault(note, []).append(outcome),
                )
                submitted += 1
            except UnavailableError:
                assert (
                    len(proposals.pending) >= MAX_PENDING or submitted - min(proposals.pending) > MAX_PENDING
                )
        for pending in proposals.due(now):
            if rng.random() < 0.8:
                in_flight += [pending.proposal] * rng.choice((0, 1, 1, 2))
                proposals.on_sent(now, pending)
        if in_flight and rng.random() < 0.7:
            received = in_flight.pop(rng.randrange(len(in_flight)))
            if rng.random() < 0.2:
                proposals.on_rejected(now, "a", 1, received.number, 30)
                continue
            index += 1
            entry = LogEntry(index, 1, received.kind, received.body, "a", 1, received.number)
            proposals.on_applied(entry, state_machine.apply(entry))
        if rng.random() < 0.02:
            proposals.resend_all(now)
        assert len(proposals.pending) <= MAX_PENDING
        numbers = list(proposals.pending)
        assert not numbers or numbers[-1] - numbers[0] < WINDOW
    texts = [text for _, text in state_machine.parts["notes"].texts]
    assert sorted(texts) == [f"{note:04}" for note in range(300)]
    assert (
        all(len(reported) == 1 and not reported[0].rejection for reported in outcomes.values())
        and len(outcomes) == 300
    )


def test_another_incarnation_abandons_the_pending_proposals():
    proposals = Proposals("a", 1, 100)
    outcomes = []
    proposals.submit(0, "notes.add", b"", outcomes.append)
    proposals.start("a", 2)
    assert outcomes == [None] and not proposals.pending
    proposals.submit(0, "notes.add", b"", outcomes.append)
    assert proposals.due(0)[0].proposal.incarnation == 2
    proposals.on_rejected(0, "a", 1, 1, 5000)  # from the previous incarnation
    assert proposals.due(0)


def test_reads_wait_for_the_state_machine_and_time_out():
    reads = Reads()
    results = []
    number = reads.start(0, results.append)
    reads.on_result(number, 7, True, 5)
    assert results == []
    reads.on_applied(6)
    reads.on_applied(7)
    assert results == [7]
    reads.on_result(reads.start(0, results.append), 0, False, 7)
    assert results == [7, None]
    reads.start(0, results.append)
    unapplied = reads.start(0, results.append)
    reads.on_result(unapplied, 100, True, 7)
    reads.tick(READ_TIMEOUT)
    assert results == [7, None, None, None] and not reads.pending and not reads.confirmed
    reads.on_result(unapplied, 100, True, 200)
    assert len(results) == 4


def acceptance(name, number=0, met=0, founders=VOTERS):
    return HandshakeAccepted(MemberId(name, number), 1, met, founders)


@pytest.mark.parametrize(
    "votes, replies, expected",
    [
        (True, {}, BootstrapMode.WAIT),
        (True, {"b": acceptance("b"), "c": None}, BootstrapMode.WAIT),
        (True, {"b": acceptance("b"), "c": acceptance("c")}, BootstrapMode.BOOTSTRAP),
        (
            True,
            {"b": acceptance("b", 1), "c": acceptance("c")},
            BootstrapMode.BOOTSTRAP,
        ),  # b has just bootstrapped
        (True, {"b": acceptance("b", 1, met=1), "c": None}, BootstrapMode.REQUEST),
        (True, {"b": acceptance("b"), "c": acceptance("c", 1, met=3)}, BootstrapMode.REQUEST),
        (
            True,
            {"b": acceptance("b", 1, founders=("b", "c")), "c": None},
            BootstrapMode.REQUEST,
        ),  # the fleet is older than this file
        (True, {"b": acceptance("b", founders=("a", "b")), "c": acceptance("c")}, BootstrapMode.WAIT),
        (False, {}, BootstrapMode.REQUEST),
    ],
)
def test_bootstrap_mode_of_a_member_with_a_new_disk(votes, replies, expected):
    assert bootstrap_mode("a", votes, VOTERS, replies)[0] is expected


@pytest.mark.parametrize("seed", range(20))
def test_no_number_is_assigned_to_two_disks(seed):
    """Disks and replies are lost, leaders change and lose their assignments: a number stays one disk's."""
    rng = random.Random(seed)
    members = Members((MemberId("a", 1), MemberId("b", 1)))
    highest_seen = token = 1
    admission, assigned = Admission(), {}
    for _ in range(200):
        event = rng.random()
        if event < 0.3:
            token += 1  # another disk, or another start with a new disk
        elif event < 0.4:
            admission = Admission()  # another leader
        member = admission.assign(JoinRequest("c", token), members, highest_seen)
        assert assigned.setdefault(member.number, token) == token and member.number > highest_seen
        if rng.random() < 0.5:  # the entry is committed: every leader has it
            members = Members(members.voters, (member,))
        else:
            del assigned[member.number]  # not committed, so no member was told
        if rng.random() < 0.3 and members.followers:
            highest_seen = max(highest_seen, members.followers[0].number)  # it has connected
            token += 1


def test_a_superseded_disk_is_not_admitted():
    assert Admission().assign(JoinRequest("a", 1, number=1), Members((MemberId("a", 2),)), 0) is None
    assert Admission().assign(JoinRequest("a", 1, number=1), Members(()), 2) is None
    assert Admission().assign(JoinRequest("a", 1, number=2), Members((MemberId("a", 1),)), 2) == MemberId(
        "a", 2
    )


def test_a_note_that_is_too_long_changes_nothing():
    state_machine = ReplicatedStateMachine([Notes()])
    text = b"\x91\xda" + (MAX_CHARACTERS + 1).to_bytes(2, "big") + b"x" * (MAX_CHARACTERS + 1)
    assert "characters" in state_machine.apply(LogEntry(1, 1, "notes.add", text, "a", 1, 1)).rejection
    assert not state_machine.parts["notes"].texts


def test_message_types_keep_their_numbers_on_the_wire():
    """A member of the previous version would decode a moved type as another one."""
    assert [message_type.__name__ for message_type in MESSAGE_TYPES][:21] == [
        "Handshake",
        "HandshakeAccepted",
        "HandshakeRefused",
        "Ping",
        "Pong",
        "RequestVote",
        "RequestVoteResponse",
        "AppendEntries",
        "AppendEntriesResponse",
        "InstallSnapshot",
        "InstallSnapshotResponse",
        "TimeoutNow",
        "RenewLease",
        "LeaseRenewed",
        "LeaseNotRenewed",
        "Forward",
        "ProposalRejected",
        "ReadIndexRequest",
        "ReadIndexResponse",
        "JoinRequest",
        "JoinResponse",
    ]


def test_a_coordinator_without_an_operators_file_imports_nothing_of_the_fleet():
    """Starts the program without a configuration, which ends it after its imports."""
    code = (
        "import runpy, sys\n"
        "try:\n    runpy.run_module('indigohitch', run_name='__main__')\n"
        "except SystemExit:\n    pass\n"
        "print([m for m in sys.modules if '.fleet' in m or '.upgrade' in m or '.encoding' in m or "
        "'.distribution' in m or 'indigohitch.config.' in m + '.' or m == 'indigohitch.net.due_timer'], "
        "'indigohitch.service' in sys.modules)"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env={"PATH": ""}, timeout=30
    )
    assert found.stdout.splitlines()[-1] == "[] True", found
