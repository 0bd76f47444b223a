"""Hosts the coordinators of one process: reads batches, gives each instance its events, writes the orders.

Instances share nothing but the pipe.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, BinaryIO, TypeVar

from ..logic import Coordinator
from ..settings import parse_settings, ticks_from_ms
from . import incoming, outgoing

Converted = TypeVar("Converted")


class Host:
    """The coordinators of one process by their numbers, and the lines that are to be written."""

    def __init__(self) -> None:
        self.instances: dict[int, Coordinator] = {}
        self.columns: dict[int, list[str]] = {}
        self.lists: dict[int, tuple] = {}  # numbers are reused, so each is resolved as it comes
        self.output: list[bytes] = []

    def _start(self, message: incoming.Configure) -> None:
        number = message.coordinator
        try:
            settings, self.columns[number] = parse_settings(message.params)
        except ValueError as error:
            raise incoming.WireError(f"bad Configure for coordinator {number}: {error}") from None
        self.instances[number] = Coordinator(message.rng_seed, settings)

    def _run(self, now: int, waiting: dict[int, list], number: int) -> None:
        events = waiting.pop(number, None)
        if events is None or number not in self.instances:
            return
        try:
            for order in self.instances[number].handle(now, events):
                self.output.append(outgoing.encode(number, order))
        except Exception as error:  # the wire's own way to say that the module failed
            self.output.append(outgoing.give_in(number, f"{type(error).__name__}: {error}"))

    def batch(self, now: int, messages: Iterable[tuple[str, Any]]) -> None:
        """Handles the messages of one moment, `now` in ticks; the orders are appended to `output`.

        Raises WireError for settings, values or list numbers that are not on the wire page.
        """
        waiting: dict[int, list] = {}
        for kind, message in messages:
            if kind == "List":
                self.lists[message.buffer] = self._convert(kind, message.entries)
            elif kind == "PowerOff":
                waiting.pop(message.coordinator, None)
                self.instances.pop(message.coordinator, None)
            elif kind == "Configure":
                self._start(message)
                waiting[message.coordinator] = []
            elif message.coordinator in self.instances:
                event = self._convert(kind, message.to_event, self.columns[message.coordinator], self.lists)
                waiting.setdefault(message.coordinator, []).append(event)
        for number in list(waiting):
            self._run(now, waiting, number)

    @staticmethod
    def _convert(kind: str, build: Callable[..., Converted], *args: object) -> Converted:
        try:
            return build(*args)
        except KeyError as error:
            raise incoming.WireError(f"{kind}: unknown value or list number {error}") from None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Serves the wire until its source ends. Raises WireError for lines that can't be read."""
    host = Host()
    now = 0
    messages: list[tuple[str, Any]] = []
    for line in source:
        kind, message = incoming.decode(line)
        if kind == "Mark":
            now = ticks_from_ms(message.at_time)
            messages = []
        elif kind == "Flush":
            host.batch(now, messages)
            host.output.append(outgoing.OK)
            sink.write(b"".join(host.output))
            sink.flush()
            host.output.clear()
        elif message is not None:
            messages.append((kind, message))
