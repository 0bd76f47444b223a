"""The bench's lines to typed events.  Translation only: names to our words, milliseconds to whole tenths.
The wire page is WIRE-indigohitch.md.

Every name on the wire stands here as text: the names of classes and fields have no part in it."""

from __future__ import annotations

import msgspec

from .. import interface as face
from ..settings import parse_load_report, ticks_from_ms

_on_wire = msgspec.field  # _on_wire(name="..."): a field's name on the wire


class WireError(Exception):
    """What came down the pipe is not what the wire page says."""


_STATE = {"healthy": "ready", "cordoned": "draining", "deregistered": "gone"}
_SCOPE = {"changes": "changes", "all": "full", "remembered": "remembered", "refused": "failed"}
_OUTCOME = {"S": "ok", "E": "error", "F": "full", "T": "timeout", "C": "connect_failed", "R": "reset"}


class Entry(msgspec.Struct):
    """One backend of a list."""

    backend: str = _on_wire(name="backend")
    condition: str = _on_wire(name="condition")
    share: float = _on_wire(name="share")
    campus: str = _on_wire(name="campus", default="")
    block: int = _on_wire(name="block", default=0)
    model: str = _on_wire(name="model", default="")
    launched: float = _on_wire(name="launched", default=0.0)


class Event(msgspec.Struct):
    """What all events of one instance share."""

    coordinator: int = _on_wire(name="coordinator")


class Configure(Event):
    rng_seed: int = _on_wire(name="rng-seed")
    params: dict = _on_wire(name="params")


class PowerOff(Event):
    pass


class List(msgspec.Struct):
    buffer: int = _on_wire(name="buffer")
    members: list[Entry] = _on_wire(name="members", default_factory=list)

    def entries(self) -> tuple[face.BackendEntry, ...]:
        return tuple(
            face.BackendEntry(
                e.backend, _STATE[e.condition], e.share, e.campus, e.block, e.model, ticks_from_ms(e.launched)
            )
            for e in self.members
        )


class Endpoints(Event):
    kind: str = _on_wire(name="kind")
    number: int = _on_wire(name="number", default=0)
    buffer: int | None = _on_wire(name="buffer", default=None)

    def typed(self, columns, lists):
        scope = _SCOPE[self.kind]
        return face.BackendList(scope, self.number, () if scope == "failed" else lists[self.buffer])


def _load(columns, row) -> dict[str, float]:
    return parse_load_report(zip(columns, row or ()))


class ProbeResult(Event):
    backend: str = _on_wire(name="backend")
    state_code: str = _on_wire(name="state-code")
    duration: float = _on_wire(name="duration", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def typed(self, columns, lists):
        return face.ProbeResult(
            self.backend,
            _OUTCOME.get(self.state_code, "error"),
            ticks_from_ms(self.duration),
            _load(columns, self.health_info),
        )


class Heat(Event):
    table: int = _on_wire(name="table")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def typed(self, columns, lists):
        return face.SliceDemand(
            self.table, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class Intake(Event):
    edge: int = _on_wire(name="edge")
    tier_class: str = _on_wire(name="tier-class")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)

    def typed(self, columns, lists):
        return face.ProxyDemand(
            self.edge, self.tier_class, self.total, self.errors, ticks_from_ms(self.elapsed)
        )


class TrafficReport(Event):
    backend: str = _on_wire(name="backend")
    campus: str = _on_wire(name="campus", default="")
    total: int = _on_wire(name="total", default=0)
    errors: int = _on_wire(name="errors", default=0)
    duration: float = _on_wire(name="duration", default=0.0)
    elapsed: float = _on_wire(name="elapsed", default=0.0)
    health_info: list[float | None] | None = _on_wire(name="health-info", default=None)

    def typed(self, columns, lists):
        return face.BackendTraffic(
            self.campus,
            self.backend,
            self.total,
            self.errors,
            ticks_from_ms(self.duration),
            ticks_from_ms(self.elapsed),
            _load(columns, self.health_info),
        )


class Connected(Event):
    edge: int = _on_wire(name="edge")
    campus: str = _on_wire(name="campus", default="")
    share: float = _on_wire(name="share", default=0.0)
    active: bool = _on_wire(name="active", default=False)

    def typed(self, columns, lists):
        return face.ProxyJoined(self.edge, self.campus, self.share, self.active)


class LostStream(Event):
    edge: int = _on_wire(name="edge")

    def typed(self, columns, lists):
        return face.ProxyLeft(self.edge)


class Installed(Event):
    edge: int = _on_wire(name="edge")
    number: int = _on_wire(name="number")
    duration: float = _on_wire(name="duration", default=0.0)

    def typed(self, columns, lists):
        return face.UpdateAcknowledged(self.edge, self.number, ticks_from_ms(self.duration))


class AssignedToMe(Event):
    table: int = _on_wire(name="table")
    active: bool = _on_wire(name="active", default=False)

    def typed(self, columns, lists):
        return face.SliceOwnership(self.table, self.active)


class StoredLine(Event):
    table: int = _on_wire(name="table")
    backend: str = _on_wire(name="backend")
    share: float = _on_wire(name="share")

    def typed(self, columns, lists):
        return face.StoredRoute(self.table, self.backend, self.share)


class FromPeer(Event):
    src: int = _on_wire(name="src")
    body: bytes = _on_wire(name="body")

    def typed(self, columns, lists):
        return face.PeerMessage(self.src, self.body)


class TickDue(Event):
    tag: str = _on_wire(name="tag")

    def typed(self, columns, lists):
        return face.TimerFired(self.tag)


class Opening(msgspec.Struct):
    at_time: float = _on_wire(name="at-time")


class Kind(msgspec.Struct):
    type: str = _on_wire(name="type")


# By the line's type on the wire.
_DECODERS = {
    "Mark": msgspec.json.Decoder(Opening),
    "Flush": msgspec.json.Decoder(Kind),
    "Configure": msgspec.json.Decoder(Configure),
    "PowerOff": msgspec.json.Decoder(PowerOff),
    "List": msgspec.json.Decoder(List),
    "Endpoints": msgspec.json.Decoder(Endpoints),
    "ProbeResult": msgspec.json.Decoder(ProbeResult),
    "Heat": msgspec.json.Decoder(Heat),
    "Intake": msgspec.json.Decoder(Intake),
    "TrafficReport": msgspec.json.Decoder(TrafficReport),
    "Connected": msgspec.json.Decoder(Connected),
    "LostStream": msgspec.json.Decoder(LostStream),
    "Installed": msgspec.json.Decoder(Installed),
    "AssignedToMe": msgspec.json.Decoder(AssignedToMe),
    "StoredLine": msgspec.json.Decoder(StoredLine),
    "FromPeer": msgspec.json.Decoder(FromPeer),
    "TickDue": msgspec.json.Decoder(TickDue),
}
_KIND = msgspec.json.Decoder(Kind)


def decode(line: bytes):
    """One wire line as a (type, message) pair; the message is None for a type not on the wire page."""
    try:
        kind = _KIND.decode(line).type
        decoder = _DECODERS.get(kind)
        return kind, decoder.decode(line) if decoder else None
    except (msgspec.DecodeError, UnicodeDecodeError) as bad:
        raise WireError(f"bad line: {bad}: {line[:120]!r}") from None
