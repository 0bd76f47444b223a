"""Distributors and subscribers in one process, with a ledger, a network and faults that the test orders; all
from one seed.  After each step: nothing older is applied, what is held is the content of one version, what
waits is bounded, nothing is called in force that is not, and nobody acts on what a lease has ended."""

import heapq
import itertools
import random
from dataclasses import dataclass

from distribution_network import Network
from distribution_truth import MS, Truth
from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.distributor import Distributor
from indigohitch.fleet.distribution.limits import Limits, SubscriberLimits
from indigohitch.fleet.distribution.messages import Update
from indigohitch.fleet.distribution.replicated_part import DistributionPart
from indigohitch.fleet.distribution.subscriber import Subscriber
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.net.clock import SECOND

TICK = 100 * MS


@dataclass(eq=False)
class Server:
    """A distributor's process: `held_up`: it hears nothing of the ledger any more."""

    name: str
    part: DistributionPart
    machine: Distributor
    position: int = 0  # in the ledger
    held_up: bool = False


class World(Truth, Network):
    def __init__(self, seed, servers=6, subscribers=20, services=40, reach=5, limits=None):
        self.chance = random.Random(seed)
        self.now, self.term, self.majority = 10 * SECOND, 1, True
        self.limits = limits or Limits()
        same = ("lease", "drift", "guard_versions")
        self.own_limits = SubscriberLimits(**{each: getattr(self.limits, each) for each in same})
        self.log, self.truth = [], {}  # entries; service -> [(version, time, bodies)]
        self.events, self.order = [], itertools.count()
        self.servers, self.subscribers, self.links, self.latest = {}, {}, {}, {}
        self.scopes, self.unreachable, self.stopped, self.held_back = {}, set(), set(), {}
        self.timers, self.updates, self.notes = {}, [], []
        self.spoilt = set()  # by the test: what these hold is not looked at
        self.numbers = itertools.count(1)
        self.names = [f"d{number}" for number in range(servers)]
        self.services = [f"service-{number:04}" for number in range(services)]
        for service in self.services:
            self.set(service, {f"{service}/{n}": b"up" for n in range(self.chance.randrange(1, 12))})
        for name in self.names:
            self.start(name)
        for number in range(subscribers):
            self.join(f"s{number:04}", self.chance.sample(self.services, reach))
        self.at(self.now, self.tick)

    # ---- following the ledger ----------------------------------------------------------------------

    def committed(self):
        for server in self.servers.values():
            self.at(self.now + self.chance.randrange(20 * MS), self.follow, server)

    def follow(self, server):
        """What is committed is applied, one entry after the other."""
        while server.position < len(self.log) and not server.held_up and self.lives(server):
            version, word, body = self.log[server.position]
            server.position += 1
            changed = server.part.apply(
                EntryContext(version.index, version.term, self.now, "", 0), word, body
            )
            self.put(server, interfaces.ResourcesChanged(changed))

    # ---- processes ---------------------------------------------------------------------------------

    def start(self, name):
        part = DistributionPart()
        machine = Distributor(name, part.store, self.limits, self.now, self.names)
        self.servers[name] = server = Server(name, part, machine)
        self.at(self.now, self.follow, server)
        self.wake(server)
        return server

    def kill(self, name):
        del self.servers[name]
        self.stopped.discard(name)
        self.held_back.pop(name, None)
        for link in [link for link in self.links.values() if link.server == name]:
            self.cut(link)

    def join(self, name, scope):
        self.scopes[name] = frozenset(scope)
        chance = random.Random(self.chance.random())
        weights = dict.fromkeys(self.names, 1.0)
        machine = Subscriber(name, scope, weights, self.own_limits, chance, self.now)
        self.subscribers[name] = machine
        self.wake(machine)
        return machine

    def lives(self, server):
        return self.servers.get(server.name) is server and server.name not in self.stopped

    def stop(self, name):
        """SIGSTOP"""
        self.stopped.add(name)

    def go_on(self, name):
        """SIGCONT: what has come meanwhile is there, and then the timers."""
        self.stopped.discard(name)
        for what in self.held_back.pop(name, []):
            self.at(self.now, *what)
        if name in self.servers:
            self.at(self.now, self.follow, self.servers[name])
        self.at(self.now, self.wake, self.servers[name] if name in self.servers else self.subscribers[name])

    def isolate(self, names):
        """No subscriber of these reaches a distributor."""
        self.unreachable = set(names)
        for link in [link for link in self.links.values() if link.subscriber in self.unreachable]:
            self.cut(link)

    def restart(self, name):
        if (link := self.link_of(name)) is not None:
            self.hang_up(link)
        self.join(name, self.scopes[name])

    def heal(self):
        """Nothing is cut off, stopped or held up any more."""
        self.majority = True
        self.isolate(())
        for name in sorted(self.stopped):
            self.go_on(name)
        for server in self.servers.values():
            server.held_up = False
            self.follow(server)

    def rescope(self, name, scope):
        self.scopes[name] = frozenset(scope)
        self.put(self.subscribers[name], interfaces.ScopeChanged(self.scopes[name]))

    # ---- time --------------------------------------------------------------------------------------

    def at(self, when, what, *args):
        heapq.heappush(self.events, (max(when, self.now), next(self.order), what, args))

    def run(self, seconds):
        until = self.now + round(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)
        self.now = until

    def wake(self, process):
        machine = process.machine if isinstance(process, Server) else process
        due = max(machine.due, self.now)
        if self.timers.get(process, (1 << 62)) > due:
            self.timers[process] = due
            self.at(due, self.ring, process, due)

    def ring(self, process, due):
        if self.timers.get(process) == due:
            del self.timers[process]
            if process.name not in self.stopped:
                self.put(process, interfaces.Tick())

    def tick(self):
        for server in [server for server in self.servers.values() if self.lives(server)]:
            if self.majority and server.position == len(self.log):
                self.put(server, interfaces.CaughtUp(self.now))
            report = server.machine.report(self.now)
            for other in self.servers.values():
                if other is not server and self.lives(other):
                    self.put(other, interfaces.ReportReceived(report))
        self.check_leases()
        self.at(self.now + TICK, self.tick)

    def put(self, process, input):
        if process.name in self.stopped:
            self.held_back.setdefault(process.name, []).append((self.put, process, input))
        elif isinstance(process, Server):
            if self.lives(process):
                self.step_server(process, input)
        elif self.subscribers.get(process.name) is process:
            self.step_subscriber(process, input)

    def step_server(self, server, input):
        for output in server.machine.step(self.now, input):
            link = self.links.get(getattr(output, "connection", 0))
            if isinstance(output, interfaces.Note):
                self.notes.append((server.name, output))
            elif link is not None and isinstance(output, interfaces.SendToSubscriber):
                if isinstance(output.message, Update):
                    self.updates.append((self.now, server.name, link.subscriber, output.message))
                self.send(link, 1, output.message)
            elif link is not None:
                self.at(link.last[1] + MS, self.cut, link)
        self.wake(server)
        self.check_server(server)

    def step_subscriber(self, machine, input):
        before = machine.version
        for output in machine.step(self.now, input):
            link = self.link_of(machine.name)
            if isinstance(output, interfaces.Dial):
                self.dial(machine, output.distributor)
            elif isinstance(output, interfaces.Note):
                self.notes.append((machine.name, output))
            elif isinstance(output, interfaces.UpdateApplied):
                self.check_applied(machine, before, input.message)
            elif link is not None and isinstance(output, interfaces.Disconnect):
                self.hang_up(link)
            elif link is not None and isinstance(output, interfaces.SendToDistributor):
                self.send(link, 0, output.message)
        self.wake(machine)


def settled(world, seconds=30):
    assert world.settle(seconds), world.wrong()
    return world


def refusals(world, reason):
    return [note for _, note in world.notes if note.fields.get("reason") == reason.name]
