"""The program's side for proofs/versions.py: a publisher with its store on a disk, and the connections."""

from __future__ import annotations

import asyncio
import time

from indigohitch.encoding.frames import BrokenFrameError, FrameDecoder
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.versions.checks import Facts
from indigohitch.versions.publisher import VersionPublisher
from indigohitch.versions.store import Store
from indigohitch.versions.terms import Ack, Channel, Nack
from indigohitch.versions.words import WORDS, Hello, Joined, Welcome

TURN = 0.01  # s


def now() -> int:
    return int(time.monotonic() * 10_000)


class Program:
    """`kill` leaves all as it stands; another one on the same folder goes on."""

    def __init__(self, folder: str, facts: Facts, channel: Channel) -> None:
        self.store = Store(FileSystem(), folder, 1 << 20)
        self.store.open()
        self.publisher = VersionPublisher(self.store, facts, channel)
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.connection = self.lines = 0  # lines: sent, whatever became of them
        self.joined_at: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.turning: asyncio.Task | None = None

    async def listen(self, port: int) -> int:
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", port)
        self.turning = asyncio.create_task(self.turns())
        return self.server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        self.turning.cancel()
        self.server.close()
        for writer in self.writers.values():
            writer.transport.abort()
        self.writers.clear()
        self.store.close()
        await asyncio.sleep(0)

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name, frames, connection = "", FrameDecoder(WORDS), 0
        try:
            while data := await reader.read(1 << 16):
                for word, _ in frames.feed(data):
                    if isinstance(word, Hello):
                        name = word.relay
                        self.connection = connection = self.connection + 1
                        if name in self.writers:
                            self.writers[name].transport.abort()
                        self.writers[name] = writer
                        writer.write(WORDS.frame(Welcome(connection)))
                    elif connection:
                        self.heard(name, connection, word)
        except (OSError, BrokenFrameError):
            pass
        finally:
            writer.transport.abort()
            if self.writers.get(name) is writer:
                del self.writers[name]
                self.publisher.session(name).on_disconnect(connection)
                self.joined_at.pop(name, None)

    def heard(self, name: str, connection: int, word) -> None:
        session = self.publisher.session(name)
        if isinstance(word, Joined):
            self.joined_at[name] = time.monotonic()
            session.on_connect(now(), connection, word.claim)
        elif isinstance(word, Ack):
            session.on_ack(now(), word)
        elif isinstance(word, Nack):
            session.on_nack(now(), word)
        self.publisher.count_holder(session)

    async def turns(self) -> None:
        while True:
            for name, session in list(self.publisher.sessions.items()):
                for message in session.due(now()):
                    self.lines += message.lines()
                    if (writer := self.writers.get(name)) is not None:
                        writer.write(WORDS.frame(message))
            await asyncio.sleep(TURN)
