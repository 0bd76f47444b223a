"""Renames modules, symbols and attributes over the whole tree, by syntax (libcst), as a map file says.

    python tools/rename.py MAP.toml            # rewrites the files and moves the modules
    python tools/rename.py MAP.toml --list     # shows what the attribute rules would meet, changes nothing

The map:

    [modules]                                  # dotted names; a module stays at its depth
    "indigohitch.logic.hearing" = "indigohitch.logic.event_handlers"
    [symbols]                                  # names at the top of a module, or members of a class there
    "indigohitch.interface.Charge" = "SliceOwnership"
    [[attributes]]                             # by name: attributes, methods, fields, keyword arguments
    old = "told"
    new = "notified_at"
    paths = ["indigohitch/logic/*", "tests/test_logic_*"]      # default: all
    base = "b|backend|self"                    # what stands before the dot, as a regular expression
    keywords = true                            # keyword arguments of calls of these names too; default: true
    [strings]                                  # string literals that are exactly this: log events, counters
    news_lost = "relay_watch_lost"

Symbols are resolved through imports and scopes; attributes only by their names, so their rules are kept
narrow.  Other string literals are never touched: those that equal an old name are printed, to be looked at.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from multiprocessing import Pool
from pathlib import Path

from rename_map import RenameMap
from renamer import module_of, renamed


def moved_path(rename_map: RenameMap, path: str) -> str:
    """Where a file of the package stands after the moves."""
    here = module_of(path)
    if not path.startswith("indigohitch/"):
        return path
    new = rename_map.new_module(here.name).replace(".", "/")
    return f"{new}/__init__.py" if path.endswith("__init__.py") else f"{new}.py"


# Names of an earlier commit, which stay.
KEPT = {"proofs/previouskit/names.py"}


def tracked_files() -> list[str]:
    """Python files that git knows, from the root of the tree."""
    listing = subprocess.run(["git", "ls-files", "*.py"], capture_output=True, text=True, check=True)
    return [name for name in listing.stdout.splitlines() if name not in KEPT and Path(name).exists()]


def move_files(rename_map: RenameMap, paths: Iterable[str]) -> None:
    """Moves the files by git, so that their history goes along."""
    for path in paths:
        target = moved_path(rename_map, path)
        if target != path:
            Path(target).parent.mkdir(parents=True, exist_ok=True)
            subprocess.run(["git", "mv", path, target], check=True)


def main(arguments: list[str]) -> int:
    """Returns the exit code."""
    rename_map = RenameMap.load(arguments[0])
    only_list = "--list" in arguments
    paths = tracked_files()
    with Pool(8) as pool:
        results = pool.map(renamed, [(rename_map, path) for path in paths], chunksize=8)
    for path, text, found in results:
        if only_list or any("STRING" in line for line in found):
            print("\n".join(line for line in found if only_list or "STRING" in line))
        if text is not None and not only_list:
            Path(path).write_text(text)
    if not only_list:
        move_files(rename_map, paths)
    print(f"{sum(text is not None for _, text, _ in results)} files changed")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
