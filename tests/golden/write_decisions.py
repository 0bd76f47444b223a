"""Writes tests/golden/decisions anew:  python tests/golden/write_decisions.py FOLDER.

What is committed was written once, by the code before the names changed; see decisions/README.md."""

from __future__ import annotations

import gzip
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from golden.decision_days import Day  # noqa: E402
from golden.decision_files import SEEDS, path  # noqa: E402
from golden.decision_settings import SETTINGS  # noqa: E402

STEPS = 160


def main(folder: Path) -> None:
    for name in SETTINGS:
        for seed in SEEDS:
            day = Day(name, seed)
            for _ in day.run(STEPS):
                pass
            data = b"\n".join(day.lines()) + b"\n"
            (folder / path(name, seed).name).write_bytes(gzip.compress(data, mtime=0))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
