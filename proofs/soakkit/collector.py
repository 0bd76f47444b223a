"""The stand-in of a zone's collector: reports of what proxies met, with demand that shifts between slices."""

from __future__ import annotations

import random
from collections import Counter
from typing import Protocol

from indigohitch.net.clock import SECOND
from indigohitch.net.connection import Connection, parse_address
from indigohitch.net.loop import EventLoop

from . import settings
from .process import Coordinator
from .truth import Truth


class CollectorCell(Protocol):
    """What a collector sees of the cell that it reports in."""

    loop: EventLoop
    chance: random.Random
    truth: Truth
    coordinator: Coordinator
    is_ready: bool


class Collector:
    EVERY = int(settings.REPORTS * SECOND)
    HOT, HOT_FOR = 3, 6  # slices in demand at a time; reports until it shifts

    def __init__(self, cell: CollectorCell) -> None:
        self.cell, self.chance = cell, cell.chance
        self.connection: Connection | None = None
        self.usual = [self.chance.lognormvariate(0.8, 0.8) for _ in range(settings.SLICES)]
        self.hot: list[int] = []
        self.reports = 0
        cell.loop.call_after(self.EVERY, self.report)

    def on_connected(self, connection: Connection) -> None: ...

    def on_data(self, connection: Connection) -> None:
        connection.incoming.take()

    def on_closed(self, connection: Connection, why: str) -> None:
        if connection is self.connection:
            self.connection = None

    def report(self) -> None:
        self.cell.loop.call_after(self.EVERY, self.report)
        if not self.cell.is_ready:
            return
        if self.connection is None:
            try:
                at = parse_address(self.cell.coordinator.listen)
                self.connection = Connection.dial(self.cell.loop, at, self)
            except OSError:
                return
            self.connection.write(b"telemetry site=east\r\n")
        if self.reports % self.HOT_FOR == 0:
            self.hot = self.chance.sample(range(settings.SLICES), self.HOT)
        self.reports += 1
        self.connection.write(self.lines().encode())

    def lines(self) -> str:
        told, met = [], Counter()
        span = f"over={settings.REPORTS * 1000:.1f}"
        for number, lines in self.cell.truth.tables.items():
            rate = self.usual[number] * (8 if number in self.hot else 1)
            count = max(0, round(self.chance.gauss(rate, rate**0.5)))
            if not count:
                continue
            told.append(f"range_stats range={number} lane=search count={count} fail=0 {span}")
            for backend in lines:
                met[backend] += max(1, count // len(lines))
        for backend, count in met.items():
            told.append(
                f"upstream_stats site=east target={backend} count={count} fail=0 mean=240.0 {span} "
                f"util=pending:1,svc_ms:230.0"
            )
        return "".join(line + "\r\n" for line in told)
