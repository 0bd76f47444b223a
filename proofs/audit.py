"""The audit: five coordinators as processes, each before a stand-in relay, with stops, cuts and changes of
what they act by.  Each straggler is brought up or shut out; nobody acts on an old version after a hard change
is in force, nor after it is shut out; slices go to others and drains end in their grace; records that are
tampered with afterwards are found.

The last line is one JSON object; the exit code is 1 where a promise is broken.  QUICK=1: 50 s at most.
BROKEN=1 lets members act without a lease, and the proof has to fail."""

from __future__ import annotations

import json
import os
import random
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec
from audit_asked import Server
from audit_platform import Platforms
from audit_stragglers import Stragglers
from audit_tamper import KINDS_OF, tampered
from fleetkit import Fleet, settled, until

from indigohitch.fleet.audit.files import read_chains
from indigohitch.fleet.audit.folders import AuditResult, audit_folders
from indigohitch.fleet.audit.heads import AuditState

QUICK, BROKEN = os.environ.get("QUICK") == "1", os.environ.get("BROKEN") == "1"
TAMPERED = 16 if QUICK else 80


class Proof:
    def __init__(self) -> None:
        self.path, self.begun = Path(tempfile.mkdtemp(prefix="proof-audit-")), time.monotonic()
        self.fleet = Fleet(
            self.path,
            voters=5,
            clocks=True,
            patch=Path(__file__).parent / "audit_guard.py",
            environment={"AUDIT_BROKEN": "1"} if BROKEN else {},
        )
        self.platforms = Platforms(self.fleet)
        self.late = Stragglers(self.fleet, self.platforms, QUICK, self.say)
        self.chance, self.busy = random.Random(8), True

    def say(self, text: str) -> None:
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)

    # ---- the run -------------------------------------------------------------------------------------

    def run(self) -> dict:
        fleet = self.fleet
        try:
            fleet.start()
            until(lambda: all(self.late.valid(name) for name in fleet.voters), 20, "all to be valid")
            self.platforms.start()
            threading.Thread(
                target=self.platforms.in_turn, args=(lambda: self.busy, 0.3), daemon=True
            ).start()
            self.say("five coordinators, all valid")
            late = self.late
            late.change(False)
            steps = [
                lambda: late.stopped(late.follower()),
                lambda: late.stopped(late.follower(), False),
                lambda: late.cut(late.leader()),
                late.behind,
                late.jumped,
            ]
            if not QUICK:
                steps += [
                    lambda: late.stopped(late.leader()),
                    lambda: late.cut(late.follower()),
                    lambda: late.cut(late.follower(), hears=False),
                    lambda: late.cut(late.follower(), heard=False),
                    lambda: late.stopped(late.leader(), False),
                    lambda: late.stopped(late.follower()),
                ]
            for step in steps:
                step()
            settled(fleet)
            late.differs()
            time.sleep(1.0)
            self.busy = False
            return self.judged()
        finally:
            self.busy = False
            fleet.close()
            self.platforms.close()

    def facts(self) -> AuditState:
        told = until(lambda: self.fleet.ask(self.late.leader(), "book audit", 5.0), 10, "the book")
        return msgspec.convert(told["part"], AuditState)

    def judged(self) -> dict:
        fleet, platforms = self.fleet, self.platforms
        quiet = {
            name: (self.fleet.of_fleet(name) or {}).get("works", {}).get("audit", {}).get("chain")
            for name in fleet.voters
        }
        time.sleep(1.5)  # orders have come to rest, and the last heads are told
        self.say(f"chains { ({name: one and one['number'] for name, one in quiet.items()}) }")
        digests = {name: fleet.ask(name, "read", 5.0) for name in fleet.voters if name != self.late.odd}
        facts = self.facts()
        for name in list(platforms.gone):
            platforms.note_late(name)
        folders = {name: fleet.places[name].ledger / "audit" for name in fleet.voters}
        fleet.close()
        whole = audit_folders(folders, facts)
        for finding in whole.findings[:10]:
            self.say(f"found: {finding}")
        known = {
            name: {one.incarnation: one.number for one in lives} for name, lives in facts.incarnations.items()
        }
        late, late_right = self.late_stamps(folders, facts)
        spoilt, found = self.tampered(folders, facts, known)
        same = {}
        for told in filter(None, digests.values()):
            same.setdefault(told.get("index"), set()).add(told.get("digest"))
        return {
            "acts": sum(whole.acts.values()),
            "versions": self.late.versions,
            "stragglers": self.late.count,
            "brought_up": self.late.brought_up,
            "shut_out": self.late.shut_out,
            "acts_on_old_version": whole.count("old_version"),
            "acts_after_shut_out": whole.count("after_gone", "no_lease") + len(platforms.late),
            "gaps": whole.count("missing", "doubled", "order", "unknown", "changed")
            + len(whole.unread)
            + self.unrecorded(folders),
            "disagreements": whole.count("contradiction") + sum(len(one) > 1 for one in same.values()),
            "tampered": spoilt,
            "tampered_found": found,
            "drains_over": len(platforms.over),
            "stamps_shown": late,
            "stamps_judged_right": late_right,
            "drains": platforms.drains,
            "takeovers": platforms.takeovers,
            "wrong": self.late.wrong,
            "seconds": round(time.monotonic() - self.begun, 1),
        }

    def late_stamps(self, folders: dict[str, Path], facts: AuditState) -> tuple[int, int]:
        """To a receiver that knows who is gone: the last stamp of each incarnation that is; and how many of
        those were refused, and those of the valid ones taken."""
        server, sent, right = Server(), 0, 0
        try:
            for name, folder in folders.items():
                ended = {one.incarnation for one in facts.incarnations[name] if one.lease_ended_index}
                for incarnation in ended:
                    server.ask(f"/fleet/gone/{name}/{incarnation}")
                for incarnation, chain in read_chains(folder)[0].items():
                    status = server.ask("/pieces/1", chain[-1].stamp)
                    sent, right = sent + 1, right + (status == (409 if incarnation in ended else 200))
        finally:
            server.close()
        return sent, right

    def unrecorded(self, folders: dict[str, Path]) -> int:
        """Calls that came to a relay and stand in no record of the coordinator before it."""
        missing = 0
        for name, relay in self.platforms.relays.items():
            told = {record.about for chain in read_chains(folders[name])[0].values() for record in chain}
            missing += sum(digest not in told for _, digest in relay.heard)
        return missing

    def tampered(self, folders: dict, facts: AuditState, known: dict) -> tuple[int, int]:
        done = found = 0
        for n in range(TAMPERED):
            name, how = self.chance.choice(sorted(folders)), KINDS_OF[n % len(KINDS_OF)]
            copy = self.path / "copy"
            said = tampered(folders[name], copy, lambda i, name=name: known[name].get(i, 0), how, self.chance)
            if not said:
                continue
            done += 1
            told: AuditResult = audit_folders(folders | {name: copy}, facts)
            if told.has_findings(name):
                found += 1
            else:
                self.late.wrong.append(f"{name}: {said} was not found")
        return done, found


def main() -> int:
    result = Proof().run()
    bad = [
        key
        for key in (
            "acts_on_old_version",
            "acts_after_shut_out",
            "gaps",
            "disagreements",
            "drains_over",
            "wrong",
        )
        if result[key]
    ]
    if result["tampered"] != result["tampered_found"] or not result["tampered"]:
        bad.append("tampered_found")
    if result["stamps_shown"] != result["stamps_judged_right"]:
        bad.append("stamps_judged_right")
    if result["stragglers"] != result["brought_up"] + result["shut_out"] or not result["brought_up"]:
        bad.append("stragglers")
    if bad:
        print(f"broken: {', '.join(bad)}", flush=True)
    print(json.dumps(result), flush=True)
    return bool(bad)


if __name__ == "__main__":
    sys.exit(main())
