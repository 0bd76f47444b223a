"""A connection whose reader takes what it can: what it leaves stays in the ring, and once that is full the
socket is not read, so that a slow reader on one side slows the writer on the other."""

from __future__ import annotations

import socket

from .connection import READ, WRITE, Connection
from .loop import EventLoop
from .ring_buffer import BufferPool


class Stream(Connection):
    """Its reader has one method more: `on_output_drained`, when all that waited has been written.  The
    reader calls `wake` after it took something from `incoming`."""

    BOUND = 64 << 10  # a ring: 1 GB passes through two of these a direction; more only adds delay

    def __init__(
        self, loop: EventLoop, sock: socket.socket, reader, most: int = BOUND, pool: BufferPool | None = None
    ) -> None:
        super().__init__(loop, sock, reader, most, pool)
        self.held = False  # the ring is full: the socket is not read
        self._mask = READ  # what the selector watches now
        self._dialled = False

    @classmethod
    def dial(cls, loop: EventLoop, to: tuple[str, int], reader) -> Stream:
        connection = super().dial(loop, to, reader)
        connection._mask = READ | WRITE
        connection._dialled = True
        return connection

    def _watch(self) -> None:
        mask = (0 if self.held else READ) | (WRITE if self._writing else 0)
        if mask == self._mask:
            return
        if not mask:
            self.loop.pause(self.sock)
        elif not self._mask:
            self.loop.resume(self.sock, self._number, mask)
        else:
            self.loop.change(self.sock, self._number, mask)
        self._mask = mask

    def room(self) -> int:
        """How much may be written now without outgrowing the ring."""
        return self.outgoing.room()

    def write(self, data: bytes) -> None:
        """At once as much as the socket takes; what is wrong with it is told in a turn of its own."""
        if not self.open:
            return
        if not self.connecting and not len(self.outgoing):
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.loop.call_after(0, self._broken)
                return
            if sent == len(data):
                return
            data = data[sent:]
        if not self.outgoing.push(data):
            self.loop.call_after(0, lambda: self.close("flooded"))
        else:
            self.flush_soon()

    def flush_soon(self) -> None:
        """What was put into `outgoing` goes as soon as the socket takes it."""
        if self.open and not self.connecting:
            self._writing = True
            self._watch()

    def wake(self) -> None:
        if self.held and self.open and not self.incoming.full:
            self.held = False
            self._watch()

    def _broken(self) -> None:
        """Nothing more can be written.  Who refuses what we send may have answered before its reset; of one
        that came to us nothing more is begun."""
        if self._dialled and self.open and not self.held:
            self._read()
        self.close("reset")

    def _flush(self) -> str:
        waited = bool(self.outgoing)
        if why := self._write_out():
            self._broken()
            return why
        self._writing = bool(self.outgoing)
        self._watch()
        if waited and not self._writing:
            self.reader.on_output_drained(self)
        return ""

    def _read(self) -> None:
        for _ in range(self.READS):
            try:
                got = self.incoming.fill(self.sock)
            except BlockingIOError:
                return
            except OSError:
                self.close("reset")
                return
            if got == 0:
                self.close("ended")
                return
            if got < 0:
                self.held = True
                self._watch()
                return
            self.reader.on_data(self)
            # Less than a block: there is hardly more, and the next turn would find it.
            if not self.open or got < self.incoming.FIRST:
                return

    def close(self, why: str = "") -> None:
        self._known()
        super().close(why)

    def detach(self) -> tuple[socket.socket, bytes]:
        self._known()
        return super().detach()

    def _known(self) -> None:
        """To the selector, which is to forget it."""
        if self.open and not self._mask:
            self.loop.resume(self.sock, self._number, READ)
            self._mask = READ
