"""Typed messages of the bench protocol and their conversion into events of the decision module.

All names on the wire are string literals, so that renaming classes or fields cannot change the protocol.
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
Lists = Mapping[int, tuple[interface.BackendEntry, ...]]


_SCOPE = {"changes": "changes", "all": "full", "remembered": "remembered", "refused": "failed"}
_OUTCOME = {"S": "ok", "E": "error", "F": "full", "T": "timeout", "C": "connect_failed", "R": "reset"}


class CoordinatorMessage(msgspec.Struct):
    """Base of the messages that are addressed to one coordinator."""

    coordinator: int = _on_wire(name="coordinator")


class Configure(CoordinatorMessage):
    """Starts a coordinator with a random seed and its settings."""

    rng_seed: int = _on_wire(name="rng-seed")
    params: dict = _on_wire(name="params")


class PowerOff(CoordinatorMessage):
    """Stops a coordinator immediately."""


class Endpoints(CoordinatorMessage):
    """Reports backends: the scope (`kind`), the version (`number`) and the number of the list (`buffer`)."""

    kind: str = _on_wire(name="kind")
    number: int = _on_wire(name="number", default=0)
    buffer: int | None = _on_wire(name="buffer", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event.

        Raises:
            KeyError: The scope or the list number is unknown.
        """
        scope = _SCOPE[self.kind]
        if scope == "failed":
            return interface.BackendList(scope, self.number, ())
        if self.buffer is None:
            raise KeyError(self.buffer)
        return interface.BackendList(scope, self.number, lists[self.buffer])


def _parse_load_row(columns: Columns, row: list[float | None] | None) -> dict[str, float]:
    return parse_load_report(zip(columns, row or ()))


class ProbeResult(CoordinatorMessage):
    """Reports the result of a probe of a backend."""

    backend: str = _on_wire(name="backend")
    state_code: str = _on_wire(name="state-code")
    duration: float = _on_wire(name="duration", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProbeResult(
            self.backend,
            _OUTCOME.get(self.state_code, "error"),
            ticks_from_ms(self.duration),
            _parse_load_row(columns, self.health_info),
        )


class Heat(CoordinatorMessage):
    """Reports the requests of one method for a slice."""

    table: int = _on_wire(name="table")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.SliceDemand(
            self.table, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class Intake(CoordinatorMessage):
    """Reports the requests of one method at a proxy, in deployments without slices."""

    edge: int = _on_wire(name="edge")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyDemand(
            self.edge, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class TrafficReport(CoordinatorMessage):
    """Reports the attempts that the proxies of a zone made at a backend."""

    backend: str = _on_wire(name="backend")
    campus: str = _on_wire(name="campus", default="")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    duration: float = _on_wire(name="duration", default=0.0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.BackendTraffic(
            self.campus,
            self.backend,
            self.total,
            self.errors,
            ticks_from_ms(self.duration),
            ticks_from_ms(self.elapsed),
            _parse_load_row(columns, self.health_info),
        )


class Connected(CoordinatorMessage):
    """Reports that a proxy has joined."""

    edge: int = _on_wire(name="edge")
    campus: str = _on_wire(name="campus", default="")
    share: float = _on_wire(name="share", default=0.0)
    active: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyJoined(self.edge, self.campus, self.share, self.active)


class LostStream(CoordinatorMessage):
    """Reports that a proxy has left."""

    edge: int = _on_wire(name="edge")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.ProxyLeft(self.edge)


class Installed(CoordinatorMessage):
    """Reports that a proxy has applied all updates up to a marker."""

    edge: int = _on_wire(name="edge")
    number: int = _on_wire(name="number")
    duration: float = _on_wire(name="duration", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.UpdateAcknowledged(self.edge, self.number, ticks_from_ms(self.duration))


class AssignedToMe(CoordinatorMessage):
    """Assigns a slice to this coordinator or withdraws it."""

    table: int = _on_wire(name="table")
    active: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.SliceOwnership(self.table, self.active)


class StoredLine(CoordinatorMessage):
    """Reports a route that is in the store."""

    table: int = _on_wire(name="table")
    backend: str = _on_wire(name="backend")
    share: float = _on_wire(name="share")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.StoredRoute(self.table, self.backend, self.share)


class FromPeer(CoordinatorMessage):
    """Delivers a message from another coordinator."""

    src: int = _on_wire(name="src")
    body: bytes = _on_wire(name="body")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.PeerMessage(self.src, self.body)


class TickDue(CoordinatorMessage):
    """Reports that a timer of the decision module has fired."""

    tag: str = _on_wire(name="tag")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """Convert the message into an event."""
        return interface.TimerFired(self.tag)


class BatchStart(msgspec.Struct):
    """Starts a batch and gives its time in milliseconds."""

    at_time: float = _on_wire(name="at-time")


class MessageType(msgspec.Struct):
    """Decodes the type of any message and ignores its other fields."""

    type: str = _on_wire(name="type")
