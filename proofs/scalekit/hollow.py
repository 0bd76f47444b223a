"""Many subscribers in one process, each the program's own state machine on a connection of its own; only the
process is shared.  Told by JSON lines on standard input, answers each with one line.

    python -m proofs.scalekit.hollow            the first line: {"do": "begin", ...}
"""

from __future__ import annotations

import json
import os
import pickle
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from indigohitch.fleet.distribution.distributor_connector import ConnectionPhase  # noqa: E402
from indigohitch.fleet.distribution.interfaces import DistributorMessageReceived  # noqa: E402
from indigohitch.fleet.distribution.limits import SubscriberLimits  # noqa: E402
from indigohitch.fleet.distribution.messages import Update  # noqa: E402
from indigohitch.fleet.distribution.subscriber_connection import SubscriberConnection  # noqa: E402
from indigohitch.fleet.distribution.types import NO_VERSION, Resource, Version  # noqa: E402
from indigohitch.log import Log  # noqa: E402
from indigohitch.net.clock import Clock  # noqa: E402
from indigohitch.net.connection import READ  # noqa: E402
from indigohitch.net.loop import EventLoop  # noqa: E402
from proofs.scalekit import judging  # noqa: E402
from proofs.scalekit.records import Record, clock  # noqa: E402


class Hollow(SubscriberConnection):
    """A subscriber that keeps a record of what it went through."""

    def __init__(self, *rest, **words) -> None:
        super().__init__(*rest, **words)
        self.record = Record()
        self.on_applied = lambda output: self.record.applied(clock(), output.version.index)
        self.step, self.driver.step = self.driver.step, self.watched
        self.muted = False

    @property
    def served(self) -> bool:
        return self.machine.connector.phase is ConnectionPhase.SERVED

    def watched(self, input) -> None:
        if self.muted:
            return
        held = self.machine.version
        match input:
            case DistributorMessageReceived(_, Update(whole=True, void=void)) if (
                held != NO_VERSION and void == NO_VERSION
            ):
                self.record.wholes += not self.record.tampered
        self.step(input)
        self.record.stands(clock(), self.served)


class Worker:
    def __init__(self) -> None:
        self.broken: list[str] = []
        self.loop = EventLoop(Clock(), lambda bad: self.broken.append(repr(bad)))
        self.loop.pool.available = 1 << 30  # the proof's memory, not a subscriber's
        self.log = Log(self.loop.clock, "hollow", os.open(os.devnull, os.O_WRONLY))
        self.subscribers: list[Hollow] = []
        self.ended = False
        os.set_blocking(0, False)
        self.rest = b""
        self.loop.watch(sys.stdin.fileno(), self, READ)

    def ready(self, readable: bool, writable: bool) -> None:
        data = os.read(0, 1 << 20)
        self.ended = not data
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            asked = json.loads(line)
            try:
                told = getattr(self, asked.pop("do"))(**asked)
            except Exception as bad:  # the proof is told, and judges it
                told = {"error": repr(bad)}
            print(json.dumps(told), flush=True)

    def run(self) -> None:
        while not self.ended:
            self.loop.turn()

    # ---- what it is told -------------------------------------------------------------------------------

    def begin(
        self, fleet: str, seed: int, guard: bool, distributors: dict, subscribers: dict, spread: float
    ) -> dict:
        """`subscribers`: services by name; they begin within `spread` seconds."""
        limits = SubscriberLimits(guard_versions=guard)
        at = {name: tuple(address) for name, address in distributors.items()}
        for name, services in subscribers.items():
            chance = random.Random(f"{seed} {name}")
            one = Hollow(self.loop, self.log, fleet, name, services, at, chance, limits)
            self.subscribers.append(one)
            self.loop.call_after(int(chance.random() * spread * 10_000), one.start)
        return {"began": len(self.subscribers)}

    def state(self, index: int = 0) -> dict:
        held = [one.machine.version.index for one in self.subscribers]
        served = [one.served for one in self.subscribers]
        at: dict[str, int] = {}
        for one in self.subscribers:
            distributor = one.machine.connector.distributor
            at[distributor] = at.get(distributor, 0) + 1
        received = sum(one.bytes_received + one.bytes_sent for one in self.subscribers)
        return {"served": sum(served), "least": min(held), "at": at, "bytes": received, "broken": self.broken}

    def confirmed(self, since: int) -> dict:
        now = self.loop.clock.now()
        ages = [one.machine.age(now) for one in self.subscribers]
        return {"confirmed": sum(age is not None and clock() - age >= since for age in ages)}

    def tamper(self, number: int, reconnects: bool) -> dict:
        """One resource that it holds is another than it was told: its next digest differs."""
        one = self.subscribers[number]
        one.record.tampered = True
        name = sorted(one.machine.scope.services)[0]
        content = one.machine.scope.services[name]
        altered = Resource(min(content.bodies), b"altered by the proof")
        one.machine.scope.services[name] = content.with_changes([altered], ())
        if reconnects:
            self.reconnect(one)
        return {"service": name}

    def claim(self, number: int) -> dict:
        """It claims a version that never was."""
        one = self.subscribers[number]
        held, record = one.machine.scope, one.record
        held.version = Version(held.version.term + 1_000, held.version.index + 1_000_000)
        record.tampered, record.claims = True, held.version.index
        record.applied(clock(), held.version.index)
        self.reconnect(one)
        return {"version": held.version.text()}

    @staticmethod
    def reconnect(one: Hollow) -> None:
        if one.link is not None and one.link.connection is not None:
            one.link.connection.close("closed by the proof")

    def mute(self, number: int) -> dict:
        """It reads no more, and does nothing else either; its connection stays."""
        one = self.subscribers[number]
        one.muted = True
        one.driver.timer.cancel()
        self.loop.pause(one.link.connection.sock)
        return {"distributor": one.link.name}

    def unmute(self, number: int) -> dict:
        one = self.subscribers[number]
        one.muted = False
        self.loop.resume(one.link.connection.sock, one.link.connection._number, READ)
        one.driver.timer.arm()
        return {}

    def judge(self, facts: str, out: str) -> dict:
        """`facts`: a pickle of judging.Facts; the judgement is pickled to `out`."""
        with open(facts, "rb") as file:
            found = judging.judged(pickle.load(file), self.subscribers)
        with open(out, "wb") as file:
            pickle.dump(found, file)
        return {"broken": self.broken}


if __name__ == "__main__":
    Worker().run()
