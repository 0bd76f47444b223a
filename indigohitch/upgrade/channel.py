"""The channel between the two processes: a Unix socket that carries messages and descriptors, in the loop."""

from __future__ import annotations

import array
import errno
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence

from ..net.clock import SECOND
from ..net.connection import READ, WRITE
from ..net.loop import EventLoop
from .messages import MESSAGE_TYPES, BrokenFrameError, FrameDecoder, Message, frame


class Channel:
    """Sends and receives messages with descriptors over a non-blocking stream socket."""

    MAX_DESCRIPTORS = 64  # in one frame: the kernel takes 253
    # When too many descriptors are in flight: the reader takes them in one turn of its loop.
    RETRY_DELAY = SECOND // 200
    READ_BYTES = 1 << 18
    DESCRIPTOR_BYTES = 4  # a C int in the ancillary data

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        ended: Callable[[str, bool], None],
    ) -> None:
        """Watches the socket, which belongs to the channel from here on.

        `on_message(message, descriptors)` is called for each message.  `ended(why, broken)` is called once:
        at the end of the channel (`broken` is False), or when the input can't be decoded (True).
        """
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.ended = ended
        sock.setblocking(False)
        self.frames = FrameDecoder(MESSAGE_TYPES)
        self.arrived: deque[int] = deque()  # descriptors whose message has not been decoded yet
        self.out: deque[tuple[memoryview, list[int]]] = deque()  # frames that are not sent wholly yet
        self.open = True
        self.ending = False
        self._mask = READ
        self._retry_scheduled = False
        self.number = loop.watch(sock, self, READ)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Sends a message, or queues what the socket does not take; does nothing on a closed channel.

        The descriptors have to stay open until the other process has confirmed them: they may wait in the
        queue, and duplicates could exceed the number that this process may hold.
        """
        if self.open:
            self.out.append((memoryview(frame(message, len(descriptors))), list(descriptors)))
            self._flush()

    def _flush(self) -> None:
        try:
            while self.out:
                data, descriptors = self.out[0]
                if descriptors:
                    packed = array.array("i", descriptors)
                    sent = self.sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, packed)])
                else:
                    sent = self.sock.send(data)
                if sent == len(data):
                    self.out.popleft()
                else:
                    self.out[0] = data[sent:], []  # the descriptors went with the first byte
        except BlockingIOError:
            pass
        except OSError as failed:
            if failed.errno == errno.ETOOMANYREFS:
                if not self._retry_scheduled:
                    self._retry_scheduled = True
                    self.loop.call_after(self.RETRY_DELAY, self._retry)
                return
            why = f"write: {failed.strerror}"
            self.loop.call_after(0, lambda: self._write_failed(why))
            return
        self._watch(READ | WRITE if self.out else READ)

    def _retry(self) -> None:
        self._retry_scheduled = False
        if self.open:
            self._flush()

    def _write_failed(self, why: str) -> None:
        self.read()  # a refusal with its reason may have come before the process ended
        self.end(why, False)

    def _watch(self, mask: int) -> None:
        if mask != self._mask:
            self.loop.change(self.sock, self.number, mask)
            self._mask = mask

    def ready(self, readable: bool, writable: bool) -> None:
        """Called by the loop when the socket can be read or written."""
        if readable:
            self.read()
        if writable and self.open:
            self._flush()

    def read(self) -> None:
        """Receives and delivers all that the socket holds."""
        ancillary_bytes = socket.CMSG_SPACE(self.MAX_DESCRIPTORS * self.DESCRIPTOR_BYTES)
        while self.open and not self.ending:
            try:
                data, ancillary, flags, _ = self.sock.recvmsg(
                    self.READ_BYTES, ancillary_bytes, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError as failed:
                self.end(f"read: {failed.strerror}", False)
                return
            self._collect_descriptors(ancillary)
            if flags & socket.MSG_CTRUNC:
                # This process may hold no more descriptors: the kernel has closed the rest.
                self.end("descriptors ran out", True)
                return
            if not data:
                self.end("cut inside a message" if self.frames.rest else "", bool(self.frames.rest))
                return
            try:
                self._deliver(data)
            except BrokenFrameError as bad:
                self.end(str(bad), True)
                return

    def _collect_descriptors(self, ancillary: list[tuple[int, int, bytes]]) -> None:
        for level, kind, packed in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                found = array.array("i")
                found.frombytes(packed[: len(packed) - len(packed) % found.itemsize])
                self.arrived.extend(found)

    def _deliver(self, data: bytes) -> None:
        """Delivers the messages that `data` completes; raises BrokenFrameError."""
        for message, count in self.frames.feed(data):
            if count > len(self.arrived):
                raise BrokenFrameError(
                    f"{type(message).__name__} lacks {count - len(self.arrived)} descriptors"
                )
            self.on_message(message, [self.arrived.popleft() for _ in range(count)])
            if not self.open:
                return

    def end(self, why: str, broken: bool) -> None:
        """Reports the end once, then closes; a broken channel can be written to while it is reported."""
        if not self.open or self.ending:
            return
        self.ending = True
        if not broken:
            self.close()
        self.ended(why, broken)
        self.close()

    def flush_hard(self, timeout: int = SECOND // 5) -> None:
        """Blocks until the queue is sent or `timeout` ticks have passed: for the last messages."""
        deadline = self.loop.clock.now() + timeout
        while self.open and self.out and self.loop.clock.now() < deadline:
            self._flush()

    def close(self) -> None:
        """Closes the socket and the descriptors that were not delivered; closing twice is allowed."""
        if not self.open:
            return
        self.open = False
        self.loop.forget(self.sock, self.number)
        self.sock.close()
        for fd in self.arrived:
            os.close(fd)
        self.arrived.clear()
        self.out.clear()
