"""What a run of proofs/ledger_processes.py came to, and which promises it broke."""

from __future__ import annotations

from typing import Protocol

from fleetkit import Fleet, Notes
from ledger_reads import Reads

FAILOVER = 2.0  # s, at most


class LedgerRun(Protocol):
    """What the verdict reads of a run."""

    fleet: Fleet
    notes: Notes
    failovers: list[float]  # s, each
    wrong: list[str]


def judged(proof: LedgerRun, found: dict, reads: Reads) -> dict:
    """The figures of a run; `found`: where each member's state stands at the end, and its digest."""
    fleet, lost, doubled = proof.fleet, set(), set()
    for name in fleet.voters:
        texts = fleet.ask(name, "book notes", 10.0)["texts"]
        missing, twice = proof.notes.judged(texts)
        lost |= set(missing)
        doubled |= set(twice)
    acts = [what.split()[0] for _, what in [*fleet.told, *fleet.breaker.told]]
    return {
        "commits": len(proof.notes.acknowledged),
        "kills": acts.count("kill"),
        "stops": acts.count("stop"),
        "cuts": sum(acts.count(w) for w in ("cut", "cut_off", "part")),
        "lost_commits": len(lost),
        "doubled_commits": len(doubled),
        "books_differ": len({digest for _, digest in found.values()}) - 1,
        "reads": reads.done,
        "stale_reads": len(reads.stale),
        "failovers": len(proof.failovers),
        "tracebacks": len(fleet.noise()),
        "wrong": proof.wrong,
        "failover_ms_p50": round(1000 * sorted(proof.failovers)[len(proof.failovers) // 2]),
        "failover_ms_max": round(1000 * max(proof.failovers)),
    }


def bad(found: dict) -> list[str]:
    """Promises that the figures break."""
    zeros = ("lost_commits", "doubled_commits", "books_differ", "stale_reads", "wrong", "tracebacks")
    return [
        *(name for name in zeros if found[name]),
        *(["failover_ms_max"] if found["failover_ms_max"] > 1000 * FAILOVER else []),
        *(["commits"] if found["commits"] < 100 else []),
    ]
