"""Errors of the distribution; each has a remedy for the operator."""

from __future__ import annotations

from ...errors import DirectorError, InvalidDataError, InvalidRequestError, UnavailableError
from .messages import RefusalReason

# ---- an update that a subscriber can't take --------------------------------------------------------


class OlderVersionError(InvalidRequestError):
    """An update has an older version than the one held."""

    remedy = "nothing, if it stays rare: that distributor lags behind the ledger; see its `status`"


class UnknownBaseError(InvalidRequestError):
    """An update is based on a version that is not held."""

    remedy = "nothing: the subscription resumes from what is held"


class DigestMismatchError(InvalidDataError):
    """The content after an update differs from the distributor's."""

    remedy = "nothing, once: the whole scope is sent; if it comes again, report versions of both programs"


# ---- a subscription that a distributor doesn't serve -----------------------------------------------


class ScopeTooLargeError(InvalidRequestError):
    """A scope has more services, or more bytes, than one update may carry."""

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
    """The distributor lags behind what the subscriber holds."""

    reason = RefusalReason.BEHIND
    remedy = "nothing, if it stays rare; else see that distributor's `ledger_age` in its `status`"


class DistributorFullError(SubscriptionRefusedError):
    """The distributor serves as many subscribers as it may."""

    reason = RefusalReason.FULL
    remedy = "add a distributor, or raise the limit on subscribers"


class DistributorClosingError(SubscriptionRefusedError):
    """The distributor is shutting down."""

    reason = RefusalReason.CLOSING
    remedy = "nothing: subscribers go to the others"


# ---- subscribers that a distributor logs -----------------------------------------------------------


class SubscriberTimeoutError(DirectorError):
    """A subscriber has not acknowledged an update in time; its connection is closed."""

    remedy = "see whether that process hangs or its host is overloaded; it resumes by itself"


class SubscriberReplacedError(DirectorError):
    """A subscriber has connected again while its earlier connection was open."""

    remedy = "nothing, if it stays rare; else two processes bear that name"


class UnknownVersionError(DirectorError):
    """A subscriber claims a version that the ledger never had; it gets its whole scope."""

    remedy = "find out whether the ledger's disks were replaced, or that process belongs to another fleet"


# ---- no distributor at all -------------------------------------------------------------------------


class NoDistributorError(DirectorError):
    """No distributor can be reached; the last version stays in use and ages."""

    remedy = "start distributors, or see whether the network lets them through"
