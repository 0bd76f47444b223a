"""Members of a fleet made late on purpose, each followed until it is brought up or shut out."""

from __future__ import annotations

import random
import threading
import time

from audit_asked import burst, put
from audit_platform import Platforms
from fleetkit import Fleet, until

from indigohitch.fleet.membership.failure_detector import MAX_LAG


class Stragglers:
    def __init__(self, fleet: Fleet, platforms: Platforms, quick: bool, say) -> None:
        self.fleet, self.platforms, self.quick, self.say = fleet, platforms, quick, say
        self.versions = self.count = self.brought_up = self.shut_out = 0
        self.chance, self.odd = random.Random(7), ""
        self.wrong: list[str] = []

    def held(self) -> list[str]:
        return [name for name, member in self.fleet.members.items() if member.stopped]

    def propose(self, kind: str, body: list) -> int:
        """Its entry, through any member that answers."""

        def entry() -> int | None:
            for name in self.fleet.voters:
                found = put(self.fleet.places[name].control, kind, body) if name not in self.held() else None
                if found and found.get("index"):
                    return found["index"]
            return None

        return until(entry, 15, f"an entry {kind}")

    def change(self, hard: bool) -> int:
        self.versions += 1
        return self.propose("members.change", [f"list of servers {self.versions}", hard, 10_000])

    def work(self, name: str, work: str = "members") -> dict:
        return ((self.fleet.of_fleet(name) or {}).get("works") or {}).get(work) or {}

    def in_force(self) -> int:
        return max((self.work(name).get("in_force", 0) for name in self.fleet.voters), default=0)

    def valid(self, name: str) -> bool:
        told = self.fleet.of_fleet(name) or {}
        return told.get("lease_ms", 0) > 0 and self.work(name).get("phase") == "valid"

    # ---- stragglers ----------------------------------------------------------------------------------

    def follower(self) -> str:
        leader = until(self.fleet.leader, 10, "a leader")
        return self.chance.choice([name for name in self.fleet.voters if name != leader])

    def leader(self) -> str:
        return until(self.fleet.leader, 10, "a leader")

    def straggler(self, what: str, name: str, begin, end, hold, out: bool) -> None:
        """`name` is made late by `begin`, for as long as `hold` says, while a hard change comes; then it is
        brought up, or was shut out (`out`: it must have been) and comes back."""
        before = self.work(name)["incarnation"]
        begin()
        version = self.change(True)
        hold(version)
        end()
        until(lambda: self.valid(name) and self.in_force() >= version, 25, f"{name} to come back")
        self.count += 1
        again = self.work(name)["incarnation"] > before
        self.shut_out, self.brought_up = self.shut_out + again, self.brought_up + (not again)
        if out and not again:
            self.wrong.append(f"{name}, {what}, was not shut out")
        self.say(f"{name} {what}: {'shut out, and back' if again else 'brought up'}")

    def stopped(self, name: str, out: bool = True) -> None:
        fleet = self.fleet
        hold = self.enforced if out else (lambda version: time.sleep(0.7))
        self.straggler(
            "stopped" if out else "stopped for a moment",
            name,
            lambda: fleet.stop(name),
            lambda: fleet.go_on(name),
            hold,
            out,
        )

    def enforced(self, version: int) -> None:
        """Until the change is in force without the straggler, and its slices are with others."""
        until(lambda: self.in_force() >= version, 20, "a hard change to be in force")
        until(lambda: self.platforms.gone, 10, "slices to be taken over")
        time.sleep(1.0)

    def cut(self, name: str, **how: bool) -> None:
        breaker = self.fleet.breaker
        self.straggler(
            f"cut off {how or ''}",
            name,
            lambda: breaker.cut_off(name, **how),
            breaker.heal,
            self.enforced,
            True,
        )

    def behind(self) -> None:
        """Two thousand entries are missed within a stop shorter than a lease, on a fleet that goes on."""
        name, fleet = self.follower(), self.fleet
        entries = MAX_LAG + 200 if self.quick else 2000

        def hold(version: int) -> None:
            others = [n for n in fleet.voters if n != name]
            lead = self.leader()
            index = fleet.of_fleet(lead)["applied"]
            threads = [
                threading.Thread(target=burst, args=(fleet.places[other].control, entries // 4, other))
                for other in others
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.say(f"{name} lacks {fleet.of_fleet(lead)['applied'] - index} entries")

        self.straggler(
            "many entries behind", name, lambda: fleet.stop(name), lambda: fleet.go_on(name), hold, False
        )

    def jumped(self) -> None:
        """Killed, and back on a machine whose wall clock is an hour ahead: acts are told by fleet time."""
        name, fleet = self.follower(), self.fleet
        before = self.work(name)["incarnation"]
        fleet.kill(name)
        fleet.jump(name, 3600)
        fleet.restart(name)
        until(lambda: self.valid(name) and self.work(name)["incarnation"] > before, 25, f"{name} to be back")
        until(lambda: self.work(name, "audit").get("own", {}).get("acts", 0) >= 2, 15, f"acts of {name}")
        self.say(f"{name} killed, and back with its wall clock an hour ahead")

    def differs(self) -> None:
        name = self.follower()
        (self.fleet.places[name].folder / "differ").touch()
        self.propose("notes.add", ["the same for all"])
        self.propose("members.compare", [])
        until(lambda: self.work(name).get("phase") == "differs", 20, f"{name} to see that it differs")
        until(lambda: self.platforms.lives().get(name) == "gone", 20, f"{name} to be gone")
        self.count, self.shut_out = self.count + 1, self.shut_out + 1
        evidence = list((self.fleet.places[name].ledger / "audit").glob("evidence-*"))
        if not evidence:
            self.wrong.append(f"{name} kept no evidence")
        self.say(f"{name} has another digest: shut out, {len(evidence)} piece of evidence")
        self.odd = name
