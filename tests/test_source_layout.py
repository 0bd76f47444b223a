"""Source files stay small: none over 250 lines but those that .ci/long-files.txt lists."""

import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MOST_LINES = 250


def python_files() -> list[str]:
    named = subprocess.run(["git", "ls-files", "*.py"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [name for name in named.stdout.splitlines() if (ROOT / name).exists()]


def test_no_file_is_long_but_those_listed():
    listed = {
        line
        for line in (ROOT / ".ci" / "long-files.txt").read_text().splitlines()
        if line and not line.startswith("#")
    }
    long = {name for name in python_files() if len((ROOT / name).read_text().splitlines()) > MOST_LINES}
    assert long == listed
