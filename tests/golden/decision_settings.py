"""Settings of made-up deployments that differ as real ones do, by their names on the wire (settings.py)."""

from __future__ import annotations

from typing import Any


def method(name: str, aim: float, deadline: float, repeat: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "aim": aim, "deadline": deadline, "importance": 1.0, "repeat": repeat} | more


def made(rules: dict[str, Any], family: dict[str, Any], **more: Any) -> dict[str, Any]:
    found: dict[str, Any] = {
        "balancers": 1,
        "slot-no": 0,
        "discovery": "ask",
        "classes": [
            method("search", 2000.0, 6000.0, "read_like"),
            method("reserve", 1200.0, 3000.0, "non_idempotent"),
        ],
        "rules": {"warm-within": 15000.0, "cold-from": 0.2, "drain-grace": 3000.0, "fall-multiple": 4.0},
        "family-info": {
            "admission": "share",
            "egress-per-s": 10000.0,
            "queue-cap": 15000,
            "envelope": 16,
            "report-every": 2000.0,
            "counted-over": 10000.0,
            "push-delay-max": 760.0,
            "data-plane-size": 8,
        },
        "bounds": {"may-probe": True},
    }
    found["rules"] |= rules
    found["family-info"] |= family
    return found | more


WRITES = {"exclusive": True, "class-writes": [False, True], "keeps-writing": 800.0, "settle": 300.0}
SETTINGS = {
    # One of three coordinators, with a share to let in and a slow, narrow channel.
    "shares": made(
        {},
        {
            "messages-most": 12,
            "key-ranges": 30,
            "egress-per-s": 700.0,
            "queue-cap": 1400,
            "data-plane-size": 24,
        },
        balancers=3,
        **{"slot-no": 1},
    ),
    # No number of slices told, levels that are rates, a list that is pushed and that does not bind.
    "rates": made(
        {"dropped-stay-open": True, "drain-grace": 1500.0}, {"admission": "rate"}, discovery="push"
    ),
    # One owner a slice, closed to writes by a level.
    "exclusive": made({"dropped-stay-open": True}, {"messages-most": 20, "key-ranges": 24} | WRITES),
    # One owner a slice, closed by taking its line out; no probes; two coordinators.
    "bare": made(
        {"warm-within": 6000.0, "cold-from": 0.5},
        {"admission": "none", "key-ranges": 24, "empty-for": 2000.0, "report-every": 1000.0} | WRITES,
        balancers=2,
        bounds={"may-probe": False},
    ),
}
