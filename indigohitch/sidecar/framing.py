"""Where a body ends: by its length, in chunks, or with its connection.  No I/O: works on a ring."""

from __future__ import annotations

from ..errors import InvalidDataError
from ..net.ring_buffer import RingBuffer


class Malformed(InvalidDataError):
    """The body is not framed as its head said."""

    remedy = "its sender has to frame it as RFC 9112, 7.1, says"


class Body:
    """The body of one message as it comes.  `take` gives its data without the framing; `done` once all of it
    has been taken, never a byte past it: what follows in the ring is the next message."""

    NONE, LENGTH, CHUNKED, TO_END = "none", "length", "chunked", "to_end"
    LINE = 256  # of a chunk's size with its extensions; sizes are 16 digits at most
    TRAILERS = 8192  # bytes of trailers, which are read over

    __slots__ = ("kind", "left", "done", "_state", "_trailers", "total")

    def __init__(self, kind: str, length: int = 0) -> None:
        self.kind, self.left, self.total = kind, length, 0
        self.done = kind == self.NONE or kind == self.LENGTH and not length
        self._state, self._trailers = "size", 0

    def take(self, ring: RingBuffer, most: int) -> bytes:
        """Up to `most` bytes of data that have come; raises Malformed."""
        if self.done or most <= 0:
            return b""
        if self.kind == self.CHUNKED:
            data = self._chunks(ring, most)
        else:
            count = min(len(ring), most)
            if self.kind == self.LENGTH:
                count = min(count, self.left)
                self.left -= count
                self.done = not self.left
            data = ring.take(count)
        self.total += len(data)
        return data

    def ended(self) -> bool:
        """The connection ended in order: was that the end of the body?"""
        self.done |= self.kind == self.TO_END
        return self.done

    def _line(self, ring: RingBuffer, most: int) -> bytes | None:
        end = ring.find_end(b"\r\n")
        if not end:
            if len(ring) > most:
                raise Malformed("a line of the chunks is too long")
            return None
        if end > most + 2:
            raise Malformed("a line of the chunks is too long")
        line = ring.take(end)[:-2]
        if b"\n" in line or b"\r" in line:
            raise Malformed("a line of the chunks does not end in CRLF")
        return line

    def _chunks(self, ring: RingBuffer, most: int) -> bytes:
        parts, got = [], 0
        while not self.done and got < most:
            if self._state == "data":
                part = ring.take(min(len(ring), self.left, most - got))
                if not part:
                    break
                parts.append(part)
                got += len(part)
                self.left -= len(part)
                if not self.left:
                    self._state = "end"
                continue
            line = self._line(ring, self.TRAILERS if self._state == "trailer" else self.LINE)
            if line is None:
                break
            if self._state == "end":
                if line:
                    raise Malformed("a chunk is longer than its size")
                self._state = "size"
            elif self._state == "size":
                self.left = self._size(line)
                self._state = "data" if self.left else "trailer"
            elif not line:
                self.done = True
            else:
                self._trailers += len(line) + 2
                if self._trailers > self.TRAILERS:
                    raise Malformed("the trailers are too long")
        return b"".join(parts)

    @staticmethod
    def _size(line: bytes) -> int:
        digits = line.partition(b";")[0].rstrip(b" \t")
        # int() would take signs, underscores and blanks, and two readers would differ on where a body ends.
        if not digits or len(digits) > 16 or digits.strip(b"0123456789abcdefABCDEF"):
            raise Malformed(f"no size of a chunk: {line[:20]!r}")
        return int(digits, 16)


def chunk(data: bytes) -> bytes:
    """Data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
