"""The access log: one line an RPC, written beside the loop.  A full or slow disk never delays an RPC: what
does not fit into the queue is dropped and counted."""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Callable
from time import gmtime, strftime

import orjson

QUEUE = 20_000  # lines: four seconds of all that one core serves, some 4 MB
LINES = 500  # written at once


def combined(line: dict) -> bytes:
    """Source: Apache's LogFormat "combined"; the stamp is of the request's begin, in UTC."""
    at = strftime("%d/%b/%Y:%H:%M:%S +0000", gmtime(line["ms"] / 1000))
    target = line["target"].replace("\\", "\\\\").replace('"', '\\"')
    size = line["size"] if line["size"] > 0 else "-"
    return (
        f'{line["client"]} - - [{at}] "{line["method"]} {target} HTTP/1.1" {line["status"]} {size} "-" "-"\n'
    ).encode("latin-1", "replace")


def as_json(line: dict) -> bytes:
    return orjson.dumps(line) + b"\n"


class AccessLog:
    def __init__(self, path: str, form: str, dropped: Callable[[], None], write=os.write) -> None:
        """OSError where the file can't be had.  `dropped` counts one line; `write` as os.write."""
        self.path, self.form, self.dropped, self.write = path, form, dropped, write
        self.file = self.opened()
        self.queue: deque[dict] = deque()
        self.wake, self.ending = threading.Event(), False
        self.failed = 0  # lines that the disk did not take
        self.anew = False  # the file is to be opened again: it was moved away
        self.thread = threading.Thread(target=self.work, daemon=True)
        self.thread.start()

    def opened(self) -> int:
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def add(
        self,
        began: int,
        now: int,
        client: str,
        method: str,
        target: str,
        rpc: str,
        status: int,
        size: int,
        id: str,
    ) -> None:
        """Times in tenths of a ms.  Takes microseconds, whatever the disk does."""
        if len(self.queue) >= QUEUE:
            self.dropped()
            return
        self.queue.append(
            {
                "ms": began / 10,
                "client": client,
                "method": method,
                "target": target,
                "rpc": rpc,
                "status": status,
                "took_ms": (now - began) / 10,
                "size": size,
                "id": id,
            }
        )
        if not self.wake.is_set():
            self.wake.set()

    def reopen(self) -> None:
        self.anew = True
        self.wake.set()

    def work(self) -> None:
        form = combined if self.form == "combined" else as_json
        while not self.ending or self.queue:
            self.wake.wait(1.0)
            self.wake.clear()
            if self.anew:
                self.anew = False
                try:
                    new = self.opened()
                except OSError:  # the old one goes on
                    continue
                os.close(self.file)
                self.file = new
            while self.queue:
                lines = [self.queue.popleft() for _ in range(min(LINES, len(self.queue)))]
                data = b"".join(map(form, lines))
                try:
                    while data:
                        data = data[self.write(self.file, data) :]
                except OSError:  # a full disk: these lines are lost, and counted
                    self.failed += data.count(b"\n")

    def close(self, seconds: float = 2.0) -> None:
        """What waits is written, for so long."""
        self.ending = True
        self.wake.set()
        self.thread.join(seconds)
