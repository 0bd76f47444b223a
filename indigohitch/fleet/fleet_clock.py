"""Fleet time: Unix time as the ledger has agreed on it.  No I/O.

The leader proposes the median of the voters' wall clocks, once a second; one member's clock that jumps moves
nothing.  Between two ticks each member goes on by its own monotonic clock.  What is agreed on never goes
back, and is slewed: it runs faster or slower than the leader's monotonic clock by at most 1 in `SLEW`."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import msgspec

from ..encoding.rows import Row
from ..errors import InvalidRequestError
from ..net.clock import SECOND
from .interfaces import EntryContext, ProposalRequest
from .types import Lease, LogEntry, Outcome

TICK = SECOND  # tariffs go by minutes, contracts end by the second
# A clock that is off by a second is right again after 200; a span of fleet time is true to half of a percent.
SLEW_DIVISOR = 200
MAX_READING_AGE = 10 * SECOND  # some renewals of the longest usual lease: an older reading is no reading
PROPOSAL_TIMEOUT = 5 * SECOND  # a tick that came to nothing by then is proposed anew
STEADY_TOLERANCE = SECOND // 2  # two ticks as far apart as they were heard, within this: they came live
# Ways only ever make a tick late: the earliest one counts, and is given up for later ones at 1 in `FADE`,
# faster than a leader slows down.
FADE_DIVISOR = 50


class ClockTick(Row, frozen=True):
    time: int  # Unix time, tenths of a ms


class FleetClockRow(Row):
    time: int


class FleetClock:
    """The part `hours` of the state machine."""

    name = "hours"
    kinds = {"tick": ClockTick}

    def __init__(self) -> None:
        self.time = 0
        self.state_machine = None

    def apply(self, at: EntryContext, word: str, body: ClockTick) -> int:
        """Raises Unfit for a tick that is not later than the last."""
        if body.time <= self.time:
            raise InvalidRequestError(
                "fleet time does not go back", remedy="nothing: the next tick is on its way"
            )
        self.time = body.time
        return self.time

    def row(self) -> FleetClockRow:
        return FleetClockRow(self.time)

    def restore(self, row: bytes) -> None:
        self.time = msgspec.msgpack.decode(row, type=FleetClockRow).time


class RunningClock:
    """Fleet time in one process: the last tick, and what passed since by its monotonic clock."""

    def __init__(self) -> None:
        self.time, self.heard = 0, 0
        self.steady = False  # ticks come as they are proposed: this is no old log being read
        self._last, self._shown = (0, 0), 0

    def tick(self, time: int, heard: int, own: bool = False) -> None:
        """`own`: `heard` is when this member proposed it, and not late at all."""
        passed = max(0, heard - self.heard)
        self.steady = abs((time - self._last[0]) - (heard - self._last[1])) <= STEADY_TOLERANCE
        self._last = time, heard
        if not own:
            time = max(time, self.time + passed - passed // FADE_DIVISOR)
        self.time, self.heard = time, heard

    def forget(self, time: int, now: int) -> None:
        """From a snapshot or the disk: nobody knows how old."""
        self.time, self.heard, self.steady, self._last = time, now, False, (time, now)

    def at(self, now: int) -> int:
        """Never back; 0 before any is known.  Not ahead of the leader's by more than the drift since the
        last tick; behind it by the way of that tick."""
        if self.time:
            self._shown = max(self._shown, self.time + max(0, now - self.heard))
        return self._shown


def median_readings(walls: list[int]) -> tuple[int, int]:
    """The two readings that the median may lie between; one and the same if their number is odd."""
    ordered = sorted(walls)
    return ordered[(len(ordered) - 1) // 2], ordered[len(ordered) // 2]


def next_fleet_time(
    now: int, running: RunningClock, readings: Mapping[str, tuple[int, int]], voters: Collection[str]
) -> int | None:
    """The fleet time to propose, or None while fewer than a majority of `voters` can be read.

    `readings`: by member its wall clock and the own monotonic time when that came.  Where the number of
    readings is even, the fleet time that runs decides between the two in the middle: of two clocks the one
    that jumped is not followed."""
    walls = [
        wall + now - came
        for name, (wall, came) in sorted(readings.items())
        if name in voters and now - came <= MAX_READING_AGE
    ]
    if 2 * len(walls) <= len(voters):
        return None
    low, high = median_readings(walls)
    passed = max(0, now - running.heard)
    on = running.time + passed
    if not running.time or not running.steady:
        # Nobody here knows how long ago the last tick was (the whole fleet was away): the clocks say.
        return max(low, on if running.time else 0, running.time + 1)
    most = passed // SLEW_DIVISOR
    return max(on + max(-most, min(most, min(max(on, low), high) - on)), running.time + 1)


class ClockReading(Row, frozen=True):
    """What a member tells with each renewal."""

    wall: int
    number: int = 0  # grows: a reading that was heard before is known by it


class FleetClockWork:
    """Fleet time in a member's process.  `wall`: its wall clock, Unix time in tenths of a ms; `voters`: the
    names of those that vote; `me`: this member's."""

    name = "hours"

    def __init__(
        self, part: FleetClock, me: str, wall: Callable[[], int], voters: Callable[[], Collection[str]]
    ) -> None:
        self.part, self.me, self.wall, self.voters = part, me, wall, voters
        self.running = RunningClock()
        self.readings: dict[str, tuple[int, int]] = {}
        self._seen: dict[str, bytes] = {}
        self._out: tuple[int, int] | None = None  # the tick proposed, and when
        self._number = 0

    def time(self, now: int) -> int:
        """Fleet time, 0 before any was agreed on."""
        return self.running.at(now)

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        if entry.kind == "hours.tick" and not outcome.rejection and not outcome.is_duplicate:
            time = msgspec.msgpack.decode(entry.body, type=ClockTick).time
            # The leader counts from when it read the clocks: the way of a tick must not add up.
            own = self._out is not None and self._out[0] == time
            self.running.tick(time, self._out[1] if own else now, own)
            if own:
                self._out = None
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        self._out = None
        self.running.forget(self.part.time, now)
        return []

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        if outcome is not None and outcome.rejection:
            self._out = None
        return []

    def report(self, now: int) -> bytes:
        self._number += 1
        return msgspec.msgpack.encode(ClockReading(self.wall(), self._number))

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        for name, report in reports.items():
            if self._seen.get(name) != report:
                self._seen[name] = report
                try:
                    self.readings[name] = msgspec.msgpack.decode(report, type=ClockReading).wall, now
                except msgspec.MsgspecError:  # a spoilt report is no reading
                    self.readings.pop(name, None)
        for name in [name for name in self.readings if name not in reports]:
            del self.readings[name], self._seen[name]
        if self.me in self.voters():
            self.readings[self.me], self._seen[self.me] = (self.wall(), now), b""
        if self._out is not None and now - self._out[1] < PROPOSAL_TIMEOUT:
            return []
        if self.running.time and now - self.running.heard < TICK:
            return []
        time = next_fleet_time(now, self.running, self.readings, self.voters())
        if time is None or time <= self.part.time:
            return []
        self._out = (time, now)
        return [ProposalRequest("hours.tick", ClockTick(time), "tick")]

    def figures(self) -> dict:
        return {"time": self.part.time, "steady": self.running.steady, "readings": len(self.readings)}
