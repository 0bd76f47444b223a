"""Events that the decision module takes and orders that it returns, independent of any wire format.

Times and durations are integers in ticks of a tenth of a millisecond. Backends, proxies and slices are
identified by the ids that the front uses; the module maps them to objects of its own. A front passes the
events of one moment to `Coordinator.handle` and sends the returned orders in their sequence.
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

SECOND = 10_000  # in ticks of a tenth of a millisecond

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
