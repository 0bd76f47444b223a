"""Cost of the decisions of scoped distribution, without sockets:  make bench-distribution  (QUICK=1: small).

One distributor with a number of subscribers in one process, each message as a frame.  Process time of the
distributor's steps with its frames, of one subscriber's with its frames, bytes, and memory; the fleet is made
up, seeded.  The last line is JSON."""

import json
import os
import random
import resource
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from indigohitch.encoding.frames import FrameDecoder  # noqa: E402
from indigohitch.fleet.distribution import interfaces  # noqa: E402
from indigohitch.fleet.distribution.distributor import Distributor  # noqa: E402
from indigohitch.fleet.distribution.limits import Limits, SubscriberLimits  # noqa: E402
from indigohitch.fleet.distribution.messages import MESSAGE_TYPES  # noqa: E402
from indigohitch.fleet.distribution.replicated_part import DistributionPart, ServiceResources, SetResources  # noqa: E402
from indigohitch.fleet.distribution.subscriber import Subscriber  # noqa: E402
from indigohitch.fleet.distribution.types import Resource  # noqa: E402
from indigohitch.fleet.interfaces import EntryContext  # noqa: E402
from indigohitch.net.clock import SECOND  # noqa: E402

RESOURCES, SERVICES, REACH = 28_000, 1_600, 20
BODY = 80  # bytes of one resource: address, zone, state, weight
SIZES = (325, 650, 1_300) if not os.environ.get("QUICK") else (100, 200)
BURST = 700
CHANGES = 100  # one by one, as on an ordinary day


def memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class Room:
    """One distributor and its subscribers; what is said goes at once, as frames."""

    def __init__(self, subscribers: int) -> None:
        self.chance, self.now, self.index = random.Random(7), 1_000 * SECOND, 0
        self.time = {"distributor": 0.0, "subscribers": 0.0}
        self.bytes = {"update": 0, "other": 0}
        self.updates = 0
        self.part = DistributionPart()
        self.machine = Distributor("d0", self.part.store, Limits(), self.now)
        self.services = [f"service-{number:04}.internal" for number in range(SERVICES)]
        self.keys = [
            (self.services[n % SERVICES], f"10.{n >> 8 & 255}.{n & 255}.1:8080") for n in range(RESOURCES)
        ]
        began = memory_mb()
        for service, key in self.keys:
            self.apply(service, key, 0)
        self.catalogue_mb = memory_mb() - began
        self.distributor(interfaces.CaughtUp(self.now))
        self.subscribers = {}
        for number in range(1, subscribers + 1):
            scope = self.chance.sample(self.services, REACH)
            chance = random.Random(number)
            self.subscribers[number] = Subscriber(
                f"coordinator-{number}", scope, {"d0": 1.0}, SubscriberLimits(), chance, self.now
            )

    def apply(self, service: str, key: str, state: int) -> None:
        self.index += 1
        body = SetResources((ServiceResources(service, (Resource(key, b"%d" % state * BODY),)),))
        changed = self.part.apply(EntryContext(self.index, 1, self.now, "", 0), "set", body)
        self.distributor(interfaces.ResourcesChanged(changed))

    def distributor(self, *inputs: interfaces.DistributorInput) -> None:
        """Steps until nothing is due; what goes out is carried to the subscribers, and back."""
        waiting = list(inputs)
        while waiting:
            began = time.process_time()
            sent = []
            for each in waiting:
                for output in self.machine.step(self.now, each):
                    if isinstance(output, interfaces.SendToSubscriber):
                        sent.append((output.connection, MESSAGE_TYPES.frame(output.message)))
            self.time["distributor"] += time.process_time() - began
            waiting = [heard for connection, frame in sent for heard in self.subscriber(connection, frame)]
            if not waiting and self.machine.due <= self.now:
                waiting = [interfaces.Tick()]

    def subscriber(self, number: int, frame: bytes) -> list[interfaces.MessageReceived]:
        machine = self.subscribers[number]
        began = time.process_time()
        frames = []
        for message, _ in FrameDecoder(MESSAGE_TYPES).feed(frame):
            kind = "update" if type(message).__name__ == "Update" else "other"
            self.updates += kind == "update"
            self.bytes[kind] += len(frame)
            for output in machine.step(self.now, interfaces.DistributorMessageReceived("d0", message)):
                if isinstance(output, interfaces.SendToDistributor):
                    frames.append(MESSAGE_TYPES.frame(output.message))
        self.time["subscribers"] += time.process_time() - began
        return self.heard(number, frames)

    def heard(self, number: int, frames: list[bytes]) -> list[interfaces.MessageReceived]:
        began = time.process_time()
        found = [
            interfaces.MessageReceived(number, word)
            for frame in frames
            for word, _ in FrameDecoder(MESSAGE_TYPES).feed(frame)
        ]
        self.time["distributor"] += time.process_time() - began
        self.bytes["other"] += sum(map(len, frames))
        return found

    def connect_all(self) -> None:
        for number, machine in self.subscribers.items():
            machine.step(self.now, interfaces.Tick())
            said = machine.step(self.now, interfaces.ConnectionEstablished("d0"))
            frames = [
                MESSAGE_TYPES.frame(output.message)
                for output in said
                if isinstance(output, interfaces.SendToDistributor)
            ]
            self.distributor(
                interfaces.SubscriberConnected(number, machine.name), *self.heard(number, frames)
            )

    def renew_all(self) -> None:
        """What a quiet lease's quarter costs."""
        for number, machine in self.subscribers.items():
            said = machine.step(self.now, interfaces.Tick())
            frames = [
                MESSAGE_TYPES.frame(output.message)
                for output in said
                if isinstance(output, interfaces.SendToDistributor)
            ]
            self.distributor(*self.heard(number, frames))

    def measure(self, what) -> dict:
        """Of that part of the day, per subscriber where it is said so."""
        before = self.time | {f"{k}_bytes": v for k, v in self.bytes.items()} | {"updates": self.updates}
        what()
        after = self.time | {f"{k}_bytes": v for k, v in self.bytes.items()} | {"updates": self.updates}
        found = {name: after[name] - before[name] for name in after}
        many = len(self.subscribers)
        return {
            "distributor_ms": round(found["distributor"] * 1000, 1),
            "subscriber_ms": round(found["subscribers"] * 1000 / many, 3),
            "updates": found["updates"],
            "bytes_each": round((found["update_bytes"] + found["other_bytes"]) / many),
        }

    def changes(self, count: int, span: int) -> None:
        """So many, spread over `span`."""
        for service, key in self.chance.sample(self.keys, count):
            self.now += span // count
            self.distributor(interfaces.CaughtUp(self.now), interfaces.Tick())
            self.apply(service, key, 1 + self.index % 9)
        self.now += SECOND
        self.distributor(interfaces.Tick())

    def right(self) -> bool:
        catalogue = self.part.store
        return all(
            machine.resources(service) == catalogue.resources(service)
            for machine in self.subscribers.values()
            for service in machine.services
        )


def cell(subscribers: int) -> dict:
    room = Room(subscribers)
    before = memory_mb()
    found = {"subscribers": subscribers, "catalogue_mb": round(room.catalogue_mb, 1)}
    found["all_join"] = room.measure(room.connect_all)
    # Of both sides: most of it is what the subscribers hold.
    found["subscribers_mb"] = round(memory_mb() - before, 1)
    room.now += 3 * SECOND
    found["renewal"] = room.measure(room.renew_all)
    found["ordinary"] = room.measure(lambda: room.changes(CHANGES, CHANGES * 3 * SECOND))
    found["burst"] = room.measure(lambda: room.changes(BURST, SECOND))
    began = time.process_time()
    room.machine.in_force(room.now)
    found["in_force_ms"] = round((time.process_time() - began) * 1000, 1)
    found["right"] = room.right()
    return found


def main() -> None:
    if len(sys.argv) > 1:
        print(json.dumps(cell(int(sys.argv[1]))))
        return
    cells = []
    for size in SIZES:
        run = subprocess.run(
            [sys.executable, __file__, str(size)], check=True, capture_output=True, text=True
        )
        cells.append(json.loads(run.stdout))
        print(json.dumps(cells[-1]), flush=True)
    if not os.environ.get("QUICK"):
        (ROOT / "benchmarks/results/distribution_cost.json").write_text(json.dumps(cells, indent=1) + "\n")
    print(json.dumps({"cells": cells}))


if __name__ == "__main__":
    main()
