"""Seats given a second: locally, against a round trip each and an entry of the ledger each; and 50 members
with 2,000 nodes in a model, against a static split:  make bench-seats

Each cell five times in turn, medians.  Milliseconds are of the wall."""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "proofs"), str(ROOT / "benchmarks")]

from seats_model import SEATS, SETTINGS, Model  # noqa: E402

from indigohitch.fleet.audit.action_chain import ActionChain  # noqa: E402
from indigohitch.fleet.audit.files import ChainStore  # noqa: E402
from indigohitch.fleet.interfaces import EntryContext  # noqa: E402
from indigohitch.fleet.membership.roster import Roster  # noqa: E402
from indigohitch.fleet.seats.allocator import SeatAllocator  # noqa: E402
from indigohitch.fleet.seats.contract import Contract, Grant, Terms  # noqa: E402
from indigohitch.fleet.seats.part import Seats  # noqa: E402
from indigohitch.fleet.state_machine import ReplicatedStateMachine  # noqa: E402
from indigohitch.fleet.types import Lease, Stamp  # noqa: E402

TIMES, SPAN = 5, 0.4  # runs of each cell; seconds of each
SECONDS = 80  # of the model: four shifts of wanting
FAR = 10**15


class Unrecorded:
    number = 0

    def stamp(self, now, kind, about):
        self.number += 1
        return Stamp("a", 1, 1, 1, self.number)


def allocator(acts=None, folder="") -> SeatAllocator:
    """With 64 seats, of which half are out."""
    part = Seats()
    state_machine = ReplicatedStateMachine([Roster(), part])
    acts = acts or ActionChain("a", lambda now: Lease(1, FAR), state_machine, ChainStore(folder), print)
    part.apply(EntryContext(1, 1, 0, "a", 1), "contract", Contract(1, (Terms("geo", 64),)))
    part.apply(EntryContext(2, 1, 0, "a", 1), "grant", Grant("geo", "", "a", 1, 64))
    found = SeatAllocator("a", part, acts, lambda now: 0, SETTINGS)
    found.turn(0, Lease(1, FAR))
    for _ in range(32):
        found.allocate(0, "geo", "t", "", 10**9)
    return found


def locally(found: SeatAllocator) -> float:
    """Givings, with their giving back, a second."""
    count, began = 0, time.perf_counter()
    while (now := time.perf_counter() - began) < SPAN:
        at = int(now * 10_000)
        found.release(at, found.allocate(at, "geo", "t", "", 20_000))
        count += 1
    return count / now


def serve() -> None:
    """An allocator behind a socket: one word asks, the next gives back."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    peer, _ = listener.accept()
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    found, out = allocator(Unrecorded()), []
    while word := peer.recv(1):
        if word == b"a":
            out.append(found.allocate(0, "geo", "t", "", 20_000))
            peer.sendall(b"%08d" % out[-1].given.number)
        else:
            found.release(0, out.pop())


def a_round_trip_each() -> float:
    server = subprocess.Popen([sys.executable, __file__, "serve"], stdout=subprocess.PIPE, text=True)
    sock = socket.create_connection(("127.0.0.1", int(server.stdout.readline())))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    count, began = 0, time.perf_counter()
    while (now := time.perf_counter() - began) < SPAN:
        sock.sendall(b"a")
        sock.recv(8)
        sock.sendall(b"e")
        count += 1
    sock.close()
    server.wait()
    server.stdout.close()
    return count / now


def an_entry_each(seconds: float = 2.0) -> float:
    """Entries a second, one after the other, through three voters on loopback with fsync."""
    from fleetkit import Fleet

    with tempfile.TemporaryDirectory() as folder, Fleet(folder, voters=3, relay=False) as fleet:
        fleet.start()
        name, count, began = fleet.leader(), 0, time.perf_counter()
        while (now := time.perf_counter() - began) < seconds:
            count += bool((fleet.note(name, f"n{count}") or {}).get("index"))
        return count / now


def modelled() -> tuple[dict, dict]:
    found = {}
    for kind, moves in (("moved", True), ("static", False)):
        began = time.perf_counter()
        model = Model(7, moves=moves).run(SECONDS)
        settled = [share for at, share in model.share if at > 6]
        found[kind] = (
            model,
            {
                "use_share": round(statistics.mean(settled), 3),
                "use_share_worst": round(min(settled), 3),
                "refused_share": round(model.refused / model.asked, 3),
                "jobs": model.number,
                "peak_in_use": model.peak,
                "entries_a_second": round(model.entries / SECONDS, 1),
                "lead_ms": round(1000 * statistics.median(model.lead_s), 2) if model.lead_s else None,
                "lead_ms_worst": round(1000 * max(model.lead_s), 2) if model.lead_s else None,
                "took_s": round(time.perf_counter() - began, 1),
            },
        )
    return {k: m for k, (m, _) in found.items()}, {k: row for k, (_, row) in found.items()}


def plot(models: dict) -> None:
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "seats"
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 3.2))
    for kind, words in (("moved", "shares move"), ("static", "static split")):
        axes.plot(*zip(*models[kind].share), label=words, linewidth=1)
    axes.set(
        xlabel="s; wanting shifts to other members every 20 s",
        ylabel="seats in use / contracted",
        ylim=(0, 1.05),
        title=f"{SEATS} seats, 50 members, 2,000 nodes, wanting 1.1 of the contract",
    )
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(ROOT / "docs/seats.svg", metadata={"Date": None})


def main() -> None:
    rates = {"locally": [], "locally_recorded": [], "round_trip_each": []}
    with tempfile.TemporaryDirectory() as folder:
        for n in range(TIMES):  # in turn: the machine's speed drifts
            rates["locally"].append(locally(allocator(Unrecorded())))
            rates["locally_recorded"].append(locally(allocator(folder=os.path.join(folder, str(n)))))
            rates["round_trip_each"].append(a_round_trip_each())
    result = {
        "command": "make bench-seats",
        "given_a_second": {key: round(statistics.median(found)) for key, found in rates.items()},
    }
    result["given_a_second"]["entry_each"] = round(an_entry_each())
    print(json.dumps(result["given_a_second"]), flush=True)
    models, result["model"] = modelled()
    for kind, row in result["model"].items():
        print(json.dumps({kind: row}), flush=True)
    plot(models)
    (ROOT / "benchmarks/results/seats.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    serve() if sys.argv[1:] == ["serve"] else main()
