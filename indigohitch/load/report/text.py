"""The report for a terminal."""

from __future__ import annotations


def text(told: dict) -> str:
    late = told["lateness"]
    lines = [
        f"sent {told['sent']}, rate error at most {told['rate_error_max']:.1%} of any RPC in any tenth",
        f"late by {late['p50_ms']} ms (p50), {late['p99_ms']} (p99), {late['max_ms']} at the most",
        "outcomes: " + ", ".join(f"{k} {n}" for k, n in told["outcomes"].items()),
        "",
    ]
    lines.append(f"{'RPC':<24}{'answered':>10}{'p50 ms':>10}{'p90':>10}{'p99':>10}{'p99.9':>10}{'max':>10}")
    for rpc, row in told["rpcs"].items():
        lines.append(
            f"{rpc:<24}{row['count']:>10}"
            + "".join(f"{row[k]:>10}" for k in ("p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "max_ms"))
        )
    lines += ["", *(f"{k.replace('_', ' ')}: {told[k]}" for k in told if k.startswith("reserves_"))]
    if told.get("stopped"):
        lines.append("stopped before its end")
    return "\n".join(lines)
