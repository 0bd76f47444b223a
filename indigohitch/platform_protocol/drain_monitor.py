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
        self._paused_until = self._total_paused = 0

    def pause(self, now: int, span: int) -> None:
        """It stands still from `now` on for `span` at least."""
        begin, end = max(now, self._paused_until), now + span
        if end > begin:
            self._total_paused += end - begin
            self._paused_until = end

    def elapsed(self, now: int) -> int:
        return now - self._total_paused + max(0, self._paused_until - now)


@dataclass(slots=True)
class DrainingBackend:
    """A backend that leaves, since when, and the slices whose lines there were told to be late."""

    state: str
    notified_at: int  # by the loop's clock
    notified_at_unpaused: int  # by the time that stands still while the relay fails
    late_slices: set[int] = field(default_factory=set)
    emptied_at: int | None = None  # when it was seen to hold no line


class DrainMonitor:
    # The protocol's slack on sockets, for the time limits of drains.
    SOCKET_SLACK = SECOND * 3 // 10
    # For so long time limits wait after a call that broke, after one without an answer that can be read, and
    # after news that broke off, says the protocol.
    PAUSE_AFTER_BROKEN_CALL = SECOND // 2
    PAUSE_AFTER_SILENT_CALL = SECOND * 3 // 2
    PAUSE_AFTER_WATCH_LOSS = 4 * SECOND
    CHECK_INTERVAL = SECOND // 4
    MAX_LOGGED_SLICES = 20  # slices in one log line
    RETENTION = 30 * SECOND  # after the last line there is gone: an old order may still bring one back

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
        self.loop, self.log, self.grace, self.read_stored_tables, self.count_pending_calls = (
            loop,
            log,
            grace,
            stood,
            queued,
        )
        self.checked_states = DEPARTING_STATES if gone_binds else DEPARTING_STATES[:1]
        self.draining: dict[str, DrainingBackend] = {}
        self.ejected: set[str] = set()
        self.paused_time = PausedTime()
        self.slice_acquired_at: dict[
            int, int
        ] = {}  # slices that came into charge, by the time that stands still
        self.is_check_scheduled = False

    def on_backend_list(self, news: face.BackendList) -> None:
        """The list, or changes of it, as they are told to the module; a call that failed tells nothing."""
        if news.scope == "failed":
            return
        states = {entry.backend: entry.state for entry in news.entries}
        if news.scope != "changes":
            self._add_unlisted(states)
        for backend, state in states.items():
            self._on_state(backend, state)
        if self.draining and self.grace and not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.loop.call_after(self.CHECK_INTERVAL, self.check)

    def _add_unlisted(self, states: dict[str, str]) -> None:
        """A whole list names none that is gone; one that it lacks stays known while a line is left there."""
        held = {backend for table in self.read_stored_tables().values() for backend in table.lines}
        for backend in held - states.keys():
            states[backend] = "gone"

    def _on_state(self, backend: str, state: str) -> None:
        known = self.draining.get(backend)
        if state not in DEPARTING_STATES:
            self.draining.pop(backend, None)
        elif known is None and state in self.checked_states:
            now = self.loop.clock.now()
            self.draining[backend] = DrainingBackend(state, now, self.paused_time.elapsed(now))
        elif known is not None:
            known.state = state

    def is_grace_over(self, backend: str) -> bool:
        """Whether no line may be set there any more."""
        departure = self.draining.get(backend)
        if departure is None or not self.grace:
            return False
        return self.paused_time.elapsed(self.loop.clock.now()) > departure.notified_at_unpaused + self.grace

    def on_slice_acquired(self, number: int) -> None:
        """It came into charge, with whatever lines another coordinator left in it."""
        self.slice_acquired_at[number] = self.paused_time.elapsed(self.loop.clock.now())

    def on_call_failed(self, outcome: str) -> None:
        """A call broke, with this outcome of its exchange."""
        span = (
            self.PAUSE_AFTER_SILENT_CALL
            if outcome in ("timeout", "unreadable")
            else self.PAUSE_AFTER_BROKEN_CALL
        )
        self.paused_time.pause(self.loop.clock.now(), span)

    def on_watch_lost(self) -> None:
        """The relay broke off its news."""
        self.paused_time.pause(self.loop.clock.now(), self.PAUSE_AFTER_WATCH_LOSS)

    def on_applied(self, orders: Iterable[face.Order]) -> None:
        """Orders that stand, of which those that shut a backend out are read here."""
        for order in orders:
            if isinstance(order, face.EjectBackend):
                (self.ejected.add if order.ejected else self.ejected.discard)(order.backend)

    def check(self) -> None:
        """Look for lines that stand too long; again while any backend leaves."""
        self.is_check_scheduled = False
        now = self.loop.clock.now()
        held: dict[str, list[int]] = {}
        for number, table in self.read_stored_tables().items():
            for backend in table.lines:
                if backend in self.draining and backend not in self.ejected:
                    held.setdefault(backend, []).append(number)
        for backend, departure in list(self.draining.items()):
            self._check_backend(backend, departure, held.get(backend, []), now)
        over = (
            self.paused_time.elapsed(now) - self.grace - self.SOCKET_SLACK
        )  # before that it bears on nothing
        self.slice_acquired_at = {number: at for number, at in self.slice_acquired_at.items() if at > over}
        if self.draining:
            self.is_check_scheduled = True
            self.loop.call_after(self.CHECK_INTERVAL, self.check)

    def _on_no_routes(self, backend: str, departure: DrainingBackend, now: int) -> None:
        if departure.emptied_at is None:
            departure.emptied_at = now
            self.log.event("drain_completed", backend=backend, after_ms=(now - departure.notified_at) / 10)
        elif now - departure.emptied_at > self.RETENTION:
            del self.draining[backend]

    def _check_backend(self, backend: str, departure: DrainingBackend, slices: list[int], now: int) -> None:
        if not slices:
            self._on_no_routes(backend, departure, now)
            return
        if departure.emptied_at is not None:
            departure.emptied_at = None
            self.log.warning(
                "route_returned_to_draining_backend", backend=backend, slices=slices[: self.MAX_LOGGED_SLICES]
            )
        bound = self.grace + self.SOCKET_SLACK
        time = self.paused_time.elapsed(now)
        late = [
            number
            for number in slices
            if number not in departure.late_slices
            and time - max(departure.notified_at_unpaused, self.slice_acquired_at.get(number, 0)) > bound
        ]
        if late:
            departure.late_slices.update(late)
            self.log.count("invariant_drain_overdue", len(late))
            self.log.warning(
                "drain_overdue",
                backend=backend,
                state=departure.state,
                slices=late[: self.MAX_LOGGED_SLICES],
                told_ms_ago=(now - departure.notified_at) / 10,
                calls_waiting=self.count_pending_calls(),
            )
