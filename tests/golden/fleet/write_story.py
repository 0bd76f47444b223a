"""Writes the golden folders of a member and what its state machine says: `python write_story.py FOLDER`."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import msgspec

from indigohitch.fleet.audit.heads import Head
from indigohitch.fleet.batches import rows as batches
from indigohitch.fleet.distribution.replicated_part import (
    RemoveResources,
    ReplaceResources,
    ServiceKeys,
    ServiceResources,
    SetResources,
)
from indigohitch.fleet.distribution.types import Resource
from indigohitch.fleet.fleet_clock import ClockTick
from indigohitch.fleet.membership import entries as members
from indigohitch.fleet.node.assembly import parts
from indigohitch.fleet.node.notes import Add
from indigohitch.fleet.raft.interfaces import HardState, Members, Snapshot
from indigohitch.fleet.seats import contract as seats
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.storage import identity
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.fleet.storage.folder import Folder
from indigohitch.fleet.storage.records import LogWrite
from indigohitch.fleet.storage.segments import Segments
from indigohitch.fleet.types import LogEntry, MemberId, Stamp

SECOND = 10_000
START = 17_700_000_000_000  # fleet time
HOUR = 3600 * SECOND
VOTERS = Members((MemberId("a", 1), MemberId("b", 2), MemberId("c", 3)), (MemberId("d", 4),))


class Story:
    """Entries, each applied as it is told."""

    def __init__(self) -> None:
        self.state_machine = ReplicatedStateMachine(parts())
        self.entries: list[LogEntry] = []
        self.lines: list[dict] = []
        self.number = 0
        self.term = 1

    def put(self, kind: str, row: object = None, who: str = "a", incarnation: int = 1, again: int = 0) -> int:
        """Returns the entry's index.  `again`: under the number of a proposal that was made before."""
        self.number += 1
        index = len(self.entries) + 1
        body = row if isinstance(row, bytes) else b"" if row is None else msgspec.msgpack.encode(row)
        entry = LogEntry(index, self.term, kind, body, who if kind else "", incarnation, again or self.number)
        self.entries.append(entry)
        outcome = self.state_machine.apply(entry)
        self.lines.append(
            {
                "kind": kind,
                "refused": outcome.rejection,
                "told": outcome.result.hex(),
                "doubled": outcome.is_duplicate,
                "digest": self.state_machine.digest().hex(),
            }
        )
        return index

    def agreed(self, *names: tuple[str, int]) -> None:
        """A point of comparing, and those who are found equal there."""
        point = self.put("members.compare", members.Compare())
        own = self.state_machine.parts["members"].digests[point]
        self.put("members.agreed", members.Agreed(index=point, digest=own))
        for name, incarnation in names:
            self.put("members.back", members.Readmitted(name=name, incarnation=incarnation, index=point))


def begun(story: Story) -> None:
    """Members join, are compared, and get seats, batches and services."""
    story.put("")
    story.put("ledger.members", VOTERS)
    story.put("hours.tick", ClockTick(time=START))
    for token, name in enumerate("abc", 11):
        join = members.Join(name=name, token=token, votes=name != "c")
        number = story.number + 1
        story.put("members.join", join, f"{name}?{token}", token)
    story.put("members.join", join, f"{name}?{token}", token, number)
    story.agreed(("a", 1), ("b", 1), ("c", 1))
    story.put("notes.add", Add(text="the first note"))
    geo = seats.Terms(
        feature="geo", seats=6, kind="user", since=START - HOUR, until=START + 99 * HOUR, linger=5, drain=900
    )
    ocr = seats.Terms(feature="ocr", seats=3, keep=(("ta", 1),))
    story.put("seats.contract", seats.Contract(edition=1, terms=(geo, ocr)))
    for name, count in (("a", 3), ("b", 1), ("c", 2), ("a", 9)):
        story.put(
            "seats.grant", seats.Grant(feature="geo", pool="", member=name, incarnation=1, count=count), "b"
        )
    story.put("seats.grant", seats.Grant(feature="ocr", pool="ta", member="b", incarnation=1, count=1), "b")
    story.put("seats.recall", seats.Recall(feature="geo", pool="", member="a", incarnation=1, count=2), "b")
    story.put("seats.return", seats.Return(feature="geo", pool="", seats=((1, 1), (2, 9))))


def batch(story: Story) -> None:
    bands = (batches.Band(days=("workday",), begin=0, end=6 * HOUR, price=21_000),)
    site = batches.Site(
        name="north", zone="Europe/Berlin", holidays="DE-BE", lanes={"gpu": 8}, bands=bands, peak=9_000
    )
    rpc = batches.BatchClass(
        name="dun",
        idempotent=False,
        path="/dun/{piece}/{step}",
        power={"gpu": 300},
        pause=5,
        seats={"geo": 1},
    )
    contract = batches.Contract(edition=1, slot=900 * SECOND, sites=(site,), classes=(rpc,))
    story.put("batches.contract", contract)
    story.put(
        "batches.prices", batches.Prices(edition=3, each=HOUR, sites={"north": {START: 17, START + HOUR: 18}})
    )
    story.put("batches.load", batches.InteractiveLoad(site="north", hour=13, share=40))
    cut = batches.PieceSpec(earliest=START, latest=START + 4 * HOUR, work=HOUR, steps=5)
    short = batches.PieceSpec(earliest=START, latest=START + HOUR, work=HOUR // 2, steps=2)
    story.put("batches.submit", batches.Batch(id="d-7", tenant="ta", rpc="dun", cuts=(cut,) * 4 + (short,)))
    story.put("batches.submit", batches.Batch(id="d-8", tenant="ta", rpc="unknown", cuts=(cut,)))
    runs = ((START + SECOND, START + HOUR), (START + 2 * HOUR, START + 3 * HOUR))
    placing = batches.Placement(site="north", kind="gpu", runs=runs)
    changes = {f"d-7.{n}": placing for n in range(4)}
    planned = story.put("batches.plan", batches.PlanChanges(base=0, changes=changes))
    story.put("batches.plan", batches.PlanChanges(base=planned, changes={"d-7.3": None}))
    for number, name in enumerate("abc"):
        piece = f"d-7.{number}"
        story.put("batches.give", batches.Assignment(piece=piece, member=name, incarnation=1), "b")
        stamp = Stamp(member=name, incarnation=1, term=1, version=planned, number=number + 1)
        story.put("batches.start", batches.Start(piece=piece, attempt=1, stamp=stamp), name)
        story.put("batches.step", batches.Checkpoint(piece=piece, attempt=1, step=2), name)
    story.put("batches.step", batches.Checkpoint(piece="d-7.0", attempt=1, step=5, end="done"))
    story.put(
        "batches.step", batches.Checkpoint(piece="d-7.1", attempt=1, step=3, end="unclear", why="cut"), "b"
    )


def distributed(story: Story) -> None:
    def given(name: str, **bodies: bytes) -> ServiceResources:
        return ServiceResources(
            service=name, resources=tuple(Resource(key=key, body=body) for key, body in bodies.items())
        )

    maps = given("maps", m1=b"10.0.0.1:80 serving", m2=b"10.0.0.2:80 serving")
    story.put("distribution.set", SetResources(services=(maps, given("ocr", o1=b"10.0.1.1:80 serving"))))
    story.put(
        "distribution.remove", RemoveResources(services=(ServiceKeys(service="maps", keys=("m1", "no")),))
    )
    story.put("distribution.replace", ReplaceResources(services=(given("ocr", o2=b"10.0.1.2:80 draining"),)))
    story.put("distribution.set", SetResources(services=(given("maps", m3=b"x" * 5000),)))


def evicted(story: Story) -> None:
    """What the audit holds, changes in force, and members that are evicted, come again and leave."""
    story.term = 2
    story.put("")
    for number, digest in ((4, b"d" * 16), (9, b"e" * 16), (9, b"f" * 16)):
        head = Head(member="a", incarnation=1, number=number, digest=digest, first=2, oldest=1)
        story.put("audit.head", head)
    version = story.put("members.change", members.Announce(what="servers", hard=False, allowed=SECOND))
    taken = (("a", 1, 9), ("b", 1, 2), ("c", 1, 3))
    story.put("members.in_force", members.InForce(version=version, taken=taken))
    story.put("members.change", members.Announce(what="classes", hard=True))
    story.put("members.shut_out", members.Evicted(name="c", incarnation=1, why="not heard of for a lease"))
    story.put("hours.tick", ClockTick(time=START + 2 * HOUR))
    story.put("members.gone", members.LeaseExpired(name="c", incarnation=1, when=START + HOUR))
    story.put("batches.late", batches.Expiry(pieces=("d-7.4",)), "b")
    story.put("batches.word", batches.OperatorDecision(piece="d-7.1", word="from", step=3))
    story.put("batches.word", batches.OperatorDecision(piece="d-7.2", word="drop"))
    story.put("members.join", members.Join(name="c", token=99), "c?99", 99)
    story.agreed(("c", 2))
    story.put("seats.contract", seats.Contract(edition=2, terms=(seats.Terms(feature="geo", seats=3),)))
    story.put("members.leave", members.Leave(name="b", incarnation=1), "b")
    story.put("seats.grant", b"\x93\x01", "c", 2)
    story.put("notes.add", b"\x91\x01", "c", 2)
    story.put("no.such", Add(text="x"), "c", 2)
    story.put("hours.tick", ClockTick(time=START), "c", 2)


def told() -> tuple[Story, Snapshot]:
    """The whole story, and the snapshot that was taken in its middle."""
    story = Story()
    begun(story)
    batch(story)
    snap = Snapshot(len(story.entries), 1, VOTERS, story.state_machine.snapshot())
    distributed(story)
    evicted(story)
    return story, snap


def write_member(path: Path, entries: list[LogEntry], snap: Snapshot | None) -> None:
    """The folder of member `a`, as its disk's thread writes it."""
    files = FileSystem()
    folder = Folder(files, str(path), "whk", "a")
    folder.take()
    assert folder.read() is None
    segments = Segments(files, str(path), "whk", MemberId("a", 1), [], [], 900)
    segments.open(HardState(0), 0)
    segments.put(Snapshot(0, 0, VOTERS, b""))
    own = identity.Identity("whk", "a", 1, ("a", "b", "c"), {"c": 3, "b": 2})
    files.write_atomically(f"{path}/identity", identity.encode(own))
    segments.write([LogWrite(HardState(1, MemberId("a", 1)), 0, ())])
    for at in range(0, len(entries), 3):
        some = tuple(entries[at : at + 3])
        if at == 51:  # a leader of another term began, and its entries were void
            void = tuple(msgspec.structs.replace(one, kind="notes.add", body=b"\x91\xa1x") for one in some)
            segments.write(
                [
                    LogWrite(HardState(2, None), 0, void),
                    LogWrite(HardState(3, MemberId("b", 2)), at + 1, some),
                ]
            )
        else:
            segments.write([LogWrite(None, 0, some)])
        if snap is not None and at <= snap.index - 1 < at + 3:
            segments.snapshot(snap, True)
    segments.close()
    folder.leave()
    os.unlink(path / "lock")


def write(folder: Path) -> None:
    story, snap = told()
    write_member(folder / "member-log", story.entries, None)
    write_member(folder / "member", story.entries, snap)
    (folder / "state.bin").write_bytes(story.state_machine.snapshot())
    rows = {
        name: msgspec.to_builtins(part.row(), str_keys=True)
        for name, part in story.state_machine.parts.items()
    }
    (folder / "parts.json").write_text(json.dumps(rows, indent=1) + "\n")
    lines = ",\n ".join(json.dumps(line) for line in story.lines)
    (folder / "entries.json").write_text(f"[{lines}]\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]))
