"""Typed messages of the bench protocol and their conversion into events of the decision module.

All names on the wire are string literals, so that renaming classes or fields cannot change the protocol.
Classes and fields are named like the events of the decision module where there is one.
Times are in milliseconds on the wire and in ticks in events. WIRE-indigohitch.md describes the protocol.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from .. import interface
from ..settings import parse_load_report, ticks_from_ms

_on_wire = msgspec.field  # `name` is the field's name on the wire

# Column names of load reports, in order; and backend lists by number.
Columns = Sequence[str]
BackendLists = Mapping[int, tuple[interface.BackendEntry, ...]]


_SCOPE = {"changes": "changes", "all": "full", "remembered": "remembered", "refused": "failed"}
_OUTCOME = {"S": "ok", "E": "error", "F": "full", "T": "timeout", "C": "connect_failed", "R": "reset"}


class CoordinatorMessage(msgspec.Struct):
    """Base of the messages that are addressed to one coordinator."""

    coordinator: int = _on_wire(name="coordinator")


class Configure(CoordinatorMessage):
    """Starts a coordinator with a random seed and its settings."""

    seed: int = _on_wire(name="rng-seed")
    settings: dict = _on_wire(name="params")


class Stop(CoordinatorMessage):
    """Stops a coordinator immediately."""


class BackendListUpdate(CoordinatorMessage):
    """Reports the `BackendList` message with the number `list_number`, or that a call or watch failed."""

    scope: str = _on_wire(name="kind")
    version: int = _on_wire(name="number", default=0)
    list_number: int | None = _on_wire(name="buffer", default=None)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event.

        Raises:
            KeyError: The scope or the list number is unknown.
        """
        scope = _SCOPE[self.scope]
        if scope == "failed":
            return interface.BackendList(scope, self.version, ())
        if self.list_number is None:
            raise KeyError(self.list_number)
        return interface.BackendList(scope, self.version, lists[self.list_number])


def _parse_load_row(columns: Columns, row: list[float | None] | None) -> dict[str, float]:
    return parse_load_report(zip(columns, row or ()))


class ProbeResult(CoordinatorMessage):
    """Reports the result of a probe of a backend."""

    backend: str = _on_wire(name="backend")
    outcome: str = _on_wire(name="state-code")
    duration_ms: float = _on_wire(name="duration", default=0.0)
    load_row: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProbeResult(
            self.backend,
            _OUTCOME.get(self.outcome, "error"),
            ticks_from_ms(self.duration_ms),
            _parse_load_row(columns, self.load_row),
        )


class SliceDemand(CoordinatorMessage):
    """Reports the RPCs of one method for a slice over `elapsed_ms`."""

    slice: int = _on_wire(name="table")
    method: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    unanswered: int = _on_wire(name="errors", default=0)
    elapsed_ms: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.SliceDemand(
            self.slice, self.method, self.total, self.unanswered, ticks_from_ms(self.elapsed_ms)
        )


class ProxyDemand(CoordinatorMessage):
    """Reports the RPCs of one method at a proxy over `elapsed_ms`, in deployments without slices."""

    proxy: int = _on_wire(name="edge")
    method: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    unanswered: int = _on_wire(name="errors", default=0)
    elapsed_ms: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyDemand(
            self.proxy, self.method, self.total, self.unanswered, ticks_from_ms(self.elapsed_ms)
        )


class BackendTraffic(CoordinatorMessage):
    """Reports the attempts that the proxies of a zone made at a backend."""

    backend: str = _on_wire(name="backend")
    zone: str = _on_wire(name="campus", default="")
    attempts: int = _on_wire(name="total", default=0)
    failures: int = _on_wire(name="errors", default=0)
    duration_ms: float = _on_wire(name="duration", default=0.0)
    elapsed_ms: float = _on_wire(name="elapsed", default=0.0)
    load_row: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.BackendTraffic(
            self.zone,
            self.backend,
            self.attempts,
            self.failures,
            ticks_from_ms(self.duration_ms),
            ticks_from_ms(self.elapsed_ms),
            _parse_load_row(columns, self.load_row),
        )


class ProxyJoined(CoordinatorMessage):
    """Reports that a proxy has joined."""

    proxy: int = _on_wire(name="edge")
    zone: str = _on_wire(name="campus", default="")
    request_rate: float = _on_wire(name="share", default=0.0)
    has_no_tables: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyJoined(self.proxy, self.zone, self.request_rate, self.has_no_tables)


class ProxyLeft(CoordinatorMessage):
    """Reports that a proxy has left."""

    proxy: int = _on_wire(name="edge")

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyLeft(self.proxy)


class UpdateAcknowledged(CoordinatorMessage):
    """Reports that a proxy has applied all updates up to a marker."""

    proxy: int = _on_wire(name="edge")
    marker: int = _on_wire(name="number")
    duration_ms: float = _on_wire(name="duration", default=0.0)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.UpdateAcknowledged(self.proxy, self.marker, ticks_from_ms(self.duration_ms))


class SliceOwnership(CoordinatorMessage):
    """Assigns a slice to this coordinator or withdraws it."""

    slice: int = _on_wire(name="table")
    is_owned: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.SliceOwnership(self.slice, self.is_owned)


class StoredRoute(CoordinatorMessage):
    """Reports a route of a slice that is in the store."""

    slice: int = _on_wire(name="table")
    backend: str = _on_wire(name="backend")
    weight: float = _on_wire(name="share")

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.StoredRoute(self.slice, self.backend, self.weight)


class PeerMessage(CoordinatorMessage):
    """Delivers a message from another coordinator."""

    peer: int = _on_wire(name="src")
    body: bytes = _on_wire(name="body")

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.PeerMessage(self.peer, self.body)


class TimerFired(CoordinatorMessage):
    """Reports that a timer of the decision module has fired."""

    tag: str = _on_wire(name="tag")

    def to_event(self, columns: Columns, lists: BackendLists) -> interface.Event:
        """Convert the message into an event."""
        return interface.TimerFired(self.tag)


class BatchStart(msgspec.Struct):
    """Starts a batch and gives its time."""

    time_ms: float = _on_wire(name="at-time")


class MessageType(msgspec.Struct):
    """Decodes the type of any message and ignores its other fields."""

    type: str = _on_wire(name="type")
