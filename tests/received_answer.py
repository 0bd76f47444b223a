"""What a client received of an answer, judged as RFC 9112, 6.3 and 8, lets a client judge it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

WHOLE, BROKEN_OFF, NO_ANSWER = "whole", "broken off", "no answer"


@dataclass(frozen=True)
class ReceivedAnswer:
    """All bytes of one connection, and whether it ended with a reset instead of an orderly end."""

    data: bytes
    was_reset: bool

    @property
    def status(self) -> int:
        return int(self.data.split(b" ", 2)[1])

    @property
    def body(self) -> bytes:
        """The received part of the body, without its framing."""
        return self._parsed()[0]

    @property
    def verdict(self) -> str:
        """Whether a client takes the answer for whole."""
        if not self.data:
            return NO_ANSWER
        if b"\r\n\r\n" not in self.data:
            return BROKEN_OFF
        return WHOLE if self._parsed()[1] else BROKEN_OFF

    def _parsed(self) -> tuple[bytes, bool]:
        head, _, body = self.data.partition(b"\r\n\r\n")
        fields = [line.lower().partition(b":")[::2] for line in head.split(b"\r\n")[1:]]
        headers = {name: value.strip() for name, value in fields}
        if headers.get(b"transfer-encoding") == b"chunked":
            return self._dechunked(body)
        if b"content-length" in headers:
            return body, len(body) == int(headers[b"content-length"])
        return body, not self.was_reset

    @staticmethod
    def _dechunked(rest: bytes) -> tuple[bytes, bool]:
        body = b""
        while rest:
            line, separator, rest = rest.partition(b"\r\n")
            if not separator:
                break
            size = int(line, 16)
            if not size:
                return body, rest == b"\r\n"
            body += rest[:size]
            rest = rest[size + 2 :]
        return body, False


def receive(sock: socket.socket, receive_part: Callable[[], bytes] | None = None) -> ReceivedAnswer:
    """Reads to the end of the connection; `receive_part` reads a part of it, by default from `sock`."""
    data = b""
    try:
        while part := receive_part() if receive_part else sock.recv(1 << 16):
            data += part
    except ConnectionResetError:
        return ReceivedAnswer(data, True)
    return ReceivedAnswer(data, False)


def split_answers(data: bytes, was_reset: bool, count: int) -> list[ReceivedAnswer]:
    """Splits what came on one connection into the answers to `count` requests; none follows a broken one."""
    answers = []
    for _ in range(count - 1):
        size = size_of_whole_answer(data)
        if size is None:
            break
        answers.append(ReceivedAnswer(data[:size], False))
        data = data[size:]
    return [*answers, ReceivedAnswer(data, was_reset)]


def size_of_whole_answer(data: bytes) -> int | None:
    """Returns the size of a whole answer at the beginning, None if there is none with a framing."""
    head, separator, body = data.partition(b"\r\n\r\n")
    fields = head.lower().split(b"\r\n")
    lengths = [int(field.partition(b":")[2]) for field in fields if field.startswith(b"content-length:")]
    if not separator or lengths and len(body) < lengths[0]:
        return None
    if lengths:
        return len(data) - len(body) + lengths[0]
    place = len(data) - len(body)
    while (end := data.find(b"\r\n", place)) >= 0:
        size = int(data[place:end], 16)
        place = end + 2 + size + 2
        if not size:
            return place if place <= len(data) else None
    return None
