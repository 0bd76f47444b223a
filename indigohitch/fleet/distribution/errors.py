"""What can go wrong in the distribution: each says what happened, where, and what an operator can do."""

from __future__ import annotations

from ...errors import DirectorError, InvalidDataError, InvalidRequestError, UnavailableError
from .messages import RefusalReason

# ---- an update that a subscriber can't take --------------------------------------------------------


class OlderVersionError(InvalidRequestError):
    """An update tells an older version than the one held."""

    remedy = "nothing, if it stays rare: that distributor lags behind the ledger; see its `status`"


class UnknownBaseError(InvalidRequestError):
    """An update follows a version that is not held."""

    remedy = "nothing: the subscription resumes from what is held"


class DigestMismatchError(InvalidDataError):
    """What an update leads to is not what the distributor holds."""

    remedy = "nothing, once: the whole scope is sent; if it comes again, report versions of both programs"


# ---- a subscription that a distributor doesn't serve -----------------------------------------------


class ScopeTooLargeError(InvalidRequestError):
    """More services, or more bytes of them, than one update takes."""

    reason = RefusalReason.SCOPE
    remedy = "let the coordinator reach fewer services, or raise the distributors' limit"


class SubscriptionRefusedError(UnavailableError):
    """By this distributor; another one may."""

    reason: RefusalReason


class DistributorStartingError(SubscriptionRefusedError):
    """It has not caught up with the ledger since it started, so it is no authority."""

    reason = RefusalReason.STARTING
    remedy = "wait; if it lasts, see whether the ledger has a majority"


class DistributorBehindError(SubscriptionRefusedError):
    """It lags behind what the subscriber holds."""

    reason = RefusalReason.BEHIND
    remedy = "nothing, if it stays rare; else see that distributor's `ledger_age` in its `status`"


class DistributorFullError(SubscriptionRefusedError):
    reason = RefusalReason.FULL
    remedy = "add a distributor, or raise the limit on subscribers"


class DistributorClosingError(SubscriptionRefusedError):
    reason = RefusalReason.CLOSING
    remedy = "nothing: subscribers go to the others"


# ---- subscribers that a distributor logs -----------------------------------------------------------


class SubscriberTimeoutError(DirectorError):
    """It has not answered an update in time; its connection is closed."""

    remedy = "see whether that process hangs or its host is overloaded; it resumes by itself"


class SubscriberReplacedError(DirectorError):
    """It has connected again while it was still served over an earlier connection."""

    remedy = "nothing, if it stays rare; else two processes bear that name"


class UnknownVersionError(DirectorError):
    """It claims a version that the ledger has surely never had; it gets its whole scope."""

    remedy = "find out whether the ledger's disks were replaced, or that process belongs to another fleet"


# ---- no distributor at all -------------------------------------------------------------------------


class NoDistributorError(DirectorError):
    """No distributor can be reached: the last version stands, and ages."""

    remedy = "start distributors, or see whether the network lets them through"
