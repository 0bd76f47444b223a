"""Messages between subscribers and distributors, and among distributors.

Messages are encoded as arrays, so fields are only ever added at the end.  A subscriber connects, sends the
handshake of members (fleet/transport/messages.py) and then `Subscribe`; all later messages use the same
connection, in order.
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
    """Names a service and the `digest` of the content held; the digest is empty if nothing is held."""

    service: ServiceName
    digest: bytes = b""


class Subscribe(Row, frozen=True):
    """Requests a scope and states what the subscriber holds of it.

    All services with a digest are at version `held`.  It is the first message on a connection, and is sent
    again with a higher `request` when the scope changes.
    """

    request: int
    held: Version
    services: tuple[HeldService, ...]


class Acknowledge(Row, frozen=True):
    """Acknowledges (ACK) the update `number`: the scope now has that version and digest."""

    number: int
    version: Version
    digest: bytes


class RejectReason(enum.IntEnum):
    """Reasons for rejecting an update."""

    OLDER = 1  # the update is older than the held version
    BASE = 2  # the update is a delta from a version that is not held
    DIGEST = 3  # the content after the update does not have the stated digest
    UNREADABLE = 4  # a change in the update can't be decoded


class Reject(Row, frozen=True):
    """Rejects (NACK) the update `number`, which changed nothing: the subscriber keeps version `held`."""

    number: int
    reason: RejectReason
    held: Version
    why: str = ""


class Renew(Row, frozen=True):
    """Requests a lease renewal for the held version; `number` grows across connections."""

    number: int


# ---- distributor to subscriber ---------------------------------------------------------------------


class ServiceChange(Row, frozen=True):
    """Lists the changes of one service; if `whole`, resources that are not listed are removed.

    `digest`: digest of the service after the change.
    """

    service: ServiceName
    whole: bool
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]
    digest: bytes


class Update(Row, frozen=True):
    """Changes the content from version `base` to `version`; it is applied atomically or not at all.

    `request`: number of the `Subscribe` whose scope it is for; the first update for a request is sent even
    if nothing differs.  `changes`: encoded `ServiceChange` messages; each is encoded once for all
    subscribers.  `digest`: digest of the whole scope after the update.  `whole`: the update replaces the
    whole scope, whatever is held.  `void`: a version that the subscriber claimed and that a majority of the
    ledger never committed; only a subscriber that holds exactly this version may go back to an older one.
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
    """Answers `Renew`; `version` is that of the distributor's store.

    The acknowledged content includes all changes that were committed up to `age` (tenths of a millisecond)
    before this message was sent.  `age` is None if that is unknown.
    """

    number: int
    version: Version
    age: int | None


class RefusalReason(enum.IntEnum):
    """Reasons for refusing a subscription."""

    STARTING = 1  # the distributor has not caught up with the ledger since it started
    BEHIND = 2  # the subscriber holds a newer version than the distributor
    FULL = 3  # the distributor has reached its limit of subscribers
    SCOPE = 4  # the scope does not fit into one update
    CLOSING = 5  # the distributor is shutting down


class Refused(Row, frozen=True):
    """Refuses a subscription; the distributor closes the connection after this message.

    The subscriber may try other distributors at once.
    """

    reason: RefusalReason
    version: Version
    retry_after: int  # wait before returning to this distributor, in tenths of a millisecond
    why: str = ""


# ---- distributor to distributor --------------------------------------------------------------------


class Behind(Row, frozen=True):
    """Reports a connected subscriber that has not acknowledged a change of its scope."""

    subscriber: SubscriberName
    acknowledged: Version
    missing: Version  # version of the oldest change that it lacks
    age: int  # time since the distributor applied that change


class Unreachable(Row, frozen=True):
    """Reports a disconnected subscriber, whose content may count as current for at most `acting`."""

    subscriber: SubscriberName
    acknowledged: Version
    acting: int


class Report(Row, frozen=True):
    """Aggregates the acknowledged versions at one distributor; sent to the others periodically.

    `in_force`: the version up to which each connected subscriber has all changes of its scope.  `behind` and
    `unreachable` list only the first few subscribers, the counts include all.  `connected` and `lost`: 4
    bytes (`types.subscriber_mark`) for each subscriber that is connected here, and for each that is
    disconnected and still remembered: one that is lost here may be connected elsewhere.
    """

    distributor: DistributorName
    number: int
    version: Version
    in_force: Version
    in_force_age: int  # time since the oldest change that is not in force was applied; 0 if all are
    ledger_age: int | None  # time since it had last caught up with the ledger; None: never
    subscribers: int
    behind_count: int = 0
    behind: tuple[Behind, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()
    connected: bytes = b""
    lost: bytes = b""


DISTRIBUTION_MESSAGES = (Subscribe, Acknowledge, Reject, Renew, Update, Current, Refused, Report)
# The position of a type is its number on the wire, so new types are appended.
MESSAGE_TYPES = MessageTypes(b"IHds", links.PROTOCOL, (*links.MESSAGE_TYPES, *DISTRIBUTION_MESSAGES), 4 << 20)
