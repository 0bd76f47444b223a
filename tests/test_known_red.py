"""The list of known red tests, over a tiny suite in a process of its own."""

import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

import known_red

SUITE = """
import pytest

def test_green(): pass
def test_red(): assert "the fault" == ""
def test_other(): assert "another" == ""
def test_skipped(): pytest.skip("not here")

@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1

@pytest.fixture
def broken(): raise OSError("no room")

def test_setup(broken): pass
"""
RED = "tests/test_a.py::test_red | make proof-sums, seed 4 | the sum is wrong at noon | 17"


class Suite:
    def __init__(self, path, suite=SUITE):
        self.path, self.tests = path, path / "tests"
        self.tests.mkdir()
        shutil.copy(Path(__file__).with_name("known_red.py"), self.tests)
        (path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
        (self.tests / "conftest.py").write_text(
            "import known_red\ndef pytest_configure(config):\n    known_red.begin(config)\n"
        )
        (self.tests / "test_a.py").write_text(suite)
        (self.tests / "test_b.py").write_text("def test_fine(): pass\n")

    def run(self, *lines, words=()):
        """The exit code, and all that was said."""
        if lines:
            (self.path / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *words],
            cwd=self.path,
            env=environ,
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr


@pytest.fixture
def suite(tmp_path):
    return Suite(tmp_path)


ONLY = ["-k", "green or red or fine"]


@pytest.mark.parametrize("how", [[], ["-n", "2", "--dist", "worksteal"]])
def test_one_that_fails_is_passed_over_and_printed(suite, how):
    assert suite.run(words=ONLY + how)[0] == 1  # no list, no change
    code, said = suite.run(RED, words=ONLY + how)
    assert code == 0 and "2 passed" in said and "1 xfailed" in said
    assert f"xfailed: {RED}" in said.splitlines()[-3:]
    (suite.path / "KNOWN-RED.txt").unlink()
    code, said = suite.run(words=ONLY + how)
    assert code == 1 and "known red" not in said and "1 failed" in said


@pytest.mark.parametrize("how", [[], ["-n", "2", "--dist", "worksteal"]])
def test_one_that_passes_fails_the_run(suite, how):
    green = "tests/test_a.py::test_green | pytest, no seed | was mended | 17"
    code, said = suite.run(RED, green, words=ONLY + how)
    assert code == 1 and "1 failed" in said and "1 xfailed" in said and "XPASS(strict)" in said
    assert f"failed: {green}" in said.splitlines()


def test_only_those_that_are_listed_are_passed_over(suite):
    code, said = suite.run(RED)
    assert code == 1 and "2 failed" in said and "1 error" in said and "1 xfailed" in said
    each = "tests/test_a.py::test_each[2] | pytest, no seed | two is not one | 9"
    setup = "tests/test_a.py::test_setup | pytest, no seed | no room there | 3"
    code, said = suite.run(RED, each, setup, words=["--deselect", "tests/test_a.py::test_other"])
    assert code == 0 and "3 xfailed" in said and "1 skipped" in said
    assert said.splitlines()[-4:-1] == [f"xfailed: {line}" for line in (RED, each, setup)]


def test_one_that_is_not_among_the_files_named_is_not_missing(suite):
    code, said = suite.run(RED, words=["tests/test_b.py"])
    assert code == 0 and f"not run: {RED}" in said
    code, said = suite.run(
        "tests/test_a.py::test_skipped | pytest, no seed | never seen | 1", words=["-k", "skipped"]
    )
    assert code == 0 and "skipped: tests/test_a.py::test_skipped" in said


FOUR = [RED, RED.replace("red", "other"), RED.replace("red", "green"), RED.replace("red", "skipped")]


@pytest.mark.parametrize(
    "lines, why",
    [
        (FOUR, "4 lines, 3 at most"),
        ([RED, RED], ":2: tests/test_a.py::test_red stands twice"),
        ([RED, ""], ":2: wanted is"),
        (["# why", RED], ":1: wanted is"),
        ([RED.replace(" | 17", "")], ":1: wanted is"),
        ([RED.replace("17", "soon")], ":1: wanted is"),
        ([RED.replace("the sum is wrong at noon", " ")], ":1: wanted is"),
        ([RED.replace(" | ", "|")], ":1: wanted is"),
        ([RED.replace("make proof-sums, seed 4 | ", "")], ":1: wanted is"),
        ([RED.replace("make proof-sums, ", "")], ":1: wanted is"),
        ([RED.replace(", seed 4", "")], ":1: wanted is"),
        ([RED.replace("seed 4", "seed ")], ":1: wanted is"),
        ([RED.replace("seed 4", "seed 4 5")], ":1: wanted is"),
        ([RED.replace("seed 4", "some seed")], ":1: wanted is"),
        ([RED.replace("make proof-sums", " ")], ":1: wanted is"),
        ([RED.replace("tests/", "")], ":1: wanted is"),
        ([RED.replace("::test_red", "")], ":1: wanted is"),
    ],
)
def test_what_is_out_of_form(lines, why):
    with pytest.raises(pytest.UsageError, match=re.escape(why)):
        known_red.read("\n".join(lines) + "\n")


def test_what_is_in_form():
    assert known_red.read("") == {}
    odd = "tests/more/test_a.py::Test::test_b[a | b-1] | QUICK=1 make proof-sums, no seed | 3, not 2 | 17"
    assert known_red.read(f"{RED}\n{odd}") == {
        "tests/test_a.py::test_red": RED,
        "tests/more/test_a.py::Test::test_b[a | b-1]": odd,
    }


@pytest.mark.parametrize(
    "lines, why",
    [
        (FOUR, ": 4 lines, 3 at most"),
        ([RED, ""], ":2: wanted is"),
        ([RED.replace("test_red", "test_rde")], ": no such test: tests/test_a.py::test_rde"),
        ([RED.replace("test_a", "test_c")], ": no such test: tests/test_c.py::test_red"),
        ([RED.replace("test_red", "test_each")], ": no such test: tests/test_a.py::test_each"),
        ([RED.replace("test_red", "test_each[3]")], ": no such test: tests/test_a.py::test_each[3]"),
    ],
)
@pytest.mark.parametrize("words", [["tests/test_b.py"], ["-n", "2"]])
def test_a_list_that_is_wrong_fails_the_run(suite, lines, why, words):
    code, said = suite.run(*lines, words=words)
    assert code == 4 and f"ERROR: KNOWN-RED.txt{why}" in said and "passed" not in said
