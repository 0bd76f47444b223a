"""Faults of one coordinator's platform, drawn from a seed: each lasts a while, and several overlap."""

from __future__ import annotations

import random
import signal
import time
from collections import Counter
from collections.abc import Callable

from indigohitch.net.clock import SECOND

from .cell import Cell

Lasting = Callable[[], Callable[[], None]]  # begins, and returns what ends it


class Faults:
    BETWEEN = (0.2, 2.0)  # s from one fault to the next
    DRAINS = (1.5, 4.0)  # s from one change of the list to the next

    def __init__(self, cell: Cell, chance: random.Random, until: int) -> None:
        """No fault begins after `until`."""
        self.cell, self.chance, self.until = cell, chance, until
        self.loop = cell.loop
        self.counts: Counter[str] = Counter()
        self.busy: set[str] = set()  # kinds that go on
        self.kinds: dict[str, tuple[float, tuple[float, float], Lasting]] = {
            "cut": (3, (0.3, 5.0), self.cut),
            "answers_lost": (4, (0.5, 4.0), self.answers_lost),
            "throttled": (1, (0.1, 0.8), self.throttled),
            "news_broken": (2, (0.0, 0.0), self.news_broken),
            "news_mute": (1, (0.5, 3.0), self.news_mute),
            "discovery_down": (2, (0.2, 1.5), self.discovery_down),
            "stall": (2, (0.1, 1.0), self.stall),
            "killed": (1, (0.1, 1.5), self.killed),
            "terminated": (1, (0.8, 1.5), self.terminated),
            "moved": (1, (0.0, 0.0), self.moved),
            "system_calls": (3, (0.2, 1.5), self.system_calls),
            "wall_clock": (2, (0.0, 0.0), self.wall_clock),
        }

    def begin(self) -> None:
        self.loop.call_after(self.some(self.BETWEEN), self.next_fault)
        self.loop.call_after(self.some(self.DRAINS), self.next_change)

    def some(self, span: tuple[float, float]) -> int:
        return int(self.chance.uniform(*span) * SECOND)

    def next_fault(self) -> None:
        if self.loop.clock.now() >= self.until:
            return
        names = list(self.kinds)
        name = self.chance.choices(names, [self.kinds[name][0] for name in names])[0]
        _, span, lasting = self.kinds[name]
        if name not in self.busy and (end := lasting()) is not None:
            self.counts[name] += 1
            self.busy.add(name)
            self.loop.call_after(self.some(span), lambda: self.over(name, end))
        self.loop.call_after(self.some(self.BETWEEN), self.next_fault)

    def over(self, name: str, end: Callable[[], None]) -> None:
        self.busy.discard(name)
        end()

    # ---- the list of backends ----------------------------------------------------------------------

    def next_change(self) -> None:
        """Some drain, later they are gone, and come back cold; as in a deploy that goes on."""
        if self.loop.clock.now() >= self.until:
            return
        ready = self.cell.truth.ready()
        if len(ready) > len(self.cell.backends) * 2 // 3:
            some = self.chance.sample(ready, self.chance.randint(1, 3))
            self.counts["drains"] += len(some)
            self.cell.discovery.change(dict.fromkeys(some, "draining"))
            self.loop.call_after(self.some((4.0, 9.0)), lambda: self.gone(some))
        self.loop.call_after(self.some(self.DRAINS), self.next_change)

    def gone(self, some: list[str]) -> None:
        if self.chance.random() < 0.5:
            self.cell.discovery.change(dict.fromkeys(some, "gone"))
        self.loop.call_after(self.some((0.5, 2.0)), lambda: self.back(some))

    def back(self, some: list[str]) -> None:
        self.cell.discovery.change(dict.fromkeys(some, "ready"), started_now=True)

    # ---- the relay ---------------------------------------------------------------------------------

    def cut(self) -> Callable[[], None]:
        relay, taken_over = self.cell.relay, self.chance.random() < 0.5
        relay.begin_cut()
        return lambda: relay.end_cut(taken_over)

    def answers_lost(self) -> Callable[[], None]:
        relay = self.cell.relay
        relay.lose = self.chance.choice([0.3, 0.6, 1.0])

        def end() -> None:
            relay.lose = 0.0

        return end

    def throttled(self) -> Callable[[], None]:
        relay = self.cell.relay
        relay.throttled = True

        def end() -> None:
            relay.throttled = False

        return end

    def news_broken(self) -> Callable[[], None]:
        self.cell.relay.break_news(self.chance.choice(["reset", "garbage"]))
        return lambda: None

    def news_mute(self) -> Callable[[], None]:
        """Streams stay open and say nothing; what they had to tell is lost with them."""
        relay = self.cell.relay
        relay.mute = True

        def end() -> None:
            relay.mute = False
            relay.break_news("reset")

        return end

    # ---- discovery, the process, the machine -------------------------------------------------------

    def discovery_down(self) -> Callable[[], None]:
        discovery = self.cell.discovery
        discovery.go_down(self.chance.choice(["503", "reset", "silent"]))
        return discovery.come_back

    def stall(self) -> Callable[[], None]:
        coordinator = self.cell.coordinator
        coordinator.signal(signal.SIGSTOP)
        return lambda: coordinator.signal(signal.SIGCONT)

    def killed(self) -> Callable[[], None] | None:
        return self.ended(signal.SIGKILL)

    def terminated(self) -> Callable[[], None] | None:
        return self.ended(signal.SIGTERM)

    def ended(self, number: int) -> Callable[[], None] | None:
        if self.busy & {"killed", "terminated", "stall"} or not self.cell.is_ready:
            return None
        self.cell.end(number)
        return self.cell.start

    def moved(self) -> Callable[[], None] | None:
        """Other addresses for the relay and discovery, and SIGHUP."""
        if self.busy & {"killed", "terminated", "cut"} or not self.cell.is_ready:
            return None
        self.cell.move()
        return lambda: None

    def system_calls(self) -> Callable[[], None]:
        span = self.chance.uniform(0.2, 1.5)
        told = {"rate": self.chance.choice([0.05, 0.2, 0.5]), "seed": self.chance.randrange(1 << 30)}
        self.cell.write_faults(until=time.monotonic() + span, **told)
        return lambda: None

    def wall_clock(self) -> Callable[[], None]:
        self.cell.wall += self.chance.choice([-3600, -5, 5, 3600])
        self.cell.write_faults()
        return lambda: None
