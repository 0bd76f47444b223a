"""The one clock: Unix time that never steps.

Times and durations are integers of ticks; a tick is a tenth of a millisecond.
"""

import time

Ticks = int

SECOND: Ticks = 10_000
TICK_NS = 100_000


class Clock:
    """Unix time in ticks; a correction of the wall clock does not move it."""

    def __init__(self) -> None:
        # Wall time is read once; what passes since is monotonic, so a corrected wall clock moves nothing.
        self._base = time.time_ns() - time.monotonic_ns()

    @staticmethod
    def wall() -> Ticks:
        """Returns the Unix time of the system, which may have stepped."""
        return time.time_ns() // TICK_NS

    def follow(self, now: Ticks) -> None:
        """Continues another clock, whose time is `now`."""
        self._base += now * TICK_NS - (self._base + time.monotonic_ns())

    def now(self) -> Ticks:
        """Returns the time."""
        return (self._base + time.monotonic_ns()) // TICK_NS
