"""What can be wrong with the backends that a subscription brings."""

from __future__ import annotations

from ..errors import InvalidDataError, UnavailableError


class InvalidInstanceError(InvalidDataError):
    """A resource that should be a backend is none: it changes nothing, what it said before stands."""

    remedy = "set this resource anew, in discovery's form with the id of its key"


class NoInstancesError(UnavailableError):
    """The services subscribed to name no backend at all: that is not told, the backends held stand."""

    remedy = "see the services after `subscribe` in this file, and their resources instance/ID"
