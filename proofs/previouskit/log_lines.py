"""What the processes of an upgrade printed, judged alike for a sidecar and a coordinator."""

from __future__ import annotations

import json
from collections.abc import Iterable

TROUBLES = (
    "defect",
    "cannot_start",
    "state_refused",
    "begun_as_orphan",
    "upgrade_called_off",
    "upgrade_refused",
    "upgrade_taken_back",
)


def troubles(events: Iterable[dict]) -> list[str]:
    """Events that no upgrade between two good programs may log, each with its reason."""
    return [
        f"{event['event']}: {event.get('why') or event.get('error') or ''}"
        for event in events
        if event["event"] in TROUBLES or event["event"].startswith("invariant_")
    ]


def noise(data: bytes) -> list[str]:
    """Lines that are no events: tracebacks."""
    found = []
    for line in data.splitlines():
        try:
            json.loads(line)
        except ValueError:
            if line.strip():
                found.append(line.decode(errors="replace"))
    return found


def of_upgrades(told: list[dict], compared: list[dict], texts: list[str], wanted: list[str]) -> dict:
    """`told`: the answers to each upgrade; `compared`: events `state_compared`; `texts`: which version served
    after each, by its process, and `wanted`: which ones should have."""
    return {
        "upgrades": len(wanted),
        "upgraded": sum(one.get("result") == "upgraded" for one in told),
        "results": sorted({str(one.get("result")) for one in told}),
        "gap_ms_most": max((one["gap_ms"] for one in told if "gap_ms" in one), default=None),
        "served": texts,
        "as_wanted": texts == wanted,
        "states_compared": len(compared),
        "states_equal": sum(event["equal"] is True for event in compared),
    }


def broken(found: dict) -> list[str]:
    """Promises of an upgrade that these figures break."""
    count = found["upgrades"]
    return [
        name
        for name, bad in {
            "upgraded": found["upgraded"] != count,
            "served": not found["as_wanted"],
            "states_compared": found["states_compared"] != count,
            "states_equal": found["states_equal"] != count,
            "troubles": found["troubles"],
            "tracebacks": found["tracebacks"],
        }.items()
        if bad
    ]
