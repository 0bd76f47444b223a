"""The control socket: the command line sends one JSON line a command and receives one JSON line."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable

import orjson

from .errors import InvalidDataError
from .net.connection import Connection
from .net.listener import Listener
from .net.loop import EventLoop


class ControlClient:
    """One connection of the command line or of a script."""

    MAX_LINE_BYTES = 64 << 10  # the body of a proposal is the longest command

    def __init__(self, control: ControlSocket) -> None:
        self.control = control
        self.connection: Connection | None = None

    def on_data(self, connection: Connection) -> None:
        """Handles each whole line; closes a connection whose line is too long."""
        while (line := connection.incoming.line()) is not None:
            self.handle_line(line)
            if not connection.open:
                return
        if len(connection.incoming) > self.MAX_LINE_BYTES:
            connection.close()

    def handle_line(self, line: bytes) -> None:
        """Runs one command; a line in another form gets an error as its response."""
        try:
            command = orjson.loads(line)
            what = str(command["ask"])
        except (ValueError, KeyError, TypeError):
            self.answer({"error": "one line of JSON with `ask` is wanted"})
            return
        # The client's marker tells the responses to several commands apart.
        marker = {"mark": command["mark"]} if "mark" in command else {}
        self.control.on_command(what, command, lambda response: self.answer(response | marker))

    def answer(self, response: dict) -> None:
        """Sends the response, once, at any later time."""
        if self.connection is not None and self.connection.open:
            self.connection.write(orjson.dumps(response, default=str) + b"\n")

    def on_closed(self, connection: Connection, why: str) -> None:
        """Forgets this client."""
        self.control.clients.discard(self)


class ControlSocket:
    """Listens at the operator's path; commands are handled by `on_command`."""

    MAX_CLIENTS = 16  # at once: operators and their scripts

    def __init__(
        self,
        loop: EventLoop,
        path: str,
        on_command: Callable[[str, dict, Callable[[dict], None]], None],
        listening: socket.socket | None = None,
    ) -> None:
        """Listens at `path`, or on the socket `listening`; `on_command(what, line, answer)` runs a command.

        A path that a dead program left behind is reused; where a running program listens there, OSError is
        raised.
        """
        self.loop = loop
        self.path = path
        self.on_command = on_command
        self.clients: set[ControlClient] = set()
        self.listener = Listener(
            loop, None, self.greet, lambda why: None, listening or self.open_socket(path)
        )

    @staticmethod
    def open_socket(path: str) -> socket.socket:
        """Listens at the path, with access for the own user alone; raises OSError."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            if os.path.exists(path):
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
                    probe.settimeout(1)
                    try:
                        probe.connect(path)
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
        """Accepts a client; returns False where there are too many."""
        if len(self.clients) >= self.MAX_CLIENTS:
            return False
        client = ControlClient(self)
        client.connection = Connection.accepted(
            self.loop, sock, client, 2 * ControlClient.MAX_LINE_BYTES, self.loop.pool
        )
        self.clients.add(client)
        return True

    def close(self, unlink: bool) -> None:
        """Closes all clients and the listener; `unlink` removes the path too."""
        for client in list(self.clients):
            if client.connection is not None:
                client.connection.close()
        if unlink:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        self.listener.close()


def send_command(path: str, what: str, wait: float = 60.0) -> dict:
    """Sends a command and waits `wait` seconds for its response.  Raises OSError, InvalidDataError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(wait)
        sock.connect(path)
        sock.sendall(orjson.dumps({"ask": what}) + b"\n")
        line = sock.makefile("rb").readline()
    if not line:
        raise InvalidDataError("the program ended before it answered", path, "its log says why")
    return orjson.loads(line)
