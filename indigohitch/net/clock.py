"""The clock of the process: Unix time that never steps.

Times and durations are integer numbers of ticks; a tick is 0.1 ms.
"""

import time

Ticks = int

SECOND: Ticks = 10_000
TICK_NS = 100_000


class Clock:
    """Counts Unix time in ticks; a correction of the wall clock does not change it."""

    def __init__(self) -> None:
        # The wall clock is read once and later times follow the monotonic clock, so a step of the wall
        # clock has no effect.
        self._base = time.time_ns() - time.monotonic_ns()

    @staticmethod
    def wall() -> Ticks:
        """Returns the Unix time of the wall clock, which may step."""
        return time.time_ns() // TICK_NS

    def follow(self, now: Ticks) -> None:
        """Sets the time to `now`, the time of the clock that this one continues."""
        self._base += now * TICK_NS - (self._base + time.monotonic_ns())

    def now(self) -> Ticks:
        """Returns the Unix time in ticks, which never steps."""
        return (self._base + time.monotonic_ns()) // TICK_NS
