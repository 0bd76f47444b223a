"""A file of any of the kinds that logs are kept in, as a stream of bytes: plain, gzip, zstd or brotli by its
ending.  What ends too early is told, after all that was whole."""
from __future__ import annotations

import gzip
import io
import zlib
from collections.abc import Iterator

ENDINGS = (".gz", ".zst", ".br")
PIECE = 1 << 18                 # read at once: large enough for the parsers, small beside their memory


class Truncated(ValueError):
    """The compressed stream ends, or can't be read, before its end."""


def plain_name(path: str) -> str:
    return next((path[:-len(e)] for e in ENDINGS if path.endswith(e)), path)


class _Brotli(io.RawIOBase):
    """Brotli's decompressor as a file."""

    def __init__(self, file) -> None:
        import brotli
        self.file, self.error = file, brotli.error
        self.decompressor, self.rest, self.over = brotli.Decompressor(), b"", False

    def readable(self) -> bool:
        return True

    def readinto(self, into) -> int:
        while not self.rest and not self.over:
            piece = self.file.read(PIECE)
            if not piece:
                self.over = True
                if not self.decompressor.is_finished():
                    raise Truncated("the brotli stream ends early")
                break
            try:
                self.rest = self.decompressor.process(piece)
            except self.error:
                raise Truncated("the brotli stream can't be read") from None
        got, self.rest = self.rest[:len(into)], self.rest[len(into):]
        into[:len(got)] = got
        return len(got)


class _Told(io.RawIOBase):
    """Another stream whose errors of a cut-off file are all Truncated; as many bytes as came before count."""

    def __init__(self, stream) -> None:
        self.stream, self.broken = stream, ""

    def readable(self) -> bool:
        return True

    def readinto(self, into) -> int:
        if self.broken:
            raise Truncated(self.broken)
        try:
            piece = self.stream.read(len(into))
        except (EOFError, zlib.error, gzip.BadGzipFile) as bad:
            raise Truncated(f"the gzip stream ends early or is damaged: {bad}") from None
        into[:len(piece)] = piece
        return len(piece)


def opened(path: str) -> io.BufferedReader:
    """OSError where it can't be had; reading raises Truncated."""
    file = open(path, "rb")
    if path.endswith(".gz"):
        return io.BufferedReader(_Told(gzip.GzipFile(fileobj=file)), PIECE)
    if path.endswith(".zst"):
        import zstandard
        return io.BufferedReader(_Zstd(zstandard, file), PIECE)
    if path.endswith(".br"):
        return io.BufferedReader(_Brotli(file), PIECE)
    return io.BufferedReader(file.detach(), PIECE) if isinstance(file, io.BufferedReader) else file


class _Zstd(io.RawIOBase):
    def __init__(self, zstandard, file) -> None:
        self.error = zstandard.ZstdError
        self.file, self.rest, self.eof = file, b"", False
        self.decompressor = zstandard.ZstdDecompressor().decompressobj(read_across_frames=False)
        self.make = lambda: zstandard.ZstdDecompressor().decompressobj(read_across_frames=False)
        self.begun = False

    def readable(self) -> bool:
        return True

    def readinto(self, into) -> int:
        while not self.rest and not self.eof:
            piece = self.file.read(PIECE)
            if not piece:
                self.eof = True
                if self.begun and not self.decompressor.eof:
                    raise Truncated("the zstd stream ends early")
                break
            try:
                while piece:
                    if self.decompressor.eof:           # a log appended to has several frames
                        self.decompressor = self.make()
                    self.begun = True
                    self.rest += self.decompressor.decompress(piece)
                    piece = self.decompressor.unused_data if self.decompressor.eof else b""
            except self.error:
                raise Truncated("the zstd stream can't be read") from None
        got, self.rest = self.rest[:len(into)], self.rest[len(into):]
        into[:len(got)] = got
        return len(got)


LINE = 1 << 20                  # the longest line that is read: a URL of a megabyte is no request of ours


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
