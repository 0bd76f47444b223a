"""Seeded plans of faults, and who plays them.  A plan names whom it meets by seat ("leader", "voter 2",
"sidecar 1"): the same seed gives the same plan; who leads when it comes true is the fleet's doing."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from indigohitch.net.clock import SECOND
from indigohitch.standins.fault_links import NO_FAULT, Fault

from .fleet import Fleet

KINDS = {
    "kill": 3,
    "stop": 2,
    "cut": 3,
    "deaf": 1,
    "mute": 1,
    "slow": 1,
    "trickle": 1,
    "spoil": 1,
    "reset": 1,
    "end": 1,
}
LANES = {
    "cut": Fault(cut=True),
    "deaf": Fault(cut=True),
    "mute": Fault(cut=True),
    "slow": Fault(delay=SECOND // 50, spread=SECOND // 25),
    "trickle": Fault(trickle=3000),
    "spoil": Fault(spoil=0.2),
}


@dataclass(frozen=True)
class Event:
    at: float  # s from the beginning
    span: float  # s that it lasts
    kind: str
    whom: str  # "leader", "voter N", "sidecar N"


def drawn(
    seed: int,
    fleet: Fleet,
    seconds: float,
    kinds: dict[str, int] | None = None,
    gap: float = 1.5,
    span: tuple[float, float] = (0.5, 2.5),
    sidecars: bool = True,
) -> list[Event]:
    """A plan whose faults overlap, but never take a majority of voters away together: of n voters at most
    (n - 1) / 2 are met at one time.  Faults of links count whole, as they may part any pair."""
    chance = random.Random(f"plan {seed}")
    kinds = KINDS if kinds is None else kinds
    voters, cars = len(fleet.voters), len(fleet.listen) if sidecars else 0
    most, found, at = (voters - 1) // 2, [], 0.0
    while (at := at + chance.uniform(0.3, 1.0) * gap) < seconds:
        kind = chance.choices(list(kinds), list(kinds.values()))[0]
        length = chance.uniform(*span)
        whom = chance.choice(
            ["leader", *(f"voter {n + 1}" for n in range(voters)), *(f"sidecar {n + 1}" for n in range(cars))]
        )
        busy = {e.whom for e in found if e.at + e.span + 0.7 > at}
        if (
            whom in busy
            or not whom.startswith("sidecar")
            and (sum(not w.startswith("sidecar") for w in busy) >= most)
        ):
            continue
        found.append(Event(round(at, 3), round(length, 3), kind, whom))
    return found


class Player:
    """Plays a plan in a thread of its own.  `wipe` loses the disk too.  Whom an event meets is chosen as it
    begins: never one that another event holds, nor one more voter than a minority."""

    def __init__(self, fleet: Fleet, plan: Iterable[Event], also: dict[str, Callable] | None = None) -> None:
        """`also`: further kinds, `begin(fleet, name)`."""
        self.fleet, self.plan, self.also = fleet, sorted(plan, key=lambda e: e.at), also or {}
        self.held: dict[str, Event] = {}  # by member
        self.counts: dict[str, int] = {}
        self.freed: dict[str, float] = {}  # by member: when (time.monotonic) its last one ended
        self.leaders: list[float] = []  # when (time.monotonic) a leader was taken away
        self.bad: BaseException | None = None
        self.stopping = False
        self._thread = threading.Thread(target=self._guarded, daemon=True)

    def start(self) -> Player:
        self._thread.start()
        return self

    def join(self, most: float = 300.0) -> None:
        """Raises what broke while it played."""
        self._thread.join(most)
        if self.bad is not None:
            raise self.bad

    def undisturbed(self, name: str) -> float:
        """Since when nothing has been done to it; infinity while something is."""
        return float("inf") if name in self.held else self.freed.get(name, 0.0)

    def _guarded(self) -> None:
        try:
            self._play()
        except BaseException as bad:
            self.bad = bad

    def _play(self) -> None:
        begun, waiting = time.monotonic(), list(self.plan)
        while (waiting or self.held) and not self.stopping:
            now = time.monotonic() - begun
            for name, event in list(self.held.items()):
                if event.at + event.span <= now:
                    del self.held[name]
                    self._over(name, event)
                    self.freed[name] = time.monotonic()
            while waiting and waiting[0].at <= now:
                event = waiting.pop(0)
                if name := self._chosen(event.whom):
                    # It lasts its whole span, however late it began.
                    self.held[name] = Event(now, event.span, event.kind, event.whom)
                    self._begin(name, event)
            time.sleep(0.01)
        for name, event in self.held.items():
            self._over(name, event)
        self.held.clear()
        self._lanes()

    def _chosen(self, whom: str) -> str:
        fleet = self.fleet
        kind, _, number = whom.partition(" ")
        name = fleet.leader() if kind == "leader" else f"{'v' if kind == 'voter' else 's'}{number}"
        voters = [held for held in self.held if held in fleet.voters]
        if name in self.held or name in fleet.voters and len(voters) >= (len(fleet.voters) - 1) // 2:
            return ""
        return name

    def _begin(self, name: str, event: Event) -> None:
        fleet, kind = self.fleet, event.kind
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind in ("kill", "stop", "end", "cut", "mute", "wipe") and fleet.leader() == name:
            self.leaders.append(time.monotonic())
        fleet.did(f"{kind} begins at {name}")
        if kind in ("kill", "wipe", "stop", "end"):
            getattr(fleet, kind)(name)
        elif kind == "reset":
            for pair in list(fleet.breaker.gates):
                if name in pair:
                    fleet.breaker.reset(*pair)
        elif kind in self.also:
            self.also[kind](fleet, name)
        self._lanes()

    def _over(self, name: str, event: Event) -> None:
        fleet = self.fleet
        fleet.did(f"{event.kind} is over at {name}")
        if event.kind in ("kill", "wipe", "end"):
            fleet.restart(name)
        elif event.kind == "stop":
            fleet.go_on(name)
        self._lanes()

    def _lanes(self) -> None:
        """What stands on the links, of all events that last."""
        wanted = {}
        for name, event in self.held.items():
            if fault := LANES.get(event.kind):
                for pair in self.fleet.breaker.links:
                    met = pair[1] == name and event.kind != "mute" or pair[0] == name and event.kind != "deaf"
                    if met and not wanted.get(pair, NO_FAULT).cut:
                        wanted[pair] = fault
        self.fleet.breaker.stand(wanted)
