"""Tests a coordinator process that takes its backends from a subscription.

The relay, discovery and backends are stand-ins; the voter and the distributors are processes.
"""

import itertools
import json
import os
import signal
import subprocess
import sys

import pytest

from installation import NAMES, Installation
from proofs.fleetkit import until
from stage import Platform
from waiting import eventually

SERVICE = "maps"


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    created = Installation(tmp_path_factory.mktemp("subscribed"))
    try:
        created.fleet.start()
        yield created
    finally:
        created.close()


class SubscribedPlatform(Platform):
    """A platform whose backends are published by the installation; counts requests to discovery."""

    numbers = itertools.count(1)

    def __init__(self, path, installation):
        super().__init__(path)
        self.installation = installation
        self.name = f"c{next(self.numbers)}"
        (installation.path / self.name).mkdir()
        self.operator_file = installation.write(self.name, SERVICE)
        self.arguments = ["run", "--operator", str(self.operator_file)]
        self.discovery_requests = 0
        self.publish("replace", *self.listed)

    def _discovery(self, *request):
        self.discovery_requests += 1
        return super()._discovery(*request)

    def publish(self, action, *backends):
        resources = {f"instance/{backend}": json.dumps(self.listed[backend]) for backend in backends}
        self.installation.distribute(action, {SERVICE: resources})

    def drain(self, backend):
        """Publishes a backend as draining to the subscription; discovery sends no news of it."""
        with self.lock:
            self.listed[backend] = self.listed[backend] | {"lifecycle": "DRAINING"}
        self.publish("set", backend)

    def is_without(self, backend):
        return self.agrees() and not any(backend in table for table in self.tables.values())

    def run_command(self, command):
        result = subprocess.run(
            [sys.executable, "-m", "indigohitch", command, str(self.operator_file)],
            capture_output=True,
            check=False,
        )
        return json.loads(result.stdout)

    def close(self):
        for event in self.program.said("starts") if self.program else ():
            try:
                os.kill(event["pid"], signal.SIGKILL)
            except ProcessLookupError:
                pass
        super().close()


@pytest.fixture
def platform(tmp_path, installation):
    created = SubscribedPlatform(tmp_path, installation)
    yield created
    created.close()


def start_with_list(platform):
    """Starts the coordinator and waits until it serves and has applied content of its subscription."""
    program = platform.serving(platform.arguments)
    eventually(lambda: program.said("version_applied"))
    return program


def test_slices_move_off_a_backend_that_the_subscription_drains(platform):
    program = start_with_list(platform)
    platform.drain("b1")
    eventually(lambda: platform.is_without("b1"))
    status = platform.run_command("status")
    assert status["distribution"]["distributor"] in NAMES and status["slices"] == 12
    assert status["counters"]["subscription_lists"] >= 2
    assert platform.discovery_requests == 0 and not program.said("defect")


def test_a_drain_is_applied_although_the_distributor_is_killed_just_before(platform, installation):
    start_with_list(platform)
    first = until(lambda: platform.run_command("status")["distribution"]["distributor"], 15, "a distributor")
    installation.fleet.kill(first)
    platform.drain("b2")
    eventually(lambda: platform.is_without("b2"), 10)
    assert platform.run_command("status")["distribution"]["distributor"] not in ("", first)
    installation.fleet.restart(first)
    until(lambda: installation.at_distributor(first).get("ledger_age") is not None, 15, "it to be level")


def test_without_distributors_the_last_list_stays_in_use_and_missed_changes_follow(platform, installation):
    program = start_with_list(platform)
    for name in NAMES:
        installation.fleet.kill(name)
    platform.drain("b3")
    eventually(lambda: program.said("no_distributor"))
    eventually(lambda: platform.run_command("status")["distribution"]["current"] is False)
    assert any("b3" in table for table in platform.tables.values()) and not program.said("no_backends")
    for name in NAMES:
        installation.fleet.restart(name)
    eventually(lambda: platform.is_without("b3"))


def test_an_upgraded_coordinator_continues_the_subscription(platform):
    program = start_with_list(platform)
    assert platform.run_command("upgrade")["result"] == "upgraded"
    platform.drain("b4")
    eventually(lambda: platform.is_without("b4"))
    eventually(lambda: program.said("phase", now="ended"))
    platform.drain("b5")
    eventually(lambda: platform.is_without("b5"))
    assert [event["equal"] for event in program.said("state_compared")] == [True]
    assert platform.discovery_requests == 0 and not program.said("defect")


def test_a_service_without_backends_does_not_move_any_slice(platform):
    program = start_with_list(platform)
    before = {number: dict(table) for number, table in platform.tables.items()}
    platform.installation.write(platform.name, "mpas")
    program.process.send_signal(signal.SIGHUP)
    eventually(lambda: program.said("no_backends"))
    assert platform.tables == before and platform.agrees()
    platform.installation.write(platform.name, SERVICE)
    program.process.send_signal(signal.SIGHUP)
    platform.drain("b0")
    eventually(lambda: platform.is_without("b0"))


def test_an_invalid_backend_resource_is_logged_and_changes_nothing(platform):
    program = start_with_list(platform)
    platform.installation.distribute("set", {SERVICE: {"instance/b1": "10.0.0.1:80 draining"}})
    (warning,) = eventually(lambda: program.said("backend_unreadable"))
    assert warning["where"] == f"service {SERVICE}, resource instance/b1" and warning["remedy"]
    platform.drain("b2")
    eventually(lambda: platform.is_without("b2"))
    assert any("b1" in table for table in platform.tables.values())
