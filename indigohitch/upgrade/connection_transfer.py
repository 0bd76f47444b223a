"""What the old process has passed: each connection is ours until the new one has said that it has it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from . import messages
from .channel import Channel
from .handover_participant import PassedConnection


class ConnectionTransfer:
    MOST_RESTS = 1 << 20  # unread bytes of connections in one frame: an eighth of its bound

    def __init__(self, say: Callable[[messages.Message, Sequence[int]], None]) -> None:
        self.send = say
        self.out: dict[int, PassedConnection] = {}  # not known to have their owner
        self.number = 0

    def own(self, connections: Iterable[PassedConnection]) -> None:
        """Each is ours to take back from here on."""
        for connection in connections:
            self.number += 1
            self.out[self.number] = connection

    def all(self) -> None:
        """Sends all that are out.  Raises OSError; they stay ours."""
        batch: list[int] = []
        size = 0
        for number, connection in self.out.items():
            batch.append(number)
            size += len(connection[2])
            if len(batch) >= Channel.MOST_DESCRIPTORS or size > self.MOST_RESTS:
                self._send(batch)
                batch, size = [], 0
        self._send(batch)

    def one(self, connection: PassedConnection) -> bool:
        """False: it could not be sent, and stays with whoever has it."""
        self.own([connection])
        try:
            self._send([self.number])
        except OSError:
            del self.out[self.number]
            return False
        return True

    def _send(self, numbers: list[int]) -> None:
        if numbers:
            batch = [self.out[number] for number in numbers]
            self.send(
                messages.ConnectionsPassed(
                    numbers, [rest for _, _, rest in batch], [kind for kind, _, _ in batch]
                ),
                [sock.fileno() for _, sock, _ in batch],
            )

    def adopted(self, numbers: Iterable[int]) -> None:
        """They have their owner: our side of them is closed."""
        for number in numbers:
            if number in self.out:
                self.out.pop(number)[1].close()

    def back(self) -> list[PassedConnection]:
        """All that have no owner yet; ours again."""
        out, self.out = self.out, {}
        return list(out.values())
