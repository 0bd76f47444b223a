"""Converts the end of a job to the clock of its server, which checks and enforces it.  No I/O.

A server sends its boot id and its monotonic clock with every response.  From such a reading the holder of a
seat computes a lower bound of the server's clock at a later time, as the drift between the two clocks is
bounded.  So a job that must end by some time of the holder gets a server time that is certainly reached
before.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .contract import Pass, SeatUse


@dataclass(slots=True)
class Reading:
    """A reading of a server's clock."""

    boot: str
    clock: int  # the server's clock, read before it sent the response
    at: int  # the holder's clock when it had received the response


class ServerClocks:
    """The last clock reading of each server, at one holder of seats.

    `drift`: the largest relative drift between two clocks.
    """

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.readings: dict[str, Reading] = {}

    def heard(self, server: str, boot: str, clock: int, now: int) -> None:
        """Records a reading if it is newer than the known one."""
        known = self.readings.get(server)
        if known is None or known.boot != boot or clock > known.clock:  # responses may arrive out of order
            self.readings[server] = Reading(boot, clock, now)

    def server_deadline(self, server: str, until: int) -> tuple[str, int]:
        """Returns the server's boot id and a time of its clock that it reaches before the holder's `until`.

        Returns ("", 0) for a server without a reading: it refuses such a job, and its response has a reading.
        """
        known = self.readings.get(server)
        if known is None:
            return "", 0
        return known.boot, known.clock + int(max(0, until - known.at) * (1 - self.drift))


class Verdict(enum.Enum):
    """The server's decision on a job; some refusals tell the holder that nothing of the job runs there."""

    ACCEPTED = "taken"
    CLOCK_UNKNOWN = "unread"  # the holder has no reading of this server's clock yet
    EXPIRED = "late"  # the end of the job has passed, or the pass is for another boot of the server
    SUPERSEDED = "old"  # a later use of the same seat has been seen
    DUPLICATE = "twice"  # this allocation has been used here before

    @property
    def did_not_run(self) -> bool:
        """Returns whether it is certain that no job runs on the server under this pass."""
        return self in (Verdict.CLOCK_UNKNOWN, Verdict.EXPIRED)


class Meter:
    """Tracks at a server which seats its jobs use.

    A job that arrives after its end is refused, and a running job is ended at its end.  The records are lost
    when the server restarts; its boot id then differs, so that no pass from before the restart is accepted.
    """

    MIN_STAMPS_TO_SWEEP = 1024  # stamps kept before those whose end has passed are dropped

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.sweep_at = self.MIN_STAMPS_TO_SWEEP
        self.last_uses: dict[tuple[str, int], tuple[int, int]] = {}  # by seat: the highest (counter, use)
        self.seen_stamps: dict[tuple[str, int, int], int] = {}  # by stamp: the end of the job
        self.jobs: dict[int, Pass] = {}
        self.last_job = 0
        self.refused = dict.fromkeys(Verdict, 0)

    def admit(self, now: int, seat_pass: Pass) -> tuple[Verdict, int]:
        """Returns the verdict and the number of the job, 0 if the job is refused.

        `now`: the server's monotonic clock.
        """
        verdict = self.verdict(now, seat_pass)
        self.refused[verdict] += verdict is not Verdict.ACCEPTED
        if verdict is not Verdict.ACCEPTED:
            return verdict, 0
        given = seat_pass.given
        self.last_uses[given.feature, given.number] = (given.counter, given.use)
        self.seen_stamps[self.stamp_key(seat_pass)] = seat_pass.until
        self.last_job += 1
        self.jobs[self.last_job] = seat_pass
        return verdict, self.last_job

    def verdict(self, now: int, seat_pass: Pass) -> Verdict:
        """Returns whether the job may run, or why not."""
        given = seat_pass.given
        last = self.last_uses.get((seat_pass.given.feature, seat_pass.given.number))
        if not seat_pass.boot:
            return Verdict.CLOCK_UNKNOWN
        if seat_pass.boot != self.boot or now >= seat_pass.until:
            return Verdict.EXPIRED
        if last is not None and (given.counter, given.use) < last:
            return Verdict.SUPERSEDED
        if (
            self.stamp_key(seat_pass) in self.seen_stamps
            or last == (given.counter, given.use)
            and not given.shared
        ):
            return Verdict.DUPLICATE
        return Verdict.ACCEPTED

    @staticmethod
    def stamp_key(seat_pass: Pass) -> tuple[str, int, int]:
        """Returns the identity of the pass's stamp."""
        return seat_pass.stamp.member, seat_pass.stamp.incarnation, seat_pass.stamp.number

    def ended(self, job: int) -> bool:
        """Removes a job that has ended; returns False if it was not running any more."""
        return self.jobs.pop(job, None) is not None

    def overdue(self, now: int) -> list[int]:
        """Removes and returns the jobs whose end has come; the caller has to end them now."""
        ended = [job for job, seat_pass in self.jobs.items() if now >= seat_pass.until]
        for job in ended:
            del self.jobs[job]
        if len(self.seen_stamps) > self.sweep_at:
            self.seen_stamps = {stamp: until for stamp, until in self.seen_stamps.items() if until > now}
            self.sweep_at = max(self.MIN_STAMPS_TO_SWEEP, 2 * len(self.seen_stamps))
        return ended

    def in_use(self, feature: str) -> set[int]:
        """Returns the numbers of the feature's seats that jobs use here."""
        return {
            seat_pass.given.number for seat_pass in self.jobs.values() if seat_pass.given.feature == feature
        }


def format_pass(seat_pass: Pass) -> str:
    """Encodes a pass as the value of a header, fields separated by spaces.

    The fields: `feature number counter use shared boot until member incarnation term version number`.
    """
    given = seat_pass.given
    stamp = seat_pass.stamp
    return " ".join(
        map(
            str,
            (
                given.feature,
                given.number,
                given.counter,
                given.use,
                int(given.shared),
                seat_pass.boot or "-",
                seat_pass.until,
                stamp.member,
                stamp.incarnation,
                stamp.term,
                stamp.version,
                stamp.number,
            ),
        )
    )


def parse_pass(text: str) -> Pass | None:
    """Parses a pass from the value of a header; returns None if it is invalid."""
    from ..types import Stamp

    fields = text.split()
    try:
        feature, number, counter, use, shared, boot, until, member, *stamp = fields
        return Pass(
            SeatUse(feature, int(number), int(counter), int(use), shared == "1"),
            "" if boot == "-" else boot,
            int(until),
            Stamp(member, *map(int, stamp)),
        )
    except (ValueError, TypeError):
        return None
