"""The content that operators and discovery intend, seeded: services with their backends and routes, what each
subscriber reaches, and what it has to hold."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from .sizes import REACHED, Size

Services = dict[str, dict[str, str]]
CHUNK = 24 << 10  # bytes of text in one entry: half of what a proposal takes
STATES = ("serving", "draining")


class Intended:
    def __init__(self, size: Size, seed: int) -> None:
        self.chance = random.Random(f"content {seed}")
        self.services: Services = {f"service-{n:04}": {} for n in range(size.services)}
        self.backends: list[tuple[str, str]] = []  # service, key
        self.entries: dict[tuple[str, str], int] = {}  # by service and key: the last that set it
        self.names = list(self.services)
        # A few services have many backends and routes, most have some.
        self.weights = [1 / (1 + n % 40) ** 0.5 for n in range(size.services)]
        self.cumulative = list(itertools.accumulate(self.weights))
        for number in range(size.backends):
            service = self.names[number] if number < size.services else self.drawn()
            key = f"backend-{number:05}"
            self.services[service][key] = self.backend(number, "serving")
            self.backends.append((service, key))
        for number in range(size.routes):
            self.services[self.drawn()][f"route-{number:04}"] = f"GET /area-{number:04}/{{id}}"

    def drawn(self) -> str:
        return self.chance.choices(self.names, cum_weights=self.cumulative)[0]

    @staticmethod
    def backend(number: int, state: str, weight: float = 1.0) -> str:
        host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
        return f"{host} zone z{number % 41:02} {state} {weight:g}"

    def chunks(self) -> Iterator[Services]:
        """All of it, in pieces that an entry takes."""
        part, length = {}, 0
        for service, resources in self.services.items():
            size = sum(len(key) + len(body) + 8 for key, body in resources.items())
            if part and length + size > CHUNK:
                yield part
                part, length = {}, 0
            part[service] = dict(resources)
            length += size
        yield part

    def change(self, chance: random.Random) -> Services:
        """The next change of one backend: another weight, or it drains or serves again."""
        service, key = chance.choice(self.backends)
        number = int(key.rpartition("-")[2])
        body = self.backend(number, chance.choice(STATES), chance.randrange(1, 100) / 10)
        return {service: {key: body}}

    def drains(self, chance: random.Random, count: int, state: str) -> Iterator[Services]:
        """Some backends at once, as of racks that lie side by side; one change each."""
        first = chance.randrange(len(self.backends) - count)
        for service, key in self.backends[first : first + count]:
            number = int(key.rpartition("-")[2])
            yield {service: {key: self.backend(number, state, chance.randrange(1, 100) / 10)}}

    def accepted(self, change: Services, index: int) -> None:
        """The ledger has it as that entry."""
        for service, resources in change.items():
            for key, body in resources.items():
                if index > self.entries.get((service, key), 0):
                    self.entries[service, key] = index
                    self.services[service][key] = body


def scope(size: Size, seed: int, number: int) -> list[str]:
    """What one subscriber reaches: the first half lies in its region, the rest anywhere."""
    chance = random.Random(f"scope {seed} {number}")
    region = (number % 19) * size.services // 19
    near = [(region + chance.randrange(size.services // 10)) % size.services for _ in range(REACHED // 2)]
    far = [chance.randrange(size.services) for _ in range(REACHED)]
    found = list(dict.fromkeys([*near, *far]))[:REACHED]
    return [f"service-{n:04}" for n in found]
