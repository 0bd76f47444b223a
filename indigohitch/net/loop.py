"""One loop on `selectors`: sockets that are ready, then deadlines that have passed, turn by turn."""

from __future__ import annotations

import selectors
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Protocol

from .clock import SECOND, Clock
from .ring_buffer import BufferPool
from .slot_table import SlotTable


class Watched(Protocol):
    """What can be put under watch: a socket's owner."""

    def ready(self, readable: bool, writable: bool) -> None: ...


class Deadline:
    """A due time in the loop's heap; `cancel` leaves it there, empty, until it comes up."""

    __slots__ = ("when", "action")

    def __init__(self, when: int, action: Callable[[], None]) -> None:
        self.when, self.action = when, action

    def cancel(self) -> None:
        self.action = None


class EventLoop:
    POOL = 16 << 20  # for the connections that are ours, until the limits are read
    SWEPT = 256  # deadlines in the heap before the cancelled are looked for
    CROWD = 32  # of those in the crowd a turn: with what one may bring, 10 ms at the worst

    def __init__(self, clock: Clock, failed: Callable[[BaseException], None]) -> None:
        self.clock, self.failed = clock, failed
        self.pool = BufferPool(self.POOL)
        self.watched: SlotTable[Watched] = SlotTable()
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[int, int, Deadline]] = []
        self._sweep_at = self.SWEPT
        self._order = 0  # two due at one time: first come, first served
        # Who comes last in a turn and may have to wait for a later one, by number: the turn that served it.
        self._crowd: dict[int, int] = {}
        self._turns = 0

    def call_at(self, when: int, action: Callable[[], None]) -> Deadline:
        deadline = Deadline(when, action)
        self._order += 1
        if len(self._due) > self._sweep_at:
            # Most deadlines are cancelled long before they are due: they must not hold what they guarded.
            self._due = [due for due in self._due if due[2].action is not None]
            heapify(self._due)
            self._sweep_at = max(self.SWEPT, 2 * len(self._due))
        heappush(self._due, (when, self._order, deadline))
        return deadline

    def call_after(self, span: int, action: Callable[[], None]) -> Deadline:
        return self.call_at(self.clock.now() + span, action)

    def watch(self, sock, owner: Watched, events: int) -> int:
        number = self.watched.put(owner)
        self._selector.register(sock, events, number)
        return number

    def change(self, sock, number: int, events: int) -> None:
        self._selector.modify(sock, events, number)

    def pause(self, sock) -> None:
        self._selector.unregister(sock)

    def resume(self, sock, number: int, events: int) -> None:
        self._selector.register(sock, events, number)

    def forget(self, sock, number: int) -> None:
        self._selector.unregister(sock)
        self.watched.drop(number)
        self._crowd.pop(number, None)

    def crowd(self, number: int, on: bool) -> None:
        """Whether it is one of many that nobody knows: all of them together get a bounded share of a turn."""
        if on:
            self._crowd[number] = 0
        else:
            self._crowd.pop(number, None)

    def _in_order(self, ready: list) -> list:
        """The crowd last, who has waited the longest first; the rest of it stays ready for a later turn."""
        if not self._crowd:
            return ready
        crowd = [entry for entry in ready if entry[0] in self._crowd]
        crowd.sort(key=lambda entry: self._crowd[entry[0]])
        del crowd[self.CROWD :]
        self._turns += 1
        self._crowd.update((entry[0], self._turns) for entry in crowd)
        return [entry for entry in ready if entry[0] not in self._crowd] + crowd

    def guarded(self, action: Callable, *args) -> None:
        try:
            action(*args)
        except Exception as broken:  # a defect met on one connection must not end all the others
            self.failed(broken)

    def turn(self) -> None:
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
        self._selector.close()
