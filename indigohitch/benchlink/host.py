"""Runs several coordinators in one process: reads batches, dispatches their events and writes the orders.

The coordinators share no state except for the pipe.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, BinaryIO, TypeVar

from ..logic import Coordinator
from ..settings import parse_settings, ticks_from_ms
from . import incoming, outgoing

Converted = TypeVar("Converted")


class Host:
    """Holds the coordinators of one process by number, and the lines that are not written yet."""

    def __init__(self) -> None:
        self.instances: dict[int, Coordinator] = {}
        self.columns: dict[int, list[str]] = {}
        self.lists: dict[int, tuple] = {}  # resolved on arrival, as the bench reuses numbers
        self.output: list[bytes] = []

    def _start(self, message: incoming.Configure) -> None:
        number = message.coordinator
        try:
            settings, self.columns[number] = parse_settings(message.settings)
        except ValueError as error:
            raise incoming.WireError(f"bad Configure for coordinator {number}: {error}") from None
        self.instances[number] = Coordinator(message.seed, settings)

    def _run(self, now: int, pending_events: dict[int, list], number: int) -> None:
        events = pending_events.pop(number, None)
        if events is None or number not in self.instances:
            return
        try:
            for order in self.instances[number].handle(now, events):
                self.output.append(outgoing.encode(number, order))
        except Exception as error:  # reported to the bench as a GiveIn message
            self.output.append(outgoing.encode_failure(number, f"{type(error).__name__}: {error}"))

    def handle_batch(self, now: int, messages: Iterable[tuple[str, Any]]) -> None:
        """Handles the messages of one batch at `now` (ticks) and appends the orders to `output`.

        Raises:
            WireError: Settings, a value or a list number are invalid under the protocol.
        """
        pending_events: dict[int, list] = {}
        for kind, message in messages:
            if kind == "List":
                self.lists[message.number] = self._convert(kind, message.to_entries)
            elif kind == "PowerOff":
                pending_events.pop(message.coordinator, None)
                self.instances.pop(message.coordinator, None)
            elif kind == "Configure":
                self._start(message)
                pending_events[message.coordinator] = []
            elif message.coordinator in self.instances:
                event = self._convert(kind, message.to_event, self.columns[message.coordinator], self.lists)
                pending_events.setdefault(message.coordinator, []).append(event)
        for number in list(pending_events):
            self._run(now, pending_events, number)

    @staticmethod
    def _convert(kind: str, build: Callable[..., Converted], *args: object) -> Converted:
        try:
            return build(*args)
        except KeyError as error:
            raise incoming.WireError(f"{kind}: unknown value or list number {error}") from None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads batches from `source` and writes the orders to `sink` until `source` ends.

    Raises:
        WireError: A line is invalid.
    """
    host = Host()
    now = 0
    messages: list[tuple[str, Any]] = []
    for line in source:
        kind, message = incoming.decode(line)
        if kind == "Mark":
            now = ticks_from_ms(message.time_ms)
            messages = []
        elif kind == "Flush":
            host.handle_batch(now, messages)
            host.output.append(outgoing.OK)
            sink.write(b"".join(host.output))
            sink.flush()
            host.output.clear()
        elif message is not None:
            messages.append((kind, message))
