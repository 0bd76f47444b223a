"""What runs all the time on the fleet of proofs/fleet.py: RPCs through its sidecars, seats wanted, batches,
notes and reads, drains at the coordinators' relays; and what is asked of each at the end."""

from __future__ import annotations

import http.client
import json
import threading
import time
from pathlib import Path

from audit_platform import Platforms
from batchkit.field import BATCH_ROUTES, BATCH_RPCS, LINES, Field
from fleetkit import Fleet, Notes, Pool, until
from fleetkit.files import ROUTES, RPCS
from ledger_reads import Reads
from seats_clients import Clients
from seats_truth import Servers

from indigohitch.standins.load import Load

FEATURE, CONTRACT, CUT = "geocoder", 30, 10
RATE = 15  # RPCs a second at each sidecar: eight cores carry all the processes


def contract(edition: int, seats: int) -> list[str]:
    return [
        f"edition {edition}",
        *LINES[1:],
        f"seats {FEATURE} {seats} kind job drain 2s",
        "seat-tenant X-Tenant",
    ]


def pool(servers: Servers) -> Pool:
    return Pool(
        "nodes",
        servers.at,
        rpcs=[*RPCS, *BATCH_RPCS, f"rpc geocode idempotent soft 1s deadline 3s seat {FEATURE}"],
        routes=[*ROUTES, *BATCH_ROUTES, "route GET /geocode/{id} rpc geocode pool nodes"],
    )


def acts(servers: Servers) -> dict[str, int]:
    """How often each RPC that bears an id was acted on, by the servers' own count."""
    found: dict[str, int] = {}
    for at in servers.at.values():
        host, port = at.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("GET", "/stats")
        for id, count in json.loads(connection.getresponse().read())["acts"].items():
            found[id] = found.get(id, 0) + count
        connection.close()
    return found


class Batches(Field):
    """The batches' field on a fleet that stands already."""

    def __init__(self, path: Path, fleet: Fleet, servers: Servers) -> None:
        self.path, self.fleet, self.servers, self.cars = path, fleet, servers, list(fleet.listen)
        self.runs: set[str] = set()  # of batches whose pieces must never run twice

    def begin(self, count: int, seconds: float, round: int) -> None:
        now = time.time()
        self.submit(f"r{round}", "report", [(now, now + seconds, 0.8, 8) for _ in range(count)])
        self.submit(f"d{round}", "dunning", [(now, now + seconds, 0.8, 8) for _ in range(count)])
        self.runs.add(f"d{round}")

    def over(self) -> bool:
        """All have come to an end; on what is unclear an operator says that it is done with."""
        part = self.part()
        if part is None:
            return False
        for id, piece in part.pieces.all.items():
            if piece.state.value == "unclear":
                self.tell(self.fleet.voters[0], {"ask": f"piece {id} done"})
        return not part.pieces.open

    def twice(self, acted: dict[str, int]) -> list[str]:
        return [id for id, count in acted.items() if count > 1 and id.split(".")[0] in self.runs]


class Seats:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.clients = [
            Clients(fleet.listen[name], tenant, count, wait=200)
            for name, tenant, count in (("s1", "many", 16), ("s2", "all", 10), ("s3", "some", 6))
        ]

    def told(self, name: str = "") -> dict:
        name = name or self.fleet.leader()
        found = (self.fleet.of_fleet(name) or {}) if name else {}
        return found.get("works", {}).get("seats", {}).get("features", {}).get(FEATURE, {})

    def stop(self) -> None:
        for clients in self.clients:
            clients.stop()
        for clients in self.clients:
            clients.join()

    def leaked(self) -> int:
        """Seats that are not free though nobody wants any."""
        found = [self.told(name) for name in self.fleet.listen]
        if not all(found):
            return CONTRACT
        return (
            sum(one["in_use"] for one in found)
            + found[0]["over"]
            + abs(CUT - found[0]["held"] - found[0]["free"])
        )


class Running:
    """All of it, from `begin` to `end`."""

    def __init__(self, path: Path, fleet: Fleet, servers: Servers, platforms: Platforms) -> None:
        self.fleet, self.servers, self.platforms, self.busy = fleet, servers, platforms, True
        self.batches = Batches(path, fleet, servers)
        self.loads: list[Load] = []
        self.threads: list[threading.Thread] = []

    def begin(self, seconds: float) -> None:
        """RPCs come for so long, all else until the end."""
        self.platforms.start()
        self.notes = Notes(self.fleet, clients=4, gap=0.06).start()
        self.reads = Reads(self.fleet, self.notes)
        self.seats = Seats(self.fleet)
        for n, listen in enumerate(self.fleet.listen.values()):
            host, port = listen.split(":")
            load = Load((host, int(port)), seed=n, kept=10, prefix=f"c{n}-")
            self.loads.append(load)
            self.threads.append(threading.Thread(target=load.run_open, args=(RATE, seconds), daemon=True))
        self.threads.append(
            threading.Thread(target=self.platforms.in_turn, args=(lambda: self.busy, 0.5), daemon=True)
        )
        for thread in self.threads:
            thread.start()

    def end(self) -> None:
        self.busy = False
        self.seats.stop()
        self.notes.stop()
        self.reads.stop()
        for load in self.loads:
            load.stopped = True
        for thread in self.threads:
            thread.join(20)

    def doubled(self, acted: dict[str, int]) -> list[str]:
        """Reservations that were acted on twice."""
        wanted = {id for load in self.loads for id in load.reserves}
        return [id for id, count in acted.items() if count > 1 and id in wanted]

    def answered(self) -> tuple[int, int]:
        """RPCs, and how many of them had a whole answer."""
        results = [result for load in self.loads for result in load.results]
        return len(results), sum(0 < result[2] < 500 for result in results)

    def quiet(self) -> None:
        self.servers.quiet(10)
        until(lambda: not self.seats.leaked(), 10, "all seats to be free")
        until(self.batches.over, 40, "all pieces to be over")
