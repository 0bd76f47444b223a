"""Tests ListVersions alone under seeded random schedules: requests are handled and answered in any order,
discovery restarts its count, and replicas lag.  The client's list always equals one list of discovery."""

import random

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.list_versions import ListVerdict, ListVersions

STEP = SECOND // 20


class Simulation:
    """Simulates discovery, with the history of its list, and a client that sends requests at random times."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0
        self.lists = {41: {f"b{n}": 0 for n in range(6)}}  # by generation; the last change of each backend
        self.generation = 41
        self.lag = 0  # generations that the responding replica is behind
        self.versions = ListVersions(41)
        self.client_list = dict(self.lists[41])
        self.client_history = self.lists  # the history, by generation, that the client's list is from
        self.requests = []
        self.responses = []
        self.reset_count = 0

    def change(self):
        changed = dict(self.lists[self.generation])
        backend = self.rng.choice(sorted(changed))
        self.generation += 1
        changed[backend] = self.now
        self.lists[self.generation] = changed

    def restart_discovery(self):
        self.lists = {1: dict(self.lists[self.generation])}
        self.generation = 1

    def send_request(self):
        full = self.versions.unconfirmed is not None or self.rng.random() < 0.3
        self.requests.append((self.versions.new_request(self.now, full), self.lists))

    def handle_request(self):
        """Let discovery handle one of the requests; its response is then in flight."""
        request, _ = self.requests.pop(self.rng.randrange(len(self.requests)))
        version = max(min(self.lists), self.generation - self.lag)
        found = self.lists[version]
        if request.base is not None and self.rng.random() < 0.8:
            found = {
                b: s for b, s in found.items() if request.base < version and s != self.lists[request.base][b]
            }
        scope = "full" if found is self.lists[version] else "changes"
        entries = tuple(face.BackendEntry(b, "ready", 1.0, "a", 0, "std", s) for b, s in found.items())
        self.responses.append((request, face.BackendList(scope, version, entries), self.lists))

    def receive_response(self):
        request, update, lists = self.responses.pop(self.rng.randrange(len(self.responses)))
        verdict = self.versions.classify(request, update, self.now)
        if verdict.is_accepted:
            received = {e.backend: e.started_at for e in update.entries}
            self.client_list = received if update.scope == "full" else self.client_list | received
            if verdict is ListVerdict.RESET:
                self.client_history = lists
                self.reset_count += 1
        assert self.client_list == self.client_history[self.versions.current]

    def run(self, span, changes=0.05):
        end = self.now + span
        while self.now < end:
            self.now += STEP
            if self.rng.random() < changes:
                self.change()
            if len(self.requests) + len(self.responses) < 4 and self.rng.random() < 0.5:
                self.send_request()
            if self.requests and self.rng.random() < 0.4:
                self.handle_request()
            if self.responses and self.rng.random() < 0.4:
                self.receive_response()

    def settle(self):
        self.run(10 * SECOND, changes=0.0)
        assert self.versions.current == self.generation and self.client_list == self.lists[self.generation]


@pytest.mark.parametrize("seed", range(40))
def test_responses_in_any_order_never_restore_an_older_list(seed):
    simulation = Simulation(seed)
    simulation.run(60 * SECOND)
    simulation.settle()
    assert not simulation.reset_count and simulation.generation > 60


@pytest.mark.parametrize("seed", range(40))
def test_full_list_of_restarted_discovery_is_accepted(seed):
    simulation = Simulation(seed)
    simulation.run(10 * SECOND)
    simulation.restart_discovery()
    simulation.run(3 * SECOND)
    simulation.settle()
    assert simulation.reset_count == 1


@pytest.mark.parametrize("seed", range(40))
def test_replica_that_lags_for_less_than_a_second_is_not_accepted(seed):
    simulation = Simulation(seed)
    for _ in range(20):
        simulation.lag = 0
        simulation.run(3 * SECOND)
        simulation.lag = 3
        simulation.run(ListVersions.CONFIRM_AFTER - 2 * STEP, changes=0.5)
    simulation.lag = 0
    simulation.settle()
    assert not simulation.reset_count


def backend_list(scope, version):
    return face.BackendList(scope, version, ())


def test_older_changes_without_a_full_list_are_never_accepted():
    """The changes extend a list that the client does not have."""
    versions = ListVersions(45)
    for second in range(4):
        verdict = versions.classify(
            versions.new_request(second * SECOND, full=False), backend_list("changes", 3), second * SECOND
        )
        assert verdict is ListVerdict.UNCONFIRMED and versions.current == 45


def test_older_list_from_the_previous_address_starts_no_confirmation():
    versions = ListVersions(45)
    versions.on_address_change()
    for second in range(4):
        request = versions.new_request(second * SECOND, full=True, to_previous=True)
        assert (
            versions.classify(request, backend_list("full", 3), second * SECOND) is ListVerdict.SUPERSEDED
            and not versions.unconfirmed
        )
