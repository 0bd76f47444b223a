"""Errors of the backends that a subscription delivers."""

from __future__ import annotations

from ..errors import InvalidDataError, UnavailableError


class InvalidInstanceError(InvalidDataError):
    """A resource is no valid backend; its last valid value stays in use."""

    remedy = "set this resource anew, in discovery's form with the id of its key"


class NoInstancesError(UnavailableError):
    """The subscribed services name no backend; the last list stays in use and no empty one is sent."""

    remedy = "see the services after `subscribe` in this file, and their resources instance/ID"
