"""A deterministic simulation of distributors and subscribers with a ledger, a network and injected faults.

After each step it checks that no older version is applied, that the held content is that of one version, that
queues are bounded, that no version is reported in force before it is, and that no content counts as current
after its lease.  All randomness comes from one seed.
"""

import heapq
import itertools
import random
from dataclasses import dataclass

from distribution_model import MS, LedgerModel
from distribution_network import Network
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
class DistributorProcess:
    """A simulated distributor; while `is_lagging` it receives no entries of the ledger."""

    name: str
    part: DistributionPart
    machine: Distributor
    applied_count: int = 0  # entries of the ledger
    is_lagging: bool = False


class Simulation(LedgerModel, Network):
    def __init__(
        self, seed, distributor_count=6, subscriber_count=20, service_count=40, scope_size=5, limits=None
    ):
        self.random_source = random.Random(seed)
        self.now = 10 * SECOND
        self.term = 1
        self.has_majority = True
        self.limits = limits or Limits()
        same = ("lease", "drift", "guard_versions")
        self.subscriber_limits = SubscriberLimits(**{each: getattr(self.limits, each) for each in same})
        self.log = []  # entries
        self.history = {}  # service -> [(version, time, bodies)]
        self.events = []
        self.event_numbers = itertools.count()
        self.distributors = {}
        self.subscribers = {}
        self.links = {}
        self.latest_links = {}
        self.scopes = {}
        self.isolated = set()
        self.suspended = set()
        self.deferred_calls = {}
        self.timers = {}
        self.updates = []
        self.notes = []
        self.corrupted = set()  # subscribers whose content the test has corrupted: it is not checked
        self.link_numbers = itertools.count(1)
        self.distributor_names = [f"d{number}" for number in range(distributor_count)]
        self.services = [f"service-{number:04}" for number in range(service_count)]
        for service in self.services:
            self.set(service, {f"{service}/{n}": b"up" for n in range(self.random_source.randrange(1, 12))})
        for name in self.distributor_names:
            self.start_distributor(name)
        for number in range(subscriber_count):
            self.add_subscriber(f"s{number:04}", self.random_source.sample(self.services, scope_size))
        self.schedule(self.now, self.tick)

    # ---- following the ledger ----------------------------------------------------------------------

    def on_committed(self):
        for distributor in self.distributors.values():
            self.schedule(self.now + self.random_source.randrange(20 * MS), self.apply_committed, distributor)

    def apply_committed(self, distributor):
        """Applies the committed entries that this distributor lacks, one after the other."""
        while (
            distributor.applied_count < len(self.log)
            and not distributor.is_lagging
            and self.is_running(distributor)
        ):
            version, kind, body = self.log[distributor.applied_count]
            distributor.applied_count += 1
            changed = distributor.part.apply(
                EntryContext(version.index, version.term, self.now, "", 0), kind, body
            )
            self.dispatch(distributor, interfaces.ResourcesChanged(changed))

    # ---- processes ---------------------------------------------------------------------------------

    def start_distributor(self, name):
        part = DistributionPart()
        machine = Distributor(name, part.store, self.limits, self.now, self.distributor_names)
        self.distributors[name] = distributor = DistributorProcess(name, part, machine)
        self.schedule(self.now, self.apply_committed, distributor)
        self.arm_timer(distributor)
        return distributor

    def kill_distributor(self, name):
        del self.distributors[name]
        self.suspended.discard(name)
        self.deferred_calls.pop(name, None)
        for link in [link for link in self.links.values() if link.distributor == name]:
            self.break_link(link)

    def add_subscriber(self, name, scope):
        self.scopes[name] = frozenset(scope)
        random_source = random.Random(self.random_source.random())
        weights = dict.fromkeys(self.distributor_names, 1.0)
        machine = Subscriber(name, scope, weights, self.subscriber_limits, random_source, self.now)
        self.subscribers[name] = machine
        self.arm_timer(machine)
        return machine

    def is_running(self, process):
        return self.distributors.get(process.name) is process and process.name not in self.suspended

    def suspend(self, name):
        """Simulates SIGSTOP."""
        self.suspended.add(name)

    def resume(self, name):
        """Simulates SIGCONT: the process handles what arrived meanwhile, and then its timer."""
        self.suspended.discard(name)
        for call in self.deferred_calls.pop(name, []):
            self.schedule(self.now, *call)
        if name in self.distributors:
            self.schedule(self.now, self.apply_committed, self.distributors[name])
        self.schedule(
            self.now,
            self.arm_timer,
            self.distributors[name] if name in self.distributors else self.subscribers[name],
        )

    def isolate(self, names):
        """Cuts these subscribers, and no others, off from all distributors."""
        self.isolated = set(names)
        for link in [link for link in self.links.values() if link.subscriber in self.isolated]:
            self.break_link(link)

    def restart_subscriber(self, name):
        if (link := self.link_of(name)) is not None:
            self.close_link(link)
        self.add_subscriber(name, self.scopes[name])

    def clear_faults(self):
        """Ends all faults, except that killed distributors stay down."""
        self.has_majority = True
        self.isolate(())
        for name in sorted(self.suspended):
            self.resume(name)
        for distributor in self.distributors.values():
            distributor.is_lagging = False
            self.apply_committed(distributor)

    def change_scope(self, name, scope):
        self.scopes[name] = frozenset(scope)
        self.dispatch(self.subscribers[name], interfaces.ScopeChanged(self.scopes[name]))

    # ---- time --------------------------------------------------------------------------------------

    def schedule(self, time, function, *args):
        heapq.heappush(self.events, (max(time, self.now), next(self.event_numbers), function, args))

    def run(self, seconds):
        until = self.now + round(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until

    def arm_timer(self, process):
        machine = process.machine if isinstance(process, DistributorProcess) else process
        due = max(machine.due, self.now)
        if self.timers.get(process, (1 << 62)) > due:
            self.timers[process] = due
            self.schedule(due, self.on_timer, process, due)

    def on_timer(self, process, due):
        if self.timers.get(process) == due:
            del self.timers[process]
            if process.name not in self.suspended:
                self.dispatch(process, interfaces.Tick())

    def tick(self):
        for distributor in [each for each in self.distributors.values() if self.is_running(each)]:
            if self.has_majority and distributor.applied_count == len(self.log):
                self.dispatch(distributor, interfaces.CaughtUp(self.now))
            report = distributor.machine.report(self.now)
            for other in self.distributors.values():
                if other is not distributor and self.is_running(other):
                    self.dispatch(other, interfaces.ReportReceived(report))
        self.check_leases()
        self.schedule(self.now + TICK, self.tick)

    def dispatch(self, process, event):
        if process.name in self.suspended:
            self.deferred_calls.setdefault(process.name, []).append((self.dispatch, process, event))
        elif isinstance(process, DistributorProcess):
            if self.is_running(process):
                self.step_distributor(process, event)
        elif self.subscribers.get(process.name) is process:
            self.step_subscriber(process, event)

    def step_distributor(self, distributor, event):
        for output in distributor.machine.step(self.now, event):
            link = self.links.get(getattr(output, "connection", 0))
            if isinstance(output, interfaces.Note):
                self.notes.append((distributor.name, output))
            elif link is not None and isinstance(output, interfaces.SendToSubscriber):
                if isinstance(output.message, Update):
                    self.updates.append((self.now, distributor.name, link.subscriber, output.message))
                self.send(link, 1, output.message)
            elif link is not None:
                self.schedule(link.last_delivery[1] + MS, self.break_link, link)
        self.arm_timer(distributor)
        self.check_distributor(distributor)

    def step_subscriber(self, machine, event):
        before = machine.version
        for output in machine.step(self.now, event):
            link = self.link_of(machine.name)
            if isinstance(output, interfaces.Dial):
                self.dial(machine, output.distributor)
            elif isinstance(output, interfaces.Note):
                self.notes.append((machine.name, output))
            elif isinstance(output, interfaces.UpdateApplied):
                self.check_applied(machine, before, event.message)
            elif link is not None and isinstance(output, interfaces.Disconnect):
                self.close_link(link)
            elif link is not None and isinstance(output, interfaces.SendToDistributor):
                self.send(link, 0, output.message)
        self.arm_timer(machine)


def converged(simulation, seconds=30):
    assert simulation.converge(seconds), simulation.outdated()
    return simulation


def refusals(simulation, reason):
    return [note for _, note in simulation.notes if note.fields.get("reason") == reason.name]
