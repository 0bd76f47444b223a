"""Encodes and decodes frames of a binary protocol.  No I/O.

A frame consists of a header (magic, protocol version, message type, number of attached file descriptors,
length and checksum of the body) and a body: a row of one of the types in a `MessageTypes`, as msgpack.
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
    """Received bytes are not a valid frame."""


class MessageTypes:
    """Defines the message types of a protocol and encodes and decodes their frames.

    `magic` has 4 bytes and `protocol` is the version. The position of a type in `rows` is its number on the
    wire, so types are only ever added at the end.
    """

    def __init__(
        self, magic: bytes, protocol: int, rows: Sequence[type[Row]], max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.magic = magic
        self.protocol = protocol
        self.rows = list(rows)
        self.max_frame_bytes = max_frame_bytes
        self.numbers = {row_type: number for number, row_type in enumerate(rows)}

    def frame(self, row: Row, descriptors: int = 0) -> bytes:
        """Encodes a row as a frame.

        Raises:
            InvalidRequestError: The body exceeds `max_frame_bytes`.
        """
        body = msgspec.msgpack.encode(row)
        number = self.numbers[type(row)]
        if len(body) > self.max_frame_bytes:
            raise InvalidRequestError(
                f"{type(row).__name__} of {len(body)} bytes",
                "",
                f"a frame body holds at most {self.max_frame_bytes} bytes",
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

    def decode_header(self, data: bytes | bytearray, offset: int = 0) -> tuple[int, int, int, int, int]:
        """Decodes the header at `offset` into protocol, type number, descriptors, length and checksum.

        Raises:
            BrokenFrameError: The header is of another protocol or is invalid.
        """
        magic, protocol, number, descriptors, length, checksum = _HEADER.unpack_from(data, offset)
        if magic != self.magic or not self.protocol - 1 <= protocol <= self.protocol + 1:
            raise BrokenFrameError("another protocol")
        if number >= len(self.rows) or length > self.max_frame_bytes:
            raise BrokenFrameError(f"no such word: kind {number}, {length} bytes")
        return protocol, number, descriptors, length, checksum

    def decode_body(self, data: bytes, protocol: int, number: int, checksum: int) -> Row:
        """Decodes the body of a frame.

        Raises:
            BrokenFrameError: The checksum does not match, or the body is not a valid row of its type.
        """
        if xxhash.xxh3_64_intdigest(data, protocol << 8 | number) != checksum:
            raise BrokenFrameError("checksum of the frame body does not match its header")
        try:
            return msgspec.msgpack.decode(data, type=self.rows[number])
        except msgspec.MsgspecError as error:
            raise BrokenFrameError(f"{self.rows[number].__name__}: {error}") from None


class FrameDecoder:
    """Decodes a stream of frames that is received in chunks of any size."""

    def __init__(self, kinds: MessageTypes, max_body_bytes: int | None = None) -> None:
        """`max_body_bytes` limits the bodies of frames, by default to the largest one of `kinds`."""
        self.kinds = kinds
        self.max_body_bytes = kinds.max_frame_bytes if max_body_bytes is None else max_body_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[Row, int]]:
        """Yields each row that `data` completes, with the number of descriptors of its frame.

        Raises:
            BrokenFrameError: The input is invalid; the decoder must not be used again.
        """
        self.buffer += data
        while len(self.buffer) >= HEADER_BYTES:
            protocol, number, descriptors, length, checksum = self.kinds.decode_header(self.buffer)
            if length > self.max_body_bytes:
                raise BrokenFrameError(f"a frame of {length} bytes where {self.max_body_bytes} are allowed")
            if len(self.buffer) < HEADER_BYTES + length:
                return
            body = bytes(self.buffer[HEADER_BYTES : HEADER_BYTES + length])
            del self.buffer[: HEADER_BYTES + length]
            yield self.kinds.decode_body(body, protocol, number, checksum), descriptors
