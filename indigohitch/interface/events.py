"""The events that the decision module takes."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """One entry of a list of backends."""

    backend: str
    state: str  # "ready", "draining" or "gone"
    weight: float
    zone: str
    cell: int
    kind: str
    started_at: int  # 0: long ago


@dataclass(slots=True, frozen=True)
class BackendList:
    """A list of backends, or changes of it.

    `scope` is "changes", "full", "remembered" (full, maybe stale) or "failed" (a call or the subscription
    broke; no entries).
    """

    scope: str
    version: int
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The outcome of a health probe."""

    backend: str
    outcome: str  # "ok", "error", "full", "timeout", "connect_failed", "reset"
    duration: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class SliceDemand:
    """RPCs of a method that came for a slice over `elapsed`."""

    slice: int
    method: str
    total: int
    unanswered: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class ProxyDemand:
    """RPCs of a method that came to a proxy over `elapsed` (deployments without slices)."""

    proxy: int
    method: str
    total: int
    unanswered: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class BackendTraffic:
    """Attempts by the joined proxies of a zone at a backend.

    `load` holds the newest load report by name: held, queued, busy (share of the cores), service_time,
    ok_rate, failure_rate.
    """

    zone: str
    backend: str
    attempts: int
    failures: int
    duration: int  # mean of the ok ones, 0 if none
    elapsed: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ProxyJoined:
    """A proxy has joined."""

    proxy: int
    zone: str
    request_rate: float
    has_no_tables: bool


@dataclass(slots=True, frozen=True)
class ProxyLeft:
    """A proxy has left."""

    proxy: int


@dataclass(slots=True, frozen=True)
class UpdateAcknowledged:
    """A proxy has applied all orders up to a marker."""

    proxy: int
    marker: int
    duration: int


@dataclass(slots=True, frozen=True)
class SliceOwnership:
    """This coordinator becomes the owner of a slice, or no longer is; its stored routes follow."""

    slice: int
    is_owned: bool


@dataclass(slots=True, frozen=True)
class StoredRoute:
    """A route of a slice as the store holds it."""

    slice: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message of another coordinator."""

    peer: int
    body: bytes


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer of this tag is due."""

    tag: str


Event = (
    BackendList
    | ProbeResult
    | SliceDemand
    | ProxyDemand
    | BackendTraffic
    | ProxyJoined
    | ProxyLeft
    | UpdateAcknowledged
    | SliceOwnership
    | StoredRoute
    | PeerMessage
    | TimerFired
)
