"""When each request of a trace is due.  No I/O; times are whole tenths of a ms since the replay began."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ...errors import InvalidRequestError
from ..entry import SECOND, Request

FILTERS = ("rpc", "method", "path", "status")


def filtered(text: str) -> tuple[str, str]:
    """`rpc=search`, `path=/vacancies/*`; ValueError for anything else."""
    name, equals, pattern = text.partition("=")
    if not equals or name not in FILTERS or not pattern:
        raise InvalidRequestError(
            f"{text!r}: NAME=PATTERN is wanted, with one of {', '.join(FILTERS)}", "--filter"
        )
    return name, pattern


def passes(request: Request, filters: Iterable[tuple[str, str]]) -> bool:
    """Of one name any pattern will do, of several names each has to."""
    told = {
        "rpc": request.rpc,
        "method": request.method,
        "status": str(request.status),
        "path": request.target.partition("?")[0],
    }
    wanted: dict[str, bool] = {}
    for name, pattern in filters:
        wanted[name] = wanted.get(name, False) or fnmatch.fnmatchcase(told[name], pattern)
    return all(wanted.values())


@dataclass(frozen=True)
class Plan:
    """What of a trace is sent, and how fast."""

    speed: float = 1.0
    start: int = 0  # in the trace
    end: int | None = None
    filters: tuple[tuple[str, str], ...] = ()
    longest_gap: int = 0  # in the trace; 0: gaps are kept
    shard: int = 0  # this process sends the connections that are its own
    shards: int = 1

    def __post_init__(self) -> None:
        if not 0 < self.speed < 1e6:
            raise InvalidRequestError(
                f"a speed of {self.speed} can't be kept", "--speed", "above 0, under a million"
            )
        if not 0 <= self.shard < self.shards:
            raise InvalidRequestError(f"shard {self.shard + 1} of {self.shards}")

    def text(self) -> str:
        """Of which part of a trace a journal is: stored in its head."""
        return f"{self.start}-{self.end}-{self.filters}-{self.shard}/{self.shards}"

    def due(self, requests: Iterable[tuple[int, Request]]) -> Iterator[tuple[int, int, Request]]:
        """(due, number, request) in order.  Gaps are cut before the shards part: all keep one time."""
        cut, before = self.start, self.start
        for number, request in requests:
            if self.longest_gap and request.at - before > self.longest_gap:
                cut += request.at - before - self.longest_gap
            before = request.at
            if request.connection % self.shards == self.shard and passes(request, self.filters):
                yield round((request.at - cut) / self.speed), number, request


class Pace:
    """A ceiling on the rate: what is due sooner goes later, and its lateness shows."""

    def __init__(self, most: float) -> None:
        """`most`: requests a second, 0: none."""
        self.gap = SECOND / most if most else 0.0
        self.free = 0.0

    def sent_at(self, due: int) -> int:
        """When a request that is due then may go."""
        at = max(float(due), self.free)
        self.free = at + self.gap
        return round(at)
