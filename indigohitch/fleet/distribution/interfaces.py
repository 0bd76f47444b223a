"""Events and outputs of the distributor's and the subscriber's state machines.  No I/O.

Each state machine has `step(now, event) -> list[output]`, which returns the outputs in order, and `due`, the
time at which `Tick` is due at the latest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from .types import DistributorName, ServiceName, SubscriberName, Version

# ---- events of both --------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Tick:
    """The time given by `due` has been reached."""


# ---- events of a distributor -----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SubscriberConnected:
    """A subscriber has connected; `connection` is a number that only grows within the process."""

    connection: int
    subscriber: SubscriberName


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A subscriber has sent a message: Subscribe, Acknowledge, Reject or Renew."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class SubscriberDisconnected:
    """A connection has closed."""

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
    """All entries that were committed at `confirmed_at` are applied here.

    `confirmed_at`: the time, by the local clock, before the confirmed read was sent.
    """

    confirmed_at: int


@dataclass(slots=True, frozen=True)
class ReportReceived:
    """Another distributor has sent its report."""

    report: Row


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This distributor is shutting down: its subscribers must connect to others."""


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

# ---- events of a subscriber ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ConnectionEstablished:
    """The dialled distributor has accepted the subscriber."""

    distributor: DistributorName


@dataclass(slots=True, frozen=True)
class ConnectionLost:
    """The dialled distributor could not be reached, or its connection has closed."""

    distributor: DistributorName
    reason: str = ""


@dataclass(slots=True, frozen=True)
class DistributorMessageReceived:
    """The distributor has sent a message: Update, Current or Refused."""

    distributor: DistributorName
    message: Row


@dataclass(slots=True, frozen=True)
class ScopeChanged:
    """The subscriber needs these services from now on."""

    services: frozenset[ServiceName]


SubscriberInput = ConnectionEstablished | ConnectionLost | DistributorMessageReceived | ScopeChanged | Tick

# ---- outputs ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendToSubscriber:
    """Tells a distributor's driver to send a message over this connection."""

    connection: int
    message: Row


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Tells a distributor's driver to close the connection after its pending output is sent."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Dial:
    """Tells a subscriber's driver to connect; `ConnectionEstablished` or `ConnectionLost` follows."""

    distributor: DistributorName


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Tells a subscriber's driver to close the connection; no `ConnectionLost` follows."""

    distributor: DistributorName
    reason: str


@dataclass(slots=True, frozen=True)
class SendToDistributor:
    """Tells a subscriber's driver to send a message to the connected distributor."""

    message: Row


@dataclass(slots=True, frozen=True)
class UpdateApplied:
    """Reports that a subscriber's content is now at `version`.

    `services`: those that have changed, were added or were removed.
    """

    version: Version
    services: tuple[ServiceName, ...]


@dataclass(slots=True, frozen=True)
class Note:
    """Tells the driver to log an event."""

    event: str
    fields: dict = field(default_factory=dict)


DistributorOutput = SendToSubscriber | CloseConnection | Note
SubscriberOutput = Dial | Disconnect | SendToDistributor | UpdateApplied | Note
