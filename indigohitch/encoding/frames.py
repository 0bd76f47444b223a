"""Frames of a binary protocol.  No I/O.

A frame is a header (magic, protocol version, kind, number of descriptors sent along, length and checksum of
the body) and a body: msgpack of one of the rows of a `MessageTypes`.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from ..errors import InvalidDataError, InvalidRequestError
from .rows import Row

_HEADER = struct.Struct("!4sBBHIQ")
HEADER_BYTES = _HEADER.size
MAX_FRAME_BYTES = 8 << 20  # larger messages are split over several frames


class BrokenFrameError(InvalidDataError):
    """Received bytes are no valid frame."""


class MessageTypes:
    """The messages of a protocol.

    `magic` is 4 bytes, `protocol` the version; `rows` are in the order of their numbers, and rows are only
    ever added at the end.
    """

    def __init__(
        self, magic: bytes, protocol: int, rows: Sequence[type[Row]], max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.magic = magic
        self.protocol = protocol
        self.rows = list(rows)
        self.max_frame_bytes = max_frame_bytes
        self.numbers = {kind: number for number, kind in enumerate(rows)}

    def frame(self, row: Row, descriptors: int = 0) -> bytes:
        """Encodes a row.

        Raises:
            InvalidRequestError: The body is larger than a frame takes.
        """
        body = msgspec.msgpack.encode(row)
        number = self.numbers[type(row)]
        if len(body) > self.max_frame_bytes:
            raise InvalidRequestError(
                f"{type(row).__name__} of {len(body)} bytes", "", f"a frame takes {self.max_frame_bytes}"
            )
        return (
            _HEADER.pack(
                self.magic,
                self.protocol,
                number,
                descriptors,
                len(body),
                xxhash.xxh3_64_intdigest(body, self.protocol << 8 | number),
            )
            + body
        )

    def head(self, data: bytes | bytearray, offset: int = 0) -> tuple[int, int, int, int, int]:
        """Returns protocol, kind, descriptors, length and checksum of the frame at `offset`.

        Raises:
            BrokenFrameError: The header is of another protocol, or invalid.
        """
        magic, protocol, number, descriptors, length, checksum = _HEADER.unpack_from(data, offset)
        if magic != self.magic or not self.protocol - 1 <= protocol <= self.protocol + 1:
            raise BrokenFrameError("another protocol")
        if number >= len(self.rows) or length > self.max_frame_bytes:
            raise BrokenFrameError(f"no such word: kind {number}, {length} bytes")
        return protocol, number, descriptors, length, checksum

    def body(self, data: bytes, protocol: int, number: int, checksum: int) -> Row:
        """Decodes the body of a frame.

        Raises:
            BrokenFrameError: The checksum is wrong, or the body is not of its kind.
        """
        if xxhash.xxh3_64_intdigest(data, protocol << 8 | number) != checksum:
            raise BrokenFrameError("a frame has another checksum than its body")
        try:
            return msgspec.msgpack.decode(data, type=self.rows[number])
        except msgspec.MsgspecError as error:
            raise BrokenFrameError(f"{self.rows[number].__name__}: {error}") from None


class FrameDecoder:
    """Decodes frames from pieces of any size."""

    def __init__(self, kinds: MessageTypes) -> None:
        self.kinds = kinds
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[Row, int]]:
        """Yields the rows that are complete, with the number of their descriptors.

        Raises:
            BrokenFrameError: The input is invalid; the decoder must not be used any more.
        """
        self.rest += data
        while len(self.rest) >= HEADER_BYTES:
            protocol, number, descriptors, length, checksum = self.kinds.head(self.rest)
            if len(self.rest) < HEADER_BYTES + length:
                return
            body = bytes(self.rest[HEADER_BYTES : HEADER_BYTES + length])
            del self.rest[: HEADER_BYTES + length]
            yield self.kinds.body(body, protocol, number, checksum), descriptors
