"""How long lines stay at backends that drain or are gone: a check while the program runs, and its log.

It decides nothing and orders nothing.  The rule: a backend that the list has as leaving holds no line later
than the grace after that was told, or after the slice came into charge.  The protocol lets time limits wait
while the relay fails, and so does the check."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .. import interface as face
from ..log import Log
from ..logic.state import DEPARTING_STATES
from ..net.clock import SECOND
from ..net.loop import EventLoop
from .stored_tables import StoredTables


class PausedTime:
    """Time that stands still for spans; overlapping spans count once."""

    def __init__(self) -> None:
        self._until = self._paused = 0

    def pause(self, now: int, span: int) -> None:
        """It stands still from `now` on for `span` at least."""
        begin, end = max(now, self._until), now + span
        if end > begin:
            self._paused += end - begin
            self._until = end

    def at(self, now: int) -> int:
        return now - self._paused + max(0, self._until - now)


@dataclass(slots=True)
class DrainingBackend:
    """A backend that leaves, since when, and the slices whose lines there were told to be late."""

    state: str
    told: int  # by the loop's clock
    told_paused: int  # by the time that stands still while the relay fails
    late: set[int] = field(default_factory=set)
    done: int | None = None  # when it was seen to hold no line


class DrainMonitor:
    # The protocol's slack on sockets, for the time limits of drains.
    SLACK = SECOND * 3 // 10
    # For so long time limits wait after a call that broke, after one without an answer that can be read, and
    # after news that broke off, says the protocol.
    WAIT_BROKEN, WAIT_SILENT, WAIT_NEWS = SECOND // 2, SECOND * 3 // 2, 4 * SECOND
    CHECK = SECOND // 4
    TOLD = 20  # slices in one log line
    KEPT = 30 * SECOND  # after the last line there is gone: an old order may still bring one back

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        grace: int,
        stood: Callable[[], StoredTables],
        queued: Callable[[], int],
        gone_binds: bool = True,
    ) -> None:
        """`grace` in tenths of a ms, 0: not checked; `stood`: what stands in the store; `queued`: calls that
        wait; `gone_binds`: also a backend that is gone, and not only one that drains, may hold no line."""
        self.loop, self.log, self.grace, self.stood, self.queued = loop, log, grace, stood, queued
        self.binding = DEPARTING_STATES if gone_binds else DEPARTING_STATES[:1]
        self.leaving: dict[str, DrainingBackend] = {}
        self.withdrawn: set[str] = set()
        self.time = PausedTime()
        self.given: dict[int, int] = {}  # slices that came into charge, by the time that stands still
        self.checking = False

    def listed(self, news: face.BackendList) -> None:
        """The list, or changes of it, as they are told to the module; a call that failed tells nothing."""
        if news.scope == "failed":
            return
        states = {entry.backend: entry.state for entry in news.entries}
        if news.scope != "changes":
            self._no_more_listed(states)
        for backend, state in states.items():
            self._turned(backend, state)
        if self.leaving and self.grace and not self.checking:
            self.checking = True
            self.loop.call_after(self.CHECK, self.check)

    def _no_more_listed(self, states: dict[str, str]) -> None:
        """A whole list names none that is gone; one that it lacks stays known while a line is left there."""
        held = {backend for table in self.stood().values() for backend in table.lines}
        for backend in held - states.keys():
            states[backend] = "gone"

    def _turned(self, backend: str, state: str) -> None:
        known = self.leaving.get(backend)
        if state not in DEPARTING_STATES:
            self.leaving.pop(backend, None)
        elif known is None and state in self.binding:
            now = self.loop.clock.now()
            self.leaving[backend] = DrainingBackend(state, now, self.time.at(now))
        elif known is not None:
            known.state = state

    def grace_over(self, backend: str) -> bool:
        """Whether no line may be set there any more."""
        departure = self.leaving.get(backend)
        if departure is None or not self.grace:
            return False
        return self.time.at(self.loop.clock.now()) > departure.told_paused + self.grace

    def slice_given(self, number: int) -> None:
        """It came into charge, with whatever lines another coordinator left in it."""
        self.given[number] = self.time.at(self.loop.clock.now())

    def relay_failed(self, outcome: str) -> None:
        """A call broke, with this outcome of its exchange."""
        span = self.WAIT_SILENT if outcome in ("timeout", "unreadable") else self.WAIT_BROKEN
        self.time.pause(self.loop.clock.now(), span)

    def news_lost(self) -> None:
        """The relay broke off its news."""
        self.time.pause(self.loop.clock.now(), self.WAIT_NEWS)

    def stands(self, orders: Iterable[face.Order]) -> None:
        """Orders that stand, of which those that shut a backend out are read here."""
        for order in orders:
            if isinstance(order, face.EjectBackend):
                (self.withdrawn.add if order.ejected else self.withdrawn.discard)(order.backend)

    def check(self) -> None:
        """Look for lines that stand too long; again while any backend leaves."""
        self.checking = False
        now = self.loop.clock.now()
        held: dict[str, list[int]] = {}
        for number, table in self.stood().items():
            for backend in table.lines:
                if backend in self.leaving and backend not in self.withdrawn:
                    held.setdefault(backend, []).append(number)
        for backend, departure in list(self.leaving.items()):
            self._judge(backend, departure, held.get(backend, []), now)
        over = self.time.at(now) - self.grace - self.SLACK  # before that it bears on nothing
        self.given = {number: at for number, at in self.given.items() if at > over}
        if self.leaving:
            self.checking = True
            self.loop.call_after(self.CHECK, self.check)

    def _without_lines(self, backend: str, departure: DrainingBackend, now: int) -> None:
        if departure.done is None:
            departure.done = now
            self.log.event("drain_completed", backend=backend, after_ms=(now - departure.told) / 10)
        elif now - departure.done > self.KEPT:
            del self.leaving[backend]

    def _judge(self, backend: str, departure: DrainingBackend, slices: list[int], now: int) -> None:
        if not slices:
            self._without_lines(backend, departure, now)
            return
        if departure.done is not None:
            departure.done = None
            self.log.warning(
                "route_returned_to_draining_backend", backend=backend, slices=slices[: self.TOLD]
            )
        bound = self.grace + self.SLACK
        time = self.time.at(now)
        late = [
            number
            for number in slices
            if number not in departure.late
            and time - max(departure.told_paused, self.given.get(number, 0)) > bound
        ]
        if late:
            departure.late.update(late)
            self.log.count("invariant_drain_overdue", len(late))
            self.log.warning(
                "drain_overdue",
                backend=backend,
                state=departure.state,
                slices=late[: self.TOLD],
                told_ms_ago=(now - departure.told) / 10,
                calls_waiting=self.queued(),
            )
