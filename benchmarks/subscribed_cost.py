"""A coordinator told its part by a subscription, against one told the whole fleet by discovery.

    make bench-subscribed       QUICK=1: a smaller fleet, under 50 s

Both hold the same slices at the same backends, between the same stand-ins, one after the other.  The fleet's
backends change at ten times the ordinary rate; what is not in the part is told to the baseline alone.  There
is no traffic, so this is what control costs.  Processor time and bytes are of the seconds measured, memory is
the peak since the start.  The last line is JSON."""

import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from indigohitch.control import send_command  # noqa: E402
from installation import Installation  # noqa: E402
from proofs.fleetkit.processes import until  # noqa: E402
from proofs.scalekit.sizes import ORDINARY  # noqa: E402
from stage import SETTINGS, Platform  # noqa: E402
from waiting import eventually  # noqa: E402

QUICK = os.environ.get("QUICK") == "1"
BACKENDS = 2_000 if QUICK else 5_000  # of the fleet: with more the baseline stands still for minutes
SECONDS = 8 if QUICK else 30  # measured
PART, SERVICES, SLICES, PROXIES = 350, 20, 232, 32
RATE = 10 * ORDINARY  # changes a second in the whole fleet
ENTRY = 150  # backends in one entry of the ledger
QUIET = SETTINGS | {
    "bounds": {"may-probe": False},
    "family-info": SETTINGS["family-info"] | {"report-every": 2000.0},
}
TICKS = os.sysconf("SC_CLK_TCK")


def identity(number):
    return f"s-{number:06x}"


class Fleet(Platform):
    """The platform with a list of so many backends, none of which answers; discovery's bytes are counted."""

    def __init__(self, path, backends):
        path.mkdir()
        super().__init__(path, backends=0, slices=0, proxies=PROXIES)
        for number in range(backends):
            self.change(identity(number), "SERVING", "127.0.0.1:9")
        self.changes.clear()
        self.tables = {number: {identity(number % PART): 1.0} for number in range(SLICES)}
        self.known = self.whole()
        self.told = 0

    def begin(self, words=()):
        program = self.start(words, settings=QUIET)
        eventually(lambda: program.said("phase", now="serving"), 60)
        return program

    def whole(self):
        found = super().whole()
        self.told = getattr(self, "told", 0) + len(json.dumps(found))
        return found

    def weigh(self, number, weight):
        with self.lock:
            self.change(identity(number))
            entry = self.changes[-1][1]
            entry["weight"] = weight
            self.told += len(json.dumps(entry))
            return entry


def used(pid):
    """Seconds of processor time, and the peak of memory in MB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    peak = next(line for line in Path(f"/proc/{pid}/status").read_text().split("\n") if "VmHWM" in line)
    return (int(fields[11]) + int(fields[12])) / TICKS, int(peak.split()[1]) / 1024


def measured(pid, received, change):
    """`received()`: bytes heard about backends so far; `change(number)`: one backend is another."""
    chance, begun = random.Random(5), time.monotonic()
    before, _ = used(pid)
    bytes_before, made = received(), 0
    while (over := time.monotonic() - begun) < SECONDS:
        if over * RATE > made:
            change(chance.randrange(BACKENDS))
            made += 1
        time.sleep(0.01)
    after, peak = used(pid)
    over = time.monotonic() - begun
    return {
        "core_pct": round(100 * (after - before) / over, 2),
        "memory_mb": round(peak, 1),
        "bytes_s": round((received() - bytes_before) / over),
        "changes": made,
    }


def by_discovery(path):
    fleet = Fleet(path, BACKENDS)
    try:
        begun = time.monotonic()
        program = fleet.begin()
        until(lambda: program.counters().get("discovery_answers"), 120, "the first list")
        time.sleep(5)  # the module's first turns are over
        found = measured(
            program.process.pid, lambda: fleet.told, lambda number: fleet.weigh(number, 5.0 + number % 3)
        )
        return found | {"backends": BACKENDS, "until_listed_s": round(time.monotonic() - begun - SECONDS, 1)}
    finally:
        fleet.close()


def by_subscription(path):
    installation = Installation(path)
    fleet = Fleet(path / "platform", PART)
    services = [f"service-{n}" for n in range(SERVICES)]
    try:
        installation.fleet.start()
        for first in range(0, PART, ENTRY):
            entry = {name: {} for name in services}
            for number in range(first, min(first + ENTRY, PART)):
                id = identity(number)
                entry[services[number % SERVICES]][f"instance/{id}"] = json.dumps(fleet.listed[id])
            installation.distribute("set", {name: found for name, found in entry.items() if found})
        (path / "c1").mkdir()
        file = installation.write("c1", *services)
        program = fleet.begin(["run", "--operator", str(file)])
        until(lambda: program.counters().get("subscription_lists"), 60, "the first list")
        time.sleep(5)

        def change(number):
            if number < PART:
                body = json.dumps(fleet.weigh(number, 5.0 + number % 3))
                resources = {f"instance/{identity(number)}": body}
                installation.distribute("set", {services[number % SERVICES]: resources})

        control = path / "c1" / "control"

        def received():
            return send_command(str(control), "status", 5.0)["distribution"]["bytes_received"]

        return measured(program.process.pid, received, change) | {"backends": PART}
    finally:
        fleet.close()
        installation.close()


def main():
    with tempfile.TemporaryDirectory(prefix="bench-subscribed-") as path:
        found = {
            "fleet": BACKENDS,
            "slices": SLICES,
            "seconds": SECONDS,
            "by_discovery": by_discovery(Path(path) / "discovery"),
            "by_subscription": by_subscription(Path(path) / "subscription"),
        }
    for how in ("by_discovery", "by_subscription"):
        print(how, found[how], flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
