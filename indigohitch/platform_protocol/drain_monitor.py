"""Checks at run time, and logs, how long routes to backends that drain or are gone remain.

The monitor makes no decisions and sends no orders. The rule: once the grace period has passed since a backend
was listed as departing, or since the slice was acquired if that is later, no route to the backend remains.
The protocol pauses time limits while the relay fails, and so does the monitor.
"""

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
    """Measures time without given pauses; pauses that overlap count once. All times are in ticks."""

    def __init__(self) -> None:
        self._paused_until = 0
        self._total_paused = 0

    def pause(self, now: int, span: int) -> None:
        """Pause the clock from `now` for at least `span`."""
        begin = max(now, self._paused_until)
        end = now + span
        if end > begin:
            self._total_paused += end - begin
            self._paused_until = end

    def elapsed(self, now: int) -> int:
        """Return the time at `now` without the pauses."""
        return now - self._total_paused + max(0, self._paused_until - now)


@dataclass(slots=True)
class DrainingBackend:
    """Describes a departing backend: its state, when it was listed so, and what was already logged."""

    state: str
    notified_at: int  # by the loop's clock, in ticks
    notified_at_unpaused: int  # by the clock that pauses while the relay fails
    overdue_slices: set[int] = field(default_factory=set)  # slices already logged as overdue
    emptied_at: int | None = None  # when a check first found no route to it


class DrainMonitor:
    """Checks that departing backends lose their routes within the grace period, and logs violations."""

    # Slack that the protocol allows on the time limits of drains over sockets.
    SOCKET_SLACK = SECOND * 3 // 10
    # The protocol pauses time limits for these spans after a failed call, after a call without a readable
    # response, and after the loss of the event stream.
    PAUSE_AFTER_BROKEN_CALL = SECOND // 2
    PAUSE_AFTER_SILENT_CALL = SECOND * 3 // 2
    PAUSE_AFTER_WATCH_LOSS = 4 * SECOND
    CHECK_INTERVAL = SECOND // 4
    MAX_LOGGED_SLICES = 20  # per log line
    # Time a backend is kept after its last route is removed: an old order may still restore one.
    RETENTION = 30 * SECOND

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        grace: int,
        read_stored_tables: Callable[[], StoredTables],
        count_pending_calls: Callable[[], int],
        check_gone_backends: bool = True,
    ) -> None:
        """Set up the monitor for a `grace` period in ticks (0: no checks).

        With `check_gone_backends`, backends that are gone are checked as well as those that drain.
        """
        self.loop = loop
        self.log = log
        self.grace = grace
        self.read_stored_tables = read_stored_tables
        self.count_pending_calls = count_pending_calls
        self.checked_states = DEPARTING_STATES if check_gone_backends else DEPARTING_STATES[:1]
        self.draining: dict[str, DrainingBackend] = {}
        self.ejected: set[str] = set()
        self.paused_time = PausedTime()
        # When slices were acquired, by the clock that pauses while the relay fails.
        self.slice_acquired_at: dict[int, int] = {}
        self.is_check_scheduled = False

    def on_backend_list(self, backend_list: face.BackendList) -> None:
        """Handle a list of backends or changes to it; a failed request changes nothing."""
        if backend_list.scope == "failed":
            return
        states = {entry.backend: entry.state for entry in backend_list.entries}
        if backend_list.scope != "changes":
            self._add_unlisted(states)
        for backend, state in states.items():
            self._on_state(backend, state)
        if self.draining and self.grace and not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.loop.call_after(self.CHECK_INTERVAL, self.check)

    def _add_unlisted(self, states: dict[str, str]) -> None:
        """Add backends that a full list omits as gone while a route to them remains."""
        routed_backends = {
            backend for table in self.read_stored_tables().values() for backend in table.routes
        }
        for backend in routed_backends - states.keys():
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
        """Return whether the grace period of a backend is over, so that no route to it may be set."""
        departure = self.draining.get(backend)
        if departure is None or not self.grace:
            return False
        return self.paused_time.elapsed(self.loop.clock.now()) > departure.notified_at_unpaused + self.grace

    def on_slice_acquired(self, number: int) -> None:
        """Record the acquisition of a slice, whose routes may still be those of its previous owner."""
        self.slice_acquired_at[number] = self.paused_time.elapsed(self.loop.clock.now())

    def on_call_failed(self, outcome: str) -> None:
        """Pause time limits after a call whose HTTP exchange failed with `outcome`."""
        span = (
            self.PAUSE_AFTER_SILENT_CALL
            if outcome in ("timeout", "unreadable")
            else self.PAUSE_AFTER_BROKEN_CALL
        )
        self.paused_time.pause(self.loop.clock.now(), span)

    def on_watch_lost(self) -> None:
        """Pause time limits after the loss of the event stream."""
        self.paused_time.pause(self.loop.clock.now(), self.PAUSE_AFTER_WATCH_LOSS)

    def on_applied(self, orders: Iterable[face.Order]) -> None:
        """Track which backends are ejected by orders that were applied."""
        for order in orders:
            if isinstance(order, face.EjectBackend):
                (self.ejected.add if order.ejected else self.ejected.discard)(order.backend)

    def check(self) -> None:
        """Check for overdue routes; schedules the next check while any backend is departing."""
        self.is_check_scheduled = False
        now = self.loop.clock.now()
        slices_by_backend: dict[str, list[int]] = {}
        for number, table in self.read_stored_tables().items():
            for backend in table.routes:
                if backend in self.draining and backend not in self.ejected:
                    slices_by_backend.setdefault(backend, []).append(number)
        for backend, departure in list(self.draining.items()):
            self._check_backend(backend, departure, slices_by_backend.get(backend, []), now)
        # An acquisition before this time no longer extends any time limit.
        oldest_relevant = self.paused_time.elapsed(now) - self.grace - self.SOCKET_SLACK
        self.slice_acquired_at = {
            number: acquired_at
            for number, acquired_at in self.slice_acquired_at.items()
            if acquired_at > oldest_relevant
        }
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
        time_limit = self.grace + self.SOCKET_SLACK
        unpaused_now = self.paused_time.elapsed(now)
        newly_overdue = [
            number
            for number in slices
            if number not in departure.overdue_slices
            and unpaused_now - max(departure.notified_at_unpaused, self.slice_acquired_at.get(number, 0))
            > time_limit
        ]
        if newly_overdue:
            departure.overdue_slices.update(newly_overdue)
            self.log.count("invariant_drain_overdue", len(newly_overdue))
            self.log.warning(
                "drain_overdue",
                backend=backend,
                state=departure.state,
                slices=newly_overdue[: self.MAX_LOGGED_SLICES],
                told_ms_ago=(now - departure.notified_at) / 10,
                calls_waiting=self.count_pending_calls(),
            )
