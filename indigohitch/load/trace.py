"""The trace file: versioned, compact, checksummed, indexed by time.

    magic, version                        8 bytes
    blocks: length, checksum, zstd(msgpack of up to BLOCK requests, in order of time)
    index:  length, checksum, zstd(msgpack: head, and for each block its first and last time, place, count)
    place of the index, magic             16 bytes

A file is written beside its name and put there once whole: half a trace is none."""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable, Iterator

import msgspec
import xxhash
import zstandard

from ..errors import InvalidDataError, InvalidRequestError
from .entry import Request

MAGIC, VERSION = b"IHTRACE", 1
BLOCK = 4096  # requests: some 100 KB packed; less packs worse, more is read for nothing
LEVEL = 6  # of zstd: past it packing costs more than it saves


class Damaged(InvalidDataError):
    """What is no trace, or not whole."""

    remedy = "compile it anew from its sources"


class Head(msgspec.Struct):
    """Stored as a map, and shown by `load show`: `name` is the name there, whatever the field is called."""

    began: int = msgspec.field(name="began")  # Unix time of the first request, tenths of a ms
    count: int = msgspec.field(name="count")
    span: int = msgspec.field(name="span")  # from the first request to the last
    sources: list[str] = msgspec.field(name="sources")
    counts: dict[str, int] = msgspec.field(name="counts")  # repairs and what was not read
    unsafe: int = msgspec.field(name="unsafe")


class Block(msgspec.Struct, array_like=True):
    first: int
    last: int
    place: int
    count: int


class Index(msgspec.Struct):
    """Stored as a map, as Head."""

    head: Head = msgspec.field(name="head")
    blocks: list[Block] = msgspec.field(name="blocks")


def _packed(data: bytes) -> bytes:
    small = zstandard.ZstdCompressor(level=LEVEL).compress(data)
    return struct.pack("<IQ", len(small), xxhash.xxh3_64_intdigest(small)) + small


def write(
    path: str, requests: Iterable[Request], began: int, sources: list[str], counts: dict[str, int]
) -> Head:
    """The trace at `path`; `counts` is read at the end."""
    blocks, held, count, unsafe, last = [], [], 0, 0, 0
    part = path + ".part"
    with open(part, "wb") as file:
        file.write(MAGIC + bytes([VERSION]))

        def out() -> None:
            blocks.append(Block(held[0].at, held[-1].at, file.tell(), len(held)))
            file.write(_packed(msgspec.msgpack.encode(held)))
            held.clear()

        for request in requests:
            if request.at < last:
                raise InvalidRequestError("a trace is written in order of time", path)
            last, count, unsafe = request.at, count + 1, unsafe + request.unsafe
            held.append(request)
            if len(held) == BLOCK:
                out()
        if held:
            out()
        head = Head(began, count, last, sources, dict(counts), unsafe)
        place = file.tell()
        file.write(_packed(msgspec.msgpack.encode(Index(head, blocks))))
        file.write(struct.pack("<Q", place) + MAGIC + bytes([VERSION]))
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    return head


class Trace:
    """A trace that is read.  Raises Damaged, OSError."""

    def __init__(self, path: str) -> None:
        self.path, self.file = path, open(path, "rb")
        end = self.file.seek(0, os.SEEK_END)
        self.file.seek(0)
        first = self.file.read(8)
        if first[:7] != MAGIC:
            raise Damaged("no trace", path)
        if first[7] != VERSION:
            raise Damaged(f"version {first[7]}, and only {VERSION} can be read", path)
        self.file.seek(max(8, end - 16))
        tail = self.file.read()
        if len(tail) != 16 or tail[8:] != first:
            raise Damaged("cut off: it has no index", path)
        found = self.block(struct.unpack("<Q", tail[:8])[0])
        try:
            index = msgspec.msgpack.decode(found, type=Index)
        except msgspec.DecodeError as bad:
            raise Damaged(f"its index can't be read: {bad}", path) from None
        self.head, self.blocks = index.head, index.blocks
        self.identity = f"{xxhash.xxh3_64_intdigest(found):016x}"  # of what it holds, not of its name

    def block(self, place: int) -> bytes:
        self.file.seek(place)
        lead = self.file.read(12)
        if len(lead) < 12:
            raise Damaged(f"cut off at {place}", self.path)
        length, told = struct.unpack("<IQ", lead)
        data = self.file.read(length)
        if len(data) < length or xxhash.xxh3_64_intdigest(data) != told:
            raise Damaged(f"the block at {place} is damaged", self.path)
        return zstandard.ZstdDecompressor().decompress(data)

    def requests(self, start: int = 0, end: int | None = None) -> Iterator[tuple[int, Request]]:
        """Numbered requests from `start` until before `end`, tenths of a ms; no other block is read."""
        number = 0
        for block in self.blocks:
            if block.last >= start and (end is None or block.first < end):
                found = msgspec.msgpack.decode(self.block(block.place), type=list[Request])
                for at, request in enumerate(found, number):
                    if request.at >= start and (end is None or request.at < end):
                        yield at, request
            number += block.count

    def close(self) -> None:
        self.file.close()
