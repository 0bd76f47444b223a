"""Orders that the decision module returns."""

from __future__ import annotations

from dataclasses import dataclass

ALL_TABLES = 65535  # table id of a SetAdmission for every table of this coordinator


@dataclass(slots=True, frozen=True)
class SetRoute:
    """Sets the weight of a route in a table; weight 0 removes the route."""

    table: int
    backend: str
    weight: float


@dataclass(slots=True, frozen=True)
class ClearTable:
    """Removes all routes of a table."""

    table: int


@dataclass(slots=True, frozen=True)
class SetAdmission:
    """Sets the share of RPCs of some methods to admit, and how they are retried.

    `methods` holds indexes into the methods of the settings; empty means all of them. `retry_level` is 0 for
    no retry, 1 for one retry after proof that the first attempt never ran, 2 for one retry after any failure,
    3 for two of them.
    """

    table: int
    methods: tuple[int, ...]
    admission_ratio: float
    retry_level: int


@dataclass(slots=True, frozen=True)
class EjectBackend:
    """Ejects a backend from all tables, or ends its ejection."""

    backend: str
    ejected: bool


@dataclass(slots=True, frozen=True)
class BindTable:
    """Assigns a table to a proxy for some methods, in deployments without slices.

    Empty `methods` mean all of them.
    """

    proxy: int
    table: int
    methods: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class UpdateMarker:
    """Requests an acknowledgement from the proxies that receive these orders, or from all proxies."""

    marker: int
    to_all_proxies: bool


@dataclass(slots=True, frozen=True)
class ProbeBackend:
    """Sends a health probe to a backend."""

    backend: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Sends a message to another coordinator, or to all of them."""

    peer: int  # -1: all
    body: bytes


@dataclass(slots=True, frozen=True)
class WatchBackends:
    """Subscribes to the list of backends, or ends the subscription."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchBackends:
    """Requests the full list of backends once."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Sets a timer that fires at `due_at`."""

    due_at: int
    tag: str


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Writes a text to the log."""

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
