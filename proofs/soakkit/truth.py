"""What the proxies of one coordinator would have done, and which rules that breaks."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.drain_monitor import PausedTime

from . import settings


@dataclass(slots=True, frozen=True)
class Violation:
    rule: str
    at: float  # s from the beginning
    detail: str

    def told(self) -> dict:
        return asdict(self)


class Truth:
    LOOK = SECOND // 50
    SLACK = 0.3  # s, of time limits on sockets
    TOLD_AT_LATEST = 6 * SECOND  # after a change of the list
    READY_LIMITS = SECOND  # after the first sign of life of a process, time limits begin

    def __init__(self, loop: EventLoop) -> None:
        self.loop, self.began = loop, loop.clock.now()
        self.tables: dict[int, dict[str, float]] = {}  # as the proxies have applied them
        # Backends that drain or are gone: when the coordinator counts as told, by the time that stands still;
        # None: it does not yet.
        self.leaving: dict[str, int | None] = {}
        self.turns: dict[str, int] = {}  # how often a backend's state has changed
        self.states: dict[str, str] = {}
        self.warm_since: dict[str, int] = {}
        self.out: set[str] = set()  # shut out by order
        self.time = PausedTime()
        self.since = 0  # by the time that stands still: joined, given, or the process ready, the latest
        self.watching = False  # proxies are joined, slices in charge, the process is ready
        self.bare: dict[int, int] = {}  # since when tables have no line
        self.seen: set[tuple[int, str]] = set()  # violations told
        self.violations: list[Violation] = []
        self.drains: list[float] = []  # s from told until no proxy had a line there
        self.open_drains: dict[str, int] = {}
        self.joined_now = self.charged = self.serving = False
        loop.call_after(self.LOOK, self.look_again)

    # ---- what happens ------------------------------------------------------------------------------

    def begin_limits(self) -> None:
        """Of all slices and proxies, from now on."""
        self.since = self.time.elapsed(self.loop.clock.now())
        self.bare.clear()
        self.open_drains.clear()

    def update_watching(self) -> None:
        was, self.watching = self.watching, self.joined_now and self.charged and self.serving
        if self.watching and not was:
            self.begin_limits()

    def joined(self, tables: dict[int, dict[str, float]]) -> None:
        self.tables, self.joined_now = tables, True
        self.out.clear()
        self.begin_limits()
        self.update_watching()

    def left(self) -> None:
        self.joined_now = False
        self.update_watching()

    def charge_given(self, tables: dict[int, dict[str, float]]) -> None:
        self.tables, self.charged = tables, True
        self.begin_limits()
        self.update_watching()

    def charge_lost(self) -> None:
        self.charged = False
        self.update_watching()

    def process_started(self) -> None:
        """A new process has been told nothing, and counts as told at the latest as of its start."""
        for backend in self.leaving:
            self.leaving[backend] = None
            self.turns[backend] = turn = self.turns[backend] + 1
            self.loop.call_after(self.TOLD_AT_LATEST, lambda b=backend, t=turn: self.told(b, t))

    def process_ready(self, yes: bool) -> None:
        self.serving = yes
        self.update_watching()

    def relay_broke_a_call(self, how: str) -> None:
        self.time.pause(self.loop.clock.now(), SECOND // 2 if how == "reset" else SECOND * 3 // 2)

    def relay_broke_its_news(self) -> None:
        self.time.pause(self.loop.clock.now(), 4 * SECOND)

    def shut_out(self, backend: str, on: bool) -> None:
        (self.out.add if on else self.out.discard)(backend)

    def changed(self, backend: str, state: str, started_now: bool) -> None:
        """The list has it so from now on."""
        now = self.loop.clock.now()
        self.states[backend] = state
        self.turns[backend] = turn = self.turns.get(backend, 0) + 1
        if state == "ready":
            self.leaving.pop(backend, None)
            self.open_drains.pop(backend, None)
            if started_now:
                self.warm_since[backend] = now + int(settings.SETTINGS["rules"]["warm-within"] * 10)
        elif backend not in self.leaving:
            self.leaving[backend] = None
            self.loop.call_after(self.TOLD_AT_LATEST, lambda: self.told(backend, turn))

    def told(self, backend: str, turn: int = 0) -> None:
        """The coordinator was told what the list has of it; with a turn: it counts as told of that change."""
        if turn and turn != self.turns[backend] or backend not in self.leaving:
            return
        now = self.loop.clock.now()
        if self.leaving[backend] is None:
            self.leaving[backend] = self.time.elapsed(now)
            self.open_drains[backend] = now

    def ready(self) -> list[str]:
        return [backend for backend, state in self.states.items() if state == "ready"]

    # ---- what that breaks --------------------------------------------------------------------------

    def look_again(self) -> None:
        self.look()
        self.loop.call_after(self.LOOK, self.look_again)

    def look(self) -> None:
        if not self.watching:
            return
        now = self.loop.clock.now()
        held: dict[str, int] = {}
        for number, lines in self.tables.items():
            usable = False
            for backend in lines:
                if backend in self.out:
                    continue
                usable = True
                if backend in self.leaving:
                    held[backend] = number
            self.look_at_bare(number, usable, now)
        for backend, number in held.items():
            self.look_at_drain(backend, number, now)
        for backend in [backend for backend in self.open_drains if backend not in held]:
            self.drains.append((now - self.open_drains.pop(backend)) / SECOND)

    def look_at_drain(self, backend: str, number: int, now: int) -> None:
        told = self.leaving[backend]
        if told is None:
            return
        passed = (self.time.elapsed(now) - max(told, self.since)) / SECOND
        if passed > settings.GRACE + self.SLACK:
            self.violated("drain", (number, backend), f"slice {number} at {backend}, {passed:.2f} s")

    def look_at_bare(self, number: int, usable: bool, now: int) -> None:
        if usable:
            self.bare.pop(number, None)
            return
        time = self.time.elapsed(now)
        since = self.bare.setdefault(number, time)
        warm = any(self.warm_since.get(backend, 0) <= now for backend in self.ready())
        if warm and (time - since) / SECOND > settings.BARE + self.SLACK:
            self.violated("bare", (number, ""), f"slice {number}")

    def violated(self, rule: str, what: tuple[int, str], detail: str) -> None:
        if (rule, *what) in self.seen:
            return
        self.seen.add((rule, *what))
        at = (self.loop.clock.now() - self.began) / SECOND
        self.violations.append(Violation(rule, round(at, 3), detail))
