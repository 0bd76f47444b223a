"""What the decision module hears and what it orders, free of any wire.

Times and spans are whole tenths of a millisecond.  Backends, proxies and slices are named by the
ids that the front uses; the module turns them into objects of its own.  A front hands events of one
moment to `Coordinator.handle` and sends what it returns, in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 10_000  # tenths of a millisecond


@dataclass(slots=True, frozen=True)
class Method:
    """A method as the start settings describe it (their entry `methods`)."""

    name: str
    soft_deadline: int
    deadline: int
    criticality: float
    repeat: str  # "idempotent", "tokened" or "non_idempotent"
    dedup_scope: str  # tokened: who drops a repeat: "all", "zone" or "cell"
    memory_span: int  # tokened: for how long


# ---- events -------------------------------------------------------------------------------------


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
    """News of the backends: `scope` is "changes", "full", "remembered" (full, maybe stale) or
    "failed" (a call or the subscription broke; nothing in it)."""

    scope: str
    version: int
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True, frozen=True)
class ProbeResult:
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
    """What the joined proxies of a zone met at a backend.  `load` holds the newest load report by
    name: held, queued, busy (share of the cores), service_time, ok_rate, failure_rate."""

    zone: str
    backend: str
    attempts: int
    failures: int
    duration: int  # mean of the ok ones, 0 if none
    elapsed: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ProxyJoined:
    proxy: int
    zone: str
    request_rate: float
    has_no_tables: bool


@dataclass(slots=True, frozen=True)
class ProxyLeft:
    proxy: int


@dataclass(slots=True, frozen=True)
class UpdateAcknowledged:
    proxy: int
    marker: int
    duration: int


@dataclass(slots=True, frozen=True)
class SliceOwnership:
    """A slice comes into (or leaves) this coordinator's charge; its stored lines follow."""

    slice: int
    is_owned: bool


@dataclass(slots=True, frozen=True)
class StoredRoute:
    slice: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    peer: int
    body: bytes


@dataclass(slots=True, frozen=True)
class TimerFired:
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

# ---- orders -------------------------------------------------------------------------------------

ALL_TABLES = 65535  # a SetLevel for every table of this coordinator


@dataclass(slots=True, frozen=True)
class SetRoute:
    """One line of a table; weight 0 removes it."""

    table: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class ClearTable:
    table: int


@dataclass(slots=True, frozen=True)
class SetAdmission:
    """How much of some methods (places in `methods`; none: all) is let in, and further tries:
    0 none, 1 one after proof that the first never ran, 2 one after any failure, 3 two."""

    table: int
    methods: tuple[int, ...]
    admission_ratio: float
    retry_level: int


@dataclass(slots=True, frozen=True)
class EjectBackend:
    backend: str
    ejected: bool


@dataclass(slots=True, frozen=True)
class BindTable:
    """Deployments without slices: give a proxy a table for some methods (none: all)."""

    proxy: int
    table: int
    methods: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class UpdateMarker:
    """Ask the proxies reached by these orders (or all) to say when they have applied them."""

    marker: int
    to_all_proxies: bool


@dataclass(slots=True, frozen=True)
class ProbeBackend:
    backend: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    peer: int  # -1: all
    body: bytes


@dataclass(slots=True, frozen=True)
class WatchBackends:
    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchBackends:
    pass


@dataclass(slots=True, frozen=True)
class SetTimer:
    due_at: int
    tag: str


@dataclass(slots=True, frozen=True)
class LogMessage:
    text: str


Order = (
    SetRoute
    | ClearTable
    | SetAdmission
    | EjectBackend
    | BindTable
    | UpdateMarker
    | ProbeBackend
    | SendToPeer
    | WatchBackends
    | FetchBackends
    | SetTimer
    | LogMessage
)
