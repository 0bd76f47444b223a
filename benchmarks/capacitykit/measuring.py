"""What every cell measures with: processor time of the process, and the memory that its state takes."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def status_mb(field: str) -> float:
    """`VmHWM` (peak) or `VmRSS` (now) of this process.  `getrusage` would do for the peak, but its figure
    outlives an exec, so that a child of a large parent is told its parent's peak."""
    with open("/proc/self/status") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
    raise OSError(f"no {field} in /proc/self/status")


class Memory:
    """The growth of the peak from here on: the state of a cell, without the interpreter and its modules."""

    def __init__(self) -> None:
        gc.collect()
        self.before = status_mb("VmRSS")

    def grown_mb(self) -> float:
        return max(0.0, status_mb("VmHWM") - self.before)


def processor_ms(action: Callable[[], Result]) -> tuple[float, Result]:
    """Milliseconds of this process' processor time, and what the action returned."""
    began = time.process_time()
    result = action()
    return (time.process_time() - began) * 1000, result
