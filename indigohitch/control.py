"""The control socket: one JSON line asks, one answers.  The command line speaks to a running program here."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

import orjson

from .errors import InvalidDataError
from .net.connection import Connection
from .net.listener import Listener
from .net.loop import EventLoop


class ControlClient:
    LINE = 64 << 10  # a proposal's body is the longest thing that is told

    def __init__(self, control: ControlSocket) -> None:
        self.control, self.connection = control, None

    def on_data(self, connection: Connection) -> None:
        while (line := connection.incoming.line()) is not None:
            self.ask(line)
            if not connection.open:
                return
        if len(connection.incoming) > self.LINE:
            connection.close()

    def ask(self, line: bytes) -> None:
        try:
            asked = orjson.loads(line)
            what = str(asked["ask"])
        except (ValueError, KeyError, TypeError):
            self.answer({"error": "one line of JSON with `ask` is wanted"})
            return
        mark = {"mark": asked["mark"]} if "mark" in asked else {}  # for who asks several things at once
        self.control.on_command(what, asked, lambda told: self.answer(told | mark))

    def answer(self, told: dict) -> None:
        """At any time later, once."""
        if self.connection is not None and self.connection.open:
            self.connection.write(orjson.dumps(told, default=str) + b"\n")

    def on_closed(self, connection: Connection, why: str) -> None:
        self.control.clients.discard(self)


class ControlSocket:
    MOST = 16  # askers at once: people, and scripts of theirs

    def __init__(
        self,
        loop: EventLoop,
        path: str,
        asked: Callable[[str, dict, Callable[[dict], None]], None],
        listening: socket.socket | None = None,
    ) -> None:
        """`asked(what, line, answer)`.  Raises OSError.  A path that a dead program left behind is taken; one
        that answers is not."""
        self.loop, self.path, self.on_command = loop, path, asked
        self.clients: set[ControlClient] = set()
        self.listener = Listener(loop, None, self.greet, lambda why: None, listening or self.opened(path))

    @staticmethod
    def opened(path: str) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            if os.path.exists(path):
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as other:
                    other.settimeout(1)
                    try:
                        other.connect(path)
                        raise OSError(f"{path}: a running program listens there")
                    except ConnectionRefusedError:
                        os.unlink(path)
            sock.bind(path)
            os.chmod(path, 0o600)  # who may upgrade the program may run any program as it
            sock.listen(16)
        except OSError:
            sock.close()
            raise
        return sock

    def greet(self, sock: socket.socket) -> bool:
        if len(self.clients) >= self.MOST:
            return False
        asker = ControlClient(self)
        asker.connection = Connection.accepted(self.loop, sock, asker, 2 * ControlClient.LINE, self.loop.pool)
        self.clients.add(asker)
        return True

    def close(self, unlink: bool) -> None:
        for asker in list(self.clients):
            if asker.connection is not None:
                asker.connection.close()
        if unlink:
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.listener.close()


def send_command(path: str, what: str, wait: float = 60.0) -> dict:
    """For the command line: ask and wait.  Raises OSError, Unreadable."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(wait)
        sock.connect(path)
        sock.sendall(orjson.dumps({"ask": what}) + b"\n")
        line = sock.makefile("rb").readline()
    if not line:
        raise InvalidDataError("the program ended before it answered", path, "its log says why")
    return orjson.loads(line)
