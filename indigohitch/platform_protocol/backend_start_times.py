"""Converts the start times of backends from the wall clock, which may step, to this process's clock.

The process's clock reads the wall clock once and never steps (net/clock.py).  A start time is converted by
the age of the backend when the time is first reported; the same time reported again keeps its conversion.
If the wall clock stepped between the start and its report, the result can be impossible: a backend missing
from the previous list can't have started long before that list, nor in the future.  Such a backend counts
as started now, so it is treated as colder than it is.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .. import interface as face
from ..net.clock import SECOND


@dataclass(slots=True, frozen=True)
class BackendStart:
    """Holds the start time of one backend on both clocks, in ticks."""

    reported_at: int  # the start time by the wall clock
    started_at: int  # the start time by this process's clock


class BackendStartTimes:
    """Keeps the known start times of backends, least recently listed first."""

    # From a start to the list that reports it: discovery reports it within 6 s, and a request may queue.
    MAX_REPORT_DELAY = 10 * SECOND
    MAX_REMOVED = 256  # removed backends that are kept, as many as the decision module keeps

    def __init__(self) -> None:
        self.starts_by_backend: dict[str, BackendStart] = {}
        self.last_list_at = 0  # when the last list from discovery arrived; 0 before the first

    def to_local_clock(self, update: face.BackendList, now: int, wall_now: int) -> face.BackendList:
        """Return the list with start times by this process's clock.

        `now` and `wall_now` tell, in ticks, when the list arrived by this process's and by the wall clock.
        """
        if update.scope == "failed":
            return update
        entries = tuple(
            replace(entry, started_at=self._convert_start(entry, now, wall_now)) for entry in update.entries
        )
        if update.scope != "remembered":
            self.last_list_at = now
        self._forget_removed(update)
        return replace(update, entries=entries)

    def _convert_start(self, entry: face.BackendEntry, now: int, wall_now: int) -> int:
        if not entry.started_at:
            return 0  # started long ago
        known = self.starts_by_backend.pop(entry.backend, None)
        if known is None or known.reported_at != entry.started_at:
            known = BackendStart(
                entry.started_at, self._convert_new_start(entry.started_at, known, now, wall_now)
            )
        self.starts_by_backend[entry.backend] = known  # moved to the end: most recently listed
        return known.started_at

    def _convert_new_start(
        self, reported_at: int, previous: BackendStart | None, now: int, wall_now: int
    ) -> int:
        started_at = now - (wall_now - reported_at)
        earliest = self.last_list_at - self.MAX_REPORT_DELAY if self.last_list_at else 0
        if previous is not None:
            earliest = max(earliest, previous.started_at + 1)
        return started_at if earliest <= started_at <= now else now

    def _forget_removed(self, update: face.BackendList) -> None:
        listed = {entry.backend for entry in update.entries if entry.state != "gone"}
        removed = (
            [backend for backend in self.starts_by_backend if backend not in listed]
            if update.scope == "full"
            else []
        )
        for backend in removed[: -self.MAX_REMOVED]:
            del self.starts_by_backend[backend]
