"""The orders that the decision module returns."""

from __future__ import annotations

from dataclasses import dataclass

ALL_TABLES = 65535  # a SetAdmission for every table of this coordinator


@dataclass(slots=True, frozen=True)
class SetRoute:
    """Set a route of a table; weight 0 removes it."""

    table: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class ClearTable:
    """Remove all routes of a table."""

    table: int


@dataclass(slots=True, frozen=True)
class SetAdmission:
    """Set the share of some methods that is admitted, and their retries.

    `methods` are indexes of the settings' methods; none: all.  `retry_level`: 0 no retry, 1 one after proof
    that the first attempt never ran, 2 one after any failure, 3 two.
    """

    table: int
    methods: tuple[int, ...]
    admission_ratio: float
    retry_level: int


@dataclass(slots=True, frozen=True)
class EjectBackend:
    """Eject a backend from all tables, or end its ejection."""

    backend: str
    ejected: bool


@dataclass(slots=True, frozen=True)
class BindTable:
    """Give a proxy a table for some methods (none: all); for deployments without slices."""

    proxy: int
    table: int
    methods: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class UpdateMarker:
    """Request an acknowledgement from the proxies that these orders reach, or from all."""

    marker: int
    to_all_proxies: bool


@dataclass(slots=True, frozen=True)
class ProbeBackend:
    """Send a health probe."""

    backend: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to another coordinator."""

    peer: int  # -1: all
    body: bytes


@dataclass(slots=True, frozen=True)
class WatchBackends:
    """Subscribe to the list of backends, or end the subscription."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchBackends:
    """Request the full list of backends once."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Fire a timer at a time."""

    due_at: int
    tag: str


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a text to the log."""

    text: str


Order = (
    SetRoute
    | ClearTable
    | SetAdmission
    | EjectBackend
    | BindTable
    | UpdateMarker
    | ProbeBackend
    | SendToPeer
    | WatchBackends
    | FetchBackends
    | SetTimer
    | LogMessage
)
