"""The one clock: Unix time in whole tenths of a millisecond that never steps."""

import time

SECOND = 10_000  # the unit of every span: tenths of a millisecond


class Clock:
    def __init__(self) -> None:
        # Wall time is read once; what passes since is monotonic, so a corrected wall clock moves nothing.
        self._base = time.time_ns() - time.monotonic_ns()

    @staticmethod
    def wall() -> int:
        """Unix time as the system has it now, which may have stepped."""
        return time.time_ns() // 100_000

    def follow(self, now: int) -> None:
        """Go on with another clock, which says `now`."""
        self._base += now * 100_000 - (self._base + time.monotonic_ns())

    def now(self) -> int:
        return (self._base + time.monotonic_ns()) // 100_000
