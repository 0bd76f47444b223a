"""A thread that runs calls in order outside of the event loop and delivers their results in the loop.

It is meant for pure functions that may take long, such as the decisions on thousands of slices; nothing else
may use their data while they run.  The sidecar and the fleet use it; the coordinator on the platform does
not.
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
    """Runs calls in a daemon thread that starts with the first call; results are delivered in the loop."""

    # How long the thread may keep the interpreter lock while the loop waits for it: a tenth of the time
    # of a fast response.
    SWITCH_INTERVAL = 0.0005  # s

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self._calls: queue.SimpleQueue = queue.SimpleQueue()
        self._results: deque[tuple[Callable, object, BaseException | None]] = deque()
        self._wake_reader, self._wake_writer = socket.socketpair()
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        self._number = loop.watch(self._wake_reader, self, READ)
        self._thread: threading.Thread | None = None

    def submit(
        self, call: Callable[[], object], done: Callable[[object, BaseException | None], None]
    ) -> None:
        """Queues a call; `done(result, error)` is called in a turn of the loop."""
        if self._thread is None:
            sys.setswitchinterval(self.SWITCH_INTERVAL)
            self._thread = threading.Thread(target=self._work, daemon=True)
            self._thread.start()
        self._calls.put((call, done))

    def _work(self) -> None:
        while (entry := self._calls.get()) is not None:
            call, done = entry
            try:
                self._results.append((done, call(), None))
            except Exception as error:  # `done` gets it in a turn of the loop
                self._results.append((done, None, error))
            # A full socket has woken the loop already; with a closed one nobody waits for results.
            with contextlib.suppress(OSError):
                self._wake_writer.send(b"x")

    def settle(self) -> None:
        """Blocks until all queued calls are done and delivers their results."""
        if self._thread is not None:
            done = threading.Event()
            self._calls.put((done.set, lambda result, error: None))
            done.wait()
            self._deliver()

    def ready(self, readable: bool, writable: bool) -> None:
        """Delivers the results for which the thread has woken the loop."""
        self._wake_reader.recv(4096)
        self._deliver()

    def _deliver(self) -> None:
        while self._results:
            done, result, error = self._results.popleft()
            self.loop.guarded(done, result, error)

    def close(self) -> None:
        """Ends the thread after the queued calls; their results are dropped."""
        self._calls.put(None)
        self.loop.forget(self._wake_reader, self._number)
        self._wake_reader.close()
        self._wake_writer.close()
