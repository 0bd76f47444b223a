"""The emulator gives reproducible and correct results; the load tools' report page and HAR export."""

import json
import random
import subprocess
import sys
from pathlib import Path

import pytest

from indigohitch.load import compiling, kinds, trace
from indigohitch.load.replay.figures import Figures
from indigohitch.model.backends import Backend, Kind
from indigohitch.model.emulator import Emulator, World
from indigohitch.net.clock import SECOND

ROOT = Path(__file__).parent.parent


def generate_requests(seconds, rate, slices, seed=1):
    rng, at, requests = random.Random(seed), 0.0, []
    while at < seconds * SECOND:
        at += rng.expovariate(rate / SECOND)
        requests.append((int(at), rng.randrange(slices), "search"))
    return requests


def test_every_request_is_counted_and_runs_are_reproducible():
    world = World(48, costs={"search": 2500.0})
    runs = [Emulator(world, 8).run(generate_requests(20, 120, 48)) for _ in "ab"]
    first = runs[0]
    assert (
        first.asked
        == first.in_time + first.late + first.refused
        == sum(r[0] for r in first.by_second.values())
    )
    assert first.took == runs[1].took and first.moves == runs[1].moves


def test_waiting_times_match_queueing_theory():
    """One backend, one core, no cache: an M/D/1 queue at load 0.6 waits 0.75 service times on average."""
    world = World(1, kinds=(Kind(cores=1, cached=1.0, queue=10**6),), costs={"search": 100.0})
    seen = Emulator(world, 1).run(generate_requests(400, 60, 1))
    waits = [duration - 100 for duration in seen.took]
    assert abs(sum(waits) / len(waits) / 100 - 0.6 / (2 * 0.4)) < 0.08


def test_drained_backends_lose_traffic_and_cold_ones_get_it_gradually():
    world = World(60, costs={"search": 2500.0})
    emulator = Emulator(world, 10)
    fleet_events = [(10 * SECOND, "drain", "b3"), (10 * SECOND, "start", "new")]
    seen = emulator.run(generate_requests(40, 150, 60), fleet_events)
    drained, new = emulator.backends["b3"], emulator.backends["new"]
    assert max(drained.last_rpc.values()) < Emulator.BEGIN + 11 * SECOND
    assert new.total and not any(drained in table.servers for table in emulator.tables)
    assert seen.share(0, 9) > 0.97 and seen.share(25) > 0.97


def test_a_degraded_backend_loses_slices():
    world = World(60, costs={"search": 2500.0})
    emulator = Emulator(world, 10)
    emulator.run(generate_requests(60, 150, 60), [(5 * SECOND, "degrade", "b2", 8.0)])
    degraded = emulator.backends["b2"]
    assert sum(degraded in table.servers for table in emulator.tables) <= 3  # it has six at the start


def test_backends_warm_up_and_their_cache_expires():
    backend = Backend(
        "b", Kind(cold_from=0.25, warm_within=10 * SECOND, cached=0.5, memory=SECOND), started=1
    )
    assert backend.work(7, 100.0, 1) == 400 and backend.work(7, 100.0, 1 + 10 * SECOND) == 100
    assert backend.work(7, 100.0, 2 + 10 * SECOND) == 50
    assert backend.report()["service_time"] > 0 and backend.report() == {"queued": 0}


def test_each_of_several_coordinators_owns_an_equal_share_of_slices():
    emulator = Emulator(World(60, costs={"search": 2500.0}, coordinators=3), 10)
    emulator.run(generate_requests(10, 100, 60))
    assert [len(module.slices) for module in emulator.coordinators] == [20, 20, 20]


# ---- report and export


def save_replay(path, slow=1):
    figures, rng = Figures(10 * SECOND), random.Random(1)
    for _ in range(2000):
        due = rng.randrange(10 * SECOND)
        figures.went("search", due, due + 5)
        outcome = rng.choice(["200", "200", "503", "reset"])
        figures.answered("search", due, due + slow * rng.randrange(20, 900), outcome)
    path.write_text(json.dumps({"figures": figures.frozen(), "told": {"reserves_twice": 0}}))
    return str(path)


def run_load_tool(*arguments, check=True):
    return subprocess.run(
        [sys.executable, "-m", "indigohitch", "load", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=check,
    )


def test_the_page_compares_two_runs(tmp_path):
    run_load_tool(
        "page", save_replay(tmp_path / "a"), save_replay(tmp_path / "b", 3), "-o", str(tmp_path / "p.html")
    )
    text = (tmp_path / "p.html").read_text()
    assert text.count("<svg") == 3 and "ratio" in text and "503" in text
    invalid = run_load_tool("page", str(tmp_path / "p.html"), "-o", str(tmp_path / "q"), check=False)
    assert invalid.returncode == 1 and "Traceback" not in invalid.stderr


def test_a_log_exported_as_har_compiles_to_the_same_trace(tmp_path):
    rng, at, lines = random.Random(1), 1767225600000.0, []
    for n in range(400):
        at += rng.expovariate(0.2)
        lines.append(
            {
                "ms": round(at, 1),
                "method": rng.choice(["GET", "POST"]),
                "target": f"/v/{n}?x=%22",
                "status": 200,
                "took_ms": 2.5,
                "size": n,
                "client": f"c{n % 9}",
                "id": f"r{n}",
                **({"body": "hi", "kind": "a/b"} if n % 3 == 0 else {}),
            }
        )
    log = tmp_path / "a.jsonl"
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    assert run_load_tool("har", str(log), "-o", str(tmp_path / "a.har")).stdout.startswith(
        "400 entries, 0 lines"
    )
    compiled = []
    for path in (log, tmp_path / "a.har"):
        compiling.compiled([str(path)], str(tmp_path / "t"), kinds.by_method)
        compiled.append(
            [
                (r.at, r.method, r.target, r.took, r.size, r.connection, r.body, r.kind, r.status)
                for _, r in trace.Trace(str(tmp_path / "t")).requests()
            ]
        )
    assert len(compiled[0]) == 400 and compiled[0] == compiled[1]


@pytest.mark.parametrize(
    "arguments,reason",
    [
        (("compile", "/nowhere", "-o", "OUT"), "No such file"),
        (("show", "/dev/null"), "no trace"),
        (("replay", "/dev/null", "127.0.0.1:1"), "no trace"),
    ],
)
def test_bad_input_gets_a_clear_error(arguments, reason, tmp_path):
    result = run_load_tool(*(word.replace("OUT", str(tmp_path / "trace")) for word in arguments), check=False)
    assert result.returncode == 1 and reason in result.stderr and "Traceback" not in result.stderr
