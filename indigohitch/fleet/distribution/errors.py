"""Errors of scoped distribution, each with a remedy for the operator."""

from __future__ import annotations

from ...errors import DirectorError, InvalidDataError, InvalidRequestError, UnavailableError
from .messages import RefusalReason

# ---- updates that a subscriber rejects -------------------------------------------------------------


class OlderVersionError(InvalidRequestError):
    """An update has an older version than the held content."""

    remedy = "nothing, if rare: that distributor lags behind the ledger; see its `status`"


class UnknownBaseError(InvalidRequestError):
    """An update is a delta from a version that is not held."""

    remedy = "nothing: the subscription resumes from the held version"


class DigestMismatchError(InvalidDataError):
    """The content after an update differs from the content at the distributor."""

    remedy = (
        "nothing, once: the whole scope is sent again; if it recurs, report the versions of both programs"
    )


# ---- subscriptions that a distributor refuses ------------------------------------------------------


class ScopeTooLargeError(InvalidRequestError):
    """A scope has more services, or more bytes, than one update may contain."""

    reason = RefusalReason.SCOPE
    remedy = "let the coordinator reach fewer services, or raise the distributors' limit"


class SubscriptionRefusedError(UnavailableError):
    """This distributor does not serve the subscription now; another one may."""

    reason: RefusalReason


class DistributorStartingError(SubscriptionRefusedError):
    """The distributor has not caught up with the ledger since it started."""

    reason = RefusalReason.STARTING
    remedy = "wait; if it lasts, see whether the ledger has a majority"


class DistributorBehindError(SubscriptionRefusedError):
    """The distributor lags behind the version that the subscriber holds."""

    reason = RefusalReason.BEHIND
    remedy = "nothing, if it stays rare; else see that distributor's `ledger_age` in its `status`"


class DistributorFullError(SubscriptionRefusedError):
    """The distributor has reached its limit of subscribers."""

    reason = RefusalReason.FULL
    remedy = "add a distributor, or raise the limit on subscribers"


class DistributorClosingError(SubscriptionRefusedError):
    """The distributor is shutting down."""

    reason = RefusalReason.CLOSING
    remedy = "nothing: subscribers go to the others"


# ---- subscriber faults that a distributor logs -----------------------------------------------------


class SubscriberTimeoutError(DirectorError):
    """A subscriber has not acknowledged an update in time; its connection is closed."""

    remedy = "check whether that process hangs or its host is overloaded; it reconnects by itself"


class SubscriberReplacedError(DirectorError):
    """A subscriber has connected again while its previous connection was open."""

    remedy = "nothing, if rare; otherwise two processes use that name"


class UnknownVersionError(DirectorError):
    """A subscriber claims a version that the ledger never committed; its whole scope is sent again."""

    remedy = (
        "check whether the ledger's disks were replaced, or whether that process belongs to another fleet"
    )


# ---- no distributor reachable ----------------------------------------------------------------------


class NoDistributorError(DirectorError):
    """No distributor can be reached; the last received version stays in use while its age grows."""

    remedy = "start distributors, or check whether the network lets subscribers reach them"
