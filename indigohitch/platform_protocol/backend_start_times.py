"""When backends started, by this process's clock: the list tells it by the wall clock, which may step.

Our clock reads the wall once and never steps (net/clock.py).  A start is carried over by how long ago the
wall has it, as it is heard of first; the same start told again keeps its place.  Where the wall stepped
between the start and its telling that can't be true: a backend that a list before did not have so can't have
started long before that list, nor in time to come.  Then it counts as started now, which takes it for colder
than it is."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .. import interface as face
from ..net.clock import SECOND


@dataclass(slots=True, frozen=True)
class BackendStart:
    reported_at: int  # by the wall clock
    started_at: int  # by ours


class BackendStartTimes:
    # A list may tell of a start so much later: discovery counts as having told after 6 s, a call may wait.
    MAX_REPORT_DELAY = 10 * SECOND
    MAX_REMOVED = 256  # of backends that are gone, as many as the module keeps

    def __init__(self) -> None:
        self.starts_by_backend: dict[str, BackendStart] = {}
        self.last_list_at = 0  # when a list of discovery's came last, 0: none has

    def to_local_clock(self, news: face.BackendList, now: int, wall: int) -> face.BackendList:
        """The same list with starts by our clock; `now` by it, `wall` by the wall's, as the list comes."""
        if news.scope == "failed":
            return news
        entries = tuple(replace(entry, started_at=self._start(entry, now, wall)) for entry in news.entries)
        if news.scope != "remembered":
            self.last_list_at = now
        self._forget_removed(news)
        return replace(news, entries=entries)

    def _start(self, entry: face.BackendEntry, now: int, wall: int) -> int:
        if not entry.started_at:
            return 0  # long ago
        known = self.starts_by_backend.pop(entry.backend, None)
        if known is None or known.reported_at != entry.started_at:
            known = BackendStart(entry.started_at, self._local_start(entry.started_at, known, now, wall))
        self.starts_by_backend[entry.backend] = known  # the last that was heard of
        return known.started_at

    def _local_start(self, told: int, before: BackendStart | None, now: int, wall: int) -> int:
        at = now - (wall - told)
        earliest = self.last_list_at - self.MAX_REPORT_DELAY if self.last_list_at else 0
        if before is not None:
            earliest = max(earliest, before.started_at + 1)
        return at if earliest <= at <= now else now

    def _forget_removed(self, news: face.BackendList) -> None:
        listed = {entry.backend for entry in news.entries if entry.state != "gone"}
        gone = (
            [backend for backend in self.starts_by_backend if backend not in listed]
            if news.scope == "full"
            else []
        )
        for backend in gone[: -self.MAX_REMOVED]:
            del self.starts_by_backend[backend]
