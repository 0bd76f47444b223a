"""What subscribers and distributors say to each other over a link, and distributors among themselves.

Rows only; fields are only ever added at the end.  A subscriber dials, greets as members do
(fleet/links/words.py) and sends `Subscribe`; everything below goes over that one connection, in order."""

from __future__ import annotations

import enum

import msgspec

from ...encoding.frames import MessageTypes
from ...encoding.rows import Row
from ..transport import messages as links
from .types import NO_VERSION, DistributorName, Resource, ServiceName, SubscriberName, Version

# ---- subscriber to distributor ---------------------------------------------------------------------


class HeldService(Row, frozen=True):
    """`digest` of what the subscriber holds of a service; empty: it holds nothing of it yet."""

    service: ServiceName
    digest: bytes = b""


class Subscribe(Row, frozen=True):
    """The scope that the subscriber wants from here on, and what it holds: all services with a digest stand
    at `held`.  Sent first on a connection, and again with a higher `request` when the scope changes."""

    request: int
    held: Version
    services: tuple[HeldService, ...]


class Acknowledge(Row, frozen=True):
    """The update of that number is applied: the scope stands at `version`, with that digest."""

    number: int
    version: Version
    digest: bytes


class RejectReason(enum.IntEnum):
    OLDER = 1  # the update is older than what is held
    BASE = 2  # it follows a version that is not held
    DIGEST = 3  # what it leads to has another digest than it says
    UNREADABLE = 4  # a change in it can't be read


class Reject(Row, frozen=True):
    """The update of that number changed nothing; `held` stands."""

    number: int
    reason: RejectReason
    held: Version
    why: str = ""


class Renew(Row, frozen=True):
    """Asks that the held version counts as current for another lease; `number` grows over connections."""

    number: int


# ---- distributor to subscriber ---------------------------------------------------------------------


class ServiceChange(Row, frozen=True):
    """What changes in one service.  `whole`: what is not listed goes.  `digest`: of the service after it."""

    service: ServiceName
    whole: bool
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]
    digest: bytes


class Update(Row, frozen=True):
    """From `base` to `version`, in one step or not at all.

    `request`: of the `Subscribe` whose scope it is for; the first one for a request is sent even where
    nothing differs.  `changes`: each the msgpack of a `ServiceChange`, encoded once for all subscribers.
    `digest`: of the whole scope after it.  `whole`: all of the scope, whatever is held.  `void`: a version
    that the subscriber claimed and that a majority of the ledger has surely never had; only a subscriber that
    holds exactly this may go back."""

    request: int
    number: int
    base: Version
    version: Version
    digest: bytes
    changes: tuple[msgspec.Raw, ...]
    whole: bool = False
    void: Version = NO_VERSION


class Current(Row, frozen=True):
    """Answers `Renew`: what the subscriber has acknowledged contained all that was committed up to `age`
    (tenths of a ms) before this was sent; None: nothing can be said.  `version`: of the distributor's
    catalogue."""

    number: int
    version: Version
    age: int | None


class RefusalReason(enum.IntEnum):
    STARTING = 1  # this distributor has not caught up with the ledger since it started
    BEHIND = 2  # the subscriber holds a newer version than this distributor
    FULL = 3  # as many subscribers as it takes
    SCOPE = 4  # the scope is larger than one update may be
    CLOSING = 5  # this distributor is about to end


class Refused(Row, frozen=True):
    """The subscription is not served here now.  `again`: not here before so many tenths of a ms; other
    distributors may be asked at once.  The connection is closed after it."""

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
    """A subscriber whose connection is lost.  It may count as current for `acting` tenths of a ms more, and
    not after that."""

    subscriber: SubscriberName
    acknowledged: Version
    acting: int


class Report(Row, frozen=True):
    """The acknowledged versions of one distributor, added up; sent to the others once a period.

    `in_force`: each connected subscriber has all changes of its scope up to it.  `behind` and `unreachable`
    name the first few; the counts are of all.  `connected` and `lost`: all subscribers that are connected
    here, or were and are remembered, 4 bytes each (`terms.mark`): one that is lost here may be connected
    elsewhere."""

    distributor: DistributorName
    number: int
    version: Version
    in_force: Version
    in_force_age: int  # since the oldest change that is not in force was applied; 0: all are
    ledger_age: int | None  # since this distributor was surely level with the ledger; None: never
    subscribers: int
    behind_count: int = 0
    behind: tuple[Behind, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()
    connected: bytes = b""
    lost: bytes = b""


DISTRIBUTION_MESSAGES = (Subscribe, Acknowledge, Reject, Renew, Update, Current, Refused, Report)
# In the order of their numbers on the wire: what is added goes to the end.
MESSAGE_TYPES = MessageTypes(b"IHds", links.PROTOCOL, (*links.MESSAGE_TYPES, *DISTRIBUTION_MESSAGES), 4 << 20)
