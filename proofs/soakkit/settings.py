"""What the coordinators of a soak are told: a deployment of ordinary size, with every bound that can bind."""

from __future__ import annotations

BACKENDS, SLICES, PROXIES = 30, 96, 40
ZONES = ("east", "west", "north")
GRACE, BARE, WAY = 3.0, 7.7, 0.38  # s: of a drain, without a line, of a message at the most
MESSAGES, WINDOW = 12, 10.0  # to one proxy, within so many s
PACE, ENVELOPE = 12000.0, 16.0  # lines a second, lines of a message beside its orders
QUEUE = 1.5 * PACE  # lines that may wait in the channel
REPORTS = 1.0  # s

SETTINGS = {
    "balancers": 1,
    "discovery": "ask",
    "period": 4.0,
    "failure-domains": list(ZONES),
    "classes": [
        {"name": "search", "aim": 2000.0, "deadline": 6000.0, "importance": 2.0, "repeat": "read_like"},
        {"name": "reserve", "aim": 1200.0, "deadline": 3000.0, "importance": 2.0, "repeat": "non_idempotent"},
    ],
    "rules": {"warm-within": 9000.0, "cold-from": 0.3, "drain-grace": GRACE * 1000, "fall-multiple": 4},
    "family-info": {
        "admission": "share",
        "egress-per-s": PACE,
        "queue-cap": QUEUE,
        "envelope": ENVELOPE,
        "report-every": REPORTS * 1000,
        "key-ranges": SLICES,
        "empty-for": BARE * 1000,
        "messages-most": MESSAGES,
        "counted-over": WINDOW * 1000,
        "push-delay-max": WAY * 1000,
    },
    "bounds": {"may-probe": True},
    "report": {"columns": ["pending", "svc_ms"]},
}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
