"""The operators' files of a fleet on loopback: each names the relay's ports for the others."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from pathlib import Path

RPCS = [
    "rpc search idempotent soft 2s deadline 4s criticality 2",
    "rpc place-reserve non-idempotent soft 1.2s deadline 3s criticality 2",
]
ROUTES = [
    "route GET /vacancies/{block} rpc search pool nodes key path 1",
    "route POST /vacancies/{block} rpc search pool nodes key path 1",
    "route POST /places/{id}/reserve rpc place-reserve pool nodes key path 1",
]


def held_port() -> socket.socket:
    """Bound and never listening: the port is a member's even while that member is down."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


@dataclass
class Pool:
    """A sidecar's pool before stand-in servers.  `rpcs` and `routes` whole lines, as the file has them."""

    name: str = "nodes"
    servers: dict[str, str] = field(default_factory=dict)  # by name, host:port
    options: str = "slices 32 report 200ms come-back 1s"
    rpcs: list[str] = field(default_factory=lambda: list(RPCS))
    routes: list[str] = field(default_factory=lambda: list(ROUTES))

    def lines(self) -> list[str]:
        return [
            *self.rpcs,
            f"pool {self.name} {self.options}",
            *self.routes,
            *(f"server {name} {at} pool {self.name}" for name, at in self.servers.items()),
        ]


class Place:
    """Where one member lives: its folder, its port `at` for the members, `listen` for a sidecar's RPCs."""

    def __init__(self, name: str, votes: bool, folder: Path, sidecar: bool) -> None:
        self.name, self.votes, self.folder = name, votes, folder
        self.holders = [held_port() for _ in range(1 + sidecar)]
        self.at = self.holders[0].getsockname()
        self.listen = f"127.0.0.1:{self.holders[1].getsockname()[1]}" if sidecar else ""

    def close(self) -> None:
        for sock in self.holders:
            sock.close()

    @property
    def file(self) -> Path:
        return self.folder / "operator.conf"

    @property
    def control(self) -> str:
        return str(self.folder / "control")

    @property
    def ledger(self) -> Path:
        return self.folder / "ledger"

    def write(self, fleet: str, members: list[tuple[str, str, bool]], lines: list[str]) -> None:
        """`members`: name, host:port as this one reaches it, votes."""
        self.folder.mkdir(exist_ok=True)
        text = [
            f"name {self.name}",
            f"control {self.control}",
            f"pidfile {self.folder / 'pid'}",
            *([f"listen {self.listen}"] if self.listen else []),
            f"fleet {fleet}",
            f"ledger {self.ledger}",
            *(f"member {name} {at} {'votes' if votes else 'follows'}" for name, at, votes in members),
            *lines,
            "",
        ]
        part = self.file.with_suffix(".part")
        part.write_text("\n".join(text))
        part.rename(self.file)
