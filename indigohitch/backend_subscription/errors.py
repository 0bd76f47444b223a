"""Errors in backends delivered by a subscription."""

from __future__ import annotations

from ..errors import InvalidDataError, UnavailableError


class InvalidInstanceError(InvalidDataError):
    """A resource does not describe a valid backend; its last valid value stays in use."""

    remedy = (
        "set this resource again, in the format of discovery's entries and with the backend ID from its key"
    )


class NoInstancesError(UnavailableError):
    """The subscribed services have no backends; the last list stays in use and no empty list is sent."""

    remedy = "check the services listed after `subscribe` in this file, and their instance/ID resources"
