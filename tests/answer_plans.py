"""Answers that a server gives as the request asks, whole or broken off."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from random import Random

from indigohitch.sidecar.delivery import unacknowledged_byte_count
from peers import Peer, reset

FRAMINGS = ("length", "chunks", "end of the connection")
BREAKS = ("", "", "", "", "close", "reset", "malformed", "malformed at once", "reset behind it")
SIZES = (0, 10, 5_000, 40_000, 70_000, 200_000)
PIECE_BYTES = 9_000


@dataclass(frozen=True)
class AnswerPlan:
    """One answer: its framing, size and pace, and how it breaks off, empty if it does not."""

    framing: str
    size: int
    break_by: str
    seed: int  # of its content
    delay: float  # s between its pieces

    @classmethod
    def draw(cls, random: Random) -> AnswerPlan:
        return cls(
            random.choice(FRAMINGS),
            random.choice(SIZES),
            random.choice(BREAKS),
            random.randrange(1 << 30),
            random.choice((0, 0, 0.01)),
        )

    @classmethod
    def parse(cls, target: str) -> AnswerPlan:
        framing, size, break_by, seed, delay = target.partition("?")[2].split(",")
        return cls(FRAMINGS[int(framing)], int(size), BREAKS[int(break_by)], int(seed), float(delay))

    @property
    def query(self) -> str:
        framing, break_by = FRAMINGS.index(self.framing), BREAKS.index(self.break_by)
        return f"{framing},{self.size},{break_by},{self.seed},{self.delay}"

    @property
    def body(self) -> bytes:
        return Random(self.seed).randbytes(self.size)

    @property
    def is_whole(self) -> bool:
        """Whether the server sends all of it and ends it so that the sidecar can tell."""
        if self.break_by == "reset behind it":
            return self.framing != "end of the connection"
        return not self.break_by

    @property
    def may_look_whole(self) -> bool:
        """Whether a part of it ends as a whole answer does: an orderly end, which ends this framing."""
        return self.framing == "end of the connection" and self.break_by == "close"


class PlanPeer(Peer):
    """A server that answers as the target of each request plans, and closes what it no longer serves."""

    def __init__(self) -> None:
        super().__init__(serve)

    def _serve(self, sock: socket.socket) -> None:
        super()._serve(sock)
        self.all.remove(sock)
        sock.close()


def serve(sock: socket.socket, method: str, target: str, body: str) -> str:
    """Sends the answer that the query of the target plans; for `peers.Peer`."""
    plan = AnswerPlan.parse(target)
    content = plan.body
    head = b"HTTP/1.1 200 OK\r\n"
    if plan.framing == "length":
        head += b"Content-Length: %d\r\n" % len(content)
    elif plan.framing == "chunks":
        head += b"Transfer-Encoding: chunked\r\n"
    head += b"\r\n"
    if plan.break_by.startswith("malformed") and plan.framing != "chunks":
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")
        return "hang"
    if plan.break_by == "malformed at once":
        sock.sendall(head + b"no size\r\n")
        return "hang"
    sock.sendall(head)
    send_body(sock, plan, content if plan.is_whole or not plan.break_by else content[: len(content) // 2])
    if plan.break_by == "malformed":
        sock.sendall(b"no size\r\n")
        return "hang"
    if plan.break_by.startswith("reset"):
        while unacknowledged_byte_count(sock):  # the reset would discard them
            time.sleep(0.001)
        reset(sock)
        raise OSError
    if plan.break_by == "close" or plan.framing == "end of the connection":
        sock.shutdown(socket.SHUT_RDWR)
    return ""


def send_body(sock: socket.socket, plan: AnswerPlan, content: bytes) -> None:
    """Sends the content in pieces, and the last chunk of an answer that is whole."""
    for start in range(0, len(content), PIECE_BYTES):
        piece = content[start : start + PIECE_BYTES]
        sock.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if plan.framing == "chunks" else piece)
        if plan.delay:
            time.sleep(plan.delay)
    if plan.framing == "chunks" and plan.is_whole:
        sock.sendall(b"0\r\n\r\n")
