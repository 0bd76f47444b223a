"""What can go wrong in the distribution: each says what happened, where, and what an operator can do."""

from __future__ import annotations

from ...errors import NotNow, Trouble, Unfit, Unreadable


class OlderVersion(Unfit):
    """An update tells an older version than the one held."""

    remedy = "nothing, if it stays rare: that distributor lags behind the ledger; see its `status`"


class UnknownBase(Unfit):
    """An update follows a version that is not held."""

    remedy = "nothing: the subscription resumes from what is held"


class DigestMismatch(Unreadable):
    """What an update leads to is not what the distributor holds."""

    remedy = "nothing, once: the whole scope is sent; if it comes again, report versions of both programs"


class ScopeTooLarge(Unfit):
    remedy = "let the coordinator reach fewer services, or raise the distributors' limit"


class NotLevel(NotNow):
    """A distributor that has not caught up with the ledger is no authority yet."""

    remedy = "wait; if it lasts, see whether the ledger has a majority"


class DistributorFull(NotNow):
    remedy = "add a distributor, or raise the limit on subscribers"


class NoDistributor(Trouble):
    """No distributor can be reached: the last version stands, and ages."""

    remedy = "start distributors, or see whether the network lets them through"
