"""A sidecar under load, upgraded from the previous version to the present one and back, several times."""

from __future__ import annotations

import contextlib
import json
import subprocess
import time
from pathlib import Path

from field import Field
from waiting import eventually

from . import log_lines
from .program_texts import ProgramText

RATE, GAP = 200, 1.8  # requests a second; seconds from one upgrade to the next
KEPT, FRESH, RESERVE = 40, 0.2, 0.24  # connections; shares of requests on fresh ones and that reserve


def run(old: ProgramText, new: ProgramText, path: Path, quick: bool) -> dict:
    """Raises AssertionError where it gets stuck."""
    path.mkdir()
    targets = [new, old] * (1 if quick else 4)
    field = Field(path, service=5.0, slices=200, more=("wait watch 400ms",))
    load = None
    try:
        with contextlib.chdir(old.folder):
            field.start()
        assert old.runs_as(field.pid()), "the first process is not of the previous version"
        seconds = 1.5 + len(targets) * GAP
        load = subprocess.Popen(
            [*old.interpreter(), "-m", "indigohitch.standins.load", field.listen, "open"]
            + [str(word) for word in (RATE, seconds, KEPT, FRESH, RESERVE)],
            stdout=subprocess.PIPE,
        )
        begun, told, served = time.monotonic() + 1.0, [], []
        for number, text in enumerate(targets):
            time.sleep(max(0.0, begun + number * GAP - time.monotonic()))
            field.write(f"program {' '.join(text.command('sidecar', str(field.file)))}")
            told.append(field.ask("upgrade"))
            eventually(field.one)
            served.append(next((one.name for one in (old, new) if one.runs_as(field.pid())), "neither"))
        out, _ = load.communicate(timeout=60)
        return judged(field, json.loads(out), told, served, [text.name for text in targets], RATE * seconds)
    finally:
        if load is not None and load.poll() is None:
            load.kill()
        field.close()


def judged(
    field: Field, load: dict, told: list[dict], served: list[str], wanted: list[str], requests: float
) -> dict:
    answered = {result[3] for result in load["results"] if result[2] == 200}
    acts = field.acts()
    found = log_lines.of_upgrades(told, field.said("state_compared"), served, wanted) | {
        "requests": load["requests"],
        "lost": load["lost"],
        "why": load["why"],
        "duplicated_reserves": sum(acts.get(id, 0) > 1 for id in load["reserves"]),
        "reserves_without_act": sum(id in answered and not acts.get(id) for id in load["reserves"]),
        "connections_passed": sum(one.get("passed", 0) for one in told),
        "troubles": log_lines.troubles(field.log),
        "tracebacks": log_lines.noise((field.path / "log").read_bytes()),
    }
    zeros = ("lost", "duplicated_reserves", "reserves_without_act")
    return found | {
        "broken": [
            *log_lines.broken(found),
            *(name for name in zeros if found[name]),
            *(["requests"] if found["requests"] < 0.99 * requests else []),
        ]
    }
