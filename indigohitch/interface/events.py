"""Events that the decision module takes."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """Describes one backend in a list of backends."""

    backend: str
    state: str  # "ready", "draining" or "gone"
    weight: float
    zone: str
    cell: int
    kind: str
    started_at: int  # 0: so long ago that it is warm


@dataclass(slots=True, frozen=True)
class BackendList:
    """Carries a list of backends, or the changes to it.

    `scope` is "changes", "full", "remembered" (a full list that may be stale) or "failed" (a call or the
    subscription failed; there are no entries).
    """

    scope: str
    version: int
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Reports the outcome of a health probe."""

    backend: str
    outcome: str  # "ok", "error", "full", "timeout", "connect_failed", "reset"
    duration: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class SliceDemand:
    """Counts the RPCs of a method for a slice that arrived within `elapsed`."""

    slice: int
    method: str
    total: int
    unanswered: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class ProxyDemand:
    """Counts the RPCs of a method that arrived at a proxy within `elapsed`, in deployments without slices."""

    proxy: int
    method: str
    total: int
    unanswered: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class BackendTraffic:
    """Counts the attempts that the joined proxies of a zone made at a backend.

    `load` holds the latest load report by field name: held, queued, busy (share of the cores in use),
    service_time, ok_rate, failure_rate.
    """

    zone: str
    backend: str
    attempts: int
    failures: int
    duration: int  # mean over the successful attempts, 0 without any
    elapsed: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ProxyJoined:
    """Reports that a proxy has joined."""

    proxy: int
    zone: str
    request_rate: float
    has_no_tables: bool


@dataclass(slots=True, frozen=True)
class ProxyLeft:
    """Reports that a proxy has left."""

    proxy: int


@dataclass(slots=True, frozen=True)
class UpdateAcknowledged:
    """Reports that a proxy has applied all orders up to a marker."""

    proxy: int
    marker: int
    duration: int


@dataclass(slots=True, frozen=True)
class SliceOwnership:
    """Makes this coordinator the owner of a slice, or ends its ownership.

    The stored routes of the slice follow as `StoredRoute` events.
    """

    slice: int
    is_owned: bool


@dataclass(slots=True, frozen=True)
class StoredRoute:
    """Reports a route of a slice as the store holds it."""

    slice: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Carries a message from another coordinator."""

    peer: int
    body: bytes


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Reports that the timer with this tag is due."""

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
