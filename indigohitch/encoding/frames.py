"""Frames: magic, protocol version, kind, number of descriptors that come with it, length and checksum of its
body; the body is msgpack of one of the rows of a `Kinds`.  No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from ..errors import InvalidDataError, InvalidRequestError
from .rows import Row

_HEAD = struct.Struct("!4sBBHIQ")
HEADER_BYTES = _HEAD.size
MAX_FRAME_BYTES = 8 << 20  # of one frame; what is larger goes in several


class BrokenFrameError(InvalidDataError):
    """Not what the other side would say."""


class MessageTypes:
    """A protocol: `magic` (4 bytes), `protocol` (its version), and its rows in the order of their numbers, to
    which rows are only ever added at the end."""

    def __init__(
        self, magic: bytes, protocol: int, rows: Sequence[type[Row]], most: int = MAX_FRAME_BYTES
    ) -> None:
        self.magic, self.protocol, self.rows, self.most = magic, protocol, list(rows), most
        self.numbers = {kind: number for number, kind in enumerate(rows)}

    def frame(self, row: Row, descriptors: int = 0) -> bytes:
        """Raises Unfit for a body larger than a frame takes."""
        body, number = msgspec.msgpack.encode(row), self.numbers[type(row)]
        if len(body) > self.most:
            raise InvalidRequestError(
                f"{type(row).__name__} of {len(body)} bytes", "", f"a frame takes {self.most}"
            )
        return (
            _HEAD.pack(
                self.magic,
                self.protocol,
                number,
                descriptors,
                len(body),
                xxhash.xxh3_64_intdigest(body, self.protocol << 8 | number),
            )
            + body
        )

    def head(self, data: bytes | bytearray, at: int = 0) -> tuple[int, int, int, int, int]:
        """Protocol, kind, descriptors, length and checksum of the frame that begins there; raises Broken."""
        magic, protocol, number, descriptors, length, checksum = _HEAD.unpack_from(data, at)
        if magic != self.magic or not self.protocol - 1 <= protocol <= self.protocol + 1:
            raise BrokenFrameError("another protocol")
        if number >= len(self.rows) or length > self.most:
            raise BrokenFrameError(f"no such word: kind {number}, {length} bytes")
        return protocol, number, descriptors, length, checksum

    def body(self, data: bytes, protocol: int, number: int, checksum: int) -> Row:
        """Raises Broken."""
        if xxhash.xxh3_64_intdigest(data, protocol << 8 | number) != checksum:
            raise BrokenFrameError("a frame has another checksum than its body")
        try:
            return msgspec.msgpack.decode(data, type=self.rows[number])
        except msgspec.MsgspecError as bad:
            raise BrokenFrameError(f"{self.rows[number].__name__}: {bad}") from None


class FrameDecoder:
    """Frames out of the pieces in which they come."""

    def __init__(self, kinds: MessageTypes) -> None:
        self.kinds, self.rest = kinds, bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[Row, int]]:
        """Rows with the number of their descriptors; raises Broken, and then is of no more use."""
        self.rest += data
        while len(self.rest) >= HEADER_BYTES:
            protocol, number, descriptors, length, checksum = self.kinds.head(self.rest)
            if len(self.rest) < HEADER_BYTES + length:
                return
            body = bytes(self.rest[HEADER_BYTES : HEADER_BYTES + length])
            del self.rest[: HEADER_BYTES + length]
            yield self.kinds.body(body, protocol, number, checksum), descriptors
