"""The events that the decision module takes and the orders it returns, independent of any wire.

Times and durations are ints of ticks; a tick is a tenth of a millisecond.  Backends, proxies and slices are
named by the ids that the front uses; the module turns them into objects of its own.  A front hands the events
of one moment to `Coordinator.handle` and sends what it returns, in order.
"""

from .events import (
    BackendEntry,
    BackendList,
    BackendTraffic,
    Event,
    PeerMessage,
    ProbeResult,
    ProxyDemand,
    ProxyJoined,
    ProxyLeft,
    SliceDemand,
    SliceOwnership,
    StoredRoute,
    TimerFired,
    UpdateAcknowledged,
)
from .methods import Method
from .orders import (
    ALL_TABLES,
    BindTable,
    ClearTable,
    EjectBackend,
    FetchBackends,
    LogMessage,
    Order,
    ProbeBackend,
    SendToPeer,
    SetAdmission,
    SetRoute,
    SetTimer,
    UpdateMarker,
    WatchBackends,
)

SECOND = 10_000  # ticks: tenths of a millisecond

__all__ = [
    "ALL_TABLES",
    "BackendEntry",
    "BackendList",
    "BackendTraffic",
    "BindTable",
    "ClearTable",
    "EjectBackend",
    "Event",
    "FetchBackends",
    "LogMessage",
    "Method",
    "Order",
    "PeerMessage",
    "ProbeBackend",
    "ProbeResult",
    "ProxyDemand",
    "ProxyJoined",
    "ProxyLeft",
    "SECOND",
    "SendToPeer",
    "SetAdmission",
    "SetRoute",
    "SetTimer",
    "SliceDemand",
    "SliceOwnership",
    "StoredRoute",
    "TimerFired",
    "UpdateAcknowledged",
    "UpdateMarker",
    "WatchBackends",
]
