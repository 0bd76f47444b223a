"""Two versions of the program on this machine, and how a process of either is started."""

from __future__ import annotations

import contextlib
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PREVIOUS = "41d95bd"  # the last commit before the renaming of Python names


@dataclass(frozen=True)
class ProgramText:
    """One version of the program, as a folder that holds the package."""

    name: str
    folder: Path

    def command(self, *words: str) -> list[str]:
        """Runs `indigohitch WORDS` of this version, whatever the folder and variables of the caller are.
        `env` replaces itself by the interpreter, so the pid and inherited descriptors stay."""
        return [*self.interpreter(), "-m", "indigohitch", *words]

    def interpreter(self) -> list[str]:
        return ["env", "-C", str(self.folder), f"PYTHONPATH={self.folder}", sys.executable]

    def runs_as(self, pid: int) -> bool:
        """Whether that process was started from this folder."""
        try:
            return os.readlink(f"/proc/{pid}/cwd") == str(self.folder)
        except OSError:
            return False


@contextlib.contextmanager
def both_texts(altered: bool) -> Iterator[tuple[ProgramText, ProgramText]]:
    """The previous version from a git worktree, and this checkout (`altered`: a copy of it with a wire name
    changed).  Both folders are removed at the end."""
    path = Path(tempfile.mkdtemp(prefix="previous-version-")).resolve()
    commit = os.environ.get("PREVIOUS", PREVIOUS)
    worktree = path / "previous"
    try:
        _git("worktree", "add", "--quiet", "--detach", str(worktree), commit)
    except subprocess.CalledProcessError:
        shutil.rmtree(path, ignore_errors=True)
        raise SystemExit(f"{commit} can't be checked out: fetch it, or name another in PREVIOUS") from None
    try:
        present = altered_copy(path / "altered") if altered else ROOT.resolve()
        yield ProgramText("previous", worktree), ProgramText("present", present)
    finally:
        _git("worktree", "remove", "--force", str(worktree))
        shutil.rmtree(path, ignore_errors=True)


def _git(*words: str) -> None:
    subprocess.run(["git", *words], cwd=ROOT, check=True)


# Appended to the copy's upgrade/event_codec.py.  It names none of that file's functions: whichever returns or
# takes a row of the wire name gets it under the altered one.
ALTERATION = """

def _with_another_name(function, wire="SetTimer", altered="SetTimerAltered"):
    def renamed(row, names):
        if type(row) in (tuple, list) and row and isinstance(row[0], str):
            return type(row)((names.get(row[0], row[0]), *row[1:]))
        return row

    def wrapped(*words, **more):
        words = [renamed(word, {altered: wire, wire: altered}) for word in words]
        return renamed(function(*words, **more), {wire: altered})

    return wrapped


for _name, _thing in list(globals().items()):
    if type(_thing) is type(_with_another_name) and _thing.__module__ == __name__ and _name[:6] != "_with_":
        globals()[_name] = _with_another_name(_thing)
"""


def altered_copy(folder: Path) -> Path:
    """This checkout's package with one wire name of its upgrade events altered."""
    shutil.copytree(
        ROOT / "indigohitch", folder / "indigohitch", ignore=shutil.ignore_patterns("__pycache__")
    )
    codec = folder / "indigohitch" / "upgrade" / "event_codec.py"
    codec.write_text(codec.read_text() + ALTERATION)  # fails where the module has another name
    return folder
