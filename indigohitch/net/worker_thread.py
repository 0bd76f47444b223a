"""Work beside the event loop: one thread takes calls in order, their results come back into the loop.

For pure functions that may take long, such as the decisions on thousands of slices; nothing else may touch
their data meanwhile.  Not used on the platform.
"""

from __future__ import annotations

import contextlib
import queue
import socket
import sys
import threading
from collections import deque
from collections.abc import Callable

from .connection import READ
from .loop import EventLoop


class WorkerThread:
    """A daemon thread, started with the first call; results are delivered in turns of the loop."""

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

    def submit(
        self, call: Callable[[], object], done: Callable[[object, BaseException | None], None]
    ) -> None:
        """Queues a call; `done(result, error)` is called in a turn of the loop."""
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
            except Exception as error:  # reported where the loop reports its own
                self._results.append((done, None, error))
            # Full: the loop is awake anyway; closed: nobody waits any more.
            with contextlib.suppress(OSError):
                self._wake.send(b"x")

    def settle(self) -> None:
        """Waits until all queued calls are done, and delivers their results."""
        if self._thread is not None:
            done = threading.Event()
            self._calls.put((done.set, lambda result, error: None))
            done.wait()
            self._deliver()

    def ready(self, readable: bool, writable: bool) -> None:
        """Delivers results when the thread has woken the loop."""
        self._woken.recv(4096)
        self._deliver()

    def _deliver(self) -> None:
        while self._results:
            done, result, error = self._results.popleft()
            self.loop.guarded(done, result, error)

    def close(self) -> None:
        """Ends the thread after the calls in the queue; their results are dropped."""
        self._calls.put(None)
        self.loop.forget(self._woken, self._number)
        self._woken.close()
        self._wake.close()
