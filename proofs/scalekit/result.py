"""The last line of proofs/scale.py, and which promises it shows to be broken."""

from __future__ import annotations

import time
from array import array

from .judging import Judged
from .sizes import Size

CORE_PCT, MEMORY_MB, BYTES_S = 4.0, 32.0, 2_048.0  # of a real subscriber, as the operators allow
PROCESSES, MEMORY_MB_ALL = 99, 12 << 10  # of the proof itself
ZEROS = ("late", "wrong", "older_applied", "whole_resumes")


def result_of(proof, size: Size, found: list[Judged], wrong: list[str]) -> dict:
    latencies = array("i")
    for each in found:
        latencies.extend(each.latencies)
    ordered = sorted(latencies)
    result = {
        "hollow": size.hollow,
        "real": size.real,
        "distributors": size.distributors,
        "changes": len(proof.changes.made),
        "late": sum(len(each.late) for each in found),
        "in_force_ms_p50": quantile(ordered, 0.5),
        "in_force_ms_p99": quantile(ordered, 0.99),
        "in_force_ms_max": quantile(ordered, 1.0),
        "wrong": len(wrong),
        "older_applied": sum(each.older for each in found) + sum(one.older_applied() for one in proof.real),
        "whole_resumes": sum(each.wholes for each in found),
        "faults": len(proof.faults.done),
        "resumed": sum(each.resumed for each in found),
        "recovered_ms_max": max(each.recovered for each in found) / 10,
        "judged": len(ordered),
        "excused": sum(each.excused for each in found),
        "core_pct_real_max": proof.costs.core("real"),
        "memory_mb_real_max": proof.costs.memory_mb("real"),
        "bytes_s_real_max": round(max(one.rate() for one in proof.real), 1),
        "core_pct_distributor_max": proof.costs.core("distributor"),
        "memory_mb_distributor_max": proof.costs.memory_mb("distributor"),
        "processes": 1 + size.workers + size.real + size.distributors + size.voters,
        "memory_mb_all": proof.costs.all_memory_mb(),
        "bytes_flat": flat(proof) * (size.hollow + size.real),
        "bytes_scoped": scoped(proof),
        "measured": "all but bytes_flat",
        "reckoned": "bytes_flat: what one follower of the ledger heard and said in this run, by subscribers",
        "seconds": round(time.monotonic() - proof.begun, 1),
    }
    return result | {"broken": broken(result)}


def broken(result: dict) -> list[str]:
    found = [name for name in ZEROS if result[name]]
    bounds = {
        "core_pct_real_max": CORE_PCT,
        "memory_mb_real_max": MEMORY_MB,
        "bytes_s_real_max": BYTES_S,
        "bytes_scoped": result["bytes_flat"],
        "processes": PROCESSES,
        "memory_mb_all": MEMORY_MB_ALL,
    }
    found += [name for name, most in bounds.items() if result[name] > most]
    found += [name for name in ("changes", "judged", "resumed") if not result[name]]
    return found


def quantile(ordered: list[int], share: float) -> float:
    """Milliseconds."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 10 if ordered else 0.0


def flat(proof) -> int:
    """Bytes both ways between the voters and the one distributor that exchanged the fewest of them."""
    by_name = dict.fromkeys(proof.names, 0)
    for (sender, receiver), lane in proof.fleet.breaker.links.items():
        for name, other in ((sender, receiver), (receiver, sender)):
            if name in by_name and other in proof.fleet.voters:
                by_name[name] += lane.bytes
    return min(by_name.values())


def scoped(proof) -> int:
    """Bytes both ways at all subscribers."""
    told = [one.status() for one in proof.real]
    return proof.workers.bytes() + sum(one["bytes_received"] + one["bytes_sent"] for one in told)
