"""Small ledgers explored whole: every order of deliveries, writes, crashes and timeouts within bounds.

The states are those of the real machine.  A member's step hangs on nothing but its state and what comes, so
that each is done once (`Places.move`) and a state of the whole is a tuple of numbers.  Links keep the order,
as TCP does (the schedules reorder and double); a word that is never delivered holds up those behind it, a cut
loses all that is under way on a link, a crash what wasn't written.  Time is each member's own: it stands, or
jumps to when the member's timer ends.

`explore(scene)` -> states and steps counted, the breach found or "".  Scenes are independent: `run` takes a
process for each."""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

if str(Path(__file__).parent.parent) not in sys.path:
    sys.path.insert(0, str(Path(__file__).parent.parent))

from indigohitch.fleet.raft.interfaces import HardState, Propose, ReadRequest, Tick  # noqa: E402
from indigohitch.fleet.types import LogEntry, MemberId, Proposal  # noqa: E402
from proofs.ledger_guards import taken_away  # noqa: E402
from proofs.ledger_members import Found, Places  # noqa: E402

NAMES = "abc"
VOTERS = tuple(MemberId(name, 1) for name in NAMES)


class Bounds(NamedTuple):
    """What may still come: whose timers end (a letter for each time), and how often the others.  A cut loses
    what is under way on one link.  `prompt`: once no crash may come any more, disks write at once."""

    timeouts: str
    crashes: int
    cuts: int
    proposals: int = 0
    reads: int = 0
    prompt: bool = False


class Scene(NamedTuple):
    name: str
    disks: tuple  # from which the three start
    first: tuple[int, ...]  # whose timers end first, before anything is explored; then all is delivered
    bounds: Bounds
    quick: Bounds


class Whole(NamedTuple):
    """A state of the whole, in numbers."""

    places: tuple[int, int, int]
    links: tuple[tuple[int, ...], ...]  # words under way from a to a, a to b, .. c to c, in order
    leaders: tuple  # (term, who), sorted
    committed: tuple  # (term of the entry, in which term it was committed) from 1 on
    reading: int  # the least index that the read that is out may answer; -1: none is
    bounds: Bounds


def disk(term: int, *terms: int) -> tuple:
    """At that term, with entries of those terms."""
    return HardState(term), tuple(LogEntry(at + 1, of, "", b"") for at, of in enumerate(terms))


FRESH = disk(0)
SCENES = (
    Scene("two stand at once", (FRESH,) * 3, (), Bounds("ab", 1, 0), Bounds("ab", 0, 0, prompt=True)),
    Scene("one stands, some crash", (FRESH,) * 3, (), Bounds("a", 2, 1, 1), Bounds("a", 1, 0)),
    Scene("another takes over", (FRESH,) * 3, (0,), Bounds("bc", 0, 1, 1), Bounds("bc", 0, 0, prompt=True)),
    Scene(
        "a read while another takes over",
        (FRESH,) * 3,
        (0,),
        Bounds("bc", 0, 1, 0, 1),
        Bounds("bc", 0, 0, 0, 1, prompt=True),
    ),
    Scene(
        "an entry of an old term (figure 8)",
        (disk(3, 1, 2), disk(3, 1), disk(3, 1, 3)),
        (),
        Bounds("abc", 0, 0, prompt=True),
        Bounds("ac", 0, 0, prompt=True),
    ),
)


class Explorer:
    def __init__(self, scene: Scene, quick: bool) -> None:
        self.places = Places(VOTERS)
        self.scene, self.quick = scene, quick
        self.steps = 0

    def start(self) -> Whole:
        """The first ones' timers end, and all that comes of it is written and delivered."""
        places = tuple(self.places.started(at, disk) for at, disk in enumerate(self.scene.disks))
        whole = Whole(places, ((),) * 9, (), (), -1, Bounds("", 0, 0))
        for at in self.scene.first:
            whole = self.moved(whole, at, Tick())
            while (after := next(self.moves(whole), None)) is not None:
                whole = after
        return whole._replace(bounds=self.scene.quick if self.quick else self.scene.bounds)

    def explore(self) -> tuple[int, int, str]:
        seen: set[int] = set()  # 64 bits: that two of some millions share one is unlikely
        try:
            todo = [self.start()]
            while todo:
                for after in self.moves(todo.pop()):
                    self.steps += 1
                    if (key := hash(after)) not in seen:
                        seen.add(key)
                        todo.append(after)
        except (Found, ValueError) as found:
            return len(seen), self.steps, f"{self.scene.name}: {found}"
        return len(seen), self.steps, ""

    def moves(self, whole: Whole) -> Iterator[Whole]:
        """Each that may come next."""
        bounds, places, links = whole.bounds, self.places, whole.links
        for link, words in enumerate(links):
            if words:
                rest = links[:link] + (words[1:],) + links[link + 1 :]
                yield self.moved(whole._replace(links=rest), link % 3, words[0])
                if bounds.cuts:
                    yield whole._replace(
                        links=links[:link] + ((),) + links[link + 1 :],
                        bounds=bounds._replace(cuts=bounds.cuts - 1),
                    )
        for at, place in enumerate(whole.places):
            pickled, _, queue = places.places[place]
            if pickled is None:
                yield self.moved(whole, at, "start")
                continue
            if queue:
                yield self.moved(whole, at, "write")
            leads = places.leads[place] is not None
            if NAMES[at] in bounds.timeouts and not leads:
                left = bounds.timeouts.replace(NAMES[at], "", 1)
                yield self.moved(whole, at, Tick(), bounds._replace(timeouts=left))
            if bounds.crashes:
                yield self.moved(whole, at, "crash", bounds._replace(crashes=bounds.crashes - 1))
            if bounds.proposals and leads:
                proposal = Proposal("p", 1, bounds.proposals, "toy.add", b"")
                yield self.moved(
                    whole, at, Propose(proposal), bounds._replace(proposals=bounds.proposals - 1)
                )
            if bounds.reads and leads:
                yield self.moved(
                    whole._replace(reading=len(whole.committed)),
                    at,
                    ReadRequest(1),
                    bounds._replace(reads=bounds.reads - 1),
                )

    def moved(self, whole: Whole, at: int, what, bounds: Bounds | None = None) -> Whole:
        before = whole.places
        done = self.places.move(at, before[at], what, whole.bounds.prompt and not whole.bounds.crashes)
        places = before[:at] + (done.place,) + before[at + 1 :]
        links, vain = list(whole.links), self.places.in_vain
        for word in done.words:
            sender, to, _ = self.places.words[word]
            links[3 * sender + to] += (word,)
        for link, words in enumerate(links):
            if words and any(vain(word, places[link % 3]) for word in words):
                links[link] = tuple(word for word in words if not vain(word, places[link % 3]))
        _, _, leaders, committed, reading, _ = whole
        if done.commits:
            committed = self.commits(committed, done.commits, self.places.leads[done.place])
        if done.read is not None and reading >= 0:
            if done.read.is_confirmed and done.read.index < reading:
                raise Found(f"a read answers {done.read.index}, {reading} was told before")
            reading = -1
        term = self.places.leads[done.place]
        if term is not None and (term, at) not in leaders:
            leaders = self.leads(leaders, committed, done.place, at, term)
        return Whole(places, tuple(links), leaders, committed, reading, bounds or whole.bounds)

    # ---- what must hold ----------------------------------------------------------------------------

    def commits(self, committed: tuple, told: tuple, term: int | None) -> tuple:
        """The leader is the first to tell; one that ends with this step has told one of its term last."""
        for entry in told:
            if entry.index > len(committed):
                committed += ((entry.term, term or told[-1].term),)
            elif committed[entry.index - 1][0] != entry.term:
                raise Found(
                    f"entry {entry.index} of term {entry.term} is committed, before it was one of "
                    f"{committed[entry.index - 1][0]}"
                )
        return committed

    def leads(self, leaders: tuple, committed: tuple, place: int, at: int, term: int) -> tuple:
        if term in dict(leaders):
            raise Found(f"two leaders in term {term}")
        log = self.places.logs[place]
        before = tuple(one for one, committed_in in committed if committed_in < term)
        if log[: len(before)] != before:
            raise Found(f"{NAMES[at]} leads term {term} with {log}, committed is {committed}")
        return tuple(sorted((*leaders, (term, at))))


def explore(name: str, quick: bool, broken: str | None) -> tuple[int, int, str]:
    """States, steps, and the breach found or ""."""
    scene = next(scene for scene in SCENES if scene.name == name)
    with taken_away(broken):
        return Explorer(scene, quick).explore()


def run(quick: bool = False, broken: str | None = None, processes: int | None = None) -> dict:
    """`states` and `steps` in all scenes, `violations`, and the `breaches` with their scenes."""
    with multiprocessing.get_context("fork").Pool(processes or len(SCENES)) as pool:
        results = pool.starmap(explore, [(scene.name, quick, broken) for scene in SCENES], chunksize=1)
    breaches = [breach for _, _, breach in results if breach]
    return {
        "states": sum(states for states, _, _ in results),
        "steps": sum(steps for _, steps, _ in results),
        "violations": len(breaches),
        "breaches": breaches,
    }
