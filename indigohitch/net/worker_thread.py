"""Work beside the loop: one thread takes calls in order, their results come back into the loop.

For what is pure and may take long, such as the decisions on thousands of slices; what it works on is nobody
else's meanwhile.  Not used on the platform."""

from __future__ import annotations

import queue
import socket
import sys
import threading
from collections import deque
from collections.abc import Callable

from .connection import READ
from .loop import EventLoop


class WorkerThread:
    # How long the thread may hold the interpreter while the loop waits for it: a tenth of a fast answer.
    SWITCH = 0.0005

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self._calls: queue.SimpleQueue = queue.SimpleQueue()
        self._results: deque[tuple[Callable, object, BaseException | None]] = deque()
        self._woken, self._wake = socket.socketpair()
        for end in (self._woken, self._wake):
            end.setblocking(False)
        self._number = loop.watch(self._woken, self, READ)
        self._thread: threading.Thread | None = None

    def do(self, call: Callable[[], object], done: Callable[[object, BaseException | None], None]) -> None:
        """`done(result, error)` in a turn of the loop."""
        if self._thread is None:
            sys.setswitchinterval(self.SWITCH)
            self._thread = threading.Thread(target=self._work, daemon=True)
            self._thread.start()
        self._calls.put((call, done))

    def _work(self) -> None:
        while (entry := self._calls.get()) is not None:
            call, done = entry
            try:
                self._results.append((done, call(), None))
            except Exception as broken:  # told where the loop tells of its own
                self._results.append((done, None, broken))
            try:
                self._wake.send(b"x")
            except OSError:  # full: it is awake anyway; closed: nobody waits any more
                pass

    def settle(self) -> None:
        """Wait until all that was asked for is done, and its results are in."""
        if self._thread is not None:
            done = threading.Event()
            self._calls.put((done.set, lambda result, broken: None))
            done.wait()
            self._tell()

    def ready(self, readable: bool, writable: bool) -> None:
        self._woken.recv(4096)
        self._tell()

    def _tell(self) -> None:
        while self._results:
            done, result, broken = self._results.popleft()
            self.loop.guarded(done, result, broken)

    def close(self) -> None:
        self._calls.put(None)
        self.loop.forget(self._woken, self._number)
        self._woken.close()
        self._wake.close()
