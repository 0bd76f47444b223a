"""All at once: five coordinators before stand-in relays, three sidecars before stand-in servers; RPCs, seats,
batches, notes, reads and drains; members killed, stopped, cut off and slowed, overlapping; the leader
upgraded by hand-over meanwhile, and a contract cut to a third while a sidecar that holds seats is cut off;
clocks that drift, and one wall clock an hour forward and back.

Judged by each part's own checkers: notes and reads (ledger), the servers' meter (seats), their counts of acts
(batches, reservations), the chained records (audit), the relays (takeover, drains).  QUICK=1: under 50 s.
BROKEN=1 lets members act without a lease, and the proof has to fail.  SEED=N: another plan of faults.  The
last line is one JSON object; the exit code is 1 where a promise is broken."""

from __future__ import annotations

import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from audit_platform import Platforms
from fleet_load import CONTRACT, CUT, Running, acts, contract, pool
from fleet_verdict import broken, judged
from fleetkit import Fleet, Player, drawn, settled, until
from seats_truth import Servers

from indigohitch.fleet.audit.heads import AuditState

QUICK, BROKEN = os.environ.get("QUICK") == "1", os.environ.get("BROKEN") == "1"
SEED = int(os.environ.get("SEED", "1"))
SECONDS = 8 if QUICK else 40  # of the plan of faults
# Of the members' clocks: two differ by no more than the files' `drift`.
DRIFTS = {"v1": 0.0005, "v2": -0.0005, "v4": 0.0005, "s1": -0.0005, "s2": 0.0005}
KINDS = {"kill": 3, "stop": 2, "cut": 3, "deaf": 1, "mute": 1, "slow": 1, "reset": 1, "end": 1}


class Proof:
    def __init__(self) -> None:
        self.begun, self.path = time.monotonic(), Path(tempfile.mkdtemp(prefix="proof-fleet-"))
        self.servers = Servers(self.path, 4, 5.0)
        cars = ("s1", "s2", "s3")
        each = {name: [f"access-log {self.path / name / 'access.jsonl'}", "runs eros std 2"] for name in cars}
        self.fleet = Fleet(
            self.path,
            voters=5,
            sidecars=3,
            seed=SEED,
            more=contract(1, CONTRACT),
            each=each,
            pools=[pool(self.servers)],
            clocks=True,
            drifts=DRIFTS,
            patch=Path(__file__).parent / "audit_guard.py",
            environment={"AUDIT_BROKEN": "1"} if BROKEN else {},
        )
        self.platforms = Platforms(self.fleet)
        self.running = Running(self.path, self.fleet, self.servers, self.platforms)
        self.wrong: list[str] = []
        self.pieces: dict[str, int] = {}  # of batches, by state
        self.upgrades: list[dict] = []
        self.in_force = 1 << 61  # ns, once the cut contract is
        self.leaked = CONTRACT  # until it is known

    def say(self, text: str) -> None:
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)

    def must(self, holds: object, what: str) -> None:
        if not holds:
            self.wrong.append(what)
            self.say(f"BROKEN: {what}")

    # ---- in turn -------------------------------------------------------------------------------------

    def upgrade(self) -> None:
        """Of the leader, while a follower is stopped and a sidecar cut off."""
        fleet = self.fleet
        name = until(fleet.leader, 10, "a leader")
        other = next(n for n in fleet.voters if n != name)
        fleet.stop(other)
        fleet.breaker.cut_off("s3")
        told = fleet.upgrade(name) or {}
        self.upgrades.append(told)
        self.must(told.get("result") == "upgraded", f"upgrade of {name}: {told}")
        since = time.monotonic()
        until(lambda: self.running.notes.first_after(since), 10, "a note after the upgrade")
        self.say(f"leader {name} upgraded, gap {told.get('gap_ms')} ms; {fleet.leader()} leads")
        fleet.go_on(other)
        fleet.breaker.heal()

    def trouble(self) -> None:
        player = Player(self.fleet, drawn(SEED, self.fleet, SECONDS, KINDS, gap=1.2))
        self.platforms.undisturbed = player.undisturbed
        player.start()
        self.fleet.jump("v3", 3600)  # of its wall clock: fleet time goes on as before
        time.sleep(SECONDS / 2)
        self.fleet.jump("v3", -3600)
        player.join()
        self.player = player
        told = until(lambda: self.fleet.of_fleet(self.fleet.leader()), 10, "a leader")
        self.must(abs(told["time"] / 10_000 - time.time()) < 5, "fleet time went with one wall clock")
        self.say(f"played {sum(player.counts.values())} faults: {player.counts}")

    def cut(self) -> None:
        """The contract, while one that holds seats can't hear of it, and the leader is killed."""
        fleet, seats = self.fleet, self.running.seats
        fleet.ready()
        until(lambda: seats.told().get("members", {}).get("s2"), 20, "seats at s2")
        fleet.breaker.cut_off("s2")
        fleet.write(more=contract(2, CUT))
        fleet.hup_all()
        name = until(fleet.leader, 10, "a leader")
        fleet.kill(name)
        until(lambda: seats.told().get("seats") == CUT and not seats.told().get("over"), 25, "the cut")
        self.in_force = time.monotonic_ns()
        self.say(f"contract cut to {CUT}, in force: {seats.told().get('members')}")
        fleet.restart(name)
        fleet.breaker.heal()
        time.sleep(1.0)

    def valid(self, name: str) -> bool:
        told = self.fleet.of_fleet(name) or {}
        phase = told.get("works", {}).get("members", {}).get("phase")
        return told.get("lease_ms", 0) > 0 and phase == "valid"

    def play(self) -> dict:
        """By member that answers: where its state machine stands at the end, and its digest."""
        fleet, running = self.fleet, self.running
        fleet.start()
        until(lambda: all(self.valid(name) for name in fleet.members), 25, "all to be valid")
        self.say("five coordinators, three sidecars, all valid")
        running.begin(SECONDS + 20)
        running.batches.begin(6 if QUICK else 30, SECONDS + 25, 1)
        time.sleep(1.0)
        self.upgrade()
        self.trouble()
        self.cut()
        running.end()
        found = settled(fleet)
        self.say(f"settled at {found}")
        running.quiet()
        self.leaked = running.seats.leaked()
        time.sleep(1.5)  # orders have come to rest, and the last heads are told
        return found

    def run(self) -> dict:
        found, acted, facts = {}, {}, None
        try:
            found = self.play()
        except AssertionError as vain:  # what ran until then is judged all the same
            self.wrong.append(str(vain))
            self.fleet.show()
        try:
            self.texts = {
                name: (self.fleet.ask(name, "book notes", 10.0) or {}).get("texts")
                for name in self.fleet.members
            }
            acted, part = acts(self.servers), self.running.batches.part()
            self.pieces = part.pieces.counts() if part else {}
            told = self.fleet.ask(self.fleet.leader(), "book audit", 5.0) if self.fleet.leader() else None
            facts = msgspec.convert(told["part"], AuditState) if told else None
        finally:
            if hasattr(self.running, "notes"):
                self.running.end()
            noise = self.fleet.noise()
            self.fleet.close()
            self.platforms.close()
            self.servers.close()
        return judged(self, found, acted, facts, noise)


def main() -> int:
    proof = Proof()
    result = proof.run()
    failed = broken(result)
    if not failed:
        shutil.rmtree(proof.path, ignore_errors=True)
    print(json.dumps(result | {"broken": failed}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
