"""Scoped distribution at the size that operators expect: thousands of subscribers at six distributors,
changes at ten times the ordinary rate, bursts, and faults one after the other.  After quiet each subscriber
must hold exactly what is intended.

    python proofs/scale.py              6,500 hollow subscribers; QUICK=1: 1,300, under 50 s; SEED=7
    SIZE=tiny ...                       100, for who works on it
    BROKEN=guard ...                    versions are not guarded: must fail
    BROKEN=resume ...                   whoever comes back is sent all of its scope: must fail

The last line is JSON.  Exit code 1 on a broken promise.  docs/distribution-operators.md explains it."""

from __future__ import annotations

import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from fleetkit import Fleet, until  # noqa: E402
from fleetkit.files import held_port  # noqa: E402

from proofs.scalekit.changes import Changes  # noqa: E402
from proofs.scalekit.faults import REGION, Faults  # noqa: E402
from proofs.scalekit.intended import Intended, scope  # noqa: E402
from proofs.scalekit.judging import Facts  # noqa: E402
from proofs.scalekit.real import Costs, Real  # noqa: E402
from proofs.scalekit.records import clock  # noqa: E402
from proofs.scalekit.result import result_of  # noqa: E402
from proofs.scalekit.sizes import SIZES  # noqa: E402
from proofs.scalekit.workers import Workers  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
BROKEN = os.environ.get("BROKEN", "")
SIZE = SIZES[os.environ.get("SIZE", "quick" if os.environ.get("QUICK") == "1" else "full")]
GUARDS = Path(__file__).parent / "scalekit" / "guards.py"


class Proof:
    def __init__(self) -> None:
        self.begun, self.path = time.monotonic(), Path(tempfile.mkdtemp(prefix="proof-scale-"))
        self.names = [f"d{n + 1}" for n in range(SIZE.distributors)]
        self.ports = {name: held_port() for name in self.names}
        self.at = {name: port.getsockname() for name, port in self.ports.items()}
        self.wrong: list[str] = []
        self.intended = Intended(SIZE, SEED)
        self.fleet = self.made_fleet()
        sockets = [self.fleet.places[name].control for name in self.fleet.voters]
        self.changes = Changes(self.intended, sockets, SIZE.rate, SEED)
        self.costs = Costs()

    def made_fleet(self) -> Fleet:
        lines = [f"distributor {name} {host}:{port}" for name, (host, port) in self.at.items()]
        waits = ["wait lease 4s", "wait election 800ms", "wait beat 100ms", "drift 0.001"]
        patch, environment = (GUARDS, {"SCALE_BROKEN": BROKEN}) if BROKEN else ("", None)
        fleet = Fleet(
            self.path,
            SIZE.voters,
            0,
            SEED,
            more=lines,
            waits=waits,
            patch=patch,
            environment=environment,
            name="scale",
        )
        for name in self.names:
            fleet.place(name, False)
        fleet.write()
        return fleet

    def say(self, what: str) -> None:
        print(
            f"{time.monotonic() - self.begun:6.1f} s ({time.monotonic():.1f})  {what}",
            file=sys.stderr,
            flush=True,
        )

    # ---- the run ---------------------------------------------------------------------------------------

    def start(self) -> None:
        self.workers = Workers(self.path, SIZE, SEED)
        self.fleet.start()
        self.say(f"{SIZE.voters} voters and {SIZE.distributors} distributors stand")
        self.changes.load()
        self.say(
            f"{SIZE.backends} backends in {SIZE.services} services, {SIZE.routes} routes are in the ledger"
        )
        until(lambda: all(self.level(name) for name in self.names), 20, "the distributors to be level")
        gates = {name: self.fleet.breaker.gate(REGION, name, at) for name, at in self.at.items()}
        self.workers.begin("scale", BROKEN != "guard", [gates] + [self.at] * (SIZE.workers - 1))
        texts = {name: f"{host}:{port}" for name, (host, port) in self.at.items()}
        self.real = [
            Real(self.path, f"real-{n + 1}", "scale", texts, scope(SIZE, SEED, SIZE.hollow + n))
            for n in range(SIZE.real)
        ]
        for one in self.real:
            one.start()
        until(lambda: self.workers.served() == SIZE.hollow, 60, "all hollow subscribers to be served")
        for one in self.real:
            one.ready()
        self.say(f"{SIZE.hollow} hollow and {SIZE.real} real subscribers are served")

    def level(self, name: str) -> bool:
        told = (self.fleet.of_fleet(name) or {}).get("works", {}).get("distribution", {})
        return bool(told.get("listens") and told.get("ledger_age") is not None)

    def play(self) -> None:
        self.costs.watch("real", lambda: [one.member.process.pid for one in self.real])
        self.costs.watch("distributor", lambda: [self.fleet.members[name].process.pid for name in self.names])
        self.costs.watch(
            "voter", lambda: [self.fleet.members[name].process.pid for name in self.fleet.voters]
        )
        self.costs.watch("hollow", lambda: [worker.process.pid for worker in self.workers.all])
        self.costs.watch("proof", lambda: [os.getpid()])
        self.costs.start()
        self.changes.start()
        self.faults = Faults(SIZE, SEED, self.fleet, self.workers, self.changes, self.names, self.say)
        try:
            self.faults.play()
        finally:
            self.changes.stop()
        self.quiet()

    def quiet(self) -> None:
        """No more changes: each has a distributor's word that nothing committed until now is missing."""
        since = clock()
        until(lambda: self.workers.confirmed(since) == SIZE.hollow, 30, "all to be up to date again")
        until(lambda: all(one.confirmed(since) for one in self.real), 30, "the real ones to be up to date")
        until(self.all_in_force, 30, "the last version to be in force")
        self.costs.close()

    def all_in_force(self) -> bool:
        for name in self.names:
            told = (self.fleet.of_fleet(name) or {}).get("works", {}).get("distribution")
            if told is None or told["behind"]:
                return False
        return True

    def run(self) -> int:
        outcome = None
        try:
            self.start()
            self.play()
        except AssertionError as vain:  # what ran until then is judged all the same
            self.wrong.append(str(vain))
            self.fleet.show()
        try:
            if hasattr(self, "faults"):
                outcome = self.judged()
        finally:
            self.close()
        if outcome is None:
            print(json.dumps({"broken": ["start"], "why": self.wrong}))
            return 1
        print(json.dumps(outcome), flush=True)
        if not outcome["broken"]:
            shutil.rmtree(self.path, ignore_errors=True)
        return 1 if outcome["broken"] else 0

    def judged(self) -> dict:
        facts = Facts(self.changes.made, self.faults.away, self.intended.services, clock())
        found = self.workers.judge(facts)
        self.say("longest recovery: " + max(found, key=lambda each: each.recovered).longest)
        wrong = [why for one in self.real if (why := one.differs(self.intended.services))]
        wrong += [why for each in found for why in each.wrong] + self.wrong + self.fleet.noise()
        for why in [*wrong, *(late for each in found for late in each.late)][:20]:
            self.say(why)
        return result_of(self, SIZE, found, wrong)

    def close(self) -> None:
        for one in getattr(self, "real", []):
            one.close()
        if hasattr(self, "workers"):
            self.workers.close()
        self.fleet.close()
        for port in self.ports.values():
            port.close()


if __name__ == "__main__":
    sys.exit(Proof().run())
