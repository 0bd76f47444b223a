"""Clients whose requests the proxies pass on, the collectors' reports, and the judge of writes."""

import asyncio
import contextlib
from collections import Counter, defaultdict


class Judge:
    """Checks writes of a slice as the backends see them.

    Broken: "if a write reaches a backend while another holds a write of the same slice in progress, or
    reaches a former owner after a later one has accepted a write".
    """

    def __init__(self, world):
        self.world = world
        self.held = defaultdict(dict)  # writes in progress by slice: the backend by id
        self.became_owner = defaultdict(dict)  # by slice: the number of the change that made it owner
        self.changes = 0
        self.latest = {}  # by slice: the number of the latest owner that has accepted a write
        self.broken = []

    def owner(self, number, backend):
        """Records that the store names a new owner."""
        self.changes += 1
        self.became_owner[number][backend] = self.changes
        self.world.note(f"store: the line of slice {number} is {backend}")

    def given(self, number):
        """Does nothing: the rule knows no coordinators."""

    def joined(self, coordinator):
        """Does nothing: the rule knows no streams."""

    def told(self, coordinator):
        """Does nothing: the rule knows no lists."""

    def begin(self, number, backend, name):
        """Records a write that has reached a backend."""
        others = sorted({other for other in self.held[number].values() if other != backend})
        mine = self.became_owner[number].get(backend, 0)
        former = mine < self.latest.get(number, 0)
        if others or former:
            why = f"while {others} held one" if others else "after a later owner had accepted one"
            self.broken.append((number, backend))
            self.world.note(f"BROKEN: write {name} of slice {number} reached {backend} {why}")
        self.latest[number] = max(mine, self.latest.get(number, 0))
        self.held[number][name] = backend

    def end(self, number, backend, name):
        """Records that a backend has ended a write."""
        self.held[number].pop(name, None)


class Traffic:
    """Clients of all proxies, and what the proxies met, for the reports."""

    def __init__(self, world, deadline):
        self.world = world
        self.deadline = deadline  # s: the longest that a proxy keeps a write in hand
        self.met = Counter()  # attempts by zone of the proxy, slice, backend, and outcome
        self.came = Counter()  # requests by slice and method
        self.outcomes = Counter()
        self.requests = 0
        self.on_send = lambda proxy, number, backend: None
        self.in_a_row = {}  # failures by proxy and backend
        self.avoided = {}  # until when a proxy keeps away from a backend after failures in a row

    def start(self):
        """Starts the clients and the collectors."""
        for proxy in self.world.proxies:
            for number in list(self.world.store):
                self.world.spawn(self._client(proxy, number))

    async def _client(self, proxy, number):
        world = self.world
        while True:
            await asyncio.sleep(world.chance.expovariate(world.rates[number] / len(world.proxies)))
            method = world.write_method if world.chance.random() < 0.5 else world.methods[0]
            world.spawn(self._request(proxy, number, method))

    async def _request(self, proxy, number, method):
        self.requests += 1
        name = f"r{self.requests}"
        self.came[number, method] += 1
        if self.world.chance.random() >= proxy.levels.get((number, method), 1.0):
            self.outcomes["refused by its level"] += 1
            return
        now = asyncio.get_running_loop().time()
        lines = {b: w for b, w in proxy.usable(number).items() if self.avoided.get((proxy, b), 0) <= now}
        if not lines:
            self.outcomes["refused without a line"] += 1
            return
        chosen = self.world.chance.choices(list(lines), lines.values())[0]
        outcome = await self._try(proxy, number, method, name, chosen)
        if outcome == "not connected" and lines.keys() - {chosen}:  # once more, as it provably never ran
            outcome = await self._try(proxy, number, method, name, min(lines.keys() - {chosen}))
        self.outcomes[outcome] += 1

    async def _try(self, proxy, number, method, name, chosen):
        """Sends a request to a backend; returns what became of it."""
        backend = self.world.backends[chosen]
        self.on_send(proxy, number, backend)
        outcome = "not connected"
        host, _, port = backend.listener.address.partition(":")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            outcome = "lost"
            target = f"/do?slice={number}&method={method}&id={name}"
            writer.write(f"POST {target} HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".encode())
            try:
                await asyncio.wait_for(reader.readuntil(b"done"), self.deadline)
                outcome = "answered"
            finally:
                writer.transport.abort()
        self.met[proxy.zone, number, chosen, outcome] += 1
        failures = 0 if outcome == "answered" else self.in_a_row.get((proxy, chosen), 0) + 1
        most = self.world.settings["family-info"]["fails-to-eject"]
        if most and failures >= most:
            failures = 0
            self.avoided[proxy, chosen] = asyncio.get_running_loop().time() + self.world.chance.uniform(
                4, 7.3
            )
        self.in_a_row[proxy, chosen] = failures
        return outcome


class Collector:
    """Passes the reports of a zone's proxies on to a coordinator, for the slices in its charge."""

    def __init__(self, traffics, coordinator, zone, is_first, period=1.0):
        self.world = traffics.world
        self.traffic = traffics
        self.coordinator = coordinator
        self.zone = zone
        self.is_first = is_first  # passes on the reports on slices too
        self.period = period
        self.is_cut = False
        self.seen_met, self.seen_came = Counter(), Counter()

    async def run(self):
        """Reports once a period."""
        _, port = self.world.coordinators[self.coordinator]
        writer = None
        while True:
            await asyncio.sleep(self.period)
            lines = self._lines()
            if self.is_cut:
                continue
            with contextlib.suppress(OSError):
                if writer is None or writer.transport.is_closing():
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(f"telemetry site={self.zone}\r\n".encode())
                writer.write("".join(f"{line}\r\n" for line in lines).encode())
                await writer.drain()

    def _lines(self):
        over = self.period * 1000
        mine = set(self.world.offices[self.coordinator].slices())
        met, came = self.traffic.met - self.seen_met, self.traffic.came - self.seen_came
        self.seen_met, self.seen_came = Counter(self.traffic.met), Counter(self.traffic.came)
        by_backend = defaultdict(Counter)
        for (zone, number, backend, outcome), count in met.items():
            if zone == self.zone and number in mine:
                by_backend[backend]["count"] += count
                by_backend[backend]["fail"] += count * (outcome != "answered")
        lines = [
            f"upstream_stats site={self.zone} target={backend} count={sums['count']} fail={sums['fail']} "
            f"mean=121.5 over={over}"
            for backend, sums in by_backend.items()
        ]
        for (number, method), count in came.items():
            if self.is_first and number in mine:
                lines.append(f"range_stats range={number} lane={method} count={count} fail=0 over={over}")
        return lines
