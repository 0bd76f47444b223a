"""Clients of sidecars that need seats, in closed loops; what they were told, and how long they waited."""

from __future__ import annotations

import http.client
import threading
import time


class Clients:
    """`count` clients of one tenant at one sidecar.  One that is refused comes again after `gap` seconds."""

    def __init__(
        self,
        listen: str,
        tenant: str,
        count: int,
        wait: int = 150,
        gap: float = 0.1,
        act: str = "",
        rest: float = 0.0,
    ) -> None:
        """`wait`: ms that a job takes; `act`: further orders to the stand-in; `rest`: s between jobs."""
        self.listen, self.tenant, self.gap, self.rest = listen, tenant, gap, rest
        self.act = ",".join(filter(None, (f"wait={wait}", act)))
        self.given = self.refused = self.failed = 0
        self.late = 0  # 409: a server's refusal that reached a client
        self.without_return = 0  # refused and not told when to come again
        self.waits: list[float] = []  # s from wanting a seat to having its answer, less the job
        self.took = wait / 1000
        self.stopping = False
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, number: int) -> None:
        host, port = self.listen.split(":")
        connection, since, n = None, None, 0
        while not self.stopping:
            n += 1
            since = time.monotonic() if since is None else since
            try:
                connection = connection or http.client.HTTPConnection(host, int(port), timeout=6)
                connection.request(
                    "GET", f"/geocode/{number}-{n}", headers={"X-Tenant": self.tenant, "X-Act": self.act}
                )
                answer = connection.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.failed += 1
                if connection is not None:
                    connection.close()
                connection, since = None, None
                time.sleep(self.gap)
                continue
            if answer.status == 200:
                self.given += 1
                self.waits.append(max(0.0, time.monotonic() - since - self.took))
                since = None
                time.sleep(self.rest)
            elif answer.status == 503:
                self.refused += 1
                self.without_return += answer.headers.get("Retry-After") is None
                time.sleep(self.gap)
            else:
                self.late += answer.status == 409
                self.failed += 1
                since = None
                time.sleep(self.gap)
        if connection is not None:
            connection.close()

    def stop(self) -> None:
        self.stopping = True

    def join(self) -> None:
        self.stop()
        for thread in self.threads:
            thread.join(8)


def p99(values: list[float]) -> float:
    """In ms."""
    return round(1000 * sorted(values)[len(values) * 99 // 100], 1) if values else 0.0
