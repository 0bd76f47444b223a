"""A ring buffer: bytes between a socket and who reads or writes it, in order, in one reused block."""

from __future__ import annotations

import socket


class BufferPool:
    """What all rings together may hold beyond their first block: many connections that each stay
    within their own bound must not fill the memory together."""

    def __init__(self, size: int) -> None:
        self.left = size

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        return True

    def give(self, size: int) -> None:
        self.left += size


class RingBuffer:
    FIRST = 4096  # most messages are far smaller; a thousand of these are 4 MB

    def __init__(self, most: int, pool: BufferPool) -> None:
        self.most, self._pool = most, pool
        self._block = bytearray()  # most connections never have anything to wait
        self._head = self._size = self._scanned = 0

    def __len__(self) -> int:
        return self._size

    def _grow(self, need: int) -> bool:
        """Make room for `need` more bytes, within the bound and the pool."""
        room = max(len(self._block), self.FIRST)
        while room < self._size + need:
            room *= 2
        room = min(room, self.most)
        if room < self._size + need or not self._pool.take(self._counted(room) - self._counted()):
            return False
        block = bytearray(room)
        block[: self._size] = self.peek()
        self._block, self._head = block, 0
        return True

    def _counted(self, room: int | None = None) -> int:
        """What the pool counts: all beyond the first block, which everyone may have."""
        return max(0, (len(self._block) if room is None else room) - self.FIRST)

    def allow(self, most: int) -> None:
        """Another bound, no lower than what is held."""
        self.most = most

    def close(self) -> None:
        self._pool.give(self._counted())
        self._block, self._head, self._size, self._scanned = bytearray(), 0, 0, 0

    def trim(self) -> None:
        """An empty one gives back what it has beyond its first block."""
        if not self._size and len(self._block) > self.FIRST:
            self.close()

    def fill(self, sock: socket.socket, most: int = 1 << 20) -> int:
        """Read once from the socket, `most` bytes: bytes read, 0 at its end, -1 if there is no room."""
        if self._size == len(self._block) and not self._grow(1):
            return -1
        tail = (self._head + self._size) % len(self._block)
        end = len(self._block) if tail >= self._head else self._head
        with memoryview(self._block) as view:
            got = sock.recv_into(view[tail : min(end, tail + most)])
        self._size += got
        return got

    def empty_into(self, sock: socket.socket) -> None:
        """Write once to the socket, as much as it takes."""
        with memoryview(self._block) as view:
            self.skip(sock.send(view[self._head : min(self._head + self._size, len(self._block))]))

    def push(self, data: bytes) -> bool:
        if not data:
            return True
        if self._size + len(data) > len(self._block) and not self._grow(len(data)):
            return False
        tail = (self._head + self._size) % len(self._block)
        first = min(len(data), len(self._block) - tail)
        self._block[tail : tail + first] = data[:first]
        self._block[: len(data) - first] = data[first:]
        self._size += len(data)
        return True

    def peek(self, count: int | None = None) -> bytes:
        count = self._size if count is None else count
        end = self._head + count
        if end <= len(self._block):
            return bytes(self._block[self._head : end])
        return bytes(self._block[self._head :] + self._block[: end - len(self._block)])

    def skip(self, count: int) -> None:
        self._size -= count
        self._head = (self._head + count) % len(self._block) if self._size else 0
        self._scanned = max(0, self._scanned - count)

    def take(self, count: int | None = None) -> bytes:
        data = self.peek(count)
        self.skip(len(data))
        return data

    def line(self) -> bytes | None:
        """The next line without its end, None if it has not all come.  Looked through once only."""
        room, start = len(self._block), self._head + self._scanned
        end = self._head + self._size
        at = self._block.find(b"\n", start, min(end, room)) if start < room else -1
        if at < 0 and end > room:
            at = self._block.find(b"\n", max(0, start - room), end - room)
            at = at + room if at >= 0 else -1
        if at < 0:
            self._scanned = self._size
            return None
        count = at - self._head
        data = self.take(count + 1)
        self._scanned = 0
        return data[:-1].removesuffix(b"\r")

    def until(self, mark: bytes) -> int:
        """How many bytes up to and with `mark`, 0 if it has not all come.  Looked through once only."""
        start = max(0, self._scanned - len(mark) + 1)
        if self._head + self._size <= len(self._block):
            at = self._block.find(mark, self._head + start, self._head + self._size) - self._head
        else:
            at = self.peek().find(mark, start)
        self._scanned = self._size if at < 0 else 0
        return max(0, at + len(mark)) if at >= 0 else 0

    def room(self) -> int:
        """How many bytes `push` is sure to take: up to the bound, or to what the pool still gives."""
        if self._pool.left >= self._counted(self.most) - self._counted():
            return self.most - self._size
        return max(len(self._block), min(self.FIRST, self.most)) - self._size

    @property
    def full(self) -> bool:
        """No more can come before something is taken."""
        return self._size == len(self._block) and not self._grow(1)
