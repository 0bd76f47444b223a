"""Collects events until they are passed to the decision module as one batch."""

from __future__ import annotations

from collections.abc import Callable

from . import interface
from .net.loop import EventLoop


class EventBatch:
    """Holds events until the next round of the decision module."""

    # The sums of one period arrive from several collectors and in several parts, within 6 ms on loopback.
    # A decision on only a part of them would see a jump in demand.  The delay is short compared with the time
    # that a message takes to reach the proxies.
    DELAY_TICKS = 100

    def __init__(
        self, loop: EventLoop, min_interval: int, on_batch: Callable[[int, list[interface.Event]], None]
    ) -> None:
        """Create an empty batch; batches are at least `min_interval` ticks apart."""
        self.loop = loop
        self.min_interval = min_interval
        self.on_batch = on_batch
        self.events: list[interface.Event] = []
        self.last_flushed_at = 0
        self.is_due = False
        self.is_paused = False  # the decision module is frozen; events are held back
        self.is_busy = False  # a round runs outside the event loop and has not finished

    def add(self, *events: interface.Event, delay: int = DELAY_TICKS) -> None:
        """Add events; the first event of a batch makes the batch due after `delay` ticks."""
        if events and not self.events:
            self.loop.call_at(
                max(self.loop.clock.now() + delay, self.last_flushed_at + self.min_interval), self._on_due
            )
        self.events += events

    def add_timer(self, event: interface.Event) -> None:
        """Add a timer event of the decision module without delay, so that its timers are not late."""
        self.add(event, delay=0)

    def _on_due(self) -> None:
        self.is_due = True

    def take(self) -> list[interface.Event]:
        """Remove all events and return those to be passed to another process: all but timers."""
        events = self.events
        self.events = []
        self.is_due = False
        return [event for event in events if type(event) is not interface.TimerFired]

    def restore(self, events: list[interface.Event]) -> None:
        """Put back the events that `take` returned, before later ones, after a failed upgrade."""
        later = self.events
        self.events = []
        self.add(*events, *later)

    def flush_if_due(self) -> None:
        """Pass all events on as one batch if it is due; called at the end of each event loop iteration."""
        if self.is_due and not self.is_paused and not self.is_busy:
            self.is_due = False
            self.last_flushed_at = self.loop.clock.now()
            events = self.events
            self.events = []
            self.on_batch(self.last_flushed_at, events)
