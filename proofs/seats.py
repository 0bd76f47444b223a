"""Licence seats over real processes: never more in use than contracted, by the servers' own meter.

Voters and three sidecars with a relay of faults between each pair, four stand-in servers that check passes,
end jobs at their end and write down what truly ran.  First wanting is skewed: one sidecar's clients want
more than there is.  Then one tenant of another asks for everything, beside one that wants two seats.  Then
sidecars are killed, ended, stopped for longer than a lease and cut off, servers killed with their jobs, RPCs
held on their way until they are late, the leader killed; last the contract is cut to a third while a sidecar
that holds seats is cut off.  Then quiet: all must be free.

QUICK=1: three voters, each fault once.  BROKEN=1 takes a guard away (seats_unheard.py) and has to fail.  The
last line is one JSON object; the exit code is 1 where a promise is broken."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from pathlib import Path

from fleetkit import Fleet, Pool, until
from seats_clients import Clients, p99
from seats_truth import Servers, Truth
from seats_verdict import Observed, Promise, broken, result

from indigohitch.standins.fault_proxy import FaultProxy

QUICK, BROKEN = os.environ.get("QUICK") == "1", os.environ.get("BROKEN") == "1"
CONTRACT, CUT = 45, 15
LEASE = 2.0
FEATURE = "geocoder"
RPCS = [f"rpc geocode idempotent soft 1s deadline 3s seat {FEATURE}"]
ROUTES = ["route GET /geocode/{id} rpc geocode pool nodes"]


def contract(edition: int, seats: int) -> list[str]:
    return [f"edition {edition}", f"seats {FEATURE} {seats} kind job drain 2s", "seat-tenant X-Tenant"]


class Proof:
    def __init__(self) -> None:
        self.begun = time.monotonic()
        self.path = Path(tempfile.mkdtemp(prefix="proof-seats-"))
        self.servers, self.way = Servers(self.path, 4, 5.0), FaultProxy(2)
        host, port = self.servers.at["n4"].split(":")
        slow = "{}:{}".format(*self.way.gate("sidecars", "n4", (host, int(port))))
        pool = Pool(servers=self.servers.at | {"n4": slow}, rpcs=RPCS, routes=ROUTES)
        self.fleet = Fleet(
            self.path,
            voters=3 if QUICK else 5,
            sidecars=3,
            more=contract(1, CONTRACT),
            pools=[pool],
            patch=Path(__file__).parent / "seats_unheard.py" if BROKEN else "",
        )
        self.clients: list[Clients] = []
        self.window, self.in_force = (0, 1), 1 << 61  # ns, once they are known
        self.waits: list[float] = []
        self.cut_took = 0.0
        self.counts = {"kills": 0, "cuts": 0, "refused_late": 0}

    def say(self, text: str) -> None:
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)

    def add(self, sidecar: str, *rest, **words) -> Clients:
        self.clients.append(Clients(self.fleet.listen[sidecar], *rest, **words))
        return self.clients[-1]

    def seats(self, name: str = "") -> dict:
        """The state machine's view at a member, the leader if none is named; {} while that can't be had."""
        name = name or self.fleet.leader()
        found = (self.fleet.of_fleet(name) or {}) if name else {}
        return found.get("works", {}).get("seats", {}).get("features", {}).get(FEATURE, {})

    # ---- in turn -------------------------------------------------------------------------------------

    def skewed(self) -> None:
        """A third for each would be a static split; the first sidecar's clients want all."""
        busy = [
            self.add("s1", "many", 54, wait=400),
            self.add("s2", "few", 2, wait=400),
            self.add("s3", "few", 2, wait=400),
        ]
        until(lambda: self.seats().get("members", {}).get("s1", 0) >= CONTRACT - 7, 12, "seats at s1")
        time.sleep(1.5)
        since = time.monotonic_ns()
        time.sleep(4 if QUICK else 10)
        self.window = since, time.monotonic_ns()
        self.say(f"skewed: {self.seats().get('members')}")
        for clients in busy:
            clients.stop()

    def everything(self) -> None:
        """A tenant that asks for everything, beside one that wants one seat at a time."""
        self.add("s2", "all", 40)
        self.add("s1", "some", 6)
        self.add("s3", "some", 6)
        time.sleep(2.0)
        small = self.add("s2", "small", 2, rest=0.02)
        time.sleep(3 if QUICK else 8)
        self.waits = list(small.waits)
        self.say(f"everything: small waited {p99(self.waits)} ms at p99, {len(self.waits)} times")
        # Jobs whose answers never come: only their end at the server frees their seats.
        for name in ("s1", "s2"):
            self.add(name, "mute", 2, wait=0, act="mute")

    def killed(self, name: str) -> None:
        self.say(f"kill {name}, holding {self.seats().get('members', {}).get(name)}")
        if name in self.servers.at:
            self.servers.kill(name)
            self.servers.start(name)
        else:
            self.fleet.kill(name)
            self.fleet.restart(name)
        self.counts["kills"] += 1
        time.sleep(1.0)

    def holding(self, name: str, least: int = 1) -> None:
        until(lambda: self.seats().get("members", {}).get(name, 0) >= least, 15, f"seats at {name}")

    def stopped(self, name: str) -> None:
        """For longer than its lease: its seats are others' when it goes on."""
        self.holding(name)
        self.fleet.stop(name)
        until(lambda: name not in self.seats().get("members", {}), 12, f"seats of {name} to be free")
        self.say(f"stopped {name} has no seats; it goes on")
        self.fleet.go_on(name)

    def delayed(self) -> None:
        """RPCs to one server wait on their way until their seats are given to others: it must begin none."""
        before = self.servers.stats("n4")["refused"].get("late", 0)
        self.way.cut("sidecars", "n4")
        time.sleep(3.5)  # over the deadline and the lease
        self.way.heal()
        until(lambda: self.servers.stats("n4")["refused"].get("late", 0) > before, 5, "RPCs that come late")
        self.say(f"delayed: {self.servers.stats('n4')['refused']['late'] - before} came too late")

    def ended(self, name: str) -> None:
        """In order, while jobs of it are out of which nothing is heard: what it held waits for their end."""
        self.say(f"end {name}, holding {self.seats().get('members', {}).get(name)}")
        self.fleet.end(name)
        self.fleet.restart(name)

    def upgraded(self, name: str) -> None:
        """The old process answers what it has in hand, the new one is another incarnation."""
        told = self.fleet.upgrade(name) or {}
        self.say(f"upgrade {name}: {told.get('result')}")
        assert told.get("result") == "upgraded", told

    def cut_off(self, name: str) -> None:
        self.holding(name)
        self.fleet.breaker.cut_off(name)
        self.counts["cuts"] += 1
        until(lambda: name not in self.seats().get("members", {}), 12, f"seats of {name} to be free")
        self.say(f"cut off {name} has no seats")
        self.fleet.breaker.heal()

    def contract_cut(self, name: str) -> None:
        """To a third, while one that holds seats can't hear of it."""
        self.holding(name, CUT // 2 + 1)
        self.fleet.breaker.cut_off(name)
        self.counts["cuts"] += 1
        since = time.monotonic()
        self.fleet.write(more=contract(2, CUT))
        self.fleet.hup_all()
        until(lambda: self.seats().get("seats") == CUT and not self.seats().get("over"), 15, "the cut")
        self.in_force = time.monotonic_ns()
        self.cut_took = time.monotonic() - since
        self.say(f"cut to {CUT} in force after {self.cut_took:.1f} s: {self.seats().get('members')}")
        time.sleep(1.5)
        self.fleet.breaker.heal()
        time.sleep(1.0)

    def quieted(self) -> int:
        """What is not free after quiet: seats in use, owed or with members that don't live, and jobs."""
        for clients in self.clients:
            clients.stop()
        for clients in self.clients:
            clients.join()
        self.servers.quiet(10)
        self.fleet.ready(20)

        def leaked() -> int:
            found = [self.seats(name) for name in self.fleet.listen]
            if not all(found):
                return CONTRACT
            return (
                sum(f["in_use"] for f in found)
                + found[0]["over"]
                + abs(CUT - found[0]["held"] - found[0]["free"])
                + sum(n for who, n in found[0]["members"].items() if who not in self.fleet.members)
            )

        try:
            until(lambda: not leaked(), 10)
        except AssertionError:
            pass
        return leaked()

    def play(self) -> int:
        """Seats that are not free after all of it."""
        self.fleet.start()
        until(lambda: self.seats().get("seats") == CONTRACT, 10, "the contract")
        self.say("started")
        self.skewed()
        self.everything()
        for name in ("s1", "n1", "") if QUICK else ("s1", "n1", "", "s2", "n2", "n3", ""):
            self.killed(name or until(self.fleet.leader, 10, "a leader"))
        self.delayed()
        self.ended("s1")
        self.stopped("s2")
        if not QUICK:
            self.upgraded("s3")
        self.cut_off("s1")
        self.contract_cut("s2")
        leaked = self.quieted()
        self.counts["refused_late"] = self.servers.refused().get("late", 0)
        return leaked

    def run(self) -> int:
        leaked, wrong = -1, []
        with self.fleet as fleet:
            try:
                leaked = self.play()
            except AssertionError as bad:  # what ran until then is judged all the same
                wrong.append(str(bad))
            noise = fleet.noise()
        for clients in self.clients:
            clients.join()
        self.servers.close()
        self.way.close()
        return self.told(leaked, noise, wrong)

    def told(self, leaked: int, noise: list[str], wrong: list[str]) -> int:
        promise = Promise(CONTRACT, CUT, 1000 * LEASE)
        seen = Observed(
            self.window, self.in_force, self.cut_took, self.waits, self.counts, leaked, len(noise)
        )
        truth = Truth(self.servers, FEATURE)
        found = result(promise, seen, truth, self.clients)
        bad = broken(promise, seen, truth, found) + wrong
        for line in noise[:20]:
            print(line)
        print(json.dumps(found | {"broken": bad}))
        return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(Proof().run())
