"""The world of proofs/versions.py: a module's orders, drains, cold backends, faults, and what is counted."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace

from indigohitch import interface as face
from indigohitch.standins.fault_proxy import FaultProxy
from indigohitch.versions.checks import Facts
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Channel
from proofs.versions_program import Program
from proofs.versions_relays import Relay, Truth

RELAYS, SLICES, BACKENDS = 10, 400, 24
PACE = 0.12  # s between steps: some 80 in a window of 40 messages
GRACE = 6.0  # s, of a drain
COLD_CAP, COLD_FOR = 26.0, 6.0  # a move brings at most 24
CHANNEL = Channel(messages=40, lines=60, queue=240, stall=5)


class World:
    def __init__(self, folder: str, seed: int) -> None:
        self.folder, self.chance, self.truth = folder, random.Random(seed), Truth()
        self.facts = Facts({f"n{n}": "ready" for n in range(BACKENDS)}, frozenset(range(SLICES)), blast=0.9)
        self.breaker = FaultProxy(seed)
        self.relays: list[Relay] = []
        self.drains: dict[str, float] = {}  # backend: since when
        self.cold_until: dict[str, float] = {}
        self.counts = dict.fromkeys(("versions", "rollbacks", "restarts", "refused", "drains", "cold"), 0)
        self.drain_over = self.naive = self.recovered = self.lost_versions = self.lines = 0
        self.slow: Relay | None = None

    # ---- steps -----------------------------------------------------------------------------------------

    async def begin(self) -> None:
        self.program = Program(self.folder, self.facts, CHANNEL)
        self.port = await self.program.listen(0)
        self.made(
            self.program.publisher.apply_orders(
                0, [face.SetRoute(slice, f"n{slice % BACKENDS}", 1.0) for slice in range(SLICES)], "first"
            )
        )
        for number in range(RELAYS):
            at = self.breaker.gate(f"r{number}", "program", ("127.0.0.1", self.port))
            self.relays.append(Relay(f"r{number}", at, self.truth, number, CHANNEL.messages))
        self.tasks = [asyncio.create_task(relay.live()) for relay in self.relays]
        await self.quiet(20)

    def made(self, version) -> None:
        """A naive program sends every line to every relay for each."""
        if version is not None:
            self.counts["versions"] += 1
            self.naive += version.root.lines * RELAYS
        else:
            self.counts["refused"] += bool(self.program.publisher.faults)

    def ready(self) -> list[str]:
        return [
            name
            for name, state in self.facts.states.items()
            if state == "ready" and name not in self.facts.cold
        ]

    def at(self) -> int:
        return int(time.monotonic() * 10_000)

    def news(self, cause: str, **words) -> None:
        self.facts = replace(self.facts, **words)
        self.truth.cold = dict(self.facts.cold)
        self.made(self.program.publisher.update_facts(self.at(), self.facts, cause))

    def move(self) -> None:
        orders, publisher = [], self.program.publisher
        spare = self.ready() + [
            name for name, cap in self.facts.cold.items() if self.weight(publisher.wanted, name) + 24 <= cap
        ]
        for slice in self.chance.sample(range(SLICES), self.chance.choice((1, 1, 2, 5, 12))):
            target = self.chance.choice(spare)
            orders += [face.SetRoute(slice, target, self.chance.choice((1.0, 1.0, 2.0)))]
            orders += [
                face.SetRoute(slice, name, 0) for name in publisher.wanted.lines_of(slice) if name != target
            ]
        self.made(publisher.apply_orders(self.at(), orders, "move"))

    def weight(self, root: Root, name: str) -> float:
        return sum(table.lines.get(name, 0) for _, table in root.items())

    def away(self, name: str) -> list[face.Order]:
        ready, found = self.ready(), []
        for slice, table in self.program.publisher.wanted.items():
            if name in table.lines:
                found += [face.SetRoute(slice, self.chance.choice(ready), 1.0), face.SetRoute(slice, name, 0)]
        return found

    def drain(self) -> None:
        if len(self.drains) < 3:
            name = self.chance.choice(self.ready())
            self.drains[name] = time.monotonic()
            self.counts["drains"] += 1
            self.news("drain", states={**self.facts.states, name: "draining"})
            self.made(self.program.publisher.apply_orders(self.at(), self.away(name), "drain"))

    def drained(self) -> None:
        """After the grace, no relay that could be reached in it has a line there."""
        at = time.monotonic()
        for name, since in list(self.drains.items()):
            if at - since >= GRACE:
                for relay in self.relays:
                    if at - self.program.joined_at.get(relay.name, at) >= GRACE / 2:
                        self.drain_over += sum(name in table.lines for _, table in relay.table.root.items())
                del self.drains[name]
                self.news("it is back", states={**self.facts.states, name: "ready"})
                publisher = self.program.publisher
                if self.weight(publisher.root, name) + self.weight(publisher.wanted, name) == 0:
                    self.cold(name)
        for name, until in list(self.cold_until.items()):
            if at >= until:
                del self.cold_until[name]
                for relay in self.relays:
                    relay.most.pop(name, None)
                self.news("warm", cold={n: cap for n, cap in self.facts.cold.items() if n != name})

    def cold(self, name: str) -> None:
        """It was restarted: no line stands there, and only few may come."""
        self.counts["cold"] += 1
        self.cold_until[name] = time.monotonic() + COLD_FOR
        self.news("cold", cold={**self.facts.cold, name: COLD_CAP})
        for relay in self.relays:
            relay.turned_cold(name)

    def back(self) -> None:
        publisher = self.program.publisher
        version = self.chance.choice(list(publisher.history.by_number.values())[-30:])
        made = publisher.rollback(self.at(), version.number, "proof", frozenset({"blast"})).version
        self.counts["rollbacks"] += 1
        self.made(made)

    def unpin(self) -> None:
        if (publisher := self.program.publisher).pin is not None:
            for name, state in self.facts.states.items():  # the module goes on ordering meanwhile
                if state != "ready" or self.weight(publisher.wanted, name) > self.facts.cold.get(name, 1e9):
                    publisher.apply_orders(self.at(), self.away(name), "away")
            self.made(self.program.publisher.unpin(self.at(), "proof"))

    def trouble(self) -> None:
        relay = self.chance.choice(self.relays)
        kind = self.chance.choice(("reset", "cut", "slow", "spoil", "heal", "restart"))
        if kind == "reset":
            self.breaker.reset(relay.name, "program")
        elif kind == "cut":
            relay.cut()
        elif kind == "slow":
            self.breaker.slow("program", relay.name, 20, 60)
        elif kind == "spoil":
            self.breaker.spoil("program", relay.name, 0.05)
        elif kind == "heal":
            self.breaker.heal()
        else:
            old = self.chance.choice(list(self.program.publisher.history.by_number.values())).root
            relay.restart(self.chance.choice((Root(), old, old, root_of({3: {"n1": 4.0}}))))
            self.counts["restarts"] += 1

    async def killed(self) -> None:
        publisher = self.program.publisher
        was = [(version.number, version.root.digest) for version in publisher.history.by_number.values()][
            -20:
        ]
        asked, pinned = publisher.wanted, publisher.pin is not None
        self.lines += self.program.lines
        await self.program.kill()
        self.program = Program(self.folder, self.facts, CHANNEL)
        held = [
            (version.number, version.root.digest)
            for version in self.program.publisher.history.by_number.values()
        ][-20:]
        same = held == was and (self.program.publisher.pin is not None) == pinned
        self.recovered += same
        self.lost_versions += not same
        self.program.publisher.wanted = asked  # the module of a program that restarts asks anew
        await self.program.listen(self.port)

    async def step(self, number: int) -> None:
        self.drained()
        if number % 50 == 49:
            await self.killed()
        kind = self.chance.choices(
            (self.move, self.drain, self.back, self.unpin, self.trouble), (70, 6, 4, 12, 10)
        )[0]
        kind()
        await asyncio.sleep(PACE)

    async def quiet(self, most: float) -> None:
        until = time.monotonic() + most
        while time.monotonic() < until and not all(self.right(relay) for relay in self.relays):
            await asyncio.sleep(0.05)

    def right(self, relay: Relay) -> bool:
        session = self.program.publisher.sessions.get(relay.name)
        return relay.table.root == self.program.publisher.root and session is not None and session.in_sync

    async def run(self, steps: int) -> dict:
        await self.begin()
        for number in range(steps):
            await self.step(number)
        self.breaker.heal()
        for relay in self.relays:
            relay.lossy = False
        await self.quiet(30)
        mismatched = sum(not self.right(relay) for relay in self.relays)
        for relay in self.relays:
            relay.ending = True
            at = time.monotonic()
            for slice in list(relay.bare):
                relay.over(slice, at)
        await self.program.kill()
        await asyncio.gather(*self.tasks)
        self.breaker.close()
        return {
            "steps": steps,
            "relays": RELAYS,
            "mismatched": mismatched,
            "messages_over": self.truth.over,
            "bare_ms_max": self.truth.bare_ms,
            "drain_over": self.drain_over,
            "cold_over": self.truth.cold_over,
            "lines_sent": self.lines + self.program.lines,
            "lines_naive": self.naive,
            "recovered": self.recovered,
            "lost_versions": self.lost_versions,
            **self.counts,
        }
