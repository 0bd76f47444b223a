"""The channel between the two processes of an upgrade: a Unix socket for messages and file descriptors."""

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

    MAX_DESCRIPTORS = 64  # per frame; the kernel allows 253
    # After ETOOMANYREFS (too many descriptors in flight); the reader receives them in one turn of its loop.
    RETRY_DELAY = SECOND // 200  # ticks
    READ_BYTES = 1 << 18
    DESCRIPTOR_BYTES = 4  # a C int in the ancillary data

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        on_end: Callable[[str, bool], None],
    ) -> None:
        """Takes ownership of the socket and watches it.

        `on_message(message, descriptors)` is called for each message.  `on_end(reason, broken)` is called
        once: when the channel ends (`broken` is False), or when its input can't be decoded (True).
        """
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.on_end = on_end
        sock.setblocking(False)
        self.decoder = FrameDecoder(MESSAGE_TYPES)
        self.received_descriptors: deque[int] = deque()  # those whose message has not been decoded yet
        self.send_queue: deque[tuple[memoryview, list[int]]] = deque()  # frames not sent completely
        self.is_open = True
        self.is_ending = False
        self._mask = READ
        self._retry_scheduled = False
        self.watch_number = loop.watch(sock, self, READ)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Sends a message, and queues what the socket does not take; does nothing on a closed channel.

        The caller keeps the descriptors open until the other process has confirmed them: they may wait in
        the queue, and duplicating them could exceed the descriptor limit of this process.
        """
        if self.is_open:
            self.send_queue.append((memoryview(frame(message, len(descriptors))), list(descriptors)))
            self._flush()

    def _flush(self) -> None:
        try:
            while self.send_queue:
                data, descriptors = self.send_queue[0]
                if descriptors:
                    packed = array.array("i", descriptors)
                    sent = self.sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, packed)])
                else:
                    sent = self.sock.send(data)
                if sent == len(data):
                    self.send_queue.popleft()
                else:
                    self.send_queue[0] = data[sent:], []  # the descriptors were sent with the first byte
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno == errno.ETOOMANYREFS:
                if not self._retry_scheduled:
                    self._retry_scheduled = True
                    self.loop.call_after(self.RETRY_DELAY, self._retry)
                return
            reason = f"write: {error.strerror}"
            self.loop.call_after(0, lambda: self._write_failed(reason))
            return
        self._watch(READ | WRITE if self.send_queue else READ)

    def _retry(self) -> None:
        self._retry_scheduled = False
        if self.is_open:
            self._flush()

    def _write_failed(self, reason: str) -> None:
        self.read()  # the other process may have sent a refusal with its reason before it ended
        self.end(reason, False)

    def _watch(self, mask: int) -> None:
        if mask != self._mask:
            self.loop.change(self.sock, self.watch_number, mask)
            self._mask = mask

    def ready(self, readable: bool, writable: bool) -> None:
        """Reads or writes the socket; the loop calls it when the socket is ready."""
        if readable:
            self.read()
        if writable and self.is_open:
            self._flush()

    def read(self) -> None:
        """Receives and delivers everything in the receive buffer of the socket."""
        ancillary_bytes = socket.CMSG_SPACE(self.MAX_DESCRIPTORS * self.DESCRIPTOR_BYTES)
        while self.is_open and not self.is_ending:
            try:
                data, ancillary, flags, _ = self.sock.recvmsg(
                    self.READ_BYTES, ancillary_bytes, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError as error:
                self.end(f"read: {error.strerror}", False)
                return
            self._collect_descriptors(ancillary)
            if flags & socket.MSG_CTRUNC:
                # This process has reached its descriptor limit; the kernel has closed the remaining ones.
                self.end("descriptors ran out", True)
                return
            if not data:
                self.end("closed inside a message" if self.decoder.buffer else "", bool(self.decoder.buffer))
                return
            try:
                self._deliver(data)
            except BrokenFrameError as error:
                self.end(str(error), True)
                return

    def _collect_descriptors(self, ancillary: list[tuple[int, int, bytes]]) -> None:
        for level, kind, packed in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                descriptors = array.array("i")
                descriptors.frombytes(packed[: len(packed) - len(packed) % descriptors.itemsize])
                self.received_descriptors.extend(descriptors)

    def _deliver(self, data: bytes) -> None:
        """Delivers the messages that `data` completes; raises BrokenFrameError."""
        for message, count in self.decoder.feed(data):
            if count > len(self.received_descriptors):
                raise BrokenFrameError(
                    f"{type(message).__name__} lacks {count - len(self.received_descriptors)} descriptors"
                )
            self.on_message(message, [self.received_descriptors.popleft() for _ in range(count)])
            if not self.is_open:
                return

    def end(self, reason: str, broken: bool) -> None:
        """Reports the end once, then closes the channel; a broken one can still send during the report."""
        if not self.is_open or self.is_ending:
            return
        self.is_ending = True
        if not broken:
            self.close()
        self.on_end(reason, broken)
        self.close()

    def flush_blocking(self, timeout: int = SECOND // 5) -> None:
        """Sends the queue, blocking for at most `timeout` ticks; used for the last messages."""
        deadline = self.loop.clock.now() + timeout
        while self.is_open and self.send_queue and self.loop.clock.now() < deadline:
            self._flush()

    def close(self) -> None:
        """Closes the socket and all undelivered descriptors; does nothing on a closed channel."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.forget(self.sock, self.watch_number)
        self.sock.close()
        for fd in self.received_descriptors:
            os.close(fd)
        self.received_descriptors.clear()
        self.send_queue.clear()
