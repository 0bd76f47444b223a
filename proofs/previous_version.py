"""The previous version and this checkout as processes: each takes over from the other, and reads its files.

A sidecar under load and a coordinator with a drain on its way are upgraded from the previous version to the
present one and back; versions and traces written by one are read by the other; three members of a fleet are
killed and started as the other version on the same folders, and run mixed.  The programs are driven only by
their command lines, files, sockets and control words; previouskit/names.py alone has names of Python.

The previous version is a worktree of the commit in PREVIOUS (else previouskit/program_texts.py's).  QUICK=1:
under 50 s.  PARTS="sidecar stores": these only.  BROKEN=names starts the present version from a copy in which
one wire name of upgrade/event_codec.py is altered, and the proof has to fail.  The last line is one JSON
object; the exit code is 1 where a promise is broken."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "proofs")]

from previouskit import coordinator, fleet, sidecar, stores  # noqa: E402
from previouskit.program_texts import ProgramText, both_texts  # noqa: E402

QUICK, BROKEN = os.environ.get("QUICK") == "1", os.environ.get("BROKEN", "")
PARTS = {"sidecar": sidecar.run, "coordinator": coordinator.run, "stores": stores.run, "fleet": fleet.run}
TOGETHER = [("sidecar",), ("coordinator",), ("stores", "fleet")]  # in turn; those that nothing is timed in


class Proof:
    def __init__(self, old: ProgramText, new: ProgramText, path: Path) -> None:
        self.old, self.new, self.path = old, new, path
        self.begun = time.monotonic()
        self.result: dict[str, dict] = {}
        self.broken: list[str] = []

    def part(self, name: str) -> None:
        try:
            found = PARTS[name](self.old, self.new, self.path / name, QUICK)
        except (AssertionError, OSError, ValueError, subprocess.SubprocessError) as vain:
            found = {"stuck": f"{type(vain).__name__}: {vain}", "broken": ["stuck"]}
        self.broken += [f"{name} {promise}" for promise in found.pop("broken")]
        self.result[name] = found
        print(f"{time.monotonic() - self.begun:6.1f} s  {name}: {json.dumps(found)}", flush=True)

    def run(self, chosen: list[str]) -> None:
        for names in TOGETHER:
            with ThreadPoolExecutor(len(names)) as pool:
                for done in [pool.submit(self.part, name) for name in names if name in chosen]:
                    done.result()


def main() -> int:
    if BROKEN not in ("", "names"):
        raise SystemExit(f"no such variant: BROKEN={BROKEN}")
    chosen = os.environ.get("PARTS", "").split() or list(PARTS)
    if unknown := set(chosen) - PARTS.keys():
        raise SystemExit(f"no such part: {', '.join(sorted(unknown))}")
    os.chdir(ROOT)
    with both_texts(altered=BROKEN == "names") as (old, new):
        path = Path(tempfile.mkdtemp(prefix="proof-previous-")).resolve()
        proof = Proof(old, new, path)
        proof.run(chosen)
    if not proof.broken:
        shutil.rmtree(path, ignore_errors=True)  # else the logs stay to be looked at
    seconds = round(time.monotonic() - proof.begun)
    print(json.dumps(proof.result | {"seconds": seconds, "broken": proof.broken}))
    return 1 if proof.broken else 0


if __name__ == "__main__":
    sys.exit(main())
