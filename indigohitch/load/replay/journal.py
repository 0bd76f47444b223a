"""What went out of the non-idempotent requests, on disk: written before the first byte of one goes, so that
after any end of the process each is known to have gone, or not to have.

    {"version": 1, "trace": ..., "plan": ...}
    S 17 5f3a       17 is being sent
    A 17 90c1       it was answered, or a stand-in said that it acted on it

The last word is a checksum of the rest.  A line that is cut off at the very end was never acted on: its
sending had not begun.  That holds for the end of the process, not of the machine."""

from __future__ import annotations

import os
import zlib

import orjson

from ...errors import InvalidDataError


class Unusable(InvalidDataError):
    """A journal that is of another replay, or damaged."""

    remedy = "begin with a new journal, once it is known that the last replay may be sent again"


def line(kind: str, number: int) -> bytes:
    text = f"{kind} {number}"
    return f"{text} {zlib.crc32(text.encode()) & 0xFFFF:04x}\n".encode()


class Journal:
    def __init__(self, path: str, trace: str, plan: str) -> None:
        """Of that trace and that part of it; raises Unusable, OSError."""
        self.path, self.sending, self.acted = path, set(), set()
        head = {"version": 1, "trace": trace, "plan": plan}
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        with open(path, "rb") as file:
            found = file.read()
        whole = found[: found.rfind(b"\n") + 1]
        if len(whole) < len(found):
            os.ftruncate(self.file, len(whole))
        if not whole:
            os.write(self.file, orjson.dumps(head) + b"\n")
            return
        first, *lines = whole.splitlines()
        try:
            told = orjson.loads(first)
        except orjson.JSONDecodeError:
            raise Unusable("no journal", path, "name a file of a journal, or one that is not there") from None
        if told != head:
            differ = sorted(k for k in head if not isinstance(told, dict) or told.get(k) != head[k])
            raise Unusable(f"of another replay ({', '.join(differ)} differ)", path, "begin with a new one")
        for at, text in enumerate(lines, 2):
            kind, _, rest = text.decode("latin-1").partition(" ")
            number = rest.partition(" ")[0]
            if kind not in ("S", "A") or not number.isdigit() or text + b"\n" != line(kind, int(number)):
                raise Unusable("damaged; what went can't be known any more", f"{path}:{at}")
            (self.sending if kind == "S" else self.acted).add(int(number))

    def send(self, numbers: list[int]) -> None:
        """Before any byte of them goes; once for all that go in a turn."""
        if numbers:
            os.write(self.file, b"".join(line("S", n) for n in numbers))
            self.sending.update(numbers)

    def done(self, number: int) -> None:
        if number not in self.acted:
            self.acted.add(number)
            os.write(self.file, line("A", number))

    def open_ones(self) -> list[int]:
        """Sent, and nobody knows what became of them."""
        return sorted(self.sending - self.acted)

    def close(self) -> None:
        os.fsync(self.file)
        os.close(self.file)
