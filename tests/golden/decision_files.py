"""The files of golden/decisions: where they are, and what each place of their rows means."""

from __future__ import annotations

import gzip
from pathlib import Path

FOLDER = Path(__file__).parent / "decisions"
SEEDS = (1, 2, 3)  # of the days of each kind of settings
KINDS = {  # of what the files hold: wire names, and what each place of a row means
    "BackendList": ("scope", "version", "entries"),
    "Probed": ("backend", "outcome", "duration", "load"),
    "SliceDemand": ("slice", "method", "total", "unanswered", "elapsed"),
    "ProxyDemand": ("proxy", "method", "total", "unanswered", "elapsed"),
    "Traffic": ("zone", "backend", "tries", "failures", "duration", "elapsed", "load"),
    "ProxyJoined": ("proxy", "zone", "rate", "fresh"),
    "ProxyLeft": ("proxy",),
    "Acked": ("proxy", "mark", "duration"),
    "Charge": ("slice", "held"),
    "StoredLine": ("slice", "backend", "weight"),
    "TimerDue": ("tag",),
    "SetLine": ("table", "backend", "weight"),
    "SetLevel": ("table", "methods", "level", "tries"),
    "Withdraw": ("backend", "out"),
    "Mark": ("mark", "everyone"),
    "Probe": ("backend",),
    "Subscribe": ("on",),
    "SetTimer": ("due", "tag"),
    "LogLine": ("text",),
}
LISTED = ("backend", "state", "weight", "zone", "cell", "kind", "started")


def path(name: str, seed: int) -> Path:
    return FOLDER / f"{name}-{seed}.jsonl.gz"


def read(name: str, seed: int) -> list[bytes]:
    """The lines: a head, then one for each batch."""
    return gzip.decompress(path(name, seed).read_bytes()).splitlines()
