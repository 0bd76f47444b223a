"""Message body framing: by length, in chunks or until the connection ends. Works on a ring, without I/O."""

from __future__ import annotations

from ..errors import InvalidDataError
from ..net.ring_buffer import RingBuffer


class MalformedBodyError(InvalidDataError):
    """The framing of a body is invalid."""

    remedy = "its sender has to frame it as RFC 9112, 7.1, says"


class Body:
    """Incremental decoder of one message body.

    `take` returns the data without the framing. `done` is true once the whole body has been taken; no
    byte after it is read, because what follows in the ring is the next message.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    TO_END = "to_end"
    MAX_SIZE_LINE_BYTES = 256  # line with a chunk's size, at most 16 digits, and its extensions
    MAX_TRAILER_BYTES = 8192  # all trailers of a body, which are ignored

    __slots__ = ("kind", "left", "done", "_state", "_trailers", "total")

    def __init__(self, kind: str, length: int = 0) -> None:
        self.kind = kind
        self.left = length
        self.total = 0
        self.done = kind == self.NONE or kind == self.LENGTH and not length
        self._state = "size"
        self._trailers = 0

    def take(self, ring: RingBuffer, max_bytes: int) -> bytes:
        """Returns up to `max_bytes` bytes of the received data; raises MalformedBodyError."""
        if self.done or max_bytes <= 0:
            return b""
        if self.kind == self.CHUNKED:
            data = self._chunks(ring, max_bytes)
        else:
            count = min(len(ring), max_bytes)
            if self.kind == self.LENGTH:
                count = min(count, self.left)
                self.left -= count
                self.done = not self.left
            data = ring.take(count)
        self.total += len(data)
        return data

    def ended(self) -> bool:
        """Records that the connection ended normally; returns whether the body is complete."""
        self.done |= self.kind == self.TO_END
        return self.done

    def _line(self, ring: RingBuffer, max_bytes: int) -> bytes | None:
        end = ring.find_end(b"\r\n")
        if not end:
            if len(ring) > max_bytes:
                raise MalformedBodyError("a line of the chunks is too long")
            return None
        if end > max_bytes + 2:
            raise MalformedBodyError("a line of the chunks is too long")
        line = ring.take(end)[:-2]
        if b"\n" in line or b"\r" in line:
            raise MalformedBodyError("a line of the chunks does not end in CRLF")
        return line

    def _chunks(self, ring: RingBuffer, max_bytes: int) -> bytes:
        parts = []
        got = 0
        while not self.done and got < max_bytes:
            if self._state == "data":
                part = ring.take(min(len(ring), self.left, max_bytes - got))
                if not part:
                    break
                parts.append(part)
                got += len(part)
                self.left -= len(part)
                if not self.left:
                    self._state = "end"
                continue
            line = self._line(
                ring, self.MAX_TRAILER_BYTES if self._state == "trailer" else self.MAX_SIZE_LINE_BYTES
            )
            if line is None:
                break
            if self._state == "end":
                if line:
                    raise MalformedBodyError("a chunk is longer than its size")
                self._state = "size"
            elif self._state == "size":
                self.left = self._size(line)
                self._state = "data" if self.left else "trailer"
            elif not line:
                self.done = True
            else:
                self._trailers += len(line) + 2
                if self._trailers > self.MAX_TRAILER_BYTES:
                    raise MalformedBodyError("the trailers are too long")
        return b"".join(parts)

    @staticmethod
    def _size(line: bytes) -> int:
        digits = line.partition(b";")[0].rstrip(b" \t")
        # int() accepts signs, underscores and blanks; another reader could then place the end elsewhere.
        if not digits or len(digits) > 16 or digits.strip(b"0123456789abcdefABCDEF"):
            raise MalformedBodyError(f"no size of a chunk: {line[:20]!r}")
        return int(digits, 16)


def chunk(data: bytes) -> bytes:
    """Returns the data encoded as one chunk, or nothing for empty data, which would encode the last chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
MAX_PIECE_BYTES = 32 << 10  # of a body, forwarded at once; half a ring
CHUNK_OVERHEAD_BYTES = 32  # at least the framing of a piece and the last chunk
