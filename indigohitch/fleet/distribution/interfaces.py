"""What goes into the distributor's and the subscriber's machines and what comes out.  Shapes only; no I/O.

Both are `step(now, input) -> list[output]`, outputs in order, and `due`, the time at which `Due` is to be put
in at the latest (None: not until something else happens)."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from .types import DistributorName, ServiceName, SubscriberName, Version

# ---- into both -------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Tick:
    pass


# ---- into a distributor ----------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SubscriberConnected:
    """A subscriber has greeted.  `connection` is unique in this process and only grows."""

    connection: int
    subscriber: SubscriberName


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of a subscriber: Subscribe, Acknowledge, Reject, Renew."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class SubscriberDisconnected:
    connection: int


@dataclass(slots=True, frozen=True)
class ResourcesChanged:
    """The catalogue has applied an entry that changed these services."""

    services: tuple[ServiceName, ...]


@dataclass(slots=True, frozen=True)
class ResourcesReplaced:
    """The catalogue was set to a snapshot, or read from the disk."""


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All that was committed at `asked` (own clock, before the confirmed read went out) is applied here."""

    confirmed_at: int


@dataclass(slots=True, frozen=True)
class ReportReceived:
    """Of another distributor."""

    report: Row


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This distributor is about to end: subscribers are sent elsewhere."""


DistributorInput = (
    SubscriberConnected
    | MessageReceived
    | SubscriberDisconnected
    | ResourcesChanged
    | ResourcesReplaced
    | CaughtUp
    | ReportReceived
    | ShutdownStarted
    | Tick
)

# ---- into a subscriber -----------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ConnectionEstablished:
    """The distributor that was dialled has welcomed the subscriber."""

    distributor: DistributorName


@dataclass(slots=True, frozen=True)
class ConnectionLost:
    """The dialled distributor did not answer, or its connection has ended."""

    distributor: DistributorName
    reason: str = ""


@dataclass(slots=True, frozen=True)
class DistributorMessageReceived:
    """A message of the distributor: Update, Current, Refused."""

    distributor: DistributorName
    message: Row


@dataclass(slots=True, frozen=True)
class ScopeChanged:
    """The services that the subscriber reaches from now on."""

    services: frozenset[ServiceName]


SubscriberInput = ConnectionEstablished | ConnectionLost | DistributorMessageReceived | ScopeChanged | Tick

# ---- out -------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendToSubscriber:
    """Of a distributor: to that connection."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Of a distributor: once what was sent is out."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Dial:
    """Of a subscriber; answered by `Connected` or `Lost`."""

    distributor: DistributorName


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Of a subscriber: close the connection, no `Lost` follows."""

    distributor: DistributorName
    reason: str


@dataclass(slots=True, frozen=True)
class SendToDistributor:
    """Of a subscriber: to the distributor it is connected with."""

    message: Row


@dataclass(slots=True, frozen=True)
class UpdateApplied:
    """Of a subscriber: the content is at `version` now; `services` have changed, were added or left."""

    version: Version
    services: tuple[ServiceName, ...]


@dataclass(slots=True, frozen=True)
class Note:
    """For the log: a JSON line."""

    event: str
    fields: dict = field(default_factory=dict)


DistributorOutput = SendToSubscriber | CloseConnection | Note
SubscriberOutput = Dial | Disconnect | SendToDistributor | UpdateApplied | Note
