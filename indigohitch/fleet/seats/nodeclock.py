"""A job's end by the clock of the server that runs it, and the server's own check.  No I/O.

A server sends its boot id and its monotonic clock with every response.  From such a reading a holder knows
the least that the clock has reached: clocks with a bound on drift differ by that share of the time since.  So
a job that must end by an instant of the holder gets a server time that surely comes before it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .contract import Given, Pass


@dataclass(slots=True)
class Reading:
    """A reading of a server's clock."""

    boot: str
    clock: int  # the server's, read before it answered
    at: int  # the holder's, when the answer had come


class Nodes:
    """The last reading of each server, at one holder.

    `drift`: the largest difference of two clocks, as a share.
    """

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.readings: dict[str, Reading] = {}

    def heard(self, server: str, boot: str, clock: int, now: int) -> None:
        """Keeps a reading if it is newer."""
        known = self.readings.get(server)
        if known is None or known.boot != boot or clock > known.clock:  # answers may cross
            self.readings[server] = Reading(boot, clock, now)

    def end(self, server: str, until: int) -> tuple[str, int]:
        """Returns the boot id and the server time that comes before the holder's `until`.

        ("", 0) for a server without a reading: it refuses this, and its response has a reading.
        """
        known = self.readings.get(server)
        if known is None:
            return "", 0
        return known.boot, known.clock + int(max(0, until - known.at) * (1 - self.drift))


class Verdict(enum.Enum):
    """The server's decision; LATE and UNREAD tell the holder that nothing runs there."""

    TAKEN = "taken"
    UNREAD = "unread"  # from one that has not heard this server's clock yet
    LATE = "late"  # its end has passed, or it is of another boot
    OLD = "old"  # the seat has been given again since
    TWICE = "twice"  # this very giving has been here

    @property
    def unrun(self) -> bool:
        """Whether nothing of this use of the seat runs on the server."""
        return self in (Verdict.UNREAD, Verdict.LATE)


class Meter:
    """At a server: which seats its jobs use.

    A late job is refused, and a job ends at its end.  What it has seen is forgotten with its boot id, so
    nothing from before is accepted afterwards.
    """

    SWEPT = 1024  # stamps kept before those whose end has passed are looked for

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.sweep_at = self.SWEPT
        self.last: dict[tuple[str, int], tuple[int, int]] = {}  # by seat: the greatest (counter, use)
        self.seen: dict[tuple[str, int, int], int] = {}  # by stamp: its end, after which it is late
        self.jobs: dict[int, Pass] = {}
        self.serial = 0
        self.refused = dict.fromkeys(Verdict, 0)

    def takes(self, now: int, shown: Pass) -> tuple[Verdict, int]:
        """Returns the verdict and, if it is TAKEN, the job's number.

        `now` is the server's monotonic clock.
        """
        verdict = self.verdict(now, shown)
        self.refused[verdict] += verdict is not Verdict.TAKEN
        if verdict is not Verdict.TAKEN:
            return verdict, 0
        given = shown.given
        self.last[given.feature, given.number] = (given.counter, given.use)
        self.seen[self.name_of(shown)] = shown.until
        self.serial += 1
        self.jobs[self.serial] = shown
        return verdict, self.serial

    def verdict(self, now: int, shown: Pass) -> Verdict:
        """Returns whether the job may run."""
        given = shown.given
        last = self.last.get((shown.given.feature, shown.given.number))
        if not shown.boot:
            return Verdict.UNREAD
        if shown.boot != self.boot or now >= shown.until:
            return Verdict.LATE
        if last is not None and (given.counter, given.use) < last:
            return Verdict.OLD
        if self.name_of(shown) in self.seen or last == (given.counter, given.use) and not given.shared:
            return Verdict.TWICE
        return Verdict.TAKEN

    @staticmethod
    def name_of(shown: Pass) -> tuple[str, int, int]:
        """Returns the identity of a stamp."""
        return shown.stamp.member, shown.stamp.incarnation, shown.stamp.number

    def ended(self, job: int) -> bool:
        """Returns whether the job was running; it is not after this."""
        return self.jobs.pop(job, None) is not None

    def overdue(self, now: int) -> list[int]:
        """Returns jobs whose end has come; they have to be ended now."""
        over = [job for job, shown in self.jobs.items() if now >= shown.until]
        for job in over:
            del self.jobs[job]
        if len(self.seen) > self.sweep_at:
            self.seen = {name: until for name, until in self.seen.items() if until > now}
            self.sweep_at = max(self.SWEPT, 2 * len(self.seen))
        return over

    def in_use(self, feature: str) -> set[int]:
        """Returns the numbers of seats of a feature that jobs use."""
        return {shown.given.number for shown in self.jobs.values() if shown.given.feature == feature}


def header(shown: Pass) -> str:
    """Returns `feature number counter use shared boot until member incarnation term version number`."""
    given = shown.given
    stamp = shown.stamp
    return " ".join(
        map(
            str,
            (
                given.feature,
                given.number,
                given.counter,
                given.use,
                int(given.shared),
                shown.boot or "-",
                shown.until,
                stamp.member,
                stamp.incarnation,
                stamp.term,
                stamp.version,
                stamp.number,
            ),
        )
    )


def read(text: str) -> Pass | None:
    """Parses a header; None if it is invalid."""
    from ..types import Stamp

    fields = text.split()
    try:
        feature, number, counter, use, shared, boot, until, member, *stamp = fields
        return Pass(
            Given(feature, int(number), int(counter), int(use), shared == "1"),
            "" if boot == "-" else boot,
            int(until),
            Stamp(member, *map(int, stamp)),
        )
    except (ValueError, TypeError):
        return None
