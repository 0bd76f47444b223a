"""Updates in flight to one subscriber, and the changes that it lacks.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .types import ServiceName, Version


@dataclass(slots=True, frozen=True)
class MissingChange:
    """Describes a change that the subscriber lacks.

    `applied_at`: time at which this distributor applied it.  `caught_up_at`: time at which the distributor
    had last caught up with the ledger before that (0: never).
    """

    version: Version
    applied_at: int
    caught_up_at: int


@dataclass(slots=True, frozen=True)
class InFlightUpdate:
    """Describes an update that is sent and not yet acknowledged."""

    number: int
    request: int
    version: Version
    digest: bytes
    size: int
    sent_at: int
    whole_services: frozenset[ServiceName]  # services that it contains in full
    missing: MissingChange | None  # the oldest change that it contains


def oldest_missing(missing: Iterable[MissingChange | None]) -> MissingChange | None:
    """Returns the oldest of these changes, or None if there is none."""
    known = [each for each in missing if each is not None]
    return min(known, key=lambda each: (each.version, each.applied_at), default=None)


def encoded_size(changes: Iterable[msgspec.Raw]) -> int:
    """Returns the size of encoded changes in bytes."""
    return sum(len(memoryview(change)) for change in changes)
