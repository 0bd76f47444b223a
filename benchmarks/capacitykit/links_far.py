"""The far ends of `links_cell`, in one process: `links_far.py PORT COUNT`.  Says the port at which it
listens; then reads commands: `dial` connects to PORT once for each, `say` one word over each of them."""

from __future__ import annotations

import selectors
import socket
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks"), str(ROOT / "tests")]

from capacitykit.links_cell import FLEET, KINDS, listeners, said_frame  # noqa: E402
from indigohitch.encoding.frames import FrameDecoder  # noqa: E402
from indigohitch.fleet.transport.messages import Handshake, HandshakeAccepted, Ping, Pong  # noqa: E402
from indigohitch.fleet.types import MemberId  # noqa: E402

AT_ONCE = 16  # greetings out at a time: a member takes few strangers


class Accepted:
    """A connection that the near end dialled."""

    def __init__(self, sock: socket.socket, number: int) -> None:
        self.sock, self.number, self.frames = sock, number, FrameDecoder(KINDS)

    def read(self) -> bool:
        """False once it has ended."""
        data = self.sock.recv(1 << 16)
        for word, _ in self.frames.feed(data):
            if isinstance(word, Handshake):
                self.sock.sendall(KINDS.frame(HandshakeAccepted(MemberId(f"far{self.number}", 1), 1)))
            elif isinstance(word, Ping):
                self.sock.sendall(KINDS.frame(Pong(word.number)))
        return bool(data)


class Far:
    def __init__(self, port: int, count: int) -> None:
        self.port, self.count = port, count
        self.selector = selectors.DefaultSelector()
        self.dialled: list[socket.socket] = []
        sockets, at = listeners(count)
        for number, sock in enumerate(sockets):
            self.selector.register(sock, selectors.EVENT_READ, (self.accept, number))
        self.selector.register(sys.stdin, selectors.EVENT_READ, (self.command, 0))
        print(at, flush=True)

    def accept(self, listener: socket.socket, number: int) -> None:
        sock, _ = listener.accept()
        one = Accepted(sock, number)
        self.selector.register(sock, selectors.EVENT_READ, (self.read, one))

    def read(self, sock: socket.socket, one: Accepted) -> None:
        if not one.read():
            self.selector.unregister(sock)
            sock.close()

    def dial_some(self) -> None:
        """The next few; more once these were welcomed."""
        for number in range(len(self.dialled), min(len(self.dialled) + AT_ONCE, self.count)):
            sock = socket.create_connection(("127.0.0.1", self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(KINDS.frame(Handshake(FLEET, MemberId(f"far{number}", 1), 1)))
            self.dialled.append(sock)
            self.selector.register(sock, selectors.EVENT_READ, (self.welcomed, number))

    def welcomed(self, sock: socket.socket, number: int) -> None:
        if not sock.recv(1 << 16):
            raise ConnectionError(f"far{number} was turned away")
        if number + 1 == len(self.dialled):
            self.dial_some()

    def command(self, stdin, _: int) -> None:
        line = stdin.readline()
        if not line:
            sys.exit()
        if line == "dial\n":
            self.dial_some()
        else:
            frame = said_frame()
            for sock in self.dialled:
                sock.sendall(frame)

    def run(self) -> None:
        while True:
            for key, _ in self.selector.select():
                action, about = key.data
                action(key.fileobj, about)


if __name__ == "__main__":
    Far(int(sys.argv[1]), int(sys.argv[2])).run()
