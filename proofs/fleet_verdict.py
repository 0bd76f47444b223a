"""What a run of proofs/fleet.py came to, and which promises it broke."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Protocol

from audit_platform import Platforms
from fleet_load import CONTRACT, CUT, FEATURE, Running
from fleetkit import Fleet
from seats_truth import Servers, Truth

from indigohitch.fleet.audit.folders import audit_folders
from indigohitch.fleet.audit.heads import AuditState

ZEROS = (
    "lost_commits",
    "doubled_commits",
    "stale_reads",
    "books_differ",
    "over_contract",
    "over_cut",
    "seats_doubled",
    "seats_leaked",
    "pieces_twice",
    "reserves_twice",
    "acts_on_old_version",
    "acts_after_shut_out",
    "gaps",
    "contradictions",
    "drains_over",
    "tracebacks",
    "wrong",
)
MORE_THAN_NONE = ("commits", "rpcs", "seats_given", "pieces_done", "acts", "upgrades")


class FleetRun(Protocol):
    """What the verdict reads of a run."""

    fleet: Fleet
    running: Running
    platforms: Platforms
    servers: Servers
    texts: Mapping[str, list[str] | None]  # the notes that each member holds at the end
    pieces: dict[str, int]  # of batches, by state
    upgrades: list[dict]
    wrong: list[str]
    in_force: int  # ns, once the cut contract is
    leaked: int  # seats still assigned at the end
    begun: float  # s, monotonic

    def say(self, text: str) -> None: ...


def judged(
    proof: FleetRun, found: dict, acted: dict[str, int], facts: AuditState | None, noise: list[str]
) -> dict:
    """The figures of a run, each part's by its own checker."""
    running, fleet, platforms = proof.running, proof.fleet, proof.platforms
    lost, doubled = set(), set()
    for texts in filter(None, proof.texts.values()):
        missing, twice = running.notes.judged(texts)
        lost |= set(missing)
        doubled |= set(twice)
    truth = Truth(proof.servers, FEATURE)
    folders = {name: fleet.places[name].ledger / "audit" for name in fleet.members}
    whole = audit_folders(folders, facts) if facts else None
    for line in noise[:20]:
        proof.say(line)
    for finding in whole.findings[:20] if whole else ():
        proof.say(f"found: {finding}")
    for name in list(platforms.gone):
        platforms.note_late(name)
    did = [what.split()[0] for _, what in fleet.told]
    rpcs, answered = running.answered()
    count = whole.count if whole else (lambda *kinds: 1)
    return {
        "commits": len(running.notes.acknowledged),
        "reads": running.reads.done,
        "rpcs": rpcs,
        "answered": answered,
        "seats_given": truth.given,
        "contract": CONTRACT,
        "peak_in_use": truth.peak(),
        "pieces": sum(proof.pieces.values()),
        "pieces_done": proof.pieces.get("done", 0),
        "kills": did.count("kill"),
        "stops": did.count("stop"),
        "cuts": sum(proof.player.counts.get(kind, 0) for kind in ("cut", "deaf", "mute")) + 2
        if hasattr(proof, "player")
        else 0,
        "upgrades": sum(told.get("result") == "upgraded" for told in proof.upgrades),
        "acts": sum(whole.acts.values()) if whole else 0,
        "drains": platforms.drains,
        "takeovers": platforms.takeovers,
        "lost_commits": len(lost),
        "doubled_commits": len(doubled),
        "stale_reads": len(running.reads.stale),
        "books_differ": max(0, len({digest for _, digest in found.values()}) - 1),
        "over_contract": max(0, truth.peak() - CONTRACT),
        "over_cut": max(0, truth.peak(proof.in_force + 1000) - CUT),
        "seats_doubled": truth.doubled,
        "seats_leaked": proof.leaked,
        "pieces_twice": len(running.batches.twice(acted)),
        "reserves_twice": len(running.doubled(acted)),
        "acts_on_old_version": count("old_version"),
        "acts_after_shut_out": count("after_gone", "no_lease") + len(platforms.late),
        "gaps": count("missing", "doubled", "order", "unknown", "changed")
        + (len(whole.unread) if whole else 1),
        "contradictions": count("contradiction"),
        "drains_over": len(platforms.over),
        "tracebacks": len(noise),
        "wrong": proof.wrong,
        "seconds": round(time.monotonic() - proof.begun, 1),
    }


def broken(result: dict) -> list[str]:
    """Names of the promises that the figures break."""
    return [name for name in ZEROS if result[name]] + [name for name in MORE_THAN_NONE if not result[name]]
