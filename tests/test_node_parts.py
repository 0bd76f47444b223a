"""Decisions of a node without sockets: proposals, reads, founding, admission."""

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
def test_each_proposal_takes_effect_once_and_is_answered_once(seed):
    """Words lost, doubled, late and turned away: each is in the state once, and its owner hears once."""
    chance = random.Random(seed)
    proposals, state_machine = Proposals("a", 1, 100), ReplicatedStateMachine([Notes()])
    answers, sent, put, now, index = {}, [], 0, 0, 0
    while put < 300 or proposals.pending:
        now += chance.randint(0, 60)
        if put < 300 and chance.random() < 0.6:
            try:
                proposals.submit(
                    now,
                    "notes.add",
                    b"\x91\xa4%04d" % put,
                    lambda outcome, n=put: answers.setdefault(n, []).append(outcome),
                )
                put += 1
            except UnavailableError:
                assert len(proposals.pending) >= MAX_PENDING or put - min(proposals.pending) > MAX_PENDING
        for one in proposals.due(now):
            if chance.random() < 0.8:
                sent += [one.proposal] * chance.choice((0, 1, 1, 2))
                proposals.on_sent(now, one)
        if sent and chance.random() < 0.7:
            taken = sent.pop(chance.randrange(len(sent)))
            if chance.random() < 0.2:
                proposals.on_rejected(now, "a", 1, taken.number, 30)
                continue
            index += 1
            entry = LogEntry(index, 1, taken.kind, taken.body, "a", 1, taken.number)
            proposals.on_applied(entry, state_machine.apply(entry))
        if chance.random() < 0.02:
            proposals.resend_all(now)
        assert len(proposals.pending) <= MAX_PENDING
        numbers = list(proposals.pending)
        assert not numbers or numbers[-1] - numbers[0] < WINDOW
    texts = [text for _, text in state_machine.parts["notes"].texts]
    assert sorted(texts) == [f"{n:04}" for n in range(300)]
    assert (
        all(len(found) == 1 and not found[0].rejection for found in answers.values()) and len(answers) == 300
    )


def test_another_incarnation_gives_up_what_is_out():
    proposals, told = Proposals("a", 1, 100), []
    proposals.submit(0, "notes.add", b"", told.append)
    proposals.start("a", 2)
    assert told == [None] and not proposals.pending
    proposals.submit(0, "notes.add", b"", told.append)
    assert proposals.due(0)[0].proposal.incarnation == 2
    proposals.on_rejected(0, "a", 1, 1, 5000)  # of the one before
    assert proposals.due(0)


def test_reads_wait_for_the_state_machine_and_end_in_time():
    reads, told = Reads(), []
    number = reads.start(0, told.append)
    reads.on_result(number, 7, True, 5)
    assert told == []
    reads.on_applied(6)
    reads.on_applied(7)
    assert told == [7]
    reads.on_result(reads.start(0, told.append), 0, False, 7)
    assert told == [7, None]
    reads.start(0, told.append)
    late = reads.start(0, told.append)
    reads.on_result(late, 100, True, 7)
    reads.tick(READ_TIMEOUT)
    assert told == [7, None, None, None] and not reads.pending and not reads.confirmed
    reads.on_result(late, 100, True, 200)
    assert len(told) == 4


def welcomed(name, number=0, met=0, founders=VOTERS):
    return HandshakeAccepted(MemberId(name, number), 1, met, founders)


@pytest.mark.parametrize(
    "votes, welcomes, expected",
    [
        (True, {}, BootstrapMode.WAIT),
        (True, {"b": welcomed("b"), "c": None}, BootstrapMode.WAIT),
        (True, {"b": welcomed("b"), "c": welcomed("c")}, BootstrapMode.BOOTSTRAP),
        (
            True,
            {"b": welcomed("b", 1), "c": welcomed("c")},
            BootstrapMode.BOOTSTRAP,
        ),  # it founded a moment before
        (True, {"b": welcomed("b", 1, met=1), "c": None}, BootstrapMode.REQUEST),
        (True, {"b": welcomed("b"), "c": welcomed("c", 1, met=3)}, BootstrapMode.REQUEST),
        (
            True,
            {"b": welcomed("b", 1, founders=("b", "c")), "c": None},
            BootstrapMode.REQUEST,
        ),  # older than this file
        (True, {"b": welcomed("b", founders=("a", "b")), "c": welcomed("c")}, BootstrapMode.WAIT),
        (False, {}, BootstrapMode.REQUEST),
    ],
)
def test_what_a_new_disk_may_do(votes, welcomes, expected):
    assert bootstrap_mode("a", votes, VOTERS, welcomes)[0] is expected


@pytest.mark.parametrize("seed", range(20))
def test_no_number_is_given_to_two_disks(seed):
    """Disks are lost, leaders change and forget, answers are lost: a number is one disk's."""
    chance, members, met = random.Random(seed), Members((MemberId("a", 1), MemberId("b", 1))), 1
    admission, given, token = Admission(), {}, 1
    for _ in range(200):
        what = chance.random()
        if what < 0.3:
            token += 1  # another disk, or another start of a fresh one
        elif what < 0.4:
            admission = Admission()  # another leader
        who = admission.assign(JoinRequest("c", token), members, met)
        assert given.setdefault(who.number, token) == token and who.number > met
        if chance.random() < 0.5:  # the entry is committed: all leaders know of it
            members = Members(members.voters, (who,))
        else:
            del given[who.number]  # nobody was told
        if chance.random() < 0.3 and members.followers:
            met = max(met, members.followers[0].number)  # it was met: that process has its number
            token += 1


def test_an_old_disk_is_not_admitted():
    assert Admission().assign(JoinRequest("a", 1, number=1), Members((MemberId("a", 2),)), 0) is None
    assert Admission().assign(JoinRequest("a", 1, number=1), Members(()), 2) is None
    assert Admission().assign(JoinRequest("a", 1, number=2), Members((MemberId("a", 1),)), 2) == MemberId(
        "a", 2
    )


def test_a_note_too_long_changes_nothing():
    state_machine = ReplicatedStateMachine([Notes()])
    text = b"\x91\xda" + (MAX_CHARACTERS + 1).to_bytes(2, "big") + b"x" * (MAX_CHARACTERS + 1)
    assert "characters" in state_machine.apply(LogEntry(1, 1, "notes.add", text, "a", 1, 1)).rejection
    assert not state_machine.parts["notes"].texts


def test_words_keep_their_numbers_on_the_wire():
    """A word moved would be read as another by a member of the version before."""
    assert [word.__name__ for word in MESSAGE_TYPES][:21] == [
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


def test_the_platforms_program_imports_nothing_of_the_fleet():
    """Its start goes as far as it does without a configuration."""
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
