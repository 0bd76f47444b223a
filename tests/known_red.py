"""KNOWN-RED.txt at the root: tests that fail for a real fault that is not mended yet, a line each,

    tests/test_x.py::test_name | the cause in a sentence | the issue's number

They are run, and must fail: one that passes fails the run, until it leaves the list.  Whether a listed test
exists is decided by collecting its id by itself, so also in a run of other files.  No list, no change."""

from __future__ import annotations

import os
import re
import subprocess
import sys

import pytest

MOST = 3
FORM = re.compile(r"(?P<test>tests/[\w/]*test_\w+\.py::\S.*) \| (?P<cause>\S[^|]*\S) \| (?P<issue>[0-9]+)")


def read(text: str) -> dict[str, str]:
    """Lines by test; raises pytest.UsageError."""
    found = {}
    for number, line in enumerate(text.splitlines(), 1):
        form = FORM.fullmatch(line)
        if form is None:
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: wanted is `test | cause | issue`, not {line!r}")
        if form["test"] in found:
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: {form['test']} stands twice")
        found[form["test"]] = line
    if len(found) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(found)} lines, {MOST} at most: mend one first")
    return found


def missing(tests, root) -> list[str]:
    """Those that pytest doesn't know by this very id."""

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
