"""The memory of a program that has loaded its modules and holds nothing, in MB:  base_cell.py PROGRAM"""

import sys
from importlib import import_module
from pathlib import Path

PROGRAMS = {
    "platform": ("indigohitch.service",),
    "member of a fleet": ("indigohitch.sidecar.service", "indigohitch.fleet.node.companion"),
    "voter": ("indigohitch.fleet.node.headless_member",),
}


def peak_mb() -> float:
    status = Path("/proc/self/status").read_text()
    return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM:"))


if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).resolve().parents[2])]
    for module in PROGRAMS[sys.argv[1]]:
        import_module(module)
    print(round(peak_mb(), 1))
