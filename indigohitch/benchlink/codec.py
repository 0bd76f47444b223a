"""Wire lines to typed events, orders to wire lines.  Translation only: names to our words,
milliseconds to whole tenths.  The wire page is WIRE-indigohitch.md."""

from __future__ import annotations

import base64

import msgspec

from .. import interface as face
from ..bootstrap import load_report, tenths


class WireError(Exception):
    """What came down the pipe is not what the wire page says."""


_STATE = {"healthy": "ready", "cordoned": "draining", "deregistered": "gone"}
_SCOPE = {"changes": "changes", "all": "full", "remembered": "remembered", "refused": "failed"}
_OUTCOME = {"S": "ok", "E": "error", "F": "full", "T": "timeout", "C": "connect_failed", "R": "reset"}


class Entry(msgspec.Struct):
    backend: str
    condition: str
    share: float
    campus: str = ""
    block: int = 0
    model: str = ""
    launched: float = 0.0


class Event(msgspec.Struct, rename="kebab"):
    """What all events of one instance share."""

    coordinator: int


class Configure(Event):
    rng_seed: int
    params: dict


class PowerOff(Event):
    pass


class List(msgspec.Struct):
    buffer: int
    members: list[Entry] = []

    def entries(self) -> tuple[face.Listed, ...]:
        return tuple(
            face.Listed(
                e.backend, _STATE[e.condition], e.share, e.campus, e.block, e.model, tenths(e.launched)
            )
            for e in self.members
        )


class Endpoints(Event):
    kind: str
    number: int = 0
    buffer: int | None = None

    def typed(self, columns, lists):
        scope = _SCOPE[self.kind]
        return face.BackendList(scope, self.number, () if scope == "failed" else lists[self.buffer])


def _load(columns, row) -> dict[str, float]:
    return load_report(zip(columns, row or ()))


class ProbeResult(Event):
    backend: str
    state_code: str
    duration: float = 0.0
    health_info: list[float | None] | None = None

    def typed(self, columns, lists):
        return face.Probed(
            self.backend,
            _OUTCOME.get(self.state_code, "error"),
            tenths(self.duration),
            _load(columns, self.health_info),
        )


class Heat(Event):
    table: int
    tier_class: str
    total: int = 0
    errors: int = 0
    elapsed: float = 0.0

    def typed(self, columns, lists):
        return face.SliceDemand(self.table, self.tier_class, self.total, self.errors, tenths(self.elapsed))


class Intake(Event):
    edge: int
    tier_class: str
    total: int = 0
    errors: int = 0
    elapsed: float = 0.0

    def typed(self, columns, lists):
        return face.ProxyDemand(self.edge, self.tier_class, self.total, self.errors, tenths(self.elapsed))


class TrafficReport(Event):
    backend: str
    campus: str = ""
    total: int = 0
    errors: int = 0
    duration: float = 0.0
    elapsed: float = 0.0
    health_info: list[float | None] | None = None

    def typed(self, columns, lists):
        return face.Traffic(
            self.campus,
            self.backend,
            self.total,
            self.errors,
            tenths(self.duration),
            tenths(self.elapsed),
            _load(columns, self.health_info),
        )


class Connected(Event):
    edge: int
    campus: str = ""
    share: float = 0.0
    active: bool = False

    def typed(self, columns, lists):
        return face.ProxyJoined(self.edge, self.campus, self.share, self.active)


class LostStream(Event):
    edge: int

    def typed(self, columns, lists):
        return face.ProxyLeft(self.edge)


class Installed(Event):
    edge: int
    number: int
    duration: float = 0.0

    def typed(self, columns, lists):
        return face.Acked(self.edge, self.number, tenths(self.duration))


class AssignedToMe(Event):
    table: int
    active: bool = False

    def typed(self, columns, lists):
        return face.Charge(self.table, self.active)


class StoredLine(Event):
    table: int
    backend: str
    share: float

    def typed(self, columns, lists):
        return face.StoredLine(self.table, self.backend, self.share)


class FromPeer(Event):
    src: int
    body: bytes

    def typed(self, columns, lists):
        return face.PeerNote(self.src, self.body)


class TickDue(Event):
    tag: str

    def typed(self, columns, lists):
        return face.TimerDue(self.tag)


class Opening(msgspec.Struct, rename="kebab"):
    at_time: float


class Kind(msgspec.Struct):
    type: str


_DECODERS = {
    k.__name__: msgspec.json.Decoder(k)
    for k in (
        Configure,
        PowerOff,
        List,
        Endpoints,
        ProbeResult,
        Heat,
        Intake,
        TrafficReport,
        Connected,
        LostStream,
        Installed,
        AssignedToMe,
        StoredLine,
        FromPeer,
        TickDue,
    )
}
_DECODERS["Mark"] = msgspec.json.Decoder(Opening)
_DECODERS["Flush"] = msgspec.json.Decoder(Kind)
_KIND = msgspec.json.Decoder(Kind)


def decode(line: bytes):
    """One wire line as a (type, message) pair; the message is None for a type not on the wire page."""
    try:
        kind = _KIND.decode(line).type
        decoder = _DECODERS.get(kind)
        return kind, decoder.decode(line) if decoder else None
    except (msgspec.DecodeError, UnicodeDecodeError) as bad:
        raise WireError(f"bad line: {bad}: {line[:120]!r}") from None


def _mask(methods: tuple[int, ...]) -> int:
    return sum(1 << m for m in methods)


def _b64(body: bytes) -> str:
    return base64.b64encode(body).decode("ascii")


_ORDERS = {
    face.SetLine: lambda o: {"type": "SetWeight", "table": o.table, "backend": o.backend, "share": o.weight},
    face.ClearTable: lambda o: {"type": "DropLines", "table": o.table},
    face.SetLevel: lambda o: {
        "type": "SetLevel",
        "table": o.table,
        "only": _mask(o.methods),
        "level": o.level,
        "again": o.tries,
    },
    face.Withdraw: lambda o: {"type": "HoldBack", "backend": o.backend, "active": o.out},
    face.Bind: lambda o: {"type": "Point", "edge": o.proxy, "table": o.table, "only": _mask(o.methods)},
    face.Mark: lambda o: {"type": "Nonce", "number": o.mark, "active": o.everyone},
    face.Probe: lambda o: {"type": "Inspect", "backend": o.backend},
    face.TellPeer: lambda o: {"type": "Announce", "target": o.peer, "body": _b64(o.body)},
    face.Subscribe: lambda o: {"type": "KeepInformed", "active": o.on},
    face.FetchList: lambda o: {"type": "QueryAll"},
    face.SetTimer: lambda o: {"type": "NotifyMe", "moment": o.due / 10, "tag": o.tag},
    face.LogLine: lambda o: {"type": "SayLog", "message": o.text},
}
_encode = msgspec.json.Encoder().encode
OK = _encode({"type": "Ok"}) + b"\n"


def encode(coordinator: int, order: face.Order) -> bytes:
    body = _ORDERS[type(order)](order)
    body["coordinator"] = coordinator
    return _encode(body) + b"\n"


def give_in(coordinator: int, text: str) -> bytes:
    return _encode({"type": "GiveIn", "coordinator": coordinator, "message": text}) + b"\n"
