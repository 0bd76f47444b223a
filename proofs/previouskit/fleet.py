"""Three members on their folders, killed and started as the other version, and versions mixed, under notes.

Each version leads followers of the other; at the end all three are killed at once and started as the other
version, twice.  Every acknowledged note is in each member's state once, a batch stays whole, digests
are equal."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from batchkit.field import LINES, Field
from fleetkit import Fleet, Notes, settled, until

from .program_texts import ProgramText

PIECES = 6


class Batches(Field):
    """The batches' questions, to a fleet that stands already."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def taken(self, id: str, earliest: float, latest: float) -> bool:
        """False: the contract with the batch's class is not in the state yet."""
        try:
            self.submit(id, "report", [(earliest, latest, 0.8, 8) for _ in range(PIECES)])
        except AssertionError:
            return False
        return True


class Crossing:
    """A fleet whose members change their version."""

    def __init__(self, old: ProgramText, path: Path) -> None:
        self.fleet = Fleet(path, voters=3, more=[*LINES, "seats geocoder 30 kind job drain 2s"], relay=False)
        self.texts: dict[str, ProgramText] = {}
        self.led: list[str] = []  # which version led followers of which
        self.digests: list[dict[str, tuple[int, str]]] = []
        self.wrong: list[str] = []
        for name in self.fleet.members:
            self.set(name, old)

    def set(self, name: str, text: ProgramText) -> None:
        """What it is at its next start."""
        self.texts[name] = text
        self.fleet.members[name].words = text.command("run", "--operator")

    def become(self, name: str, text: ProgramText) -> None:
        """Killed, and started on its folder as that version; notes go on."""
        self.fleet.kill(name)
        since = time.monotonic()
        self.set(name, text)
        self.fleet.restart(name)
        self.fleet.ready(names=[name])
        until(lambda: self.notes.first_after(since), 20, f"a note after {name} was killed")
        self.check()
        if leader := self.fleet.leader():
            others = sorted({self.texts[other].name for other in self.texts if other != leader})
            self.led.append(f"{self.texts[leader].name} over {' and '.join(others)}")

    def become_all(self, texts: list[ProgramText]) -> None:
        """All killed at once; nothing but their folders is left."""
        for member in self.fleet.members.values():
            member.signal(signal.SIGKILL)
        for name, text in zip(self.fleet.members, texts):
            self.fleet.kill(name)
            self.set(name, text)
        for name in self.fleet.members:
            self.fleet.restart(name)
        self.fleet.ready()
        self.check()

    def check(self) -> None:
        """Each process is of the version that it should be."""
        for name, member in self.fleet.members.items():
            if not all(self.texts[name].runs_as(pid) for pid in member.pids()) or not member.runs:
                self.wrong.append(f"{name} is not of the {self.texts[name].name} version")

    def followers(self) -> list[str]:
        leader = until(self.fleet.leader, 10, "a leader")
        return [name for name in self.fleet.members if name != leader]

    def round(self, prefix: str, to: ProgramText) -> None:
        """The followers first, so that the one version leads the other; then the leader."""
        self.notes = Notes(self.fleet, clients=3, prefix=prefix, gap=0.05).start()
        self.kept.append(self.notes)
        try:
            until(lambda: self.notes.acknowledged, 10, "a note")
            for name in self.followers():
                self.become(name, to)
            self.become(next(name for name, text in self.texts.items() if text is not to), to)
        finally:
            self.notes.stop()
        self.settle()

    def settle(self) -> None:
        self.digests.append(settled(self.fleet))

    def play(self, old: ProgramText, new: ProgramText, quick: bool) -> dict:
        self.kept: list[Notes] = []
        self.fleet.start()
        self.check()
        batches, now = Batches(self.fleet), time.time()
        until(lambda: batches.taken("b1", now + 600, now + 1200), 15, "the contract")
        before = batches.states()
        for turn in range(1 if quick else 3):
            self.round(f"n{turn}-", new)
            self.round(f"o{turn}-", old)
        self.become_all([new, old, new])
        self.settle()
        self.become_all([old, new, old])
        self.settle()
        return self.judged(before, batches.states())

    def judged(self, before: dict, after: dict) -> dict:
        lost, twice = set(), set()
        for name in self.fleet.members:
            texts = self.fleet.ask(name, "book notes", 10.0)["texts"]
            for notes in self.kept:
                missing, doubled = notes.judged(texts)
                lost |= set(missing)
                twice |= set(doubled)
        found = {
            "commits": sum(len(notes.acknowledged) for notes in self.kept),
            "lost_commits": len(lost),
            "doubled_commits": len(twice),
            "kills": sum(what.startswith("kill") for _, what in self.fleet.told),
            "led": sorted(set(self.led)),
            "states_compared": len(self.digests),
            "states_differ": sum(len(set(found.values())) != 1 for found in self.digests),
            "pieces": len(after),
            "pieces_differ": before.keys() != after.keys() or len(before) != PIECES,
            "defects": [event for name in self.texts for event in self.fleet.said(name, "defect")],
            "tracebacks": self.fleet.noise(),
            "wrong": self.wrong,
        }
        zeros = ("lost_commits", "doubled_commits", "states_differ", "pieces_differ", "defects", "tracebacks")
        mixed = {"previous over present", "present over previous"} <= set(self.led)
        return found | {
            "broken": [
                *(name for name in (*zeros, "wrong") if found[name]),
                *(["commits"] if found["commits"] < 50 else []),
                *([] if mixed else ["led"]),
            ]
        }


def run(old: ProgramText, new: ProgramText, path: Path, quick: bool) -> dict:
    """Raises AssertionError where the fleet does not come to what it should."""
    path.mkdir()
    crossing = Crossing(old, path)
    try:
        return crossing.play(old, new, quick)
    finally:
        crossing.fleet.close()
