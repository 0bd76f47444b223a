"""A model of the ledger, and the invariants that distributors and subscribers must keep after each step."""

from indigohitch.fleet.distribution.content import ServiceContent, scope_digest
from indigohitch.fleet.distribution.replicated_part import (
    RemoveResources,
    ServiceKeys,
    ServiceResources,
    SetResources,
)
from indigohitch.fleet.distribution.types import NO_VERSION, Resource, Version
from indigohitch.fleet.membership.leases import grantor_span
from indigohitch.net.clock import SECOND

MS = SECOND // 1000


class LedgerModel:
    """The ledger of a `Simulation`; its entries are committed at once, and `on_committed` is called."""

    # ---- the ledger --------------------------------------------------------------------------------

    def set(self, service, bodies):
        resources = tuple(Resource(key, body) for key, body in bodies.items())
        self.append("set", SetResources((ServiceResources(service, resources),)), service, bodies, ())

    def remove(self, service, *keys):
        self.append("remove", RemoveResources((ServiceKeys(service, keys),)), service, {}, keys)

    def append(self, kind, body, service, bodies, keys):
        version = Version(self.term, len(self.log) + 1)
        self.log.append((version, kind, body))
        before = self.history[service][-1][2] if service in self.history else {}
        after = {key: value for key, value in (before | bodies).items() if key not in keys}
        self.history.setdefault(service, [(NO_VERSION, 0, {})]).append((version, self.now, after))
        self.on_committed()

    def drain(self, count):
        """Sets `count` random resources to draining, each by an entry of its own."""
        keys = [(service, key) for service in self.services for key in self.history[service][-1][2]]
        for service, key in self.random_source.sample(keys, count):
            self.set(service, {key: b"draining"})

    def change_randomly(self):
        service = self.random_source.choice(self.services)
        bodies = self.history[service][-1][2]
        if bodies and self.random_source.random() < 0.3:
            self.remove(service, self.random_source.choice(sorted(bodies)))
        else:
            name = f"{service}/{self.random_source.randrange(12)}"
            self.set(service, {name: b"%d" % self.random_source.randrange(100)})

    # ---- invariants --------------------------------------------------------------------------------

    def bodies_at(self, service, version):
        return next(
            (bodies for at, _, bodies in reversed(self.history.get(service, [])) if at <= version), {}
        )

    def bodies_since(self, service, version):
        """Returns the content at a version and all later ones; equal contents may occur more than once."""
        later = [bodies for at, _, bodies in self.history.get(service, []) if at > version]
        return [self.bodies_at(service, version), *later]

    def check_applied(self, machine, before, update):
        assert machine.version >= before or update.void == before, "an older version was applied"
        for service in machine.scope.services:
            assert machine.resources(service) == self.bodies_at(service, machine.version), "not that version"

    def check_distributor(self, distributor):
        server = distributor.machine.server
        assert server.admission.large_bytes <= self.limits.large_bytes
        for each in server.subscribers.subscribed():
            assert len(each.changed_services) + len(each.full_resend) <= len(each.scope)
            assert each.in_flight is None or each.in_flight.size <= self.limits.update_bytes
        in_force = distributor.machine.report(self.now).in_force
        for each in server.subscribers.subscribed():
            subscriber = self.subscribers[each.subscriber]
            if each.acknowledged != NO_VERSION and each.connection in self.links:
                for service in subscriber.scope.services.keys() & set(each.scope):
                    held = self.bodies_at(service, subscriber.version)
                    assert subscriber.version >= in_force or held in self.bodies_since(service, in_force)

    def check_leases(self):
        """Checks that no content counts as current that was superseded more than a lease ago."""
        oldest = self.now - grantor_span(self.limits.lease, self.limits.drift)
        for name, machine in self.subscribers.items():
            if self.now < machine.lease_until(self.now) and name not in self.suspended | self.corrupted:
                for service in machine.scope.services:
                    assert machine.resources(service) in self.bodies_since(
                        service, self.last_version(service, oldest)
                    )

    def last_version(self, service, time):
        """Returns the last version of the service that was committed by then."""
        return max((version for version, at, _ in self.history[service] if at <= time), default=NO_VERSION)

    def intended_digest(self, name):
        return scope_digest([ServiceContent(each, self.history[each][-1][2]) for each in self.scopes[name]])

    def outdated(self):
        """Returns the subscribers whose content differs from the ledger's."""
        return [
            name for name, machine in self.subscribers.items() if machine.digest != self.intended_digest(name)
        ]

    def converge(self, seconds=30):
        """Runs until all subscribers hold the ledger's content; returns whether they do in time."""
        for _ in range(seconds * 10):
            if not self.outdated():
                return True
            self.run(0.1)
        return False
