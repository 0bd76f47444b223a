"""The control socket: a client sends each command as a JSON line and receives a JSON line as its response."""

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
    """A connection of the command line or of a script."""

    MAX_LINE_BYTES = 64 << 10  # the longest command carries the body of a proposal
    MAX_COMMANDS_PER_TURN = 4  # a command may take some ms; other connections are served in between
    NEXT_TURN = 1  # ticks

    def __init__(self, control: ControlSocket) -> None:
        self.control = control
        self.connection: Connection | None = None
        self.commands_in_progress = 0
        self.is_waiting = False  # for the next turn, to handle more lines

    def on_data(self, connection: Connection) -> None:
        """Handles the lines that have arrived, unless earlier ones wait for the next turn."""
        if not self.is_waiting:
            self.handle_lines()

    def handle_lines(self) -> None:
        """Handles some lines, the others in later turns; closes a connection whose line is too long."""
        self.is_waiting = False
        connection = self.connection
        for _ in range(self.MAX_COMMANDS_PER_TURN):
            if not connection.open:
                return
            line = connection.incoming.line()
            if line is None:
                break
            self.handle_line(line)
        else:
            self.is_waiting = True
            self.control.loop.call_after(self.NEXT_TURN, self.handle_lines)
            return
        if len(connection.incoming) > self.MAX_LINE_BYTES:
            connection.close()
            self.control.clients.pop(self, None)

    def handle_line(self, line: bytes) -> None:
        """Runs one command; responds with an error to a line that is not a command."""
        try:
            command = orjson.loads(line)
            name = str(command["ask"])
        except (ValueError, KeyError, TypeError):
            self.answer({"error": "one line of JSON with `ask` is wanted"})
            return
        # The marker lets a client match responses to commands, as several may be pending.
        marker = {"mark": command["mark"]} if "mark" in command else {}
        self.commands_in_progress += 1
        self.control.on_command(name, command, lambda response: self.complete(response | marker))

    def complete(self, response: dict) -> None:
        """Sends the response to a command; called once per command, at once or later."""
        self.commands_in_progress -= 1
        self.answer(response)

    def answer(self, response: dict) -> None:
        """Sends a response."""
        if self.connection is not None and self.connection.open:
            self.connection.write(orjson.dumps(response, default=str) + b"\n")

    def on_closed(self, connection: Connection, why: str) -> None:
        """Removes this client from the connected ones."""
        self.control.clients.pop(self, None)


class ControlSocket:
    """Listens at the path that the operator configured; commands are handled by `on_command`."""

    MAX_CLIENTS = 16  # concurrent connections, of operators and their scripts

    def __init__(
        self,
        loop: EventLoop,
        path: str,
        on_command: Callable[[str, dict, Callable[[dict], None]], None],
        listening: socket.socket | None = None,
    ) -> None:
        """Listens at `path`, or on the socket `listening`.

        `on_command(name, command, answer)` runs a command.  The socket file of a program
        that has exited is replaced.

        Raises:
            OSError: The path can't be used, or a running program listens there.
        """
        self.loop = loop
        self.path = path
        self.on_command = on_command
        self.clients: dict[ControlClient, None] = {}  # oldest first
        self.listener = Listener(
            loop, None, self.accept_client, lambda why: None, listening or self.open_socket(path)
        )

    @staticmethod
    def open_socket(path: str) -> socket.socket:
        """Returns a socket that listens at the path, accessible to its own user only.  Raises OSError."""
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
            os.chmod(path, 0o600)  # an upgrade can start any program with the rights of this one
            sock.listen(16)
        except OSError:
            sock.close()
            raise
        return sock

    def accept_client(self, sock: socket.socket) -> bool:
        """Registers a client, in place of the oldest idle one where there are too many.

        Returns False if all of them wait for a response.
        """
        if len(self.clients) >= self.MAX_CLIENTS:
            idle = next((client for client in self.clients if not client.commands_in_progress), None)
            if idle is None:
                return False
            del self.clients[idle]
            idle.connection.close()
        client = ControlClient(self)
        client.connection = Connection.accepted(
            self.loop, sock, client, 2 * ControlClient.MAX_LINE_BYTES, self.loop.pool
        )
        self.clients[client] = None
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


def send_command(path: str, name: str, wait: float = 60.0) -> dict:
    """Sends a command and waits `wait` seconds for its response.  Raises OSError, InvalidDataError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(wait)
        sock.connect(path)
        sock.sendall(orjson.dumps({"ask": name}) + b"\n")
        line = sock.makefile("rb").readline()
    if not line:
        raise InvalidDataError("the program ended before it responded", path, "see its log for the reason")
    return orjson.loads(line)
