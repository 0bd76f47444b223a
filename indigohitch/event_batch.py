"""Collects events until they are passed to the decision module as one batch."""

from __future__ import annotations

from collections.abc import Callable

from . import interface as face
from .net.loop import EventLoop


class EventBatch:
    """Events that wait for the next round of the decision module."""

    # Ticks.  The sums of one period arrive from several collectors and in pieces, within 6 ms on loopback; a
    # part of them would look like a jump of demand.  Short compared with a message's delay to the proxies.
    DELAY = 100

    def __init__(
        self, loop: EventLoop, min_interval: int, on_batch: Callable[[int, list[face.Event]], None]
    ) -> None:
        """Create an empty batch; batches are at least `min_interval` ticks apart."""
        self.loop = loop
        self.min_interval = min_interval
        self.on_batch = on_batch
        self.events: list[face.Event] = []
        self.last_flushed_at = 0
        self.is_due = False
        self.is_paused = False  # the decision module is frozen: events wait
        self.is_busy = False  # the decision module runs beside the loop and has not finished

    def add(self, *events: face.Event, delay: int = DELAY) -> None:
        """Add events; the first of a batch makes it due after `delay` ticks."""
        if events and not self.events:
            self.loop.call_at(
                max(self.loop.clock.now() + delay, self.last_flushed_at + self.min_interval), self._on_due
            )
        self.events += events

    def add_timer(self, event: face.Event) -> None:
        """Add a timer of the decision module without a delay, so that its timers are not late."""
        self.add(event, delay=0)

    def _on_due(self) -> None:
        self.is_due = True

    def take(self) -> list[face.Event]:
        """Remove and return the waiting events for another process, without this module's timers."""
        events = self.events
        self.events = []
        self.is_due = False
        return [event for event in events if type(event) is not face.TimerFired]

    def restore(self, events: list[face.Event]) -> None:
        """Put taken events back before the later ones, after an upgrade that failed."""
        later = self.events
        self.events = []
        self.add(*events, *later)

    def flush_if_due(self) -> None:
        """Pass on all events as one batch if due; called at the end of a turn of the loop."""
        if self.is_due and not self.is_paused and not self.is_busy:
            self.is_due = False
            self.last_flushed_at = self.loop.clock.now()
            events = self.events
            self.events = []
            self.on_batch(self.last_flushed_at, events)
