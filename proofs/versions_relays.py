"""Stand-in relays for proofs/versions.py: they dial in, lose what comes, restart, and look at their own table
after every single line, as proxies would."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque

import msgspec

from indigohitch.encoding.frames import BrokenFrameError, FrameDecoder
from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions.tables import Root
from indigohitch.versions.terms import Message, applied
from indigohitch.versions.words import WORDS, Hello, Joined, Welcome


class Truth:
    """What none of the program's own counts is asked for."""

    def __init__(self) -> None:
        self.bare_ms = self.cold_over = self.over = 0
        self.cold: dict[str, float] = {}  # caps


class Relay:
    LOSS = 0.02  # of messages and of answers

    def __init__(self, name: str, at: tuple[str, int], truth: Truth, seed: int, messages: int) -> None:
        self.name, self.at, self.truth, self.messages = name, at, truth, messages
        self.came: deque[float] = deque()  # messages, of the last 10 s
        self.chance = random.Random(seed)
        self.table = TableRelay()
        self.lossy = True
        self.served: set[int] = set()
        self.bare: dict[int, float] = {}  # slice: since when
        self.most: dict[str, float] = {}  # of a cold backend: cap, or what it had before
        self.writer: asyncio.StreamWriter | None = None
        self.ending = False

    async def live(self) -> None:
        while not self.ending:
            try:
                reader, self.writer = await asyncio.open_connection(*self.at)
                self.writer.write(WORDS.frame(Hello(self.name)))
                await self.hear(reader)
            except (OSError, BrokenFrameError):
                pass
            finally:
                if self.writer is not None:
                    self.writer.close()
                    self.writer = None
            await asyncio.sleep(self.chance.uniform(0.01, 0.1))

    async def hear(self, reader: asyncio.StreamReader) -> None:
        frames = FrameDecoder(WORDS)
        while data := await reader.read(1 << 16):
            for word, _ in frames.feed(data):
                if isinstance(word, Welcome):
                    claim = self.table.connect(word.connection)
                    self.say(Joined(word.connection, msgspec.structs.replace(claim, heard=self.heard())))
                    continue
                self.came.append(time.monotonic())
                self.truth.over += self.heard() > self.messages
                if isinstance(word, Message) and not (self.lossy and self.chance.random() < self.LOSS):
                    before = self.table.root
                    said = self.table.receive(word)
                    if self.table.root is not before:
                        self.watch(before, word)
                    if said is not None and not (self.lossy and self.chance.random() < self.LOSS):
                        self.say(said)

    def heard(self) -> int:
        while self.came and self.came[0] <= time.monotonic() - 10:
            self.came.popleft()
        return len(self.came)

    def say(self, word) -> None:
        if self.writer is not None:
            self.writer.write(WORDS.frame(word))

    def restart(self, root: Root) -> None:
        """Its slices are served anew from what it begins with."""
        self.table = TableRelay(root)
        self.served = {slice for slice, _ in root.items()}
        self.bare.clear()
        for name in self.most:
            self.most[name] = max(self.truth.cold.get(name, 0), self.weight(name))
        self.cut()

    def cut(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()

    def turned_cold(self, name: str) -> None:
        self.most[name] = max(self.truth.cold[name], self.weight(name))

    def weight(self, name: str) -> float:
        return sum(table.lines.get(name, 0) for _, table in self.table.root.items())

    # ---- the truth -------------------------------------------------------------------------------------

    def watch(self, root: Root, message: Message) -> None:
        """Line by line: a slice that was served and has no line is bare from then until it has one."""
        now = time.monotonic()
        steps = [Message(0, 0, 0, message.version_id, (), (one,)) for one in message.replacements]
        steps += [Message(0, 0, 0, message.version_id, (one,)) for one in message.updates]
        for step in steps:
            root = applied(root, step)
            touched = {update.slice for update in step.updates} | {
                t.slice for one in step.replacements for t in one.tables
            }
            for one in step.replacements:
                touched |= {slice for slice in self.served if one.first <= slice <= one.last}
            for slice in touched:
                if root.get(slice) is not None:
                    self.served.add(slice)
                    self.over(slice, now)
                elif slice in self.served:
                    self.bare.setdefault(slice, now)
        for name, most in self.most.items():
            weight = self.weight(name)
            self.truth.cold_over += weight > most + 1e-9
            self.most[name] = max(self.truth.cold.get(name, most), min(most, weight))

    def over(self, slice: int, now: float) -> None:
        if (since := self.bare.pop(slice, None)) is not None:
            self.truth.bare_ms = max(self.truth.bare_ms, 1, round(1000 * (now - since)))
