"""One coordinator's process: started, signalled, read when it has ended; ends only what it started."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from indigohitch.net.connection import Connection, parse_address
from indigohitch.net.loop import Deadline, EventLoop

from . import settings

ROOT = Path(__file__).parent.parent.parent


class Coordinator:
    LAST = 7000  # tenths of a ms from SIGTERM to SIGKILL
    HEARTBEAT = 200  # between questions whether it is ready

    def __init__(self, loop: EventLoop, folder: Path, listen: str, broken: str) -> None:
        self.loop, self.folder, self.listen = loop, folder, listen
        self.config, self.faults = folder / "config.json", folder / "faults.json"
        self.environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")},
            "BALANCER_NAME": folder.name,
            "BALANCER_CONFIG": str(self.config),
            "BALANCER_LISTEN": listen,
            "SOAK_FAULTS": str(self.faults),
            "SOAK_BROKEN": broken,
        }
        self.process: subprocess.Popen | None = None
        self.meant_to_end = False
        self.starts = 0
        self.started_at = 0.0
        self.ready_after: list[float] = []  # s, of each start
        self.on_ready = lambda: None
        self.asking: Deadline | None = None
        self.crashes: list[int] = []

    def write_config(self, discovery: str, store: str, known: dict, seed: int) -> None:
        self.config.write_text(
            json.dumps(
                {
                    "name": self.folder.name,
                    "listen": self.listen,
                    "discovery": discovery,
                    "seed": f"{seed:x}",
                    "limits": settings.LIMITS,
                    "store": {"address": store},
                    "known": known,
                    "settings": settings.SETTINGS,
                }
            )
        )

    def write_faults(self, **told) -> None:
        """Whole or not at all: the process may look at any moment."""
        half = self.faults.with_suffix(".half")
        half.write_text(json.dumps(told))
        half.replace(self.faults)

    def start(self) -> None:
        self.starts += 1
        self.meant_to_end, self.started_at = False, time.monotonic()
        with open(self.folder / "log", "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "proofs" / "soakkit" / "altered.py")],
                cwd=ROOT,
                env=self.environment,
                stdout=out,
                stderr=out,
            )
        self.ask()

    def ask(self) -> None:
        """Whether it answers `hb`."""
        self.asking = self.loop.call_after(self.HEARTBEAT, self.ask)
        try:
            connection = Connection.dial(self.loop, parse_address(self.listen), _Heartbeat(self))
        except OSError:
            return
        self.loop.call_after(self.HEARTBEAT, connection.close)

    def ready(self) -> None:
        if self.asking is None:
            return
        self.asking.cancel()
        self.asking = None
        self.ready_after.append(time.monotonic() - self.started_at)
        self.on_ready()

    def runs(self) -> bool:
        """Also looks whether it has ended by itself."""
        if self.process is None:
            return False
        code = self.process.poll()
        if code is None:
            return True
        if not self.meant_to_end:
            self.crashes.append(code)
        self.process = None
        return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self, number: int) -> None:
        """SIGTERM, after which SIGKILL follows; or that at once."""
        self.meant_to_end = True
        self.signal(signal.SIGCONT)
        self.signal(number)
        if number == signal.SIGTERM and self.process is not None:
            process = self.process
            self.loop.call_after(self.LAST, lambda: process.kill() if process.poll() is None else None)

    def log(self) -> list[dict]:
        found = []
        for line in (self.folder / "log").read_bytes().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({"event": "no_json", "line": line[:200].decode(errors="replace")})
        return found


class _Heartbeat:
    """A reader that asks for a sign of life."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator

    def on_connected(self, connection: Connection) -> None:
        connection.write(b"hb\r\n")

    def on_data(self, connection: Connection) -> None:
        if connection.incoming.line() == b"hb_ok":
            self.coordinator.ready()

    def on_closed(self, connection: Connection, why: str) -> None: ...
