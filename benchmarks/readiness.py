"""How long a start takes: from the start of the process to the first `hb_ok` on any connection.

    make bench-readiness            (QUICK=1: fewer starts, the small lists; NO_LOAD=1: no busy processes)

Conditions: the number of backends in `known`; relay and discovery up, refused, throttling, silent or
blackholed; and once beside eight busy processes, 8 s at most.  `stall_ms`: the longest that an `hb` waited in
the second after the first `hb_ok`, in which the module hears of 2,000 slices, each with a line or none.
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from stage import SETTINGS, Platform  # noqa: E402
from waiting import free_address  # noqa: E402
from withholding import KINDS  # noqa: E402

QUICK, NO_LOAD = bool(os.environ.get("QUICK")), bool(os.environ.get("NO_LOAD"))
STARTS = 3 if QUICK else 7
BUSY, BUSY_SPAN = 8, 8.0  # processes, seconds: short, as other runs may go on beside
SPIN = f"import time\nend = time.monotonic() + {BUSY_SPAN}\nwhile time.monotonic() < end: pass"


def listed(number):
    return {
        "instanceId": f"s-{number:06x}",
        "hostPort": "127.0.0.1:9",
        "zone": "east",
        "machineType": "std",
        "cell": number % 7,
        "lifecycle": "SERVING",
        "weight": 6.0,
        "startedAtMs": 0,
    }


def one_start(platform, relay, discovery, watched=0.0):
    """Milliseconds to the first `hb_ok`, its peak of memory in MB, the longest wait of an `hb` after it."""
    listen = free_address()
    file = platform.path / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": listen,
                "discovery": discovery,
                "seed": "8c1f30d2",
                "known": platform.known,
                "settings": SETTINGS | {"bounds": {"may-probe": False}},
                "limits": platform.limits,
                "store": {"address": relay},
            }
        )
    )
    environ = os.environ | {"BALANCER_CONFIG": str(file), "BALANCER_NAME": "n0"}
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "indigohitch"], env=environ, cwd=ROOT, stdout=subprocess.DEVNULL
    )
    try:
        sock = None
        while sock is None:
            try:
                sock = heartbeat(listen)
            except OSError:
                assert process.poll() is None and time.monotonic() < began + 60
                time.sleep(0.001)
        took = (time.monotonic() - began) * 1000
        status = Path(f"/proc/{process.pid}/status").read_text().split("\n")
        peak = [line for line in status if "VmHWM" in line]
        stall, end = 0.0, time.monotonic() + watched
        while time.monotonic() < end:
            asked = time.monotonic()
            heartbeat(listen).close()
            stall = max(stall, (time.monotonic() - asked) * 1000)
            time.sleep(0.002)
        sock.close()
    finally:
        process.kill()
        process.wait()
    return took, int(peak[0].split()[1]) / 1024, stall


def heartbeat(listen):
    host, port = listen.split(":")
    sock = socket.create_connection((host, int(port)), 60)
    sock.sendall(b"hb\r\n")
    if not sock.recv(100).startswith(b"hb_ok\r\n"):  # after a long turn its `reject` may come along
        raise OSError("no hb_ok")
    return sock


def row(name, backends, relay=None, discovery=None, starts=STARTS, slices=0, lines=True, watched=0.0):
    with tempfile.TemporaryDirectory(prefix="bench-") as path:
        platform = Platform(Path(path), backends=0, slices=0, proxies=0)
        platform.listed = {e["instanceId"]: e for e in map(listed, range(backends))}
        platform.known = platform.whole()
        platform.tables = {s: {f"s-{s % backends:06x}": 1.0} if lines else {} for s in range(slices)}
        platform.proxies = {0} if slices else set()
        found = [
            one_start(
                platform, relay or platform.relay.address, discovery or platform.discovery.address, watched
            )
            for _ in range(starts)
        ]
        platform.close()
    times = [took for took, _, _ in found]
    told = {
        "condition": name,
        "backends": backends,
        "starts": starts,
        "median_ms": round(statistics.median(times)),
        "worst_ms": round(max(times)),
        "peak_mb": round(max(peak for _, peak, _ in found), 1),
        "stall_ms": round(max(stall for *_, stall in found)) if watched else None,
    }
    print(
        f"{name:44} {backends:8} {starts:7} {told['median_ms']:10} {told['worst_ms']:9} "
        f"{told['peak_mb']:8} {told['stall_ms'] if watched else '-':>9}",
        flush=True,
    )
    return told


def main():
    print(
        f"{'condition':44} {'backends':>8} {'starts':>7} {'median ms':>10} {'worst ms':>9} {'peak MB':>8} "
        f"{'stall ms':>9}"
    )
    load = os.getloadavg()[0]
    sizes = (200, 2000) if QUICK else (200, 2000, 10000)
    rows = [row("relay and discovery up", backends) for backends in sizes]
    for kind in KINDS:
        how = kind.__name__.lower()
        for which in ("both",) if QUICK else ("relay", "discovery", "both"):
            peer = kind()
            rows.append(
                row(
                    f"{which} {'refused' if how == 'away' else how}",
                    200,
                    peer.address if which != "discovery" else None,
                    peer.address if which != "relay" else None,
                )
            )
            peer.close()
    rows.append(row("2,000 slices, each with a line", 200, slices=2000, watched=1.0, starts=3))
    if not QUICK:
        rows.append(row("2,000 slices, each with a line", 2000, slices=2000, watched=1.0, starts=3))
        rows.append(row("2,000 slices without a line", 200, slices=2000, lines=False, watched=1.0, starts=3))
    if not NO_LOAD:
        busy = [subprocess.Popen([sys.executable, "-c", SPIN]) for _ in range(BUSY)]
        rows += [row(f"beside {BUSY} busy processes", backends, starts=3) for backends in (200, 2000)]
        for process in busy:
            process.kill()
            process.wait()
    print(json.dumps({"load_before": round(load, 1), "cores": os.cpu_count(), "rows": rows}))


if __name__ == "__main__":
    main()
