"""A coordinator whose backends come from its subscription, between the platform's stand-ins and distributors
as processes."""

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
    made = Installation(tmp_path_factory.mktemp("subscribed"))
    try:
        made.fleet.start()
        yield made
    finally:
        made.close()


class Subscribed(Platform):
    """The platform, with backends told by the installation; discovery is there and has to be left alone."""

    numbers = itertools.count(1)

    def __init__(self, path, installation):
        super().__init__(path)
        self.installation, self.name = installation, f"c{next(self.numbers)}"
        (installation.path / self.name).mkdir()
        self.file = installation.write(self.name, SERVICE)
        self.words = ["run", "--operator", str(self.file)]
        self.asked_of_discovery = 0
        self.publish("replace", *self.listed)

    def _discovery(self, *asked):
        self.asked_of_discovery += 1
        return super()._discovery(*asked)

    def publish(self, word, *ids):
        resources = {f"instance/{id}": json.dumps(self.listed[id]) for id in ids}
        self.installation.distribute(word, {SERVICE: resources})

    def drain(self, id):
        """By the subscription alone."""
        with self.lock:
            self.listed[id] = self.listed[id] | {"lifecycle": "DRAINING"}
        self.publish("set", id)

    def without(self, id):
        return self.agrees() and not any(id in table for table in self.tables.values())

    def ask(self, what):
        found = subprocess.run(
            [sys.executable, "-m", "indigohitch", what, str(self.file)], capture_output=True, check=False
        )
        return json.loads(found.stdout)

    def close(self):
        for event in self.program.said("starts") if self.program else ():
            try:
                os.kill(event["pid"], signal.SIGKILL)
            except ProcessLookupError:
                pass
        super().close()


@pytest.fixture
def platform(tmp_path, installation):
    found = Subscribed(tmp_path, installation)
    yield found
    found.close()


def follows(platform):
    """It serves, and has heard a first list of its subscription."""
    program = platform.serving(platform.words)
    eventually(lambda: program.said("version_applied"))
    return program


def test_slices_leave_a_backend_that_the_subscription_tells_to_drain(platform):
    program = follows(platform)
    platform.drain("b1")
    eventually(lambda: platform.without("b1"))
    told = platform.ask("status")
    assert told["distribution"]["distributor"] in NAMES and told["slices"] == 12
    assert told["counters"]["subscription_lists"] >= 2
    assert platform.asked_of_discovery == 0 and not program.said("defect")


def test_a_drain_is_heard_though_its_distributor_is_killed_just_then(platform, installation):
    follows(platform)
    first = until(lambda: platform.ask("status")["distribution"]["distributor"], 15, "a distributor")
    installation.fleet.kill(first)
    platform.drain("b2")
    eventually(lambda: platform.without("b2"), 10)
    assert platform.ask("status")["distribution"]["distributor"] not in ("", first)
    installation.fleet.restart(first)
    until(lambda: installation.at_distributor(first).get("ledger_age") is not None, 15, "it to be level")


def test_without_distributors_the_last_list_stands_and_what_was_missed_is_heard(platform, installation):
    program = follows(platform)
    for name in NAMES:
        installation.fleet.kill(name)
    platform.drain("b3")
    eventually(lambda: program.said("no_distributor"))
    eventually(lambda: platform.ask("status")["distribution"]["current"] is False)
    assert any("b3" in table for table in platform.tables.values()) and not program.said("no_backends")
    for name in NAMES:
        installation.fleet.restart(name)
    eventually(lambda: platform.without("b3"))


def test_an_upgraded_coordinator_follows_where_the_one_before_left_off(platform):
    program = follows(platform)
    assert platform.ask("upgrade")["result"] == "upgraded"
    platform.drain("b4")
    eventually(lambda: platform.without("b4"))
    eventually(lambda: program.said("phase", now="ended"))
    platform.drain("b5")
    eventually(lambda: platform.without("b5"))
    assert [event["equal"] for event in program.said("state_compared")] == [True]
    assert platform.asked_of_discovery == 0 and not program.said("defect")


def test_a_scope_that_names_no_backend_sends_no_slice_away(platform):
    program = follows(platform)
    before = {number: dict(table) for number, table in platform.tables.items()}
    platform.installation.write(platform.name, "mpas")
    program.process.send_signal(signal.SIGHUP)
    eventually(lambda: program.said("no_backends"))
    assert platform.tables == before and platform.agrees()
    platform.installation.write(platform.name, SERVICE)
    program.process.send_signal(signal.SIGHUP)
    platform.drain("b0")
    eventually(lambda: platform.without("b0"))


def test_a_resource_that_is_no_backend_is_said_and_changes_nothing(platform):
    program = follows(platform)
    platform.installation.distribute("set", {SERVICE: {"instance/b1": "10.0.0.1:80 draining"}})
    (said,) = eventually(lambda: program.said("backend_unreadable"))
    assert said["where"] == f"service {SERVICE}, resource instance/b1" and said["remedy"]
    platform.drain("b2")
    eventually(lambda: platform.without("b2"))
    assert any("b1" in table for table in platform.tables.values())
