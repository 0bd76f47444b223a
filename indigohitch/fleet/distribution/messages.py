"""Messages between subscribers and distributors, and among distributors.

Rows only; fields are only ever added at the end.  A subscriber connects, sends the handshake of members
(fleet/transport/messages.py) and then `Subscribe`; all that follows uses that one connection, in order.
"""

from __future__ import annotations

import enum

import msgspec

from ...encoding.frames import MessageTypes
from ...encoding.rows import Row
from ..transport import messages as links
from .types import NO_VERSION, DistributorName, Resource, ServiceName, SubscriberName, Version

# ---- subscriber to distributor ---------------------------------------------------------------------


class HeldService(Row, frozen=True):
    """A service with the `digest` of what the subscriber holds; empty: nothing yet."""

    service: ServiceName
    digest: bytes = b""


class Subscribe(Row, frozen=True):
    """The scope that the subscriber wants from here on, and what it holds.

    All services with a digest are at version `held`.  Sent first on a connection, and again with a higher
    `request` when the scope changes.
    """

    request: int
    held: Version
    services: tuple[HeldService, ...]


class Acknowledge(Row, frozen=True):
    """ACK: the update of that number is applied; the scope has that version and digest."""

    number: int
    version: Version
    digest: bytes


class RejectReason(enum.IntEnum):
    """Why an update was rejected."""

    OLDER = 1  # the update is older than what is held
    BASE = 2  # it follows a version that is not held
    DIGEST = 3  # the content after it has another digest than stated
    UNREADABLE = 4  # a change in it can't be read


class Reject(Row, frozen=True):
    """NACK: the update of that number changed nothing; the subscriber keeps version `held`."""

    number: int
    reason: RejectReason
    held: Version
    why: str = ""


class Renew(Row, frozen=True):
    """Requests another lease for the held version; `number` grows over all connections."""

    number: int


# ---- distributor to subscriber ---------------------------------------------------------------------


class ServiceChange(Row, frozen=True):
    """The change of one service; if `whole`, resources that are not listed are removed.

    `digest`: of the service after the change.
    """

    service: ServiceName
    whole: bool
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]
    digest: bytes


class Update(Row, frozen=True):
    """A delta from version `base` to `version`, applied in one step or not at all.

    `request`: of the `Subscribe` whose scope it is for; the first update for a request is sent even if
    nothing differs.  `changes`: each the msgpack of a `ServiceChange`, encoded once for all subscribers.
    `digest`: of the whole scope after it.  `whole`: all of the scope, whatever is held.  `void`: a version
    that the subscriber claimed and that a majority of the ledger never had; only a subscriber that holds
    exactly this one may go back.
    """

    request: int
    number: int
    base: Version
    version: Version
    digest: bytes
    changes: tuple[msgspec.Raw, ...]
    whole: bool = False
    void: Version = NO_VERSION


class Current(Row, frozen=True):
    """The answer to `Renew`; `version` is that of the distributor's store.

    What the subscriber has acknowledged contained all that was committed up to `age` (tenths of a
    millisecond) before this was sent; None: unknown.
    """

    number: int
    version: Version
    age: int | None


class RefusalReason(enum.IntEnum):
    """Why a subscription was refused."""

    STARTING = 1  # this distributor has not caught up with the ledger since it started
    BEHIND = 2  # the subscriber holds a newer version than this distributor
    FULL = 3  # as many subscribers as it takes
    SCOPE = 4  # the scope is larger than one update may be
    CLOSING = 5  # this distributor is about to end


class Refused(Row, frozen=True):
    """The subscription is not served here now; the connection is closed after it.

    `again`: not to return for so many tenths of a millisecond; other distributors may be tried at once.
    """

    reason: RefusalReason
    version: Version
    again: int
    why: str = ""


# ---- distributor to distributor --------------------------------------------------------------------


class Behind(Row, frozen=True):
    """A connected subscriber that has not acknowledged a change of its scope."""

    subscriber: SubscriberName
    acknowledged: Version
    missing: Version  # the oldest change that it lacks
    age: int  # since this distributor applied that change


class Unreachable(Row, frozen=True):
    """A subscriber whose connection is lost; it may count as current for `acting` at most."""

    subscriber: SubscriberName
    acknowledged: Version
    acting: int


class Report(Row, frozen=True):
    """The acknowledged versions of one distributor, aggregated; sent to the others periodically.

    `in_force`: each connected subscriber has all changes of its scope up to it.  `behind` and `unreachable`
    list the first few; the counts are of all.  `connected` and `lost`: 4 bytes (`types.subscriber_mark`) for
    each subscriber that is connected here, or was and is remembered: one that is lost here may be connected
    elsewhere.
    """

    distributor: DistributorName
    number: int
    version: Version
    in_force: Version
    in_force_age: int  # since the oldest change that is not in force was applied; 0: all are
    ledger_age: int | None  # since this distributor had surely caught up with the ledger; None: never
    subscribers: int
    behind_count: int = 0
    behind: tuple[Behind, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()
    connected: bytes = b""
    lost: bytes = b""


DISTRIBUTION_MESSAGES = (Subscribe, Acknowledge, Reject, Renew, Update, Current, Refused, Report)
# In the order of their numbers on the wire: what is added goes to the end.
MESSAGE_TYPES = MessageTypes(b"IHds", links.PROTOCOL, (*links.MESSAGE_TYPES, *DISTRIBUTION_MESSAGES), 4 << 20)
