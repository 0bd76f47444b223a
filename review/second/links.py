"""Listening sockets of the stand-ins that can be cut off, and a small HTTP/1.1 server on them.

While a listener is cut off, its open connections stay open and silent, and nothing that is sent is read. New
ones do not come up, or come up, stay silent and are reset at the end of the cut, as the old ones are.
"""

import asyncio
import socket
import struct
import sys


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """A listening socket on loopback; `serve(reader, writer)` handles each connection."""

    BACKLOG = 128

    def __init__(self, serve, port=0):
        self.serve = serve
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(self.BACKLOG)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.writers = set()
        self.fillers = []
        self.is_cut = False
        self.silent_since = []  # when connections came up during the cut
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.sock, self._accept)
        self.tasks = set()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self._run(self._handle(sock))

    def _run(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.add(writer)
        if self.is_cut:
            self._silence(writer)
            self.silent_since.append(self.loop.time())
            return
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if not self.is_cut:
                self.writers.discard(writer)
                writer.close()

    @staticmethod
    def _silence(writer):
        writer.transport.pause_reading()
        writer.write = lambda data: None

    def cut(self, come_up=False):
        """Cuts the listener off; `come_up`: new connections come up and stay silent."""
        self.is_cut = True
        self.silent_since = []
        for writer in self.writers:
            self._silence(writer)
        if self.sock.fileno() < 0 or come_up:
            return
        self.loop.remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(2):  # fill the queue of the kernel, so that no other connection comes up
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    def restore(self):
        """Ends the cut."""
        for writer in self.writers:
            reset(writer)
        self.writers.clear()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.is_cut = False
        if self.sock.fileno() < 0:
            return
        self.sock.listen(self.BACKLOG)
        self.loop.add_reader(self.sock, self._accept)

    def close(self):
        """Closes the socket and all connections."""
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_request(reader):
    """Returns method, target and body of the next request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    method, target, _ = first.split(" ")
    return method, target, body.decode()


def answer(writer, body, status="200 OK", kind="application/json"):
    """Writes an answer."""
    data = body.encode()
    writer.write(f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(data)}\r\n\r\n".encode())
    writer.write(data)


def http(handle):
    """Returns a function for Listener that passes each request to `handle(writer, method, target, body)`."""

    async def serve(reader, writer):
        while (request := await read_request(reader)) is not None:
            await handle(writer, *request)
            await writer.drain()

    return serve


def fail_loudly(task):
    """Reports an exception in a background task."""
    if not task.cancelled() and task.exception() is not None:
        print("stand-in failed:", repr(task.exception()), file=sys.stderr)
