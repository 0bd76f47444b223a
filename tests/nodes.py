"""Several nodes in one loop over real sockets and folders, for tests of links and nodes."""

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
    """A log whose events can be looked at."""

    def __init__(self, clock, name):
        super().__init__(clock, name, NOWHERE)
        self.events = []

    def event(self, what, **fields):
        self.events.append((what, fields))

    def said(self, what):
        return [fields for name, fields in self.events if name == what]


class Looped:
    def __init__(self):
        self.clock, self.failed = Clock(), []
        self.loop = EventLoop(self.clock, self.failed.append)

    def until(self, holds, seconds=30):
        end = time.monotonic() + seconds
        while not (found := holds()):
            assert time.monotonic() < end, "it did not come"
            self.loop.call_after(50, lambda: None)  # a turn at least each 5 ms
            self.loop.turn()
        return found

    def turns(self, ms):
        end = self.clock.now() + 10 * ms
        self.until(lambda: self.clock.now() >= end)


class World(Looped):
    """`nodes` by name; "v1" .. vote, "s1" .. follow."""

    def __init__(self, path, voters=3, followers=0, limit=16 << 20, seed=1):
        super().__init__()
        self.path, self.limit, self.seed = path, limit, seed
        names = [f"v{n + 1}" for n in range(voters)] + [f"s{n + 1}" for n in range(followers)]
        self.members = {name: MemberText(name, free(), name[0] == "v", 1) for name in names}
        self.nodes, self.ended = {}, []
        self.files = {}  # by name, for faults

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
        """Without a word; what was under way on its disk ends there."""
        node = self.nodes.pop(name)
        node.driver.end()
        node.close()

    def leader(self, but=""):
        found = [
            (node.driver.raft_node.term, name)
            for name, node in self.nodes.items()
            if node.driver.leads and name != but
        ]
        return max(found)[1] if found else ""

    def valid(self, *names):
        """Each holds a lease."""

        def all_valid():
            return all(self.nodes[n].lease(self.clock.now()) for n in names or self.nodes)

        self.until(all_valid)

    def put(self, name, text, seconds=30):
        """A note through that member, and what it came to."""
        told = []
        body = b"\x91" + bytes([0xD9, len(text)]) + text.encode()
        self.nodes[name].messaging.propose("notes.add", body, told.append)
        self.until(lambda: told, seconds)
        return told[0]

    def texts(self, name):
        return [text for _, text in self.nodes[name].state_machine.parts["notes"].texts]

    def level(self):
        """Until all state machines stand at one entry; they are equal."""
        self.until(lambda: len({node.state_machine.index for node in self.nodes.values()}) == 1)
        assert len({node.state_machine.digest() for node in self.nodes.values()}) == 1

    def figures(self, name):
        return node_status(self.nodes[name])

    def close(self):
        for name in list(self.nodes):
            self.kill(name)
        self.loop.close()
        assert not self.failed
