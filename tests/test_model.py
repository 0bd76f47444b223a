"""The emulator: what it says follows from its events, the same each time; report and export of the tools."""

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


def made(seconds, rate, slices, seed=1):
    rng, at, found = random.Random(seed), 0.0, []
    while at < seconds * SECOND:
        at += rng.expovariate(rate / SECOND)
        found.append((int(at), rng.randrange(slices), "search"))
    return found


def test_all_is_accounted_for_and_the_same_each_time():
    world = World(48, costs={"search": 2500.0})
    runs = [Emulator(world, 8).run(made(20, 120, 48)) for _ in "ab"]
    one = runs[0]
    assert one.asked == one.in_time + one.late + one.refused == sum(r[0] for r in one.by_second.values())
    assert one.took == runs[1].took and one.moves == runs[1].moves


def test_a_queue_is_what_queueing_says():
    """One backend, one core, no cache: an M/D/1 queue at 0.6 waits 0.75 services on the mean."""
    world = World(1, kinds=(Kind(cores=1, cached=1.0, queue=10**6),), costs={"search": 100.0})
    seen = Emulator(world, 1).run(made(400, 60, 1))
    waits = [t - 100 for t in seen.took]
    assert abs(sum(waits) / len(waits) / 100 - 0.6 / (2 * 0.4)) < 0.08


def test_drains_are_obeyed_and_the_cold_are_eased_in():
    world = World(60, costs={"search": 2500.0})
    emulator = Emulator(world, 10)
    befalls = [(10 * SECOND, "drain", "b3"), (10 * SECOND, "start", "new")]
    seen = emulator.run(made(40, 150, 60), befalls)
    drained, new = emulator.backends["b3"], emulator.backends["new"]
    assert max(drained.met.values()) < Emulator.BEGIN + 11 * SECOND
    assert new.total and not any(drained in t.servers for t in emulator.tables)
    assert seen.share(0, 9) > 0.97 and seen.share(25) > 0.97


def test_an_ill_backend_loses_its_slices():
    world = World(60, costs={"search": 2500.0})
    emulator = Emulator(world, 10)
    emulator.run(made(60, 150, 60), [(5 * SECOND, "ill", "b2", 8.0)])
    ill = emulator.backends["b2"]
    assert sum(ill in t.servers for t in emulator.tables) <= 3  # six at the start


def test_backends_warm_up_and_forget():
    b = Backend("b", Kind(cold_from=0.25, warm_within=10 * SECOND, cached=0.5, memory=SECOND), started=1)
    assert b.work(7, 100.0, 1) == 400 and b.work(7, 100.0, 1 + 10 * SECOND) == 100
    assert b.work(7, 100.0, 2 + 10 * SECOND) == 50
    assert b.report()["service_time"] > 0 and b.report() == {"queued": 0}


def test_several_coordinators_have_a_part_of_the_slices_each():
    emulator = Emulator(World(60, costs={"search": 2500.0}, coordinators=3), 10)
    emulator.run(made(10, 100, 60))
    assert [len(m.slices) for m in emulator.modules] == [20, 20, 20]


# ---- report and export


def saved(path, slow=1):
    f, rng = Figures(10 * SECOND), random.Random(1)
    for _ in range(2000):
        due = rng.randrange(10 * SECOND)
        f.went("search", due, due + 5)
        outcome = rng.choice(["200", "200", "503", "reset"])
        f.answered("search", due, due + slow * rng.randrange(20, 900), outcome)
    path.write_text(json.dumps({"figures": f.frozen(), "told": {"reserves_twice": 0}}))
    return str(path)


def load(*words, check=True):
    return subprocess.run(
        [sys.executable, "-m", "indigohitch", "load", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=check,
    )


def test_one_page_of_two_runs(tmp_path):
    load("page", saved(tmp_path / "a"), saved(tmp_path / "b", 3), "-o", str(tmp_path / "p.html"))
    text = (tmp_path / "p.html").read_text()
    assert text.count("<svg") == 3 and "ratio" in text and "503" in text
    bad = load("page", str(tmp_path / "p.html"), "-o", str(tmp_path / "q"), check=False)
    assert bad.returncode == 1 and "Traceback" not in bad.stderr


def test_a_log_as_har_and_back_is_the_same(tmp_path):
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
    assert load("har", str(log), "-o", str(tmp_path / "a.har")).stdout.startswith("400 entries, 0 lines")
    found = []
    for path in (log, tmp_path / "a.har"):
        compiling.compiled([str(path)], str(tmp_path / "t"), kinds.by_method)
        found.append(
            [
                (r.at, r.method, r.target, r.took, r.size, r.connection, r.body, r.kind, r.status)
                for _, r in trace.Trace(str(tmp_path / "t")).requests()
            ]
        )
    assert len(found[0]) == 400 and found[0] == found[1]


@pytest.mark.parametrize(
    "words,why",
    [
        (("compile", "/nowhere", "-o", "OUT"), "No such file"),
        (("show", "/dev/null"), "no trace"),
        (("replay", "/dev/null", "127.0.0.1:1"), "no trace"),
    ],
)
def test_bad_input_gets_a_clear_error(words, why, tmp_path):
    out = load(*(word.replace("OUT", str(tmp_path / "trace")) for word in words), check=False)
    assert out.returncode == 1 and why in out.stderr and "Traceback" not in out.stderr
