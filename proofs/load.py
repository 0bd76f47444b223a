"""An hour of stand-in traffic, recorded by a sidecar, replayed through another; reservations go once.

The hour is compressed: its shape (two waves, a burst, a lull) runs in 60 s, QUICK=1 in 9; the factor is in
the result.  First a replay from end to end, then one killed in the middle of its reservations and resumed.
BROKEN=1 loses the journal at the kill, and the proof has to fail.  HOUR=1: an uncompressed hour at a tenth of
the rate, without the kill; it takes two.

The last line is one JSON object; the exit code is 1 where a promise is broken."""

import json
import math
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from field import Field  # noqa: E402
from indigohitch.load.trace import Trace  # noqa: E402
from indigohitch.standins.load import Load  # noqa: E402

QUICK, BROKEN, HOUR = (os.environ.get(name) == "1" for name in ("QUICK", "BROKEN", "HOUR"))
SECONDS = 3600 if HOUR else 9 if QUICK else 60
RATE = 30 if HOUR else 300  # a second, at the mean
SECOND = 10_000
PROGRAM = [sys.executable, "-m", "indigohitch", "load"]


def curve(part):
    """Of the mean rate, over the hour."""
    wave = 1 + 0.5 * math.sin(4 * math.pi * part)
    return wave * (2.0 if 0.62 < part < 0.66 else 0.25 if 0.3 < part < 0.36 else 1.0)


def field(path, name, service=2.0):
    (path / name).mkdir()
    found = Field(path / name, service=service, more=[f"access-log {path / name / 'access.jsonl'}"])
    return found.start()


def said(words):
    """What a command prints, as JSON."""
    out = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=False)
    if out.returncode:
        raise SystemExit(out.stderr)
    return json.loads(out.stdout)


def record(path, seed=5):
    f, rng = field(path, "recorded"), random.Random(seed)
    host, port = f.listen.split(":")
    load = Load((host, int(port)), seed=seed, kept=40, fresh=0.1)
    begin, at, due = load.loop.clock.now() + 1000, 0.0, []
    while at < SECONDS:
        at += rng.expovariate(RATE * max(curve(at / SECONDS), 0.01))
        due.append(begin + int(at * SECOND))
    due.reverse()

    def tick():
        while due and due[-1] <= load.loop.clock.now():
            load.begin(due.pop())
        if due:
            load.loop.call_at(due[-1], tick)

    load.loop.call_at(begin, tick)
    load.turn_until(lambda: not due and not load.out, SECONDS + 10)
    f.process.terminate()  # its log is written to the end
    f.process.wait()
    return f, len(load.reserves)


def compiled(path, name, routes):
    return said(
        [
            *PROGRAM,
            "compile",
            str(path / name / "access.jsonl"),
            "-o",
            str(path / f"{name}.trace"),
            "--routes",
            str(routes),
            "--strict",
        ]
    )


def command(path, f, journal):
    return [
        *PROGRAM,
        "replay",
        str(path / "recorded.trace"),
        f.listen,
        "--through",
        str(f.file),
        "--json",
        "--journal",
        str(path / journal),
    ]


def replayed(path, f, journal, *more):
    return said([*command(path, f, journal), *more])


def requests(path, name):
    return [r for _, r in Trace(str(path / f"{name}.trace")).requests()]


def distance(one, two):
    """Of a round trip: are methods and paths the same; how many swapped places on a connection; by how much a
    request moved in time at the 99th percentile, in ms; and the KS distance of the times between requests."""
    from scipy.stats import ks_2samp

    same = Counter((r.method, r.target) for r in one) == Counter((r.method, r.target) for r in two)
    places = {}
    for r in two:
        places.setdefault((r.method, r.target), []).append(r)
    lines, moved = {}, []
    for r in one:
        other = places[r.method, r.target].pop(0)
        moved.append(abs(other.at - r.at))
        lines.setdefault(r.connection, []).append(other.at)
    swapped = sum(b + 1 < a for times in lines.values() for a, b in zip(times, times[1:]))
    gaps = [[b.at - a.at for a, b in zip(rs, rs[1:])] for rs in (one, two)]
    return same, swapped, sorted(moved)[len(moved) * 99 // 100] / 10, float(ks_2samp(*gaps).statistic)


def main():
    path = Path(tempfile.mkdtemp(prefix="proof-load-"))
    first, reserves = record(path)
    told = compiled(path, "recorded", first.file)
    first.close()

    second = field(path, "again")
    whole = replayed(path, second, "journal-1")
    acts = second.acts()
    second.process.terminate()
    second.process.wait()
    compiled(path, "again", second.file)
    second.close()
    same, swapped, moved, ks = distance(requests(path, "recorded"), requests(path, "again"))

    killed = {"seen": acts, "sent": {}} if HOUR else kill_and_resume(path)
    sent, seen = killed["sent"], killed["seen"]

    recorded = sum(r.unsafe for r in requests(path, "recorded"))
    found = {
        "factor": 3600 / SECONDS,
        "requests": told["requests"],
        "rate_error_max": whole["rate_error_max"],
        "reserves_recorded": recorded,
        "reserves_sent_by_clients": reserves,
        "reserves_seen": len(seen),
        "reserves_seen_without_kill": len(acts),
        "reserves_twice": sum(n > 1 for n in seen.values()) + sum(n > 1 for n in acts.values()),
        "sent_again_after_kill": sent.get("reserves_sent_again", 0),
        "lateness_p99_ms": whole["lateness"]["p99_ms"],
        "unread_lines": told["unread"],
        "repairs": sum(told["repairs"].values()),
        "round_trip_same": same,
        "round_trip_swapped": swapped,
        "round_trip_moved_p99_ms": moved,
        "round_trip_gaps_ks": round(ks, 4),
    }
    found["kept"] = bool(
        found["rate_error_max"] <= 0.05
        and recorded == reserves == len(seen) == len(acts)
        and not found["reserves_twice"]
        and not told["unread"]
        and same
        and moved < 50
        and ks < 0.05
        and swapped <= len(requests(path, "recorded")) // 200
    )
    print(json.dumps(found))
    return 0 if found["kept"] else 1


def kill_and_resume(path):
    third = field(path, "killed", service=80.0)  # so that some are on their way at any time
    replay = subprocess.Popen(command(path, third, "journal-2"), cwd=ROOT, stdout=subprocess.DEVNULL)
    time.sleep(1.0 + SECONDS * 0.45)
    replay.kill()
    replay.wait()
    if BROKEN:
        (path / "journal-2").unlink()
    sent = replayed(path, third, "journal-2", "--resume")
    seen = third.acts()
    third.close()
    return {"seen": seen, "sent": sent}


if __name__ == "__main__":
    sys.exit(main())
