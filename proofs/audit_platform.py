"""What coordinators of a fleet order to, as a stand-in: a relay for each, with slices in its charge.  Slices
of one that the ledger says is gone go to the others, and back once it is valid again."""

from __future__ import annotations

import json
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from fleetkit import Fleet  # noqa: E402

from indigohitch.fleet.audit.relay_orders import order_digest  # noqa: E402
from stage import SETTINGS, Platform  # noqa: E402
from waiting import free_address  # noqa: E402

GRACE = 5.0  # s; a lease of two, an election, and time to drain what was taken over
SLICES, BACKENDS = 6, 4
BOOT = SETTINGS | {"rules": SETTINGS["rules"] | {"drain-grace": 1000 * GRACE}}


class Relay(Platform):
    def __init__(self, path: Path, first: int) -> None:
        super().__init__(path, BACKENDS, 0, 2)
        self.tables = {first + n: {f"b{n % BACKENDS}": 1.0} for n in range(SLICES)}
        self.heard: list[tuple[float, bytes]] = []  # when, and the digest of a call's orders

    def _carry_out(self, orders: list[str]) -> int:
        with self.lock:
            self.heard.append((time.monotonic(), order_digest(";".join(orders))))
            return super()._carry_out(orders)

    def environment(self) -> dict[str, str]:
        """For a coordinator before this relay."""
        listen = free_address()
        (self.path / "balancer.json").write_text(
            json.dumps(
                {
                    "name": self.path.name,
                    "listen": listen,
                    "discovery": self.discovery.address,
                    "seed": "8c1f30d2",
                    "known": self.known,
                    "settings": BOOT,
                    "limits": self.limits,
                    "store": {"address": self.relay.address},
                }
            )
        )
        return {
            "BALANCER_CONFIG": str(self.path / "balancer.json"),
            "BALANCER_NAME": self.path.name,
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": self.discovery.address,
        }


class Platforms:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.stopping = fleet, False
        self.relays = {name: Relay(fleet.places[name].folder, 100 * n) for n, name in enumerate(fleet.voters)}
        self.homes = {s: name for name, relay in self.relays.items() for s in relay.tables}
        self.given = dict.fromkeys(self.homes, 0.0)  # when a slice came into its present charge
        self.draining: dict[str, float] = {}  # backend -> since when
        self.over: set[tuple] = set()
        self.gone: dict[str, float] = {}  # member -> since when its slices are with others
        self.late: list[tuple[str, float]] = []  # calls of one whose slices are with others
        # Since when nothing has been done to a member: a drain's grace begins anew after a fault.
        self.undisturbed: Callable[[str], float] = lambda name: 0.0
        self.takeovers = 0
        self.drains = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        for name, relay in self.relays.items():
            fleet.members[name].environment |= relay.environment()

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self.stopping = True
        if self._thread.is_alive():
            self._thread.join(10)
        for relay in self.relays.values():
            relay.close()

    # ---- backends ------------------------------------------------------------------------------------

    def drain(self, backend: str) -> None:
        self.drains += 1
        self.draining[backend] = time.monotonic()
        for relay in self.relays.values():
            relay.change(backend, "DRAINING")

    def serve(self, backend: str) -> None:
        self.draining.pop(backend, None)
        for relay in self.relays.values():
            relay.change(backend)

    def drained(self, backend: str) -> bool:
        return not any(
            backend in table for relay in self.relays.values() for table in list(relay.tables.values())
        )

    def in_turn(self, busy: Callable[[], bool], rest: float) -> None:
        """One backend after the other drains and serves again: orders from every coordinator."""
        n = 0
        while busy():
            backend, n = f"b{n % 4}", n + 1
            self.drain(backend)
            end = time.monotonic() + 8
            while busy() and not self.drained(backend) and time.monotonic() < end:
                time.sleep(0.02)
            self.serve(backend)
            time.sleep(rest)

    # ---- slices --------------------------------------------------------------------------------------

    def hand(self, slice: int, one: str, other: str) -> None:
        giver, taker = self.relays[one], self.relays[other]
        with giver.lock:
            lines = giver.tables.pop(slice)
            giver.tell("owner", range=slice, flag=0)
        with taker.lock:
            taker.tables[slice] = lines
            self.given[slice] = time.monotonic()
            taker.tell("owner", range=slice, flag=1)
            for backend, weight in lines.items():
                taker.tell("entry", range=slice, target=backend, rps=weight)

    def take_over(self, name: str) -> None:
        others = [n for n in self.relays if n != name and n not in self.gone]
        self.gone[name], self.takeovers = time.monotonic(), self.takeovers + 1
        for n, slice in enumerate(list(self.relays[name].tables)):
            self.hand(slice, name, others[n % len(others)])

    def give_back(self, name: str) -> None:
        self.note_late(name)
        del self.gone[name]
        for slice, home in self.homes.items():
            holder = next(n for n, relay in self.relays.items() if slice in relay.tables)
            if home == name != holder:
                self.hand(slice, holder, name)

    def note_late(self, name: str) -> None:
        self.late += [(name, at) for at, _ in list(self.relays[name].heard) if at > self.gone[name]]

    def lives(self) -> dict[str, str]:
        """By member what the ledger says of its last incarnation, as its leader has it."""
        told = self.fleet.of_fleet(self.fleet.leader()) if self.fleet.leader() else None
        rows = (told or {}).get("works", {}).get("members", {}).get("members", [])
        last = {row["name"]: row for row in sorted(rows, key=lambda row: row["incarnation"])}
        return {name: row["life"] for name, row in last.items()}

    def _run(self) -> None:
        looked = 0.0
        while not self.stopping:
            now = time.monotonic()
            if now > looked + 0.15:
                looked = now
                for name, life in self.lives().items():
                    if name in self.relays and life == "gone" and name not in self.gone:
                        self.take_over(name)
                    elif name in self.gone and life == "valid":
                        self.give_back(name)
            for name, relay in self.relays.items():
                calm = self.undisturbed(name)
                with relay.lock:
                    self.over |= {
                        (backend, slice, since)
                        for backend, since in list(self.draining.items())
                        for slice, table in relay.tables.items()
                        if backend in table and now > max(since, self.given[slice], calm) + GRACE
                    }
            time.sleep(0.01)
