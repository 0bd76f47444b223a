"""What has come, until it goes to the module."""

from __future__ import annotations

from collections.abc import Callable

from . import interface as face
from .net.loop import EventLoop


class EventBatch:
    # The sums of one period come from several collectors and in pieces, within 6 ms on loopback; half of
    # them would look like a jump of demand.  Little beside the time that a message takes to the proxies.
    DELAY = 100

    def __init__(self, loop: EventLoop, gap: int, hand_over: Callable[[int, list[face.Event]], None]) -> None:
        """No sooner than `gap` after the last time, as the settings say."""
        self.loop, self.min_interval, self.on_batch = loop, gap, hand_over
        self.events: list[face.Event] = []
        self.last_flushed_at, self.is_due = 0, False
        self.is_paused = False  # the module stands still: what comes waits
        self.is_busy = False  # it is at work already, where it works beside the loop

    def add(self, *events: face.Event, delay: int = DELAY) -> None:
        if events and not self.events:
            self.loop.call_at(
                max(self.loop.clock.now() + delay, self.last_flushed_at + self.min_interval), self._on_due
            )
        self.events += events

    def add_timer(self, event: face.Event) -> None:
        """A timer of the module: alone it does not wait, or each would come late by as much, and all that
        hangs on them would slow down."""
        self.add(event, delay=0)

    def _on_due(self) -> None:
        self.is_due = True

    def take(self) -> list[face.Event]:
        """What waits, for another module than ours; its own timers are not among it."""
        events, self.events, self.is_due = self.events, [], False
        return [event for event in events if type(event) is not face.TimerFired]

    def restore(self, events: list[face.Event]) -> None:
        """What was taken, as the other module came to nothing: it came first."""
        later, self.events = self.events, []
        self.add(*events, *later)

    def flush_if_due(self) -> None:
        """At the end of a turn of the loop: all that has come, if its time is up, at once."""
        if self.is_due and not self.is_paused and not self.is_busy:
            self.is_due, self.last_flushed_at = False, self.loop.clock.now()
            events, self.events = self.events, []
            self.on_batch(self.last_flushed_at, events)
