"""The lines of the bench's wire as typed messages, each with the event that it stands for.

Every name on the wire is given as text: the names of classes and fields have no part in it. Times on the
wire are milliseconds; events hold ticks. The wire is described in WIRE-indigohitch.md.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from .. import interface
from ..settings import parse_load_report, ticks_from_ms

_on_wire = msgspec.field  # _on_wire(name="..."): a field's name on the wire

# The names of the columns of load reports, in order, and lists of backends by their numbers.
Columns = Sequence[str]
Lists = Mapping[int, tuple[interface.BackendEntry, ...]]


_SCOPE = {"changes": "changes", "all": "full", "remembered": "remembered", "refused": "failed"}
_OUTCOME = {"S": "ok", "E": "error", "F": "full", "T": "timeout", "C": "connect_failed", "R": "reset"}


class Event(msgspec.Struct):
    """What all events of one instance share."""

    coordinator: int = _on_wire(name="coordinator")


class Configure(Event):
    """An instance begins: its seed for random numbers, and the settings."""

    rng_seed: int = _on_wire(name="rng-seed")
    params: dict = _on_wire(name="params")


class PowerOff(Event):
    """An instance ends at once."""


class Endpoints(Event):
    """A change of the list of backends: its scope, its version, and the number of the list that holds it."""

    kind: str = _on_wire(name="kind")
    number: int = _on_wire(name="number", default=0)
    buffer: int | None = _on_wire(name="buffer", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event for this line. Raises KeyError for an unknown scope or list number."""
        scope = _SCOPE[self.kind]
        if scope == "failed":
            return interface.BackendList(scope, self.number, ())
        if self.buffer is None:
            raise KeyError(self.buffer)
        return interface.BackendList(scope, self.number, lists[self.buffer])


def _load(columns: Columns, row: list[float | None] | None) -> dict[str, float]:
    return parse_load_report(zip(columns, row or ()))


class ProbeResult(Event):
    """The result of a health check of a backend."""

    backend: str = _on_wire(name="backend")
    state_code: str = _on_wire(name="state-code")
    duration: float = _on_wire(name="duration", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.ProbeResult(
            self.backend,
            _OUTCOME.get(self.state_code, "error"),
            ticks_from_ms(self.duration),
            _load(columns, self.health_info),
        )


class Heat(Event):
    """Requests of a class that came for a slice."""

    table: int = _on_wire(name="table")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.SliceDemand(
            self.table, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class Intake(Event):
    """Requests of a class that came to a proxy, in deployments without slices."""

    edge: int = _on_wire(name="edge")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.ProxyDemand(
            self.edge, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class TrafficReport(Event):
    """What the proxies of a zone met at a backend."""

    backend: str = _on_wire(name="backend")
    campus: str = _on_wire(name="campus", default="")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    duration: float = _on_wire(name="duration", default=0.0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.BackendTraffic(
            self.campus,
            self.backend,
            self.total,
            self.errors,
            ticks_from_ms(self.duration),
            ticks_from_ms(self.elapsed),
            _load(columns, self.health_info),
        )


class Connected(Event):
    """A proxy has joined."""

    edge: int = _on_wire(name="edge")
    campus: str = _on_wire(name="campus", default="")
    share: float = _on_wire(name="share", default=0.0)
    active: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.ProxyJoined(self.edge, self.campus, self.share, self.active)


class LostStream(Event):
    """A proxy has left."""

    edge: int = _on_wire(name="edge")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.ProxyLeft(self.edge)


class Installed(Event):
    """A proxy has applied all updates up to a marker."""

    edge: int = _on_wire(name="edge")
    number: int = _on_wire(name="number")
    duration: float = _on_wire(name="duration", default=0.0)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.UpdateAcknowledged(self.edge, self.number, ticks_from_ms(self.duration))


class AssignedToMe(Event):
    """A slice is given to this coordinator, or taken from it."""

    table: int = _on_wire(name="table")
    active: bool = _on_wire(name="active", default=False)

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.SliceOwnership(self.table, self.active)


class StoredLine(Event):
    """A route as the store holds it."""

    table: int = _on_wire(name="table")
    backend: str = _on_wire(name="backend")
    share: float = _on_wire(name="share")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.StoredRoute(self.table, self.backend, self.share)


class FromPeer(Event):
    """A message of another coordinator."""

    src: int = _on_wire(name="src")
    body: bytes = _on_wire(name="body")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.PeerMessage(self.src, self.body)


class TickDue(Event):
    """A timer of the module has fired."""

    tag: str = _on_wire(name="tag")

    def to_event(self, columns: Columns, lists: Lists) -> interface.Event:
        """The event of the decision module that this line stands for."""
        return interface.TimerFired(self.tag)


class Opening(msgspec.Struct):
    """The first line of a batch: its time in milliseconds."""

    at_time: float = _on_wire(name="at-time")


class Kind(msgspec.Struct):
    """Any line, read for its type alone."""

    type: str = _on_wire(name="type")
