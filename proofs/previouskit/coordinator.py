"""A coordinator with drains on their way, upgraded from the previous version to the present one and back.

At each upgrade the call of one drain is out at the relay as the hand-over begins, and another drain is told
while the old process stands still: its orders go over in the state and the new process sends them."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import threading
import time
from pathlib import Path

from stage import SETTINGS, Platform, none_lost
from waiting import eventually

from . import log_lines
from .program_texts import ProgramText

BACKENDS, SLICES, PROXIES = 8, 24, 6
GRACE = SETTINGS["rules"]["drain-grace"] / 1000  # s


class HoldingPlatform(Platform):
    """Its relay carries calls out only while `answering` is set; until then they stay on their way."""

    def __init__(self, path: Path) -> None:
        self.answering = threading.Event()
        self.answering.set()
        super().__init__(path, backends=BACKENDS, slices=SLICES, proxies=PROXIES)

    def _relay(self, sock, method, target, body):
        if method != "GET":
            self.answering.wait(10)
        return super()._relay(sock, method, target, body)


class DrainWatch(threading.Thread):
    """From when a backend is told to drain until no table has a line of it."""

    def __init__(self, platform: Platform, backend: str) -> None:
        super().__init__(daemon=True)
        self.platform, self.backend = platform, backend
        self.took: float | None = None
        self.on_its_way = False  # as the state was handed over
        self.begun = time.monotonic()
        platform.change(backend, "DRAINING")
        self.start()

    def stands(self) -> bool:
        with self.platform.lock:
            return any(self.backend in table for table in self.platform.tables.values())

    def run(self) -> None:
        while self.stands():
            if time.monotonic() > self.begun + 10 * GRACE:
                return
            time.sleep(0.002)
        self.took = time.monotonic() - self.begun


def asked(text: ProgramText, word: str, operator: Path) -> subprocess.Popen:
    """A control word, by the command line of that version."""
    words = text.command(word, str(operator))
    return subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE)


def answer(asking: subprocess.Popen) -> dict:
    out, err = asking.communicate(timeout=60)
    assert out, err.decode()[-500:]
    return json.loads(out)


def upgraded_with_drains(
    platform: HoldingPlatform, backends: tuple[str, str], text: ProgramText, operator: Path
) -> tuple[list[DrainWatch], dict]:
    """Returns once the lines of both backends are taken away."""
    program = platform.program
    begun, stood = (len(program.said("upgrade", now=phase)) for phase in ("offered", "settling"))
    platform.answering.clear()
    asking = asked(text, "upgrade", operator)
    try:
        eventually(lambda: len(program.said("upgrade", now="offered")) > begun)
        drains = [DrainWatch(platform, backends[0])]
        eventually(lambda: len(program.said("upgrade", now="settling")) > stood or asking.poll() is not None)
        drains.append(DrainWatch(platform, backends[1]))
        time.sleep(0.1)  # discovery has told it
        for drain in drains:
            drain.on_its_way = drain.stands() and len(program.said("upgrade", now="settling")) > stood
    finally:
        platform.answering.set()
    told = answer(asking)
    for drain in drains:
        drain.join()
    return drains, told


def run(old: ProgramText, new: ProgramText, path: Path, quick: bool) -> dict:
    """Raises AssertionError where it gets stuck."""
    path.mkdir()
    targets = [new, old] * (2 if quick else 6)
    platform = HoldingPlatform(path)
    operator = path / "operator.conf"

    def write(text: ProgramText) -> None:
        program = " ".join(text.command("run", "--operator", str(operator)))
        operator.write_text(f"control {path / 'control'}\nwait watch 300ms\nprogram {program}\n")

    try:
        write(old)
        with contextlib.chdir(old.folder):
            platform.start(["run", "--operator", str(operator)])
        program = platform.program
        eventually(lambda: program.said("phase", now="serving") and platform.agrees())
        assert old.runs_as(program.process.pid), "the first process is not of the previous version"
        told, served, drains = [], [], []
        for number, text in enumerate(targets):
            write(text)
            backends = (f"b{2 * number % BACKENDS}", f"b{(2 * number + 1) % BACKENDS}")
            some, one = upgraded_with_drains(platform, backends, text, operator)
            drains += some
            told.append(one)
            upgraded = sum(one.get("result") == "upgraded" for one in told)
            eventually(lambda n=upgraded: len(program.said("phase", now="ended")) >= n)
            pid = answer(asked(text, "status", operator))["pid"]
            served.append(next((one.name for one in (old, new) if one.runs_as(pid)), "neither"))
            for backend in backends:
                platform.change(backend, "SERVING")
        eventually(platform.agrees)
        return judged(platform, told, served, [text.name for text in targets], drains)
    finally:
        if platform.program is not None:
            for event in platform.program.said("starts"):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(event["pid"], signal.SIGKILL)
        platform.close()


def judged(
    platform: Platform, told: list[dict], served: list[str], wanted: list[str], drains: list[DrainWatch]
) -> dict:
    program = platform.program
    os.set_blocking(program.process.stderr.fileno(), False)
    took = [drain.took for drain in drains if drain.took is not None]
    found = log_lines.of_upgrades(told, program.said("state_compared"), served, wanted) | {
        "drains": len(drains),
        "drains_on_their_way": sum(drain.on_its_way for drain in drains),
        "drain_s_most": round(max(took, default=0.0), 2),
        "drains_over": len(drains) - sum(one <= GRACE for one in took),
        "calls": len(platform.calls),
        "orders_lost": not none_lost(platform),
        "tables_wrong": not platform.agrees(),
        "troubles": log_lines.troubles(list(program.log)),
        "tracebacks": log_lines.noise(program.process.stderr.read() or b""),
    }
    zeros = ("drains_over", "orders_lost", "tables_wrong")
    return found | {
        "broken": [
            *log_lines.broken(found),
            *(name for name in zeros if found[name]),
            *(["drains_on_their_way"] if found["drains_on_their_way"] != len(drains) else []),
        ]
    }
