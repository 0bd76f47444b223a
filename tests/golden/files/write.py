"""Writes the golden files of stored files, operators' files and the control socket (README.md beside it).

    python tests/golden/files/write.py FOLDER [PART ...]

PART is `versions`, `load`, `access`, `directives`, `control`, `commands` or `running`; all without one.  The
golden files themselves are never written anew: FOLDER is another one, to be compared with them."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]


def main(folder: str, parts: list[str]) -> None:
    sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
    import golden_files_access as access
    import golden_files_commands as commands
    import golden_files_control as control
    import golden_files_directives as directives
    import golden_files_load as load
    import golden_files_running as running
    import golden_files_versions_made as versions

    makers = {
        "access": access.made,
        "versions": versions.made,
        "load": load.made,
        "directives": directives.made,
        "control": control.made,
        "commands": commands.made,
        "running": running.made,
    }
    for part in parts or makers:
        for name, data in makers[part]().items():
            path = Path(folder) / part / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(data)
            print(f"{part}/{name}: {len(data)} bytes")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
