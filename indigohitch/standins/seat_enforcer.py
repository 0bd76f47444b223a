"""The licensed software of a stand-in server: accepts RPCs by their seats and ends jobs when their seats end.

It logs each start and end of a job with the machine's monotonic clock in ns.  A proof merges these logs into
the true order of events over all servers:

    + NS JOB FEATURE NUMBER COUNTER USE SHARED MEMBER   a job began
    - NS JOB                                            it has ended
    - NS JOB UNTIL                                      it was ended here: its seat was valid until UNTIL

A server that got no processor time writes the last kind of line late.  No job of it ran meanwhile, so UNTIL
is the time that counts.
"""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable

from ..fleet.seats.server_clock import Meter, Verdict, parse_pass
from ..net.loop import EventLoop


class SeatEnforcer:
    """Admits the jobs of licensed RPCs, and logs and ends them."""

    def __init__(self, loop: EventLoop, paths: tuple[str, ...], log: str) -> None:
        """RPCs to paths with a prefix in `paths` need a seat.  Raises OSError if `log` can't be opened."""
        self.loop, self.paths = loop, tuple(path.encode() for path in paths)
        self.meter = Meter(f"{os.getpid():x}-{secrets.token_hex(4)}")
        self.log_descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        # By job: the function that aborts it, and the end of its seat in ns.
        self.running: dict[int, tuple[Callable[[], None], int]] = {}

    @staticmethod
    def clock() -> int:
        """Returns the monotonic time in tenths of a ms, the unit in which seat passes state deadlines."""
        return time.monotonic_ns() // 100_000

    def clock_header(self) -> bytes:
        """Returns the header, for each answer, that states the server's boot and clock."""
        return b"X-Node: %b %d\r\n" % (self.meter.boot.encode(), self.clock())

    def needs_seat(self, target: bytes) -> bool:
        """Returns whether an RPC to `target` needs a seat."""
        return target.startswith(self.paths)

    def begin(self, raw: bytes | None, abort: Callable[[], None]) -> tuple[int, bytes]:
        """Returns the job's number, or 0 and the header that says why it was refused.

        `abort` is called if the seat ends before the job does.
        """
        self.end_overdue()
        now, seat_pass = self.clock(), parse_pass(raw.decode("latin-1")) if raw else None
        verdict, job = (
            self.meter.admit(now, seat_pass) if seat_pass is not None else (Verdict.CLOCK_UNKNOWN, 0)
        )
        if verdict is not Verdict.ACCEPTED:
            return 0, b"X-Seat-Refused: %b\r\n" % verdict.value.encode()
        seat = seat_pass.given
        self.write_line(
            f"+ {time.monotonic_ns()} {job} {seat.feature} {seat.number} {seat.counter} {seat.use} "
            f"{seat.shared:d} {seat_pass.stamp.member}"
        )
        self.running[job] = abort, seat_pass.until * 100_000
        self.loop.call_after(seat_pass.until - now, self.end_overdue)
        return job, b""

    def end(self, job: int) -> bool:
        """Ends the job; returns False if it was ended before, at the end of its seat."""
        self.end_overdue()
        if not self.meter.ended(job):
            return False
        self.write_line(f"- {time.monotonic_ns()} {job}")
        del self.running[job]
        return True

    def end_overdue(self) -> None:
        """Aborts the jobs whose seats have ended."""
        for job in self.meter.overdue(self.clock()):
            abort, until = self.running.pop(job)
            self.write_line(f"- {time.monotonic_ns()} {job} {until}")
            abort()

    def write_line(self, line: str) -> None:
        """Appends a line to the log."""
        os.write(self.log_descriptor, f"{line}\n".encode())

    def figures(self) -> dict:
        """Returns the refusals by reason and the number of running jobs."""
        return {
            "refused": {verdict.value: count for verdict, count in self.meter.refused.items() if count},
            "running": len(self.meter.jobs),
        }
