"""What the two processes say to each other, and the frames it goes in.  No I/O.

A frame: magic, protocol version, kind, number of descriptors that come with it, length and checksum of its
body; the body is msgpack of one of the structs below.  The descriptors ride on the frame's first byte."""
from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec
import xxhash

PROTOCOL = 1
MAGIC = b"IHup"
_HEAD = struct.Struct("!4sBBHIQ")
MOST = 8 << 20                  # of one frame; a larger state goes in several


class Broken(ValueError):
    """Not what the other side would say."""


class Word(msgspec.Struct, array_like=True):
    """Fields are only ever added, at the end and with a default: a version older or newer by one reads it."""


class Hello(Word):
    """New to old: I am here, and this is what I read."""
    protocol: int
    schema: int
    pid: int
    version: str = ""


class Listeners(Word):
    """Old to new, with their descriptors: listening sockets by name, in order."""
    names: list[str]
    now: int                    # of the old one's clock, which the new one takes over
    state_bytes: int
    rehearse_at: int            # at this time the new one is to say what its module would order


class Piece(Word):
    """A part of the state."""
    data: bytes


class Restored(Word):
    """The state, read and written again, has this digest."""
    digest: bytes


class Proven(Word):
    orders: bytes               # digest of what its module would order at `rehearse_at`


class Passed(Word):
    """With their descriptors: connections, by number, what each brought that nobody read, and what it is."""
    numbers: list[int]
    rests: list[bytes]
    kinds: list[str]


class Commit(Word):
    """You accept from here on.  `rest`: what came since the state was taken; `reload`: SIGHUP came."""
    rest: bytes
    reload: bool = False


class Accepting(Word):
    pass


class Adopted(Word):
    """These have their owner now."""
    numbers: list[int]


class Rest(Word):
    """What the old one still met while it drained."""
    rest: bytes


class Done(Word):
    pass


class CallOff(Word):
    why: str


class Refuse(Word):
    why: str


KINDS: list[type[Word]] = [Hello, Listeners, Piece, Restored, Proven, Passed, Commit, Accepting, Adopted,
                           Rest, Done, CallOff, Refuse]
_NUMBER = {kind: number for number, kind in enumerate(KINDS)}


def frame(word: Word, descriptors: int = 0) -> bytes:
    body = msgspec.msgpack.encode(word)
    if len(body) > MOST:
        raise ValueError(f"{type(word).__name__} of {len(body)} bytes")
    return _HEAD.pack(MAGIC, PROTOCOL, _NUMBER[type(word)], descriptors, len(body),
                      xxhash.xxh3_64_intdigest(body, PROTOCOL << 8 | _NUMBER[type(word)])) + body


class Frames:
    """Frames out of the pieces in which they come."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[Word, int]]:
        """Words with the number of their descriptors; raises Broken, and then is of no more use."""
        self.rest += data
        while len(self.rest) >= _HEAD.size:
            magic, protocol, number, descriptors, length, checksum = _HEAD.unpack_from(self.rest)
            if magic != MAGIC or not PROTOCOL - 1 <= protocol <= PROTOCOL + 1:
                raise Broken("another protocol")
            if number >= len(KINDS) or length > MOST:
                raise Broken(f"no such word: kind {number}, {length} bytes")
            if len(self.rest) < _HEAD.size + length:
                return
            body = bytes(self.rest[_HEAD.size:_HEAD.size + length])
            del self.rest[:_HEAD.size + length]
            if xxhash.xxh3_64_intdigest(body, protocol << 8 | number) != checksum:
                raise Broken("a frame has another checksum than its body")
            try:
                yield msgspec.msgpack.decode(body, type=KINDS[number]), descriptors
            except msgspec.MsgspecError as bad:
                raise Broken(f"{KINDS[number].__name__}: {bad}") from None
