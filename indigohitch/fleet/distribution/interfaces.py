"""Events and outputs of the distributor's and the subscriber's state machines.  No I/O.

Both are `step(now, event) -> list[output]`, outputs in order, and `due`, the time at which `Tick` is due at
the latest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from .types import DistributorName, ServiceName, SubscriberName, Version

# ---- into both -------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Tick:
    """The time that `due` has named is reached."""


# ---- into a distributor ----------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SubscriberConnected:
    """A subscriber has connected; `connection` is unique in this process and only grows."""

    connection: int
    subscriber: SubscriberName


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of a subscriber: Subscribe, Acknowledge, Reject, Renew."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class SubscriberDisconnected:
    """A connection has ended."""

    connection: int


@dataclass(slots=True, frozen=True)
class ResourcesChanged:
    """The store has applied an entry that changed these services."""

    services: tuple[ServiceName, ...]


@dataclass(slots=True, frozen=True)
class ResourcesReplaced:
    """The store was restored from a snapshot or from disk."""


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All that was committed at `confirmed_at` is applied here.

    `confirmed_at` is the own clock's time before the confirmed read was sent.
    """

    confirmed_at: int


@dataclass(slots=True, frozen=True)
class ReportReceived:
    """A report of another distributor."""

    report: Row


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This distributor is about to end: subscribers are sent to others."""


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
    """The dialled distributor has accepted the subscriber."""

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
    """The services that the subscriber needs from now on."""

    services: frozenset[ServiceName]


SubscriberInput = ConnectionEstablished | ConnectionLost | DistributorMessageReceived | ScopeChanged | Tick

# ---- out -------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendToSubscriber:
    """Distributor: send a message over this connection."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Distributor: close the connection once its output is sent."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Dial:
    """Subscriber: connect; the result is `ConnectionEstablished` or `ConnectionLost`."""

    distributor: DistributorName


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Subscriber: close the connection; no `ConnectionLost` follows."""

    distributor: DistributorName
    reason: str


@dataclass(slots=True, frozen=True)
class SendToDistributor:
    """Subscriber: send a message to the connected distributor."""

    message: Row


@dataclass(slots=True, frozen=True)
class UpdateApplied:
    """Subscriber: the content is at `version` now.

    `services` have changed, were added or were removed.
    """

    version: Version
    services: tuple[ServiceName, ...]


@dataclass(slots=True, frozen=True)
class Note:
    """An event for the log."""

    event: str
    fields: dict = field(default_factory=dict)


DistributorOutput = SendToSubscriber | CloseConnection | Note
SubscriberOutput = Dial | Disconnect | SendToDistributor | UpdateApplied | Note
