"""What a file says, as its readers get it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as face
from .fleet import FleetText
from .routes import Routes


@dataclass(slots=True)
class Server:
    name: str
    address: tuple[str, int]
    weight: float
    zone: str
    kind: str
    line: int


@dataclass(slots=True)
class PoolText:
    """A pool as the file has it; `boot` is the module's plain map."""

    name: str
    boot: dict
    slices: int
    probe: str
    load_header: str
    line: int
    servers: dict[str, Server] = field(default_factory=dict)


@dataclass(slots=True)
class Carried:
    """What a sidecar carries, as its lines are read."""

    rpcs: dict[str, face.Method] = field(default_factory=dict)
    seats: dict[str, tuple[str, int]] = field(default_factory=dict)  # by RPC: the feature it needs, line
    pools: dict[str, PoolText] = field(default_factory=dict)
    wanted: set[str] = field(default_factory=set)  # pools that a server's line names, good or not
    routes: Routes = field(default_factory=Routes)


@dataclass(slots=True)
class Text:
    """What a file says.  `limits`: counts, and bytes; `waits`: tenths of a ms; `seats`: by RPC the feature of
    which it needs a seat; `fleet`: None where the file has no line `fleet`."""

    source: str
    single: dict
    limits: dict
    waits: dict
    rpcs: dict[str, face.Method] = field(default_factory=dict)
    pools: dict[str, PoolText] = field(default_factory=dict)
    routes: Routes = field(default_factory=Routes)
    seats: dict[str, str] = field(default_factory=dict)
    fleet: FleetText | None = None
