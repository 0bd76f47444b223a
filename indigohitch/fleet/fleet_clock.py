"""Fleet time: Unix time as agreed on in the replicated log.  No I/O.

Once a second the leader proposes the median of the voters' wall clocks, so that a single clock that jumps has
no effect.  Between two ticks each member extrapolates with its own monotonic clock.  Agreed time never goes
back, and it is slewed: its rate differs from that of the leader's monotonic clock by at most 1 in
`SLEW_DIVISOR`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import msgspec

from ..encoding.rows import Row
from ..errors import InvalidRequestError
from ..net.clock import SECOND
from .interfaces import EntryContext, ProposalRequest
from .types import Lease, LogEntry, Outcome

TICK_INTERVAL = SECOND  # tariffs change by the minute, contracts end at a given second
# An offset of one second is corrected within 200 s; a duration in fleet time is accurate to half a percent.
SLEW_DIVISOR = 200
MAX_READING_AGE = 10 * SECOND  # several renewals of the longest usual lease; older readings are ignored
PROPOSAL_TIMEOUT = 5 * SECOND  # a tick that has not been applied by then is proposed again
# Two ticks are live if their times and their arrivals are equally far apart, within this tolerance.
LIVE_TICK_TOLERANCE = SECOND // 2
# Delivery can only delay a tick, so the one that arrived with the least delay is the reference.  It yields to
# later ones by 1 in 50 of the elapsed time, which is faster than a leader's fleet time can slow down.
REFERENCE_DECAY_DIVISOR = 50


class ClockTick(Row, frozen=True):
    """Body of an `hours.tick` entry: the fleet time that the leader proposes."""

    time: int  # Unix time, tenths of a ms


class FleetClockRow(Row):
    """The fleet clock in a snapshot of the state machine."""

    time: int  # Unix time, tenths of a ms; 0: not agreed on yet


class FleetClock:
    """The state machine part `hours`: the last fleet time that was agreed on."""

    name = "hours"
    kinds = {"tick": ClockTick}

    def __init__(self) -> None:
        self.time = 0
        self.state_machine = None

    def apply(self, at: EntryContext, word: str, body: ClockTick) -> int:
        """Sets and returns the fleet time; raises InvalidRequestError unless it is later than the last."""
        if body.time <= self.time:
            raise InvalidRequestError(
                "fleet time does not go back", remedy="none needed: the leader proposes the next tick"
            )
        self.time = body.time
        return self.time

    def row(self) -> FleetClockRow:
        """Returns the state to put into a snapshot."""
        return FleetClockRow(self.time)

    def restore(self, row: bytes) -> None:
        """Replaces the state by that of a snapshot; raises msgspec.MsgspecError if it can't be decoded."""
        self.time = msgspec.msgpack.decode(row, type=FleetClockRow).time


class ExtrapolatedClock:
    """Fleet time in one process: the reference tick plus the monotonic time elapsed since it arrived."""

    def __init__(self) -> None:
        self.time = 0
        self.received_at = 0
        self.is_live = False  # ticks arrive at the rate at which they were proposed: no old log is replayed
        self._last_tick = (0, 0)
        self._last_returned = 0

    def tick(self, time: int, received_at: int, own: bool = False) -> None:
        """Takes a tick into account; `own`: this member proposed it at `received_at`, so it has no delay."""
        elapsed = max(0, received_at - self.received_at)
        self.is_live = (
            abs((time - self._last_tick[0]) - (received_at - self._last_tick[1])) <= LIVE_TICK_TOLERANCE
        )
        self._last_tick = time, received_at
        if not own:
            time = max(time, self.time + elapsed - elapsed // REFERENCE_DECAY_DIVISOR)
        self.time = time
        self.received_at = received_at

    def reset(self, time: int, now: int) -> None:
        """Sets the time from a snapshot or the disk, whose age is unknown."""
        self.time = time
        self.received_at = now
        self.is_live = False
        self._last_tick = (time, now)

    def at(self, now: int) -> int:
        """Returns fleet time, which never goes back; 0 before any is known.

        It is ahead of the leader's by at most the drift since the last tick, and behind it by at most the
        delivery delay of that tick.
        """
        if self.time:
            self._last_returned = max(self._last_returned, self.time + max(0, now - self.received_at))
        return self._last_returned


def median_readings(wall_times: list[int]) -> tuple[int, int]:
    """Returns the two readings that enclose the median; they are the same one if their number is odd."""
    ordered = sorted(wall_times)
    return ordered[(len(ordered) - 1) // 2], ordered[len(ordered) // 2]


def next_fleet_time(
    now: int, clock: ExtrapolatedClock, readings: Mapping[str, tuple[int, int]], voters: Collection[str]
) -> int | None:
    """Returns the fleet time to propose, or None while fewer than a majority of `voters` can be read.

    `readings`: by member its wall clock, and the local monotonic time at which that arrived.  If their number
    is even, the extrapolated fleet time decides between the two middle ones: of two clocks, the one that has
    jumped is not followed.
    """
    wall_times = [
        wall + now - received_at
        for name, (wall, received_at) in sorted(readings.items())
        if name in voters and now - received_at <= MAX_READING_AGE
    ]
    if 2 * len(wall_times) <= len(voters):
        return None
    low, high = median_readings(wall_times)
    elapsed = max(0, now - clock.received_at)
    expected = clock.time + elapsed
    if not clock.time or not clock.is_live:
        # The age of the last tick is unknown here (all members were down): the wall clocks decide.
        return max(low, expected if clock.time else 0, clock.time + 1)
    max_slew = elapsed // SLEW_DIVISOR
    return max(
        expected + max(-max_slew, min(max_slew, min(max(expected, low), high) - expected)), clock.time + 1
    )


class ClockReading(Row, frozen=True):
    """A member's wall clock, as it reports it with each renewal of its lease."""

    wall: int  # Unix time, tenths of a ms
    number: int = 0  # increases with each report, so that a reading that was received before is recognized


class FleetClockWork:
    """Fleet time in a member's process.

    `member_name`: this member's name; `wall`: its wall clock, Unix time in tenths of a ms; `voters`: returns
    the names of the voters.
    """

    name = "hours"

    def __init__(
        self,
        part: FleetClock,
        member_name: str,
        wall: Callable[[], int],
        voters: Callable[[], Collection[str]],
    ) -> None:
        self.part = part
        self.member_name = member_name
        self.wall = wall
        self.voters = voters
        self.clock = ExtrapolatedClock()
        self.readings: dict[str, tuple[int, int]] = {}
        self._last_reports: dict[str, bytes] = {}
        self._proposed: tuple[int, int] | None = None  # the pending tick, and when it was proposed
        self._number = 0

    def time(self, now: int) -> int:
        """Returns fleet time, 0 before any was agreed on."""
        return self.clock.at(now)

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Sets the clock by a tick that took effect."""
        if entry.kind == "hours.tick" and not outcome.rejection and not outcome.is_duplicate:
            time = msgspec.msgpack.decode(entry.body, type=ClockTick).time
            # The leader counts from when it read the clocks, so that the delays of ticks don't add up.
            own = self._proposed is not None and self._proposed[0] == time
            self.clock.tick(time, self._proposed[1] if own else now, own)
            if own:
                self._proposed = None
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Sets the clock by a snapshot, whose age is unknown."""
        self._proposed = None
        self.clock.reset(self.part.time, now)
        return []

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Returns no proposals: only the leader proposes ticks, in `lead`."""
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Lets the next tick be proposed at once if this one was rejected.

        A tick whose outcome is unknown stays pending for `PROPOSAL_TIMEOUT`.
        """
        if outcome is not None and outcome.rejection:
            self._proposed = None
        return []

    def report(self, now: int) -> bytes:
        """Returns the msgpack of a `ClockReading`."""
        self._number += 1
        return msgspec.msgpack.encode(ClockReading(self.wall(), self._number))

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Returns the next tick, at most one per `TICK_INTERVAL`, if a majority of voters has readings.

        A report that can't be decoded removes the reading of its member.
        """
        for name, report in reports.items():
            if self._last_reports.get(name) != report:
                self._last_reports[name] = report
                try:
                    self.readings[name] = msgspec.msgpack.decode(report, type=ClockReading).wall, now
                except msgspec.MsgspecError:
                    self.readings.pop(name, None)
        for name in [name for name in self.readings if name not in reports]:
            del self.readings[name], self._last_reports[name]
        if self.member_name in self.voters():
            self.readings[self.member_name] = (self.wall(), now)
            self._last_reports[self.member_name] = b""
        if self._proposed is not None and now - self._proposed[1] < PROPOSAL_TIMEOUT:
            return []
        if self.clock.time and now - self.clock.received_at < TICK_INTERVAL:
            return []
        time = next_fleet_time(now, self.clock, self.readings, self.voters())
        if time is None or time <= self.part.time:
            return []
        self._proposed = (time, now)
        return [ProposalRequest("hours.tick", ClockTick(time), "tick")]

    def figures(self) -> dict:
        """Returns the agreed time, whether ticks arrive live, and of how many members a reading is known."""
        return {"time": self.part.time, "steady": self.clock.is_live, "readings": len(self.readings)}
