"""Commits a second and their latency at 1, 3, 5 and 7 members, with and without fsync, against one process
that appends and syncs; and how long a member takes to catch up against how far it is behind.

Clients are connections to the leader's control socket, each with one note out at a time: what is measured is
from the asking to the answer, which comes once the entry is applied at the leader.  One member alone is the
same path without replication.  QUICK=1: shorter.  Results go to benchmarks/results/ledger.json."""

from __future__ import annotations

import json
import os
import platform
import selectors
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "proofs")]

from fleetkit import DISKS, Fleet, until  # noqa: E402

QUICK = os.environ.get("QUICK") == "1"
SECONDS = 2.0 if QUICK else 6.0
SIZES = (1, 3) if QUICK else (1, 3, 5, 7)
CLIENTS = (1, 12)  # the control socket takes 16 askers
TEXT = "x" * 100  # of a note
BEHIND = (500, 2000) if QUICK else (500, 2000, 8000, 16000)


def percentile(values: list[float], share: float) -> float:
    return round(1000 * sorted(values)[int(len(values) * share)], 2)


def asked(control: str, clients: int, seconds: float, count: int = 0) -> dict:
    """A closed loop of so many clients for so long, or until `count` notes are in."""
    chosen, took, refused = selectors.DefaultSelector(), [], 0
    line = json.dumps({"ask": f"note {TEXT}"}).encode() + b"\n"
    begun = time.monotonic()
    for _ in range(clients):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(control)
        sock.sendall(line)
        chosen.register(sock, selectors.EVENT_READ, [time.monotonic(), b""])
    while len(took) < count if count else time.monotonic() < begun + seconds:
        for key, _ in chosen.select(1.0):
            state = key.data
            state[1] += key.fileobj.recv(65536)
            if not state[1].endswith(b"\n"):
                continue
            now, told = time.monotonic(), json.loads(state[1])
            if told.get("index"):
                took.append(now - state[0])
            else:
                refused += 1
            state[:] = now, b""
            key.fileobj.sendall(line)
    span = time.monotonic() - begun
    for key in list(chosen.get_map().values()):
        key.fileobj.close()
    return {
        "clients": clients,
        "commits_per_s": round(len(took) / span),
        "p50_ms": percentile(took, 0.5),
        "p99_ms": percentile(took, 0.99),
        "refused": refused,
    }


def fleet(path: Path, size: int, synced: bool, more: tuple[str, ...] = ()) -> Fleet:
    return Fleet(
        path,
        voters=size,
        relay=False,
        patch=DISKS,
        more=list(more),
        environment={} if synced else {"FLEET_DISK": "unsynced"},
    )


def commits(path: Path) -> list[dict]:
    found = []
    for size in SIZES:
        for synced in (True, False):
            with fleet(path / f"{size}-{synced}", size, synced) as members:
                members.start()
                control = members.places[until(members.leader)].control
                asked(control, 4, 0.5)  # warm
                for clients in CLIENTS:
                    row = {"members": size, "fsync": synced} | asked(control, clients, SECONDS)
                    print(row, flush=True)
                    found.append(row)
    return found


def baseline(path: Path) -> list[dict]:
    """A process that appends a record and syncs, nothing else: one at a time, and twelve together."""
    found = []
    for synced in (True, False):
        for together in CLIENTS:
            fd = os.open(path / "plain", os.O_WRONLY | os.O_APPEND | os.O_CREAT)
            took, end = [], time.monotonic() + SECONDS / 2
            while (now := time.monotonic()) < end:
                os.write(fd, (TEXT.encode() + b"\n" * 60) * together)
                if synced:
                    os.fsync(fd)
                took.append(time.monotonic() - now)
            os.close(fd)
            row = {
                "append": "one process, no replication",
                "fsync": synced,
                "clients": together,
                "commits_per_s": round(len(took) * together / (SECONDS / 2)),
                "p50_ms": percentile(took, 0.5),
                "p99_ms": percentile(took, 0.99),
            }
            print(row, flush=True)
            found.append(row)
    return found


def catching_up(path: Path) -> list[dict]:
    """A follower killed, so many entries later started again: until it has applied what the leader had."""
    found = []
    for limit in ("16MB", "64KB"):
        with fleet(path / f"behind-{limit}", 3, False, (f"limit ledger {limit}",)) as members:
            members.start()
            for behind in BEHIND:
                leader = until(members.leader)
                name = next(n for n in members.voters if n != leader)
                members.kill(name)
                snaps = len(members.said(name, "snapshot_taken_over"))
                asked(members.places[leader].control, 12, 0, behind)
                last = members.of_fleet(leader)["applied"]
                members.restart(name)
                until(lambda name=name: members.of_fleet(name), 20)  # its program has started
                since = time.monotonic()
                until(
                    lambda name=name, last=last: (members.of_fleet(name) or {}).get("applied", 0) >= last,
                    60,
                    "catching up",
                )
                took = time.monotonic() - since
                snaps = len(members.said(name, "snapshot_taken_over")) - snaps
                row = {
                    "behind": behind,
                    "log_limit": limit,
                    "by": "snapshot" if snaps else "entries",
                    "ms": round(1000 * took),
                    "entries_per_s": round(behind / max(took, 0.001)),
                }
                print(row, flush=True)
                found.append(row)
    return found


def main() -> None:
    with tempfile.TemporaryDirectory(prefix="bench-ledger-") as folder:
        path = Path(folder)
        result = {
            "command": "make bench-ledger" + (" QUICK=1" if QUICK else ""),
            "cores": os.cpu_count(),
            "load": [round(one, 1) for one in os.getloadavg()],  # as it began: others' work
            "python": platform.python_version(),
            "seconds_each": SECONDS,
            "note_bytes": len(TEXT),
            "baseline": baseline(path),
            "commits": commits(path),
            "catching_up": catching_up(path),
        }
    if not QUICK:
        (ROOT / "benchmarks" / "results" / "ledger.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
