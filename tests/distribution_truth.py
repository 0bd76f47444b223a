"""What must hold of distributors and subscribers after each step, and the ledger that says what is true."""

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


class Truth:
    """A ledger that always has a majority; `committed` is for who follows it.  Used by World."""

    # ---- the ledger --------------------------------------------------------------------------------

    def set(self, service, bodies):
        resources = tuple(Resource(key, body) for key, body in bodies.items())
        self.append("set", SetResources((ServiceResources(service, resources),)), service, bodies, ())

    def remove(self, service, *keys):
        self.append("remove", RemoveResources((ServiceKeys(service, keys),)), service, {}, keys)

    def append(self, word, body, service, bodies, keys):
        version = Version(self.term, len(self.log) + 1)
        self.log.append((version, word, body))
        before = self.truth[service][-1][2] if service in self.truth else {}
        after = {key: value for key, value in (before | bodies).items() if key not in keys}
        self.truth.setdefault(service, [(NO_VERSION, 0, {})]).append((version, self.now, after))
        self.committed()

    def drain(self, count):
        """So many resources of all services change their state."""
        keys = [(service, key) for service in self.services for key in self.truth[service][-1][2]]
        for service, key in self.chance.sample(keys, count):
            self.set(service, {key: b"draining"})

    def churn(self):
        service = self.chance.choice(self.services)
        bodies = self.truth[service][-1][2]
        if bodies and self.chance.random() < 0.3:
            self.remove(service, self.chance.choice(sorted(bodies)))
        else:
            name = f"{service}/{self.chance.randrange(12)}"
            self.set(service, {name: b"%d" % self.chance.randrange(100)})

    # ---- what must hold ----------------------------------------------------------------------------

    def bodies_at(self, service, version):
        return next((b for v, _, b in reversed(self.truth.get(service, [])) if v <= version), {})

    def since(self, service, version):
        """What it held at that version, and all that it has held after it: a content may come again."""
        later = [bodies for v, _, bodies in self.truth.get(service, []) if v > version]
        return [self.bodies_at(service, version), *later]

    def check_applied(self, machine, before, update):
        assert machine.version >= before or update.void == before, "an older version was applied"
        for service in machine.scope.services:
            assert machine.resources(service) == self.bodies_at(service, machine.version), "not that version"

    def check_server(self, server):
        serving = server.machine.server
        assert serving.admission.large_bytes <= self.limits.large_bytes
        for each in serving.subscribers.subscribed():
            assert len(each.changed_services) + len(each.full_resend) <= len(each.scope)
            assert each.in_flight is None or each.in_flight.size <= self.limits.update_bytes
        in_force = server.machine.report(self.now).in_force
        for each in serving.subscribers.subscribed():
            holder = self.subscribers[each.subscriber]
            if each.acknowledged != NO_VERSION and each.connection in self.links:
                for service in holder.scope.services.keys() & set(each.scope):
                    held = self.bodies_at(service, holder.version)
                    assert holder.version >= in_force or held in self.since(service, in_force)

    def check_leases(self):
        """Nobody counts as current with what was superseded more than a lease ago."""
        bound = self.now - grantor_span(self.limits.lease, self.limits.drift)
        for name, machine in self.subscribers.items():
            if self.now < machine.lease_until(self.now) and name not in self.stopped | self.spoilt:
                for service in machine.scope.services:
                    assert machine.resources(service) in self.since(service, self.last(service, bound))

    def last(self, service, time):
        """The last version of the service that was committed by then."""
        return max((v for v, at, _ in self.truth[service] if at <= time), default=NO_VERSION)

    def intended(self, name):
        return scope_digest([ServiceContent(s, self.truth[s][-1][2]) for s in self.scopes[name]])

    def wrong(self):
        """Subscribers that hold something else than is intended."""
        return [name for name, machine in self.subscribers.items() if machine.digest != self.intended(name)]

    def settle(self, seconds=30):
        """Until each subscriber that is reached holds what is intended."""
        for _ in range(seconds * 10):
            if not self.wrong():
                return True
            self.run(0.1)
        return False
