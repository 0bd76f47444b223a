"""A file of any of the kinds that logs are kept in, as a stream of bytes: plain, gzip, zstd or brotli by its
ending.  What ends too early is told, after all that was whole."""

from __future__ import annotations

import gzip
import io
import zlib
from collections.abc import Callable, Iterator

from ...errors import InvalidDataError

PIECE = 1 << 18  # read at once: large enough for the parsers, small beside their memory


class Truncated(InvalidDataError):
    """The compressed stream ends, or can't be read, before its end."""


class _Unpacked(io.RawIOBase):
    """What `more` makes of the pieces that `read` gives, as a file; `whole` says at the end whether it came
    to its own end."""

    def __init__(
        self,
        read: Callable[[int], bytes],
        more: Callable[[bytes], bytes],
        whole: Callable[[], bool],
        kind: str,
    ) -> None:
        self.read_piece, self.more, self.whole, self.kind = read, more, whole, kind
        self.rest, self.over = b"", False

    def readable(self) -> bool:
        return True

    def readinto(self, into) -> int:
        while not self.rest and not self.over:
            piece = self.read_piece(PIECE)
            if not piece:
                self.over = True
                if not self.whole():
                    raise Truncated(f"the {self.kind} stream ends early")
                break
            self.rest = self.more(piece)
        got, self.rest = self.rest[: len(into)], self.rest[len(into) :]
        into[: len(got)] = got
        return len(got)


def _brotli(file) -> _Unpacked:
    import brotli

    unpacker = brotli.Decompressor()

    def more(piece: bytes) -> bytes:
        try:
            return unpacker.process(piece)
        except brotli.error:
            raise Truncated("the brotli stream can't be read") from None

    return _Unpacked(file.read, more, unpacker.is_finished, "brotli")


def _zstd(file) -> _Unpacked:
    import zstandard

    unpacker = None

    def more(piece: bytes) -> bytes:
        nonlocal unpacker
        out = b""
        try:
            while piece:
                if unpacker is None or unpacker.eof:  # a log that is appended to has several frames
                    unpacker = zstandard.ZstdDecompressor().decompressobj()
                out += unpacker.decompress(piece)
                piece = unpacker.unused_data if unpacker.eof else b""
        except zstandard.ZstdError:
            raise Truncated("the zstd stream can't be read") from None
        return out

    return _Unpacked(file.read, more, lambda: unpacker is None or unpacker.eof, "zstd")


def _gzip(file) -> _Unpacked:
    unzipped = gzip.GzipFile(fileobj=file)

    def read(size: int) -> bytes:
        try:
            return unzipped.read(size)
        except (EOFError, zlib.error, gzip.BadGzipFile) as bad:
            raise Truncated(f"the gzip stream ends early or is damaged: {bad}") from None

    return _Unpacked(read, lambda piece: piece, lambda: True, "gzip")


UNPACK = {".gz": _gzip, ".zst": _zstd, ".br": _brotli}


def plain_name(path: str) -> str:
    return next((path[: -len(ending)] for ending in UNPACK if path.endswith(ending)), path)


def opened(path: str) -> io.BufferedReader:
    """OSError where it can't be had; reading raises Truncated."""
    file = open(path, "rb", buffering=PIECE)
    for ending, unpack in UNPACK.items():
        if path.endswith(ending):
            return io.BufferedReader(unpack(file), PIECE)
    return file


LINE = 1 << 20  # the longest line that is read: a URL of a megabyte is no request of ours


def lines(stream) -> Iterator[tuple[int, bytes | None]]:
    """Numbered lines without their ends; None for one that is longer than LINE, skipped in pieces.  A last
    line without an end is of a log still being written: it is told as it stands, with a number below 0."""
    number, rest, skipping = 0, b"", False
    while True:
        piece = stream.readline(LINE + 2)
        if not piece:
            if skipping:
                yield number, None
            return
        whole = piece.endswith(b"\n")
        if skipping:
            if whole:
                skipping = False
                yield number, None
            continue
        number += 1
        rest = piece.rstrip(b"\r\n")
        if len(rest) > LINE:
            skipping = not whole
            if whole:
                yield number, None
            continue
        yield (number if whole else -number), rest
