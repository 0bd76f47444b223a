"""Test support: several nodes in one event loop, with real sockets and folders."""

import os
import random
import time

from indigohitch.config.fleet import FleetText, MemberText
from indigohitch.fleet.node.node import Node
from indigohitch.fleet.node.status import node_status
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.connection import parse_address
from indigohitch.net.loop import EventLoop
from waiting import free_address

NOWHERE = os.open(os.devnull, os.O_WRONLY)


def free() -> tuple[str, int]:
    return parse_address(free_address())


class Kept(Log):
    """Keeps the events of a log for assertions."""

    def __init__(self, clock, name):
        super().__init__(clock, name, NOWHERE)
        self.events = []

    def event(self, what, **fields):
        self.events.append((what, fields))

    def said(self, what):
        return [fields for name, fields in self.events if name == what]


class Looped:
    """Owns an event loop that the test drives."""

    def __init__(self):
        self.clock, self.failed = Clock(), []
        self.loop = EventLoop(self.clock, self.failed.append)

    def until(self, holds, seconds=30):
        end = time.monotonic() + seconds
        while not (found := holds()):
            assert time.monotonic() < end, "the condition did not become true in time"
            self.loop.call_after(50, lambda: None)  # the loop wakes up at least every 5 ms
            self.loop.turn()
        return found

    def turns(self, ms):
        end = self.clock.now() + 10 * ms
        self.until(lambda: self.clock.now() >= end)


class World(Looped):
    """Runs a fleet; `nodes` has its open nodes by name: "v1" .. are voters, "s1" .. followers."""

    def __init__(self, path, voters=3, followers=0, limit=16 << 20, seed=1):
        super().__init__()
        self.path, self.limit, self.seed = path, limit, seed
        names = [f"v{number + 1}" for number in range(voters)] + [
            f"s{number + 1}" for number in range(followers)
        ]
        self.members = {name: MemberText(name, free(), name[0] == "v", 1) for name in names}
        self.nodes, self.ended = {}, []
        self.files = {}  # file systems by member name, for fault injection

    def text(self, name):
        return FleetText(
            "whk",
            name,
            dict(self.members),
            str(self.path / name),
            {"lease": 8000, "election": 2000, "beat": 400},
            0.001,
            0,
            self.limit,
        )

    def start(self, *names):
        for name in names or self.members:
            self.seed += 1
            node = self.nodes[name] = Node(
                self.loop,
                Kept(self.clock, name),
                self.text(name),
                random.Random(self.seed),
                self.ended.append,
                self.files.get(name),
            )
            node.open()
        return self

    def kill(self, name):
        """Ends a member without a leave; Raft stops first, so that disk writes in progress have no effect."""
        node = self.nodes.pop(name)
        node.driver.end()
        node.close()

    def leader(self, but=""):
        """Returns the leader of the highest term other than `but`; "" if there is none."""
        leaders = [
            (node.driver.raft_node.term, name)
            for name, node in self.nodes.items()
            if node.driver.leads and name != but
        ]
        return max(leaders)[1] if leaders else ""

    def valid(self, *names):
        """Waits until each of these members holds a lease; by default all."""

        def all_valid():
            return all(self.nodes[name].lease(self.clock.now()) for name in names or self.nodes)

        self.until(all_valid)

    def put(self, name, text, seconds=30):
        """Adds a note through a member and returns the outcome."""
        outcomes = []
        body = b"\x91" + bytes([0xD9, len(text)]) + text.encode()
        self.nodes[name].messaging.propose("notes.add", body, outcomes.append)
        self.until(lambda: outcomes, seconds)
        return outcomes[0]

    def texts(self, name):
        return [text for _, text in self.nodes[name].state_machine.parts["notes"].texts]

    def level(self):
        """Waits until all state machines have applied the same entry, and checks that they are equal."""
        self.until(lambda: len({node.state_machine.index for node in self.nodes.values()}) == 1)
        assert len({node.state_machine.digest() for node in self.nodes.values()}) == 1

    def figures(self, name):
        return node_status(self.nodes[name])

    def close(self):
        for name in list(self.nodes):
            self.kill(name)
        self.loop.close()
        assert not self.failed
