"""The channel between the two processes: a Unix socket that carries words and descriptors, in the loop."""

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
    MOST_DESCRIPTORS = 64  # a frame: the kernel takes 253
    AGAIN = SECOND // 200  # when too many descriptors are on their way: the reader takes them in a turn

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        heard: Callable[[Message, list[int]], None],
        ended: Callable[[str, bool], None],
    ) -> None:
        """`ended(why, broken)` once: at the end of the channel, or as soon as what comes can't be read."""
        self.loop, self.sock, self.on_message, self.ended = loop, sock, heard, ended
        sock.setblocking(False)
        self.frames = FrameDecoder(MESSAGE_TYPES)
        self.arrived: deque[int] = deque()  # descriptors not given to a word yet
        self.out: deque[tuple[memoryview, list[int]]] = deque()
        self.open, self._mask, self._waiting = True, READ, False
        self.ending = False
        self.number = loop.watch(sock, self, READ)

    def send(self, word: Message, descriptors: Sequence[int] = ()) -> None:
        """The descriptors have to stay open until the other side has said that it has them: they may wait
        here, and a copy of each could be more than this process may hold."""
        if self.open:
            self.out.append((memoryview(frame(word, len(descriptors))), list(descriptors)))
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
                    self.out[0] = data[sent:], []  # they went with the first byte
        except BlockingIOError:
            pass
        except OSError as failed:
            if failed.errno == errno.ETOOMANYREFS:
                if not self._waiting:
                    self._waiting = True
                    self.loop.call_after(self.AGAIN, self._again)
                return
            why = f"write: {failed.strerror}"
            self.loop.call_after(0, lambda: self._lost(why))
            return
        self._watch(READ | WRITE if self.out else READ)

    def _again(self) -> None:
        self._waiting = False
        if self.open:
            self._flush()

    def _lost(self, why: str) -> None:
        self.read()  # who refuses says why, and ends while we still write
        self.end(why, False)

    def _watch(self, mask: int) -> None:
        if mask != self._mask:
            self.loop.change(self.sock, self.number, mask)
            self._mask = mask

    def ready(self, readable: bool, writable: bool) -> None:
        if readable:
            self.read()
        if writable and self.open:
            self._flush()

    def read(self) -> None:
        """All that has come."""
        room = socket.CMSG_SPACE(self.MOST_DESCRIPTORS * 4)
        while self.open and not self.ending:
            try:
                data, ancillary, flags, _ = self.sock.recvmsg(1 << 18, room, socket.MSG_CMSG_CLOEXEC)
            except BlockingIOError:
                return
            except OSError as failed:
                self.end(f"read: {failed.strerror}", False)
                return
            for level, kind, packed in ancillary:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    found = array.array("i")
                    found.frombytes(packed[: len(packed) - len(packed) % found.itemsize])
                    self.arrived.extend(found)
            if flags & socket.MSG_CTRUNC:
                # No room for a descriptor in this process: the kernel has closed it.
                self.end("descriptors ran out", True)
                return
            if not data:
                self.end("cut inside a message" if self.frames.rest else "", bool(self.frames.rest))
                return
            try:
                for word, count in self.frames.feed(data):
                    if count > len(self.arrived):
                        raise BrokenFrameError(
                            f"{type(word).__name__} lacks {count - len(self.arrived)} descriptors"
                        )
                    self.on_message(word, [self.arrived.popleft() for _ in range(count)])
                    if not self.open:
                        return
            except BrokenFrameError as bad:
                self.end(str(bad), True)
                return

    def end(self, why: str, broken: bool) -> None:
        """Where what came can't be read, there may be last words to say."""
        if not self.open or self.ending:
            return
        self.ending = True
        if not broken:
            self.close()
        self.ended(why, broken)
        self.close()

    def flush_hard(self, most: int = SECOND // 5) -> None:
        """Last words before this process ends: wait for them to be taken, a moment at most."""
        until = self.loop.clock.now() + most
        while self.open and self.out and self.loop.clock.now() < until:
            self._flush()

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.forget(self.sock, self.number)
        self.sock.close()
        for fd in self.arrived:
            os.close(fd)
        self.arrived.clear()
        self.out.clear()
