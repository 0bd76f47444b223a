"""An event loop on `selectors` that handles ready sockets first and then expired deadlines in each turn."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

from .clock import SECOND, Clock, Ticks
from .ring_buffer import BufferPool
from .slot_table import SlotTable


class SocketOwner(Protocol):
    """Handles the events of a watched socket."""

    def ready(self, readable: bool, writable: bool) -> None:
        """Called in each turn in which the socket is ready."""


Watchable = socket.socket | int  # or a file descriptor
ReadySocket = tuple[int, "SocketOwner | None", int]  # number, owner, events


class Deadline:
    """An action that the loop runs at a set time."""

    __slots__ = ("when", "action")

    def __init__(self, when: Ticks, action: Callable[[], None]) -> None:
        self.when = when
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Removes the action; the empty entry stays in the heap until it is due or swept."""
        self.action = None


class EventLoop:
    """Runs the callbacks of sockets and deadlines one at a time, in turns."""

    OUTBOUND_POOL = 16 << 20  # bytes, for outbound connections, until the configured limits apply
    MIN_SWEEP_SIZE = 256  # deadlines in the heap before cancelled ones are removed
    # With the data that each may send in a turn, these take 10 ms at most.
    MAX_LOW_PRIORITY_PER_TURN = 32

    def __init__(self, clock: Clock, failed: Callable[[BaseException], None]) -> None:
        """Creates a loop that calls `failed` with each exception of a callback."""
        self.clock = clock
        self.failed = failed
        self.pool = BufferPool(self.OUTBOUND_POOL)
        self.watched: SlotTable[SocketOwner] = SlotTable()
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[Ticks, int, Deadline]] = []
        self._sweep_at = self.MIN_SWEEP_SIZE
        self._order = 0  # deadlines of the same time run in the order in which they were set
        # By socket number, the turn that last handled a low-priority socket.  These come last in a turn
        # and may have to wait for a later one.
        self._low_priority: dict[int, int] = {}
        self._turns = 0

    def call_at(self, when: Ticks, action: Callable[[], None]) -> Deadline:
        """Calls `action` in the first turn at or after `when`."""
        deadline = Deadline(when, action)
        self._order += 1
        if len(self._due) > self._sweep_at:
            # Most deadlines are cancelled long before they are due; they must not keep their objects alive.
            self._due = [due for due in self._due if due[2].action is not None]
            heapify(self._due)
            self._sweep_at = max(self.MIN_SWEEP_SIZE, 2 * len(self._due))
        heappush(self._due, (when, self._order, deadline))
        return deadline

    def call_after(self, delay: Ticks, action: Callable[[], None]) -> Deadline:
        """Calls `action` in the first turn after `delay`; 0 means this turn or the next."""
        return self.call_at(self.clock.now() + delay, action)

    def watch(self, sock: Watchable, owner: SocketOwner, events: int) -> int:
        """Watches a socket for `events`, a mask of `selectors`; returns its number."""
        number = self.watched.put(owner)
        self._selector.register(sock, events, number)
        return number

    def change(self, sock: Watchable, number: int, events: int) -> None:
        """Changes the events for which a socket is watched."""
        self._selector.modify(sock, events, number)

    def pause(self, sock: Watchable) -> None:
        """Stops watching until `resume`; the number stays reserved."""
        self._selector.unregister(sock)

    def resume(self, sock: Watchable, number: int, events: int) -> None:
        """Watches a paused socket again."""
        self._selector.register(sock, events, number)

    def forget(self, sock: Watchable, number: int) -> None:
        """Stops watching and frees the number."""
        self._selector.unregister(sock)
        self.watched.drop(number)
        self._low_priority.pop(number, None)

    def set_low_priority(self, number: int, on: bool) -> None:
        """Turns low priority on or off: unidentified peers have it and share a bounded part of each turn."""
        if on:
            self._low_priority[number] = 0
        else:
            self._low_priority.pop(number, None)

    def _in_order(self, ready: list[ReadySocket]) -> list[ReadySocket]:
        """Puts low-priority sockets last, longest wait first, up to a limit; the others stay ready."""
        if not self._low_priority:
            return ready
        low_priority = [entry for entry in ready if entry[0] in self._low_priority]
        low_priority.sort(key=lambda entry: self._low_priority[entry[0]])
        del low_priority[self.MAX_LOW_PRIORITY_PER_TURN :]
        self._turns += 1
        self._low_priority.update((entry[0], self._turns) for entry in low_priority)
        return [entry for entry in ready if entry[0] not in self._low_priority] + low_priority

    def guarded(self, action: Callable[..., object], *args: Any) -> None:  # noqa: ANN401 - those of `action`
        """Calls `action` and passes an exception to `failed` instead of raising it."""
        try:
            action(*args)
        except Exception as error:  # a defect on one connection must not end all others
            self.failed(error)

    def turn(self) -> None:
        """Waits for the next event or deadline and handles all that are ready or due."""
        while self._due and self._due[0][2].action is None:
            heappop(self._due)
        wait = None
        if self._due:
            wait = max(0, self._due[0][0] - self.clock.now()) / SECOND
        ready = [(key.data, self.watched.get(key.data), mask) for key, mask in self._selector.select(wait)]
        for number, owner, mask in self._in_order(ready):
            if owner is not None and self.watched.get(number) is owner:  # not closed earlier in this turn
                self.guarded(
                    owner.ready, bool(mask & selectors.EVENT_READ), bool(mask & selectors.EVENT_WRITE)
                )
        now = self.clock.now()
        while self._due and self._due[0][0] <= now:
            action = heappop(self._due)[2].action
            if action is not None:
                self.guarded(action)

    def close(self) -> None:
        """Closes the selector; the sockets stay open."""
        self._selector.close()
