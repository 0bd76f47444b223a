"""Writes golden frames of each word that members and subscribers say: `python write_frames.py FOLDER`."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.fleet.distribution import messages as distribution
from indigohitch.fleet.distribution.messages import Behind, HeldService, ServiceChange, Unreachable
from indigohitch.fleet.distribution.types import Resource, Version
from indigohitch.fleet.membership import messages as members
from indigohitch.fleet.node import messages as node
from indigohitch.fleet.raft import messages as ledger
from indigohitch.fleet.raft.interfaces import Members
from indigohitch.fleet.transport import messages as links
from indigohitch.fleet.types import LogEntry, MemberId, Proposal

DIGEST = bytes(range(16))
TOKEN = (1 << 61) + 7
B = MemberId(name="b", number=2)
VOTERS = Members(voters=(MemberId(name="a", number=1), B), followers=(MemberId(name="c", number=3),))
ENTRY = LogEntry(
    index=8, term=2, kind="seats.grant", body=b"\x91\x01", proposer="b", incarnation=4, number=5000
)
EMPTY = LogEntry(index=9, term=3, kind="", body=b"")
PROPOSAL = Proposal(proposer="b", incarnation=4, number=70_000, kind="notes.add", body=b"\x91\xa1x")
OLD, NEW = Version(term=2, index=300), Version(term=3, index=70_000)

LINKS: list[Row] = [
    links.Handshake(fleet="whk", who=B, token=TOKEN),
    links.Handshake(fleet="whk", who=B, token=TOKEN, lowest=2, highest=3, role="subscriber"),
    links.HandshakeAccepted(who=B, token=TOKEN),
    links.HandshakeAccepted(who=B, token=TOKEN, met=5, founders=("a", "b"), lowest=2, highest=3),
    links.HandshakeRefused(why="another fleet"),
    links.Ping(number=300),
    links.Pong(number=301),
]
MEMBERS: list[Row] = [
    *LINKS,
    ledger.RequestVote(term=3, last_log_index=70, last_log_term=2),
    ledger.RequestVote(
        term=3, last_log_index=70, last_log_term=2, is_pre_vote=True, is_leadership_transfer=False
    ),
    ledger.RequestVote(
        term=3, last_log_index=70, last_log_term=2, is_pre_vote=False, is_leadership_transfer=True
    ),
    ledger.RequestVoteResponse(term=3, vote_granted=True),
    ledger.RequestVoteResponse(term=3, vote_granted=False, is_pre_vote=True),
    ledger.AppendEntries(term=3, prev_log_index=7, prev_log_term=2, leader_commit=6),
    ledger.AppendEntries(
        term=3,
        prev_log_index=7,
        prev_log_term=2,
        leader_commit=6,
        entries=(ENTRY, EMPTY),
        read_round=12,
        sent_at=123_456_789_012,
    ),
    ledger.AppendEntriesResponse(term=3, success=True, match_index=9),
    ledger.AppendEntriesResponse(
        term=3, success=False, match_index=5, prev_log_index=7, conflict_term=2, read_round=12
    ),
    ledger.InstallSnapshot(
        term=3,
        last_included_index=60,
        last_included_term=2,
        members=VOTERS,
        total=900,
        digest=DIGEST,
        offset=300,
        data=b"state",
    ),
    ledger.InstallSnapshotResponse(term=3, last_included_index=60, offset=305),
    ledger.TimeoutNow(term=3),
    members.RenewLease(number=40, incarnation=4, applied=60),
    members.RenewLease(
        number=40,
        incarnation=4,
        applied=60,
        digest_at=50,
        digest=DIGEST,
        wall=17_700_000_000_000,
        acts=1234,
        reports={"seats": b"\x92\x01\x90", "hours": b"\x91\x07"},
    ),
    members.LeaseRenewed(number=40, incarnation=4),
    members.LeaseRenewed(number=40, incarnation=4, term=3),
    members.LeaseNotRenewed(number=40, incarnation=4, why="shut out"),
    members.LeaseNotRenewed(number=40, incarnation=4, why="shut out", over=True, retry_after=2_000),
    node.Forward(proposal=PROPOSAL),
    node.ProposalRejected(proposer="b", incarnation=4, number=70_000, retry_after=500),
    node.ReadIndexRequest(number=17),
    node.ReadIndexResponse(number=17, index=60),
    node.ReadIndexResponse(number=17, index=60, ok=False),
    node.JoinRequest(name="d", token=TOKEN),
    node.JoinRequest(name="d", token=TOKEN, number=9, votes=False),
    node.JoinResponse(who=B, token=TOKEN, founders=("a", "b")),
    distribution.Report(
        distributor="a",
        number=3,
        version=NEW,
        in_force=OLD,
        in_force_age=90,
        ledger_age=None,
        subscribers=6500,
    ),
    distribution.Report(
        distributor="a",
        number=4,
        version=NEW,
        in_force=OLD,
        in_force_age=90,
        ledger_age=70,
        subscribers=6500,
        behind_count=2,
        behind=(Behind(subscriber="s1", acknowledged=OLD, missing=NEW, age=80),),
        unreachable=(Unreachable(subscriber="s2", acknowledged=OLD, acting=60),),
        connected=b"abcdefgh",
        lost=b"ijkl",
    ),
]
CHANGE = ServiceChange(
    service="maps",
    whole=False,
    changed=(Resource(key="m1", body=b"10.0.0.1:80 serving"),),
    removed=("m2",),
    digest=DIGEST,
)
SUBSCRIBERS: list[Row] = [
    *LINKS,
    distribution.Subscribe(
        request=2,
        held=OLD,
        services=(HeldService(service="maps", digest=DIGEST), HeldService(service="ocr")),
    ),
    distribution.Acknowledge(number=5, version=NEW, digest=DIGEST),
    distribution.Reject(number=5, reason=distribution.RejectReason(1), held=OLD),
    *(
        distribution.Reject(number=5, reason=distribution.RejectReason(n), held=OLD, why=f"reason {n}")
        for n in (2, 3, 4)
    ),
    distribution.Renew(number=6),
    distribution.Update(request=2, number=5, base=OLD, version=NEW, digest=DIGEST, changes=()),
    distribution.Update(
        request=2,
        number=5,
        base=OLD,
        version=NEW,
        digest=DIGEST,
        changes=(msgspec.Raw(msgspec.msgpack.encode(CHANGE)),),
        whole=True,
        void=Version(term=1, index=4),
    ),
    distribution.Current(number=6, version=NEW, age=None),
    distribution.Current(number=6, version=NEW, age=400),
    distribution.Refused(reason=distribution.RefusalReason(1), version=NEW, retry_after=500),
    *(
        distribution.Refused(
            reason=distribution.RefusalReason(n), version=NEW, retry_after=500, why=f"reason {n}"
        )
        for n in (2, 3, 4, 5)
    ),
    distribution.Report(
        distributor="a",
        number=3,
        version=NEW,
        in_force=OLD,
        in_force_age=90,
        ledger_age=None,
        subscribers=6500,
    ),
]
# By file: the table of numbers, and the words said with it.
TABLES = {
    "frames-members": (node.KINDS, MEMBERS),
    "frames-subscribers": (distribution.MESSAGE_TYPES, SUBSCRIBERS),
}


def plain(value: object) -> object:
    """Without names of fields: bytes as hex, rows and tuples as lists."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, field)) for field in value.__struct_fields__]
    if isinstance(value, bytes | msgspec.Raw):
        return bytes(value).hex()
    if isinstance(value, tuple | list):
        return [plain(each) for each in value]
    if isinstance(value, dict):
        return {str(key): plain(each) for key, each in value.items()}
    return getattr(value, "value", value)


def write(folder: Path) -> None:
    for name, (kinds, words) in TABLES.items():
        lines = [
            json.dumps(
                {"number": kinds.numbers[type(word)], "values": plain(word), "frame": kinds.frame(word).hex()}
            )
            for word in words
        ]
        (folder / f"{name}.json").write_text("[" + ",\n ".join(lines) + "]\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]))
