"""Access log with one line per RPC, written by a separate thread.

A full or slow disk never delays an RPC: lines that do not fit into the queue are dropped and counted.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Callable
from time import gmtime, strftime

import orjson

MAX_QUEUED_LINES = 20_000  # four seconds of the RPCs that one core serves, about 4 MB
LINES_PER_WRITE = 500


def format_combined(line: dict) -> bytes:
    """Returns the line in Apache's LogFormat "combined", with the start time of the request in UTC.

    A size of 0 or less is written as "-".
    """
    at = strftime("%d/%b/%Y:%H:%M:%S +0000", gmtime(line["ms"] / 1000))
    target = line["target"].replace("\\", "\\\\").replace('"', '\\"')
    size = line["size"] if line["size"] > 0 else "-"
    return (
        f'{line["client"]} - - [{at}] "{line["method"]} {target} HTTP/1.1" {line["status"]} {size} "-" "-"\n'
    ).encode("latin-1", "replace")


def format_json(line: dict) -> bytes:
    """Returns the line as a JSON object with the field names of `AccessLog.add`."""
    return orjson.dumps(line) + b"\n"


class AccessLog:
    """Queues lines and writes them to a file in a thread of its own."""

    def __init__(
        self, path: str, form: str, dropped: Callable[[], None], write: Callable[[int, bytes], int] = os.write
    ) -> None:
        """Opens the file and starts the thread; raises OSError if the file can't be opened.

        `dropped` is called once for each dropped line; `write` has the signature of os.write.
        """
        self.path = path
        self.line_format = form
        self.on_line_dropped = dropped
        self.write = write
        self.file = self.open_file()
        self.queue: deque[dict] = deque()
        self.wake_event = threading.Event()
        self.is_closing = False
        self.failed_line_count = 0  # lines lost because a write failed
        self.reopen_requested = False  # set by `reopen`, cleared by the thread
        self.thread = threading.Thread(target=self.write_lines, daemon=True)
        self.thread.start()

    def open_file(self) -> int:
        """Opens or creates the file for appending and returns its descriptor; raises OSError."""
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def add(
        self,
        started_at: int,
        now: int,
        client: str,
        method: str,
        target: str,
        rpc: str,
        status: int,
        size: int,
        id: str,
    ) -> None:
        """Queues a line; `started_at` and `now` are in tenths of a ms.

        Takes microseconds however slow the disk is. Drops the line if the queue is full.
        """
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.on_line_dropped()
            return
        self.queue.append(
            {
                "ms": started_at / 10,
                "client": client,
                "method": method,
                "target": target,
                "rpc": rpc,
                "status": status,
                "took_ms": (now - started_at) / 10,
                "size": size,
                "id": id,
            }
        )
        if not self.wake_event.is_set():
            self.wake_event.set()

    def reopen(self) -> None:
        """Makes the thread open the path again, after a rotation moved the file away."""
        self.reopen_requested = True
        self.wake_event.set()

    def write_lines(self) -> None:
        """Writes queued lines until the log is closed and the queue is empty; runs in the thread."""
        form = format_combined if self.line_format == "combined" else format_json
        while not self.is_closing or self.queue:
            self.wake_event.wait(1.0)
            self.wake_event.clear()
            if self.reopen_requested:
                self.reopen_requested = False
                try:
                    new = self.open_file()
                except OSError:  # keeps writing to the old file
                    continue
                os.close(self.file)
                self.file = new
            while self.queue:
                lines = [self.queue.popleft() for _ in range(min(LINES_PER_WRITE, len(self.queue)))]
                data = b"".join(map(form, lines))
                try:
                    while data:
                        data = data[self.write(self.file, data) :]
                except OSError:  # for example a full disk: the lines are lost and counted
                    self.failed_line_count += data.count(b"\n")

    def close(self, seconds: float = 2.0) -> None:
        """Writes the queued lines, for `seconds` at most, and stops the thread."""
        self.is_closing = True
        self.wake_event.set()
        self.thread.join(seconds)
