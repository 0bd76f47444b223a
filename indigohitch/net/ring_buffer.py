"""A ring buffer for the bytes between a socket and its reader or writer, in one reused block."""

from __future__ import annotations

import socket


class BufferPool:
    """Limits the memory that all rings together use beyond their first block.

    Many connections, each within its own bound, must not exhaust the memory together.
    """

    def __init__(self, size: int) -> None:
        self.available = size

    def take(self, size: int) -> bool:
        """Reserves bytes; returns False if they are not available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def take_beyond_limit(self, size: int) -> None:
        """Reserves bytes even if they are not available; then others get none until they are released."""
        self.available -= size

    def give(self, size: int) -> None:
        """Releases reserved bytes."""
        self.available += size


class RingBuffer:
    """Queues bytes; grows on demand, up to its bound and what the pool allows."""

    FIRST_BLOCK = 4096  # bytes; most messages are far smaller, and 1000 blocks take 4 MB

    def __init__(self, max_size: int, pool: BufferPool) -> None:
        self.max_size = max_size
        self._pool = pool
        self._block = bytearray()  # most connections never queue data
        self._head = 0
        self._size = 0
        self._scanned = 0

    def __len__(self) -> int:
        return self._size

    def _grow(self, need: int, beyond_limits: bool = False) -> bool:
        """Grows the block for `need` more bytes; returns False if the bound or the pool does not allow it."""
        capacity = max(len(self._block), self.FIRST_BLOCK)
        while capacity < self._size + need:
            capacity *= 2
        if beyond_limits:
            self._pool.take_beyond_limit(self._counted(capacity) - self._counted())
        else:
            capacity = min(capacity, self.max_size)
            if capacity < self._size + need or not self._pool.take(self._counted(capacity) - self._counted()):
                return False
        block = bytearray(capacity)
        block[: self._size] = self.peek()
        self._block = block
        self._head = 0
        return True

    def _counted(self, capacity: int | None = None) -> int:
        """Returns the bytes counted by the pool: all beyond the first block, which is free for each ring."""
        return max(0, (len(self._block) if capacity is None else capacity) - self.FIRST_BLOCK)

    def set_max_size(self, max_size: int) -> None:
        """Changes the bound; `max_size` is no lower than the bytes in the ring."""
        self.max_size = max_size

    def close(self) -> None:
        """Discards the bytes and releases the memory."""
        self._pool.give(self._counted())
        self._block = bytearray()
        self._head = 0
        self._size = 0
        self._scanned = 0

    def trim(self) -> None:
        """Releases the memory of an empty ring that has grown beyond its first block."""
        if not self._size and len(self._block) > self.FIRST_BLOCK:
            self.close()

    def receive_from(self, sock: socket.socket, limit: int = 1 << 20) -> int:
        """Reads once from the socket, up to `limit` bytes.

        Returns the number of bytes read, 0 at the end of the stream, -1 if the ring is full.  Raises OSError.
        """
        if self._size == len(self._block) and not self._grow(1):
            return -1
        tail = (self._head + self._size) % len(self._block)
        end = len(self._block) if tail >= self._head else self._head
        with memoryview(self._block) as view:
            received = sock.recv_into(view[tail : min(end, tail + limit)])
        self._size += received
        return received

    def send_to(self, sock: socket.socket) -> None:
        """Writes once to the socket, as many bytes as it accepts.  Raises OSError."""
        with memoryview(self._block) as view:
            self.skip(sock.send(view[self._head : min(self._head + self._size, len(self._block))]))

    def push(self, data: bytes, beyond_limits: bool = False) -> bool:
        """Appends all of `data`; returns False, and changes nothing, if it does not fit.

        `beyond_limits` makes it fit, beyond the bound and the pool: for data that can't wait and must not be
        lost, and whose size and number have a limit of their own.
        """
        if not data:
            return True
        if self._size + len(data) > len(self._block) and not self._grow(len(data), beyond_limits):
            return False
        tail = (self._head + self._size) % len(self._block)
        first = min(len(data), len(self._block) - tail)
        self._block[tail : tail + first] = data[:first]
        self._block[: len(data) - first] = data[first:]
        self._size += len(data)
        return True

    def peek(self, count: int | None = None) -> bytes:
        """Returns the first bytes, by default all, without removing them."""
        count = self._size if count is None else count
        end = self._head + count
        if end <= len(self._block):
            return bytes(self._block[self._head : end])
        return bytes(self._block[self._head :] + self._block[: end - len(self._block)])

    def skip(self, count: int) -> None:
        """Removes the first bytes."""
        self._size -= count
        self._head = (self._head + count) % len(self._block) if self._size else 0
        self._scanned = max(0, self._scanned - count)

    def take(self, count: int | None = None) -> bytes:
        """Removes and returns the first bytes, by default all."""
        data = self.peek(count)
        self.skip(len(data))
        return data

    def line(self) -> bytes | None:
        """Removes and returns the next line without its line ending, None if it is incomplete.

        Each byte is scanned once.
        """
        capacity = len(self._block)
        start = self._head + self._scanned
        end = self._head + self._size
        index = self._block.find(b"\n", start, min(end, capacity)) if start < capacity else -1
        if index < 0 and end > capacity:
            index = self._block.find(b"\n", max(0, start - capacity), end - capacity)
            index = index + capacity if index >= 0 else -1
        if index < 0:
            self._scanned = self._size
            return None
        count = index - self._head
        data = self.take(count + 1)
        self._scanned = 0
        return data[:-1].removesuffix(b"\r")

    def find_end(self, mark: bytes) -> int:
        """Returns the number of bytes up to and including `mark`, 0 if the ring does not have it.

        Each byte is scanned once.
        """
        start = max(0, self._scanned - len(mark) + 1)
        if self._head + self._size <= len(self._block):
            index = self._block.find(mark, self._head + start, self._head + self._size) - self._head
        else:
            index = self.peek().find(mark, start)
        self._scanned = self._size if index < 0 else 0
        return max(0, index + len(mark)) if index >= 0 else 0

    def free_capacity(self) -> int:
        """Returns how many bytes `push` certainly accepts, given the bound and the pool."""
        if self._pool.available >= self._counted(self.max_size) - self._counted():
            return self.max_size - self._size
        return max(len(self._block), min(self.FIRST_BLOCK, self.max_size)) - self._size

    @property
    def full(self) -> bool:
        """Whether no byte fits until some are removed."""
        return self._size == len(self._block) and not self._grow(1)
