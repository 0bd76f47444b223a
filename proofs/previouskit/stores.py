"""Versions and traces that one version of the program wrote, read and continued by the other, both ways."""

from __future__ import annotations

import json
import random
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .program_texts import ProgramText

NAMES = Path(__file__).parent / "names.py"
SLICES, BACKENDS, VERSIONS = 120, 9, 12
REQUESTS = 6000  # more than one block of a trace
AT_ONCE = 3  # programs; each takes a core
LARGE, SMALL = 1 << 20, 200  # bytes after which a file of versions is begun anew: never, at once


def ran(text: ProgramText, words: list[str], given: str = "") -> str:
    """Standard output of a program of that version; AssertionError where it fails."""
    found = subprocess.run(words, input=given, capture_output=True, text=True, check=False, timeout=60)
    assert found.returncode == 0, f"{text.name}: {' '.join(words[5:])}: {found.stderr[-1000:]}"
    return found.stdout


def named(text: ProgramText, action: str, path: Path, size: int = 0, given: object = None) -> str:
    words = [*text.interpreter(), str(NAMES), text.name, action, str(path), str(size)]
    return ran(text, words, json.dumps(given))


class Plan:
    """Versions as they are drawn, and all that was written so far."""

    def __init__(self, seed: int) -> None:
        self.chance, self.tables = random.Random(seed), {}
        self.whole: dict = {"versions": [], "names": {}, "pin": None}

    def more(self) -> dict:
        """Further versions, the name of one and a pin on another."""
        made = []
        for _ in range(VERSIONS):
            number = len(self.whole["versions"]) + len(made) + 1
            for slice in self.chance.sample(range(SLICES), 15):
                some = self.chance.sample(range(BACKENDS), self.chance.randint(0, 3))
                self.tables[slice] = {f"n{one}": self.chance.choice((0.25, 0.5, 1.0)) for one in sorted(some)}
            tables = {str(slice): lines for slice, lines in sorted(self.tables.items()) if lines}
            made.append(
                {"number": number, "tables": tables, "cause": f"drain ü{number}", "at": 10_000 * number}
            )
        last = made[-1]["number"]
        plan = {"versions": made, "names": {f"good-{last}": last - 1}, "pin": [last - 2, "operator", last]}
        self.whole["versions"] += made
        self.whole["names"] |= plan["names"]
        self.whole["pin"] = plan["pin"]
        return plan

    def agrees(self, found: dict) -> bool:
        """What was read is what was drawn, and each version names the one before it."""
        versions = found["versions"]
        plain = [{name: one[name] for name in ("number", "tables", "cause", "at")} for one in versions]
        parents = ["", *(one["id"] for one in versions)]
        return {
            "versions": plain,
            "names": dict(sorted(self.whole["names"].items())),
            "pin": self.whole["pin"],
        } == {"versions": self.whole["versions"], "names": found["names"], "pin": found["pin"]} and all(
            one["parent"] == parent for one, parent in zip(versions, parents)
        )


def versions(first: ProgramText, second: ProgramText, folder: Path, seed: int) -> dict:
    """Written by the first, continued by the second, then by the first into a new file; read by both each
    time."""
    plan, differing, wrong, reads = Plan(seed), 0, 0, 0
    for text, size in ((first, LARGE), (second, LARGE), (first, SMALL), (second, SMALL)):
        named(text, "write", folder, size, plan.more())
        told = [json.loads(named(reader, "read", folder)) for reader in (first, second)]
        reads += len(told)
        differing += told[0] != told[1]
        wrong += sum(not plan.agrees(one) for one in told)
    return {"versions": len(plan.whole["versions"]), "reads": reads, "differing": differing, "wrong": wrong}


def write_log(path: Path) -> None:
    chance = random.Random(1)
    line = '10.0.0.{n} - - [10/Oct/2026:13:{m:02}:{s:02} +0200] "{what} HTTP/1.1" {status} {size} "-" "ua"\n'
    with open(path, "w") as file:
        for number in range(REQUESTS):
            what = chance.choice((f"GET /vacancies/{number % 70}", f"POST /places/{number % 31}/reserve"))
            minute, second = divmod(number // 20, 60)
            file.write(
                line.format(
                    n=number % 7,
                    m=minute,
                    s=second,
                    what=what,
                    status=chance.choice((200, 200, 404, 503)),
                    size=chance.randint(0, 5000),
                )
            )


def traces(old: ProgramText, new: ProgramText, path: Path) -> dict:
    """The same log compiled by each; what each says of either trace."""
    log = path / "access.log"
    write_log(log)
    made = {text.name: path / f"{text.name}.trace" for text in (old, new)}
    for text in (old, new):
        ran(text, text.command("load", "compile", str(log), "-o", str(made[text.name])))
    told: dict[str, list[str]] = {"show": [], "shape": [], "requests": []}
    for trace in made.values():
        for text in (old, new):
            for word in ("show", "shape"):
                told[word].append(ran(text, text.command("load", word, str(trace))))
            told["requests"].append(named(text, "requests", trace))
    return {
        "requests": json.loads(told["show"][0])["count"],
        "same_bytes": made[old.name].read_bytes() == made[new.name].read_bytes(),
        "differing": sum(len(set(said)) != 1 for said in told.values()),
        "lost": REQUESTS - min(len(json.loads(said)) for said in told["requests"]),
    }


def run(old: ProgramText, new: ProgramText, path: Path, quick: bool) -> dict:
    """Raises AssertionError where one of the programs fails."""
    path.mkdir()
    with ThreadPoolExecutor(AT_ONCE) as pool:
        compiled = pool.submit(traces, old, new, path)
        files = [
            pool.submit(versions, first, second, path / f"{first.name}-{seed}", seed)
            for seed in range(1 if quick else 4)
            for first, second in ((old, new), (new, old))
        ]
        found = {"files": [one.result() for one in files], "traces": compiled.result()}
    broken = []
    if any(one["differing"] or one["wrong"] for one in found["files"]):
        broken.append("versions")
    told = found["traces"]
    if told["differing"] or told["lost"] or not told["same_bytes"]:
        broken.append("traces")
    return found | {"broken": broken}
