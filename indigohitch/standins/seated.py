"""The licensed software at a stand-in server: takes RPCs by their seats, ends jobs at their end, and writes
down each beginning and end by the machine's monotonic clock, which a proof merges into the truth of all.

    + NS JOB FEATURE NUMBER COUNTER USE SHARED MEMBER   a job began
    - NS JOB                                            it is over
    - NS JOB UNTIL                                      it was ended here, as its seat was its until UNTIL

A server that got no processor writes the last one late: no job of it ran meanwhile, and UNTIL counts."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable

from ..fleet.seats.server_clock import Meter, Verdict, parse_pass
from ..net.loop import EventLoop


class Seated:
    def __init__(self, loop: EventLoop, paths: tuple[str, ...], log: str) -> None:
        """`paths`: RPCs whose path begins so need a seat.  Raises OSError for a log that can't be had."""
        self.loop, self.paths = loop, tuple(path.encode() for path in paths)
        self.meter = Meter(f"{os.getpid():x}-{secrets.token_hex(4)}")
        self.out = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self.cuts: dict[int, tuple[Callable[[], None], int]] = {}  # and until when, ns

    @staticmethod
    def clock() -> int:
        return time.monotonic_ns() // 100_000

    def told(self) -> bytes:
        """For the head of each answer."""
        return b"X-Node: %b %d\r\n" % (self.meter.boot.encode(), self.clock())

    def needs(self, target: bytes) -> bool:
        return target.startswith(self.paths)

    def begin(self, raw: bytes | None, cut: Callable[[], None]) -> tuple[int, bytes]:
        """The job's number, or 0 and the line that says why not.  `cut` is called where it is ended here."""
        self.sweep()
        now, shown = self.clock(), parse_pass(raw.decode("latin-1")) if raw else None
        verdict, job = self.meter.admit(now, shown) if shown is not None else (Verdict.CLOCK_UNKNOWN, 0)
        if verdict is not Verdict.ACCEPTED:
            return 0, b"X-Seat-Refused: %b\r\n" % verdict.value.encode()
        g = shown.given
        self.note(
            f"+ {time.monotonic_ns()} {job} {g.feature} {g.number} {g.counter} {g.use} {g.shared:d} "
            f"{shown.stamp.member}"
        )
        self.cuts[job] = cut, shown.until * 100_000
        self.loop.call_after(shown.until - now, self.sweep)
        return job, b""

    def end(self, job: int) -> bool:
        """False: it was ended before."""
        self.sweep()
        if not self.meter.ended(job):
            return False
        self.note(f"- {time.monotonic_ns()} {job}")
        del self.cuts[job]
        return True

    def sweep(self) -> None:
        for job in self.meter.overdue(self.clock()):
            cut, until = self.cuts.pop(job)
            self.note(f"- {time.monotonic_ns()} {job} {until}")
            cut()

    def note(self, line: str) -> None:
        os.write(self.out, f"{line}\n".encode())

    def figures(self) -> dict:
        return {
            "refused": {verdict.value: count for verdict, count in self.meter.refused.items() if count},
            "running": len(self.meter.jobs),
        }
