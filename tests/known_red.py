"""KNOWN-RED.txt at the root: tests that fail for a real fault that is not fixed yet, a line each,

    tests/test_x.py::test_name | command, seed N | what was seen, in a sentence | the issue's number

The command is the one that shows the failure; `no seed` stands where it takes none.  Listed tests are run
and must fail: one that passes fails the run, until it leaves the list.  Whether a listed test exists is
decided by collecting its id by itself, so also in a run of other files.  Without the file nothing changes.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys

import pytest

MAX_ENTRIES = 3
FORM = "test | command, seed N | what was seen | issue"
ENTRY = re.compile(
    r"(?P<test>tests/[\w/]*test_\w+\.py::\S.*)"
    r" \| (?P<command>\S[^|]*\S), (?P<seed>seed [^\s|]+|no seed)"
    r" \| (?P<seen>\S[^|]*\S)"
    r" \| (?P<issue>[0-9]+)"
)


def read(text: str) -> dict[str, str]:
    """Returns the lines by test; raises pytest.UsageError."""
    found = {}
    for number, line in enumerate(text.splitlines(), 1):
        entry = ENTRY.fullmatch(line)
        if entry is None:
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: wanted is `{FORM}`, not {line!r}")
        if entry["test"] in found:
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: {entry['test']} stands twice")
        found[entry["test"]] = line
    if len(found) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(found)} lines, {MAX_ENTRIES} at most: mend one first")
    return found


def missing(tests, root) -> list[str]:
    """Returns the tests that pytest does not know by exactly this id."""

    def exists(test):
        told = subprocess.run(
            [sys.executable, "-m", "pytest", "--collect-only", "-q", "-o", "addopts=", test],
            cwd=root,
            env=os.environ | {"PYTEST_ADDOPTS": ""},
            capture_output=True,
            text=True,
        )
        return test in told.stdout.splitlines()

    return [test for test in tests if not exists(test)]


class KnownRed:
    def __init__(self, lines: dict[str, str]) -> None:
        self.lines = lines

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items) -> None:
        for item in items:
            if item.nodeid in self.lines:
                item.add_marker(pytest.mark.xfail(reason=self.lines[item.nodeid], strict=True), append=False)

    def pytest_terminal_summary(self, terminalreporter) -> None:
        told = terminalreporter.stats
        stats = {
            outcome: {getattr(report, "nodeid", "") for report in told.get(outcome, ())}
            for outcome in ("xfailed", "failed", "error", "skipped")
        }
        terminalreporter.section("known red")
        for test, line in self.lines.items():
            outcomes = [outcome for outcome, tests in stats.items() if test in tests]
            terminalreporter.write_line(f"{', '.join(outcomes) or 'not run'}: {line}")


def begin(config) -> None:
    """Called as pytest is configured, here and in each worker."""
    file = config.rootpath / "KNOWN-RED.txt"
    if config.option.collectonly or not file.exists():
        return
    lines = read(file.read_text("utf-8"))
    if not hasattr(config, "workerinput") and (unknown := missing(lines, config.rootpath)):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(unknown)}")
    config.pluginmanager.register(KnownRed(lines), "known-red")
