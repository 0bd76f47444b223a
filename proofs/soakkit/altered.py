"""The real coordinator with a wall clock that steps and system calls that fail for a moment.

SOAK_FAULTS names a file of JSON: `rate` of the calls that fail, until `until` (monotonic seconds), with the
chance of `seed`; `wall`, seconds by which the wall clock is moved.  SOAK_BROKEN names a guard to take out."""

from __future__ import annotations

import errno
import json
import os
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

ON_ACCEPT = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPROTO)
ON_SOCKET = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ON_CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH, errno.ETIMEDOUT)
ON_TRANSFER = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
SHORT = 40  # bytes of a short read or write, at the most
LOOK = 0.05  # s between looks at the file

_wall, _monotonic = time.time_ns, time.monotonic


class Faults:
    """What the file says, looked at now and then."""

    def __init__(self, file: str) -> None:
        self.file, self.looked, self.written = file, 0.0, 0
        self.rate = self.until = 0.0
        self.wall = 0
        self.chance = random.Random(0)

    def look(self) -> None:
        if _monotonic() < self.looked + LOOK:
            return
        self.looked = _monotonic()
        try:
            written = os.stat(self.file).st_mtime_ns
            if written == self.written:
                return
            told = json.loads(Path(self.file).read_text())
        except (OSError, ValueError):
            return
        self.written = written
        self.rate, self.until = told.get("rate", 0.0), told.get("until", 0.0)
        self.wall = int(told.get("wall", 0) * 1e9)
        self.chance = random.Random(told.get("seed", 0))

    def strikes(self) -> bool:
        self.look()
        return _monotonic() < self.until and self.chance.random() < self.rate


FAULTS = Faults(os.environ.get("SOAK_FAULTS", ""))


class FaultySocket(socket.socket):
    def __init__(self, *words, **more) -> None:
        made_here = more.get("fileno") is None
        if made_here and FAULTS.strikes():
            raise OSError(FAULTS.chance.choice(ON_SOCKET), "socket")
        super().__init__(*words, **more)

    def accept(self):
        if FAULTS.strikes():
            raise OSError(FAULTS.chance.choice(ON_ACCEPT), "accept")
        return super().accept()

    def connect_ex(self, address) -> int:
        if FAULTS.strikes():
            return FAULTS.chance.choice(ON_CONNECT)
        return super().connect_ex(address)

    def recv_into(self, buffer, nbytes: int = 0, flags: int = 0) -> int:
        if FAULTS.strikes():
            if FAULTS.chance.random() < 0.2:
                raise OSError(FAULTS.chance.choice(ON_TRANSFER), "recv")
            nbytes = min(nbytes or len(buffer), FAULTS.chance.randint(1, SHORT))
        return super().recv_into(buffer, nbytes, flags)

    def send(self, data, flags: int = 0) -> int:
        if FAULTS.strikes():
            if FAULTS.chance.random() < 0.2:
                raise OSError(FAULTS.chance.choice(ON_TRANSFER), "send")
            data = memoryview(data)[: FAULTS.chance.randint(1, SHORT)]
        return super().send(data, flags)


def wall_ns() -> int:
    FAULTS.look()
    return _wall() + FAULTS.wall


def main() -> int:
    time.time_ns = wall_ns
    time.time = lambda: wall_ns() / 1e9
    socket.socket = FaultySocket
    from indigohitch import service
    from proofs.soakkit import broken

    broken.take_out(os.environ.get("SOAK_BROKEN", ""))
    return service.main()


if __name__ == "__main__":
    sys.exit(main())
