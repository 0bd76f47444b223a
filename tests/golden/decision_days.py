"""Seeded random days of the decision module, in the wire form of events and orders (upgrade/events.py): rows
of a kind's wire name and its values.  Of the package only `Coordinator.handle` and the functions that pack
rows are named here, so that the text goes on to work when classes and fields are renamed."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from golden.decision_files import KINDS, LISTED
from golden.decision_settings import SETTINGS
from indigohitch.logic import Coordinator
from indigohitch.settings import parse_settings
from indigohitch.upgrade import event_codec

SECOND = 10_000  # tenths of a millisecond


class Node:
    """A backend as the day has it."""

    def __init__(self, name: str, chance: random.Random, started: int = 0) -> None:
        self.name, self.started, self.state = name, started, "ready"
        self.weight, self.zone = chance.choice((4.0, 6.0, 6.5)), chance.choice(("east", "west"))
        self.kind = chance.choice(("std", "big"))
        self.slow, self.fails, self.silent, self.queued = 1.0, 0.0, False, 0

    def entry(self) -> list:
        return [self.name, self.state, self.weight, self.zone, 0, self.kind, self.started]


class Day:
    """One module, and around it proxies, backends and a list that change by chance."""

    def __init__(self, name: str, seed: int) -> None:
        self.settings, self.seed = SETTINGS[name], seed
        self.chance = random.Random(f"{name} {seed}")
        boot, _ = parse_settings(self.settings)
        self.module = Coordinator(seed, boot)
        self.now = 1000 * SECOND
        self.every = round(self.settings["family-info"]["report-every"] * 10)
        self.methods = [method["name"] for method in self.settings["classes"]]
        self.nodes: dict[str, Node] = {}
        self.tables: dict[int, dict[str, float]] = {}
        self.rates: dict[int, float] = {}
        self.proxies: list[int] = []
        self.asked: list[str] = []
        self.answers: list[tuple[int, list]] = []  # when, event
        self.timers: list[int] = []
        self.version, self.deaf = 1, False
        self.batches: list[dict] = []

    def step(self, span: int, *rows: list) -> None:
        """Timers and late answers of that span in turn, then these events."""
        end = self.now + span
        while True:
            due = min([*self.timers, *(when for when, _ in self.answers)], default=end + 1)
            if due > end:
                break
            self.now = max(due, self.now)
            heard = [row for when, row in self.answers if when <= self.now]
            self.answers = [late for late in self.answers if late[0] > self.now]
            if any(timer <= self.now for timer in self.timers):
                heard.append(["TimerDue", "beat"])
            self.timers = [timer for timer in self.timers if timer > self.now]
            self.handle(heard)
        self.now = end
        if rows:
            self.handle(list(rows))

    def handle(self, rows: list[list]) -> None:
        orders = event_codec.pack_all(self.module.handle(self.now, event_codec.unpack_all(rows)))
        self.batches.append({"now": self.now, "events": rows, "orders": orders})
        for kind, *values in orders:
            if kind == "SetLine":
                self.tables[values[0]][values[1]] = values[2]
                if not values[2]:
                    del self.tables[values[0]][values[1]]
            elif kind == "Probe":
                self.asked.append(values[0])
            elif kind == "SetTimer":
                self.timers.append(values[0])
            elif kind == "Mark" and not self.deaf:
                took = self.chance.randint(500, 7000)
                self.answers += [
                    (self.now + took, ["Acked", proxy, values[0], took]) for proxy in self.proxies
                ]

    # ---- what is told ------------------------------------------------------------------------------

    def listing(self, scope: str, nodes: list[Node]) -> list:
        self.version += 1
        return ["BackendList", scope, self.version, [node.entry() for node in nodes]]

    def begin(self, backends: int, slices: int, proxies: int) -> None:
        for number in range(backends):
            self.nodes[f"b{number}"] = Node(f"b{number}", self.chance)
        first = self.chance.choice(("full", "remembered"))
        rows = [self.listing(first, list(self.nodes.values()))]
        for number in range(slices):
            rows += self.charge(number, number % 7 != 3)
        for proxy in range(proxies):
            rows.append(["ProxyJoined", proxy, self.chance.choice(("east", "west")), 5.0, True])
            self.proxies.append(proxy)
        self.step(0, *rows)

    def charge(self, number: int, stored: bool) -> list[list]:
        self.tables[number], self.rates[number] = {}, self.chance.lognormvariate(1.0, 0.7)
        rows: list[list] = [["Charge", number, True]]
        if stored:
            owner = self.chance.choice([*self.nodes, "stranger"] if self.batches else list(self.nodes))
            self.tables[number][owner] = 1.0
            rows.append(["StoredLine", number, owner, 1.0])
        return rows

    def report(self) -> list[list]:
        """The sums of a period."""
        rows: list[list] = []
        tries: dict[str, float] = {}
        for number, lines in self.tables.items():
            came = self.rates[number] * self.every / SECOND * self.chance.uniform(0.6, 1.4)
            method = self.methods[0] if self.chance.random() < 0.8 else self.methods[-1]
            rows.append(["SliceDemand", number, method, round(came), 0, self.every])
            for name, weight in lines.items():
                tries[name] = tries.get(name, 0.0) + came * weight / sum(lines.values())
        for name, came in tries.items():
            node = self.nodes.get(name)
            failing = 1.0 if node is None or node.silent or node.state == "gone" else node.fails
            total, failures = round(came), round(came * failing)
            load = {}
            if failing < 1.0:
                took = round(2500 * node.slow * self.chance.uniform(0.9, 1.1))
                load = self.chance.choice(
                    (
                        {"service_time": took, "queued": node.queued},
                        {"busy": min(1.0, 0.1 * node.slow), "ok_rate": came / 2, "queued": node.queued},
                    )
                )
            zone = self.chance.choice(("east", "west"))
            answered = 2500 if total > failures else 0
            rows.append(["Traffic", zone, name, total, failures, answered, self.every, load])
        return rows

    def probed(self) -> list[list]:
        rows = []
        for name in self.asked:
            node = self.nodes.get(name)
            dead = node is None or node.silent or node.state == "gone"
            outcomes = ("timeout", "connect_failed", "reset") if dead else ("ok", "ok", "ok", "error", "full")
            load = {} if dead else {"service_time": 2500, "queued": node.queued}
            rows.append(["Probed", name, self.chance.choice(outcomes), 600, load])
        self.asked = []
        return rows

    # ---- what happens ------------------------------------------------------------------------------

    def ready(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.state == "ready"]

    def happening(self) -> list[list]:
        """One thing, by chance; the events that tell of it."""
        chance, ready = self.chance, self.ready()
        roll = chance.choice(
            "drain gone cold again failed full hot silent storm queue calm join leave charge deaf odd".split()
        )
        some = chance.sample(ready, max(1, len(ready) // 4))
        match roll:
            case "drain" | "gone" if len(ready) > 4:
                for node in some:
                    node.state = {"drain": "draining"}.get(roll, roll)
                return [self.listing("changes", some)]
            case "cold" if len(ready) < 14:
                name = f"b{len(self.nodes)}"
                self.nodes[name] = Node(name, chance, self.now - chance.randint(0, SECOND))
                return [self.listing("changes", [self.nodes[name]])]
            case "again":
                away = [node for node in self.nodes.values() if node.state != "ready"][-3:]
                for node in away:
                    node.state, node.silent, node.fails = "ready", False, 0.0
                    node.started = chance.choice((node.started, self.now))
                return [self.listing("changes", away)]
            case "failed":
                return [["BackendList", "failed", 0, []]]
            case "full" if len(ready) > 4:
                dropped = chance.choice([None, *some])
                if dropped is not None and chance.random() < 0.5:
                    dropped.state = "gone"
                told = [node for node in self.nodes.values() if node.state != "gone" and node is not dropped]
                return [self.listing("full", told)]
            case "hot" if self.rates:
                hot = chance.choice(list(self.rates))
                self.rates[hot] = 3.0 + 0.8 * sum(self.rates.values()) * chance.random()
            case "silent":
                some[0].silent = True
            case "storm":
                for node in chance.sample(ready, len(ready) * 2 // 3):
                    node.slow, node.fails = chance.choice(((5.0, 0.0), (1.0, 0.4), (6.0, 0.6)))
            case "queue":
                for node in chance.sample(ready, len(ready) * 2 // 3):
                    node.queued = chance.choice((20, 80, 300))
            case "calm":
                for node in self.nodes.values():
                    node.slow, node.fails, node.silent, node.queued = 1.0, 0.0, False, 0
                self.rates = {number: chance.lognormvariate(1.0, 0.7) for number in self.rates}
            case "join":
                proxy = chance.randint(0, 60)
                self.proxies = [*{*self.proxies, proxy}]
                return [["ProxyJoined", proxy, "west", 3.0, chance.random() < 0.5]]
            case "leave" if len(self.proxies) > 1:
                return [["ProxyLeft", self.proxies.pop()]]
            case "charge" if self.tables:
                number = chance.choice(list(self.tables))
                del self.tables[number], self.rates[number]
                rows = [["Charge", number, False]]
                return rows + (self.charge(number, chance.random() < 0.7) if chance.random() < 0.8 else [])
            case "deaf":
                self.deaf = not self.deaf
            case "odd":
                odd = [
                    ["ProxyDemand", 1, self.methods[0], 7, 0, self.every],
                    ["SliceDemand", 999, "?", 1, 0, 1],
                ]
                return [*odd, ["StoredLine", 998, "b0", 1.0]]
        return []

    def run(self, steps: int) -> Iterator[int]:
        """Yields after each step."""
        at = self.settings["family-info"]
        self.begin(self.chance.randint(6, 10), at.get("key-ranges", 30), at["data-plane-size"])
        for number in range(steps):
            if rows := [*self.probed(), *(self.happening() if self.chance.random() < 0.5 else [])]:
                self.step(self.chance.randint(0, SECOND), *rows)
            self.step(self.every, *self.report())
            yield number

    def lines(self) -> list[bytes]:
        """A head, then a line for each batch."""
        head = {"settings": self.settings, "seed": self.seed, "kinds": KINDS, "listed": LISTED}
        return [msgspec.json.encode(line) for line in (head, *self.batches)]
