"""The real program with wrong clocks: the wall's is moved by what the file in FLEET_CLOCK says (seconds, read
anew at each look), the monotonic one runs faster by the share in FLEET_DRIFT.  FLEET_PATCH names a file of
Python that is run before: a proof that is told BROKEN=1 takes a guard away there."""

import os
import runpy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

_FILE, _DRIFT = os.environ.get("FLEET_CLOCK", ""), float(os.environ.get("FLEET_DRIFT", "0"))
_wall, _mono = time.time_ns, time.monotonic_ns
_base = _mono()
_seen = (0, 0)  # when the file was written, and what it said


def moved() -> int:
    global _seen
    try:
        written = os.stat(_FILE).st_mtime_ns
        if written != _seen[0]:
            with open(_FILE) as file:
                _seen = (written, int(float(file.read()) * 1e9))
    except (OSError, ValueError):
        pass
    return _seen[1]


def monotonic_ns() -> int:
    now = _mono()
    return now + int((now - _base) * _DRIFT)


time.time_ns = lambda: _wall() + moved()
time.time = lambda: time.time_ns() / 1e9
time.monotonic_ns = monotonic_ns
time.monotonic = lambda: monotonic_ns() / 1e9

if __name__ == "__main__":
    from indigohitch.cli import main

    if patch := os.environ.get("FLEET_PATCH"):
        runpy.run_path(patch)
    main()
