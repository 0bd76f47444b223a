"""Hosts the coordinators of one process: reads batches, hands each instance its own events, writes
the orders.  Instances share nothing but the pipe."""

from __future__ import annotations

from typing import BinaryIO

from ..logic import Coordinator
from ..settings import parse_settings, ticks_from_ms
from . import incoming, outgoing


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Coordinator] = {}
        self.columns: dict[int, list[str]] = {}
        self.lists: dict[int, tuple] = {}  # numbers are reused, so each is resolved as it comes
        self.out: list[bytes] = []

    def _born(self, message: incoming.Configure) -> None:
        number = message.coordinator
        try:
            boot, self.columns[number] = parse_settings(message.params)
        except ValueError as bad:
            raise incoming.WireError(f"bad Configure for coordinator {number}: {bad}") from None
        self.instances[number] = Coordinator(message.rng_seed, boot)

    def _run(self, now: int, waiting: dict[int, list], number: int) -> None:
        events = waiting.pop(number, None)
        if events is None or number not in self.instances:
            return
        try:
            for order in self.instances[number].handle(now, events):
                self.out.append(outgoing.encode(number, order))
        except Exception as broken:  # the wire's own way to say that the module failed
            self.out.append(outgoing.give_in(number, f"{type(broken).__name__}: {broken}"))

    def batch(self, now: int, messages) -> None:
        waiting: dict[int, list] = {}
        for kind, message in messages:
            if kind == "List":
                self.lists[message.buffer] = self._typed(kind, message.entries)
            elif kind == "PowerOff":
                waiting.pop(message.coordinator, None)
                self.instances.pop(message.coordinator, None)
            elif kind == "Configure":
                self._born(message)
                waiting[message.coordinator] = []
            elif message.coordinator in self.instances:
                typed = self._typed(kind, message.typed, self.columns[message.coordinator], self.lists)
                waiting.setdefault(message.coordinator, []).append(typed)
        for number in list(waiting):
            self._run(now, waiting, number)

    @staticmethod
    def _typed(kind, build, *args):
        try:
            return build(*args)
        except KeyError as bad:
            raise incoming.WireError(f"{kind}: unknown value or list number {bad}") from None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host, now, messages = Host(), 0, []
    for line in source:
        kind, message = incoming.decode(line)
        if kind == "Mark":
            now, messages = ticks_from_ms(message.at_time), []
        elif kind == "Flush":
            host.batch(now, messages)
            host.out.append(outgoing.OK)
            sink.write(b"".join(host.out))
            sink.flush()
            host.out.clear()
        elif message is not None:
            messages.append((kind, message))
