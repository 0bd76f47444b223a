"""The emulator: how fast it is, how near to the loopback stand-ins, and two decisions tried on it.

    make bench-emulator

`speed`: requests emulated a second.  `against_standins`: a trace recorded by a sidecar before two stand-in
servers runs through the emulator with as many servers and slices; the hop beside the service time is taken
from the first half of the trace, the error is that of the second half.  `decisions`: the module as it is
against one without a dead band, and with the trace's demand told at the start against none."""

import bisect
import collections
import itertools
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from variant import variant

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from indigohitch import interface as face  # noqa: E402
from indigohitch import logic  # noqa: E402
from indigohitch.load.trace import Trace  # noqa: E402
from indigohitch.logic import planner  # noqa: E402
from indigohitch.model.backends import Kind  # noqa: E402
from indigohitch.model.emulator import Emulator, World  # noqa: E402
from indigohitch.net.clock import SECOND  # noqa: E402
from indigohitch.sidecar.keys import slice_of  # noqa: E402


def made(seconds, rate, slices, seed, spread=0.9):
    """A made-up trace: Poisson, slices unequal, of which the demand says nothing at the start."""
    rng = random.Random(seed)
    edges = list(itertools.accumulate(rng.lognormvariate(0, spread) for _ in range(slices)))
    found, at = [], 0.0
    while at < seconds * SECOND:
        at += rng.expovariate(rate / SECOND)
        found.append((int(at), bisect.bisect(edges, rng.random() * edges[-1]), "search"))
    return found


def speed():
    rows = []
    for backends in (100, 5000):
        slices = backends * 4
        trace = made(20, backends * 8, slices, 1) if backends < 1000 else made(5, backends * 4, slices, 1)
        world = World(slices, costs={"search": 2000.0})
        emulator = Emulator(world, backends)
        began = time.process_time()
        emulator.run(trace)
        spent = time.process_time() - began
        rows.append(
            {
                "backends": backends,
                "slices": slices,
                "requests": len(trace),
                "a_second": round(len(trace) / spent),
            }
        )
    return rows


def against_standins():
    from field import Field
    from indigohitch.standins.load import Load

    path = Path(tempfile.mkdtemp(prefix="bench-"))
    log = path / "access.jsonl"
    field = Field(path, servers=2, service=5.0, slices=32, more=[f"access-log {log}"]).start()
    host, port = field.listen.split(":")
    Load((host, int(port)), kept=60, fresh=0.0, reserve=0.0, keys=500).run_open(300, 20)
    field.process.terminate()
    field.process.wait()
    subprocess.run(
        [
            sys.executable,
            "-m",
            "indigohitch",
            "load",
            "compile",
            str(log),
            "-o",
            str(path / "t"),
            "--routes",
            str(field.file),
        ],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    counts = []
    import http.client

    for at in field.servers:
        connection = http.client.HTTPConnection(*at.split(":"), timeout=5)
        connection.request("GET", "/stats")
        counts.append(json.loads(connection.getresponse().read())["counts"]["requests"])
    field.close()
    requests = [r for _, r in Trace(str(path / "t")).requests()]
    half = len(requests) // 2
    seen = sorted(r.took for r in requests[:half])
    hop = seen[half // 2] - 50
    trace = [(r.at, slice_of(r.target.split("/")[2].encode(), 32), "search") for r in requests]
    world = World(
        32,
        kinds=(Kind(cores=float("inf"), cached=1.0),),
        costs={"search": 50.0},
        hop=hop,
        report=SECOND // 5,
        late=0,
        transit=1,
    )
    emulator = Emulator(world, 2)
    emulator.run(trace)
    real, model = sorted(r.took for r in requests[half:]), sorted(emulator.seen.took[half:])
    shares = [counts[0] / sum(counts), emulator.backends["b0"].total / len(trace)]
    return {
        "requests": len(requests),
        "hop_ms": hop / 10,
        "p50_ms": [real[len(real) // 2] / 10, model[len(model) // 2] / 10],
        "p50_error": round(abs(model[len(model) // 2] / real[len(real) // 2] - 1), 4),
        "p99_ms": [real[len(real) * 99 // 100] / 10, model[len(model) * 99 // 100] / 10],
        "share_of_one_server": [round(s, 4) for s in shares],
        "share_error": round(abs(shares[0] - shares[1]), 4),
    }


def without_band():
    """The module with its band's edges at the mean: it plans on any difference."""
    text = Path(planner.__file__).read_text()
    for edge in (
        "max(uses) > 1.25 or min(uses) < 1 / 1.25",
        "backend.utilization() > 1.10 * mean",
        "by_use[-1].utilization() > 1.10 * mean or by_use[0].utilization() < mean / 1.10",
        "0.25 * state.coordinator_count * mean",
    ):
        assert edge in text, edge
        none = edge.replace("1.25", "1.0").replace("1.10", "1.0").replace("0.25 *", "0.0 *")
        text = text.replace(edge, none)
    variant("logic.planning_bare", text)
    whole = Path(logic.__file__).read_text().replace("from .planner import", "from .planning_bare import")
    return variant("logic.bare", whole).Coordinator


def profile(requests, span, period):
    """A trace's demand by slice, as the module would have heard it over one period."""
    sums = collections.Counter((slice, rpc) for _, slice, rpc in requests)
    return [
        face.SliceDemand(slice, rpc, round(many * period / span), 0, period)
        for (slice, rpc), many in sorted(sums.items())
    ]


def decisions():
    rows, bare = [], without_band()
    for seed in range(3):
        backends, slices, seconds = 60, 360, 60
        world = World(slices, costs={"search": 2500.0}, seed=seed)
        trace = made(seconds, backends * 4 / 0.125 * 0.75, slices, seed)
        told = profile(trace, seconds * SECOND, world.report)
        row = {"seed": seed, "requests": len(trace)}
        for name, words in (
            ("as_it_is", {}),
            ("without_band", {"make": bare}),
            ("profiled", {"profile": told}),
        ):
            emulator = Emulator(world, backends, **words)
            seen = emulator.run(trace)
            took = sorted(seen.took)
            row[name] = {
                "in_time": round(seen.share(), 4),
                "in_time_first_10s": round(seen.share(0, 10), 4),
                "moves": seen.moves,
                "p99_ms": took[len(took) * 99 // 100] / 10,
                "by_second": [
                    round(b / a, 3) for a, b in (seen.by_second.get(s, (1, 1)) for s in range(seconds))
                ],
            }
        rows.append(row)
    return rows


def plot(rows):
    """docs/emulator.svg: the share in time by second, and the moves, of each decision."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.2), width_ratios=(3, 1))
    names = ("as_it_is", "without_band", "profiled")
    row = min(rows, key=lambda r: r["as_it_is"]["in_time"])
    for name, style in zip(names, ("-", "--", ":")):
        left.plot(row[name]["by_second"], style, lw=1, label=name)
        right.bar(name.replace("_", "\n"), sum(r[name]["moves"] for r in rows) / len(rows))
    left.set(xlabel="s", ylabel="share in time", title=f"seed {row['seed']}, the hardest of {len(rows)}")
    right.set(title="moves, mean")
    left.legend()
    figure.savefig(ROOT / "docs/emulator.svg", bbox_inches="tight", metadata={"Date": None})


def main():
    found = {
        "command": "make bench-emulator",
        "speed": speed(),
        "against_standins": against_standins(),
        "decisions": decisions(),
    }
    plot(found["decisions"])
    (ROOT / "benchmarks/results/emulator.json").write_text(json.dumps(found, indent=1) + "\n")
    for row in found["decisions"]:
        for name in ("as_it_is", "without_band", "profiled"):
            row[name] = {k: v for k, v in row[name].items() if k != "by_second"}
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    os.chdir(ROOT)
    main()
