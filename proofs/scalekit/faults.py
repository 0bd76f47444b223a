"""The faults, one after the other, each with what becomes of its subscribers.  Whom they meet is seeded."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

from fleetkit import Fleet, until

from .changes import Changes
from .records import clock
from .sizes import Size
from .workers import Worker, Workers

STOPPED = 4.2  # s: past the members' lease and that of subscribers
LAG = 6.5  # s: longer than a change may take
REGION = "region"  # whose subscribers reach the distributors through the relay of faults


class Faults:
    def __init__(
        self,
        size: Size,
        seed: int,
        fleet: Fleet,
        workers: Workers,
        changes: Changes,
        distributors: list[str],
        say: Callable[[str], None],
    ) -> None:
        self.size, self.fleet, self.workers, self.changes = size, fleet, workers, changes
        self.distributors, self.say = distributors, say
        self.chance = random.Random(f"faults {seed}")
        self.away: dict[str, list[tuple[int, int]]] = {}
        self.done: list[str] = []

    def play(self) -> None:
        for fault in (
            self.reads_no_more,
            self.draining_burst,
            self.tampered_content,
            self.claimed_version,
            self.killed_distributor,
            self.two_killed,
            self.region_cut,
            self.distributor_stopped,
            self.lagging_distributor,
            self.majority_lost,
            self.empty_distributor,
            self.reads_again,
        ):
            begun = time.monotonic()
            self.done.append(fault.__name__)
            fault()
            self.say(f"{fault.__name__}: {time.monotonic() - begun:.1f} s")

    # ---- helpers ---------------------------------------------------------------------------------------

    def rest(self, share: float = 1.0) -> None:
        time.sleep(self.size.span * share)

    def one(self, but: tuple[str, ...] = ()) -> str:
        return self.chance.choice([name for name in self.distributors if name not in but])

    def subscriber(self) -> tuple[Worker, int]:
        worker = self.chance.choice(self.workers.all[1:])
        return worker, self.chance.randrange(len(worker.names))

    def were_away(self, names: list[str], begin: int, end: int) -> None:
        for name in names:
            self.away.setdefault(name, []).append((begin, end))

    def back(self, *names: str) -> None:
        """Started again; the next fault that takes some away waits for them."""
        for name in names:
            self.fleet.restart(name)

    def all_serve(self) -> None:
        self.fleet.ready(30, self.distributors)

    # ---- the content -----------------------------------------------------------------------------------

    def draining_burst(self) -> None:
        """A row of racks goes, while one subscriber never reads."""
        took = self.changes.burst(self.size.burst, "draining")
        self.say(f"{self.size.burst} backends drain within {took:.2f} s")

    def reads_no_more(self) -> None:
        """Until the end: its distributor has to let it go."""
        self.mute = self.subscriber()
        worker, number = self.mute
        self.mute_since = clock()
        self.mute_at = worker.ask("mute", number=number)["distributor"]

    def reads_again(self) -> None:
        worker, number = self.mute
        name = worker.names[number]
        until(lambda: self.let_go(name), 12, f"{self.mute_at} to let {name} go")
        worker.ask("unmute", number=number)
        self.were_away([name], self.mute_since, clock())

    def let_go(self, name: str) -> bool:
        """The log says so, or the distributor was killed since."""
        log = self.fleet.members[self.mute_at].log()
        events = [each.get("event") for each in log if name in (each.get("subscriber"), each.get("where"))]
        return bool({"subscriber_dropped", "subscriber_silent"} & {*events}) or self.killed(self.mute_at)

    def killed(self, name: str) -> bool:
        return any(what == f"kill {name}" for _, what in self.fleet.told)

    def tampered_content(self) -> None:
        """Two hold something else than they were told: one comes anew, one hears of the next change."""
        for reconnects in (True, False):
            worker, number = self.subscriber()
            worker.ask("tamper", number=number, reconnects=reconnects)
            name = worker.names[number]
            key = min(self.changes.intended.services[self.workers.scopes[name][0]])
            self.changes.make({self.workers.scopes[name][0]: {key: f"touched {clock()}"}})

    def claimed_version(self) -> None:
        worker, number = self.subscriber()
        worker.ask("claim", number=number)

    # ---- distributors ----------------------------------------------------------------------------------

    def killed_distributor(self) -> None:
        """While one process of subscribers stands still."""
        self.all_serve()
        name, worker = self.one(), self.chance.choice(self.workers.all[1:])
        self.say(f"{name} is killed with {self.workers.at(name)} hollow subscribers")
        worker.stop()
        self.fleet.kill(name)
        self.rest()
        self.were_away(worker.names, *worker.go_on())
        self.back(name)

    def two_killed(self) -> None:
        self.all_serve()
        first = self.one()
        second = self.one((first,))
        self.fleet.kill(first)
        time.sleep(self.chance.uniform(0.1, 0.9))
        self.fleet.kill(second)
        self.rest()
        self.back(first, second)

    def distributor_stopped(self) -> None:
        """Past the members' lease and past that of its subscribers."""
        self.all_serve()
        name = self.one()
        self.fleet.stop(name)
        time.sleep(max(self.size.span, STOPPED))
        self.fleet.go_on(name)

    def lagging_distributor(self) -> None:
        """One is cut off from the ledger and still reached; another's subscribers come to it."""
        self.all_serve()
        lagging = self.one()
        killed = self.one((lagging,))
        members = [name for name in self.fleet.members if name != lagging]
        self.fleet.breaker.part([lagging], members)
        begun = time.monotonic()
        self.rest(0.5)
        self.changes.burst(self.size.burst, "serving")
        self.fleet.kill(killed)
        time.sleep(max(self.size.span, begun + LAG - time.monotonic()))
        self.fleet.breaker.heal()
        self.back(killed)

    def empty_distributor(self) -> None:
        self.all_serve()
        name = self.one()
        self.fleet.wipe(name)
        self.rest(0.5)
        self.back(name)
        self.all_serve()

    # ---- subscribers -----------------------------------------------------------------------------------

    def region_cut(self) -> None:
        """Cut off before a burst of drains, back after it."""
        worker, begun = self.workers.all[0], clock()
        self.fleet.breaker.part([REGION], self.distributors)
        drains = threading.Thread(target=self.changes.burst, args=(self.size.burst, "draining"))
        drains.start()
        time.sleep(self.size.region_cut)
        drains.join()
        self.fleet.breaker.heal()
        self.were_away(worker.names, begun, clock())

    # ---- the ledger ------------------------------------------------------------------------------------

    def majority_lost(self) -> None:
        """What is asked for meanwhile is asked again until it is in the ledger."""
        voters = self.fleet.voters
        lost = self.chance.sample(voters, len(voters) // 2 + 1)
        for name in lost:
            self.fleet.kill(name)
        self.rest()
        self.back(*lost)
        self.fleet.ready(30, lost)
