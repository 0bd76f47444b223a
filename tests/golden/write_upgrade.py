"""Writes tests/golden/upgrade anew:  python tests/golden/write_upgrade.py FOLDER.

What is committed was written once, by the code before the names changed; see upgrade/README.md."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from golden.upgrade_states import FRAMES, states, values  # noqa: E402
from indigohitch.upgrade.messages import MESSAGE_TYPES, frame  # noqa: E402


def main(folder: Path) -> None:
    found = states()
    for name, data in found.items():
        (folder / f"{name}.snapshot").write_bytes(data)
    for kind, (name, descriptors, given) in zip(MESSAGE_TYPES.rows, FRAMES, strict=True):
        word = kind(*values(name, given, found["coordinator"]))
        (folder / f"{name}.frame").write_bytes(frame(word, descriptors))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
