"""An event loop on `selectors`: in each turn the ready sockets, then the deadlines that have passed."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

from .clock import SECOND, Clock, Ticks
from .ring_buffer import BufferPool
from .slot_table import SlotTable


class Watched(Protocol):
    """The owner of a watched socket."""

    def ready(self, readable: bool, writable: bool) -> None:
        """Handles readiness of the socket."""


Watchable = socket.socket | int  # or a file descriptor
ReadySocket = tuple[int, "Watched | None", int]  # number, owner, events


class Deadline:
    """An action at a time, in the loop's heap."""

    __slots__ = ("when", "action")

    def __init__(self, when: Ticks, action: Callable[[], None]) -> None:
        self.when = when
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Drops the action; the empty entry stays in the heap until it is due."""
        self.action = None


class EventLoop:
    """Runs callbacks of sockets and deadlines, one after the other, in turns."""

    POOL = 16 << 20  # bytes, for outbound connections, until the limits are read
    SWEPT = 256  # deadlines in the heap before the cancelled ones are removed
    CROWD = 32  # sockets of the crowd served in a turn: with the data one may bring, 10 ms at the worst

    def __init__(self, clock: Clock, failed: Callable[[BaseException], None]) -> None:
        """`failed` is called with each exception of a callback."""
        self.clock = clock
        self.failed = failed
        self.pool = BufferPool(self.POOL)
        self.watched: SlotTable[Watched] = SlotTable()
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[Ticks, int, Deadline]] = []
        self._sweep_at = self.SWEPT
        self._order = 0  # equal times are served in the order of their calls
        # Sockets that come last in a turn and may have to wait for a later one: the turn that served them.
        self._crowd: dict[int, int] = {}
        self._turns = 0

    def call_at(self, when: Ticks, action: Callable[[], None]) -> Deadline:
        """Calls `action` in the first turn at or after `when`."""
        deadline = Deadline(when, action)
        self._order += 1
        if len(self._due) > self._sweep_at:
            # Most deadlines are cancelled long before they are due: they must not keep their objects alive.
            self._due = [due for due in self._due if due[2].action is not None]
            heapify(self._due)
            self._sweep_at = max(self.SWEPT, 2 * len(self._due))
        heappush(self._due, (when, self._order, deadline))
        return deadline

    def call_after(self, delay: Ticks, action: Callable[[], None]) -> Deadline:
        """Calls `action` in the first turn after `delay`; 0: in this turn or the next."""
        return self.call_at(self.clock.now() + delay, action)

    def watch(self, sock: Watchable, owner: Watched, events: int) -> int:
        """Watches a socket for `events` of `selectors`; returns its number."""
        number = self.watched.put(owner)
        self._selector.register(sock, events, number)
        return number

    def change(self, sock: Watchable, number: int, events: int) -> None:
        """Changes the events to watch for."""
        self._selector.modify(sock, events, number)

    def pause(self, sock: Watchable) -> None:
        """Stops watching until `resume`; the number stays taken."""
        self._selector.unregister(sock)

    def resume(self, sock: Watchable, number: int, events: int) -> None:
        """Watches a paused socket again."""
        self._selector.register(sock, events, number)

    def forget(self, sock: Watchable, number: int) -> None:
        """Stops watching and frees the number."""
        self._selector.unregister(sock)
        self.watched.drop(number)
        self._crowd.pop(number, None)

    def crowd(self, number: int, on: bool) -> None:
        """Marks a socket as one of the unidentified peers, which share a bounded part of each turn."""
        if on:
            self._crowd[number] = 0
        else:
            self._crowd.pop(number, None)

    def _in_order(self, ready: list[ReadySocket]) -> list[ReadySocket]:
        """Puts the crowd last, the longest wait first; the rest of it stays ready for a later turn."""
        if not self._crowd:
            return ready
        crowd = [entry for entry in ready if entry[0] in self._crowd]
        crowd.sort(key=lambda entry: self._crowd[entry[0]])
        del crowd[self.CROWD :]
        self._turns += 1
        self._crowd.update((entry[0], self._turns) for entry in crowd)
        return [entry for entry in ready if entry[0] not in self._crowd] + crowd

    def guarded(self, action: Callable[..., object], *args: Any) -> None:  # noqa: ANN401 - those of `action`
        """Calls `action` and reports an exception instead of raising it."""
        try:
            action(*args)
        except Exception as error:  # a defect met on one connection must not end all the others
            self.failed(error)

    def turn(self) -> None:
        """Waits for the next event or deadline and handles all that are due."""
        while self._due and self._due[0][2].action is None:
            heappop(self._due)
        wait = None
        if self._due:
            wait = max(0, self._due[0][0] - self.clock.now()) / SECOND
        ready = [(key.data, self.watched.get(key.data), mask) for key, mask in self._selector.select(wait)]
        for number, owner, mask in self._in_order(ready):
            if owner is not None and self.watched.get(number) is owner:  # not closed earlier this turn
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
