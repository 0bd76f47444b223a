"""The events that the decision module takes and the orders it returns, independent of any wire.

Times and durations are ints of ticks; a tick is a tenth of a millisecond.  Backends, proxies and slices are
named by the ids that the front uses; the module turns them into objects of its own.  A front hands the events
of one moment to `Coordinator.handle` and sends what it returns, in order.
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
    dedup_scope: str  # tokened: who drops a duplicate: "all", "zone" or "cell"
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

# ---- orders -------------------------------------------------------------------------------------

ALL_TABLES = 65535  # a SetAdmission for every table of this coordinator


@dataclass(slots=True, frozen=True)
class SetRoute:
    """Set a route of a table; weight 0 removes it."""

    table: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class ClearTable:
    """Remove all routes of a table."""

    table: int


@dataclass(slots=True, frozen=True)
class SetAdmission:
    """Set the share of some methods that is admitted, and their retries.

    `methods` are indexes of the settings' methods; none: all.  `retry_level`: 0 no retry, 1 one after proof
    that the first attempt never ran, 2 one after any failure, 3 two.
    """

    table: int
    methods: tuple[int, ...]
    admission_ratio: float
    retry_level: int


@dataclass(slots=True, frozen=True)
class EjectBackend:
    """Eject a backend from all tables, or end its ejection."""

    backend: str
    ejected: bool


@dataclass(slots=True, frozen=True)
class BindTable:
    """Give a proxy a table for some methods (none: all); for deployments without slices."""

    proxy: int
    table: int
    methods: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class UpdateMarker:
    """Request an acknowledgement from the proxies that these orders reach, or from all."""

    marker: int
    to_all_proxies: bool


@dataclass(slots=True, frozen=True)
class ProbeBackend:
    """Send a health probe."""

    backend: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to another coordinator."""

    peer: int  # -1: all
    body: bytes


@dataclass(slots=True, frozen=True)
class WatchBackends:
    """Subscribe to the list of backends, or end the subscription."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchBackends:
    """Request the full list of backends once."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Fire a timer at a time."""

    due_at: int
    tag: str


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a text to the log."""

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
