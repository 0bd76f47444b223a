"""Converts the start times of backends from the wall clock, which may step, to this process's clock.

The process's clock reads the wall clock once and never steps (net/clock.py).  A start is converted by its
age when first reported; the same start reported again keeps its converted time.  If the wall clock stepped
between the start and its report, the result can be impossible: a backend missing from the previous list
can't have started long before that list, nor in the future.  It then counts as started now, so as colder
than it is.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .. import interface as face
from ..net.clock import SECOND


@dataclass(slots=True, frozen=True)
class BackendStart:
    """The start of one backend, in ticks."""

    reported_at: int  # the start by the wall clock
    started_at: int  # the start by this process's clock


class BackendStartTimes:
    """The known starts of backends, least recently listed first."""

    # Most ticks between a start and its list: discovery reports within 6 s, and a request may wait.
    MAX_REPORT_DELAY = 10 * SECOND
    MAX_REMOVED = 256  # removed backends kept, as many as the decision module keeps

    def __init__(self) -> None:
        self.starts_by_backend: dict[str, BackendStart] = {}
        self.last_list_at = 0  # arrival of the last list from discovery; 0 before the first

    def to_local_clock(self, update: face.BackendList, now: int, wall: int) -> face.BackendList:
        """Return the list with starts by this process's clock.

        `now` and `wall` are the arrival of the list by this process's clock and by the wall clock, in ticks.
        """
        if update.scope == "failed":
            return update
        entries = tuple(replace(entry, started_at=self._start(entry, now, wall)) for entry in update.entries)
        if update.scope != "remembered":
            self.last_list_at = now
        self._forget_removed(update)
        return replace(update, entries=entries)

    def _start(self, entry: face.BackendEntry, now: int, wall: int) -> int:
        if not entry.started_at:
            return 0  # long ago
        known = self.starts_by_backend.pop(entry.backend, None)
        if known is None or known.reported_at != entry.started_at:
            known = BackendStart(entry.started_at, self._local_start(entry.started_at, known, now, wall))
        self.starts_by_backend[entry.backend] = known  # moved to the end: most recently listed
        return known.started_at

    def _local_start(self, reported_at: int, before: BackendStart | None, now: int, wall: int) -> int:
        started_at = now - (wall - reported_at)
        earliest = self.last_list_at - self.MAX_REPORT_DELAY if self.last_list_at else 0
        if before is not None:
            earliest = max(earliest, before.started_at + 1)
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
