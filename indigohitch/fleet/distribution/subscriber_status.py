"""State of a subscriber for the `status` command."""

from __future__ import annotations

from .subscriber import Subscriber


def subscriber_status(subscriber: Subscriber, now: int) -> dict:
    """Returns the state as JSON values; `age` is in tenths of a millisecond."""
    contents = subscriber.scope.services.values()
    return {
        "phase": subscriber.connector.phase.value,
        "distributor": subscriber.connector.distributor,
        "version": subscriber.version.text(),
        "age": subscriber.age(now),
        "current": now < subscriber.lease_until(now),
        "services": len(contents),
        "resources": sum(len(content.bodies) for content in contents),
    }
