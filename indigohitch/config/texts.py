"""The parsed contents of a configuration file."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as face
from .fleet import FleetText
from .routes import Routes


@dataclass(slots=True)
class Server:
    """A `server` line: one server of a pool, its address and relative weight; `line` is its line number."""

    name: str
    address: tuple[str, int]
    weight: float
    zone: str
    kind: str
    line: int


@dataclass(slots=True)
class PoolText:
    """A `pool` line with its servers; `boot` holds the settings with which the pool's module starts."""

    name: str
    boot: dict
    slices: int
    probe: str
    load_header: str
    line: int
    servers: dict[str, Server] = field(default_factory=dict)


@dataclass(slots=True)
class SidecarText:
    """The RPCs, pools and routes of a sidecar's file, collected while its lines are read."""

    rpcs: dict[str, face.Method] = field(default_factory=dict)
    seats: dict[str, tuple[str, int]] = field(default_factory=dict)  # by RPC: needed feature, line number
    pools: dict[str, PoolText] = field(default_factory=dict)
    named_pools: set[str] = field(default_factory=set)  # pools named by any `server` line, even a faulty one
    routes: Routes = field(default_factory=Routes)


@dataclass(slots=True)
class Text:
    """The contents of a file that has no mistakes.

    Attributes:
        source: The name of the file in messages.
        single: The values of directives that take one value.
        limits: Counts and bytes.
        waits: Durations in tenths of a millisecond.
        seats: The feature of which an RPC needs a seat, by the RPC's name.
        fleet: None if the file has no line `fleet`.
    """

    source: str
    single: dict
    limits: dict
    waits: dict
    rpcs: dict[str, face.Method] = field(default_factory=dict)
    pools: dict[str, PoolText] = field(default_factory=dict)
    routes: Routes = field(default_factory=Routes)
    seats: dict[str, str] = field(default_factory=dict)
    fleet: FleetText | None = None
