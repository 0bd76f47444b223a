"""Subscribers as processes at distributors as processes: content, status, a distributor killed, another
scope, an upgrade."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from installation import NAMES, Installation
from proofs.fleetkit import until

ROOT = Path(__file__).parent.parent


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    made = Installation(tmp_path_factory.mktemp("distribution"))
    try:
        made.fleet.start()
        made.distribute("set", {"maps": {"m1": "serving"}, "search": {"s1": "serving"}, "far": {"f": "x"}})
        yield made
    finally:
        made.close()


def test_a_subscriber_holds_its_scope_and_says_so(installation):
    installation.subscribe("c1", "maps", "search")
    until(lambda: installation.held("c1", "search") == {"s1": "serving"}, 15, "the first content")
    index = installation.distribute("set", {"maps": {"m2": "draining"}})
    until(lambda: installation.held("c1", "maps") == {"m1": "serving", "m2": "draining"}, 6, "the change")
    assert installation.held("c1", "far") == {}
    told = until(lambda: (told := installation.status("c1")).get("current") and told, 6, "a lease")
    assert told["version"].endswith(f".{index}") and told["age_ms"] < 6_000
    assert told["distributor"] in NAMES and told["services"] == 2 and told["bytes_received"] > 0
    served = until(
        lambda: installation.at_distributor(told["distributor"]).get("subscribers"), 6, "its count"
    )
    assert served == 1
    in_force = until(lambda: whole(installation, told["distributor"], index), 10, "it to be in force")
    assert in_force["unreachable_count"] == 0 and in_force["age"] == 0


def whole(installation, name, index):
    """What is in force by all distributors' reports, once that is all up to the entry."""
    found = installation.at_distributor(name).get("in_force")
    return found and not found["silent"] and int(found["version"].partition(".")[2]) >= index and found


def test_the_subscribers_of_a_killed_distributor_go_on_at_the_other(installation):
    installation.subscribe("c2", "maps")
    first = until(lambda: installation.status("c2").get("distributor"), 15, "a distributor")
    until(lambda: installation.held("c2", "maps"), 15, "the first content")
    installation.fleet.kill(first)
    installation.distribute("set", {"maps": {"m3": "serving"}})
    until(lambda: "m3" in (installation.held("c2", "maps") or {}), 6, "the change, from the other")
    assert installation.status("c2")["distributor"] not in ("", first)
    installation.fleet.restart(first)
    until(lambda: installation.at_distributor(first).get("ledger_age") is not None, 15, "it to be level")


def test_another_scope_is_read_at_sighup_without_a_gap(installation):
    one = installation.subscribe("c3", "maps")
    until(lambda: installation.held("c3", "maps"), 15, "the first content")
    installation.write("c3", "maps", "far")
    one.signal(signal.SIGHUP)
    until(lambda: installation.held("c3", "far") == {"f": "x"}, 6, "the new service")
    assert installation.held("c3", "maps")
    assert not one.said("distributor_lost") and len(one.said("distributor_reached")) == 1


def test_an_upgraded_subscriber_subscribes_again(installation):
    one = installation.subscribe("c4", "search")
    until(lambda: installation.held("c4", "search"), 15, "the first content")
    assert one.ask("upgrade", 20)["result"] == "upgraded"
    until(lambda: len(one.pids()) == 1, 15, "the end of the one before")
    until(lambda: installation.held("c4", "search") == {"s1": "serving"}, 15, "its content again")
    assert one.noise() == []


def test_a_subscriber_imports_nothing_that_a_member_alone_needs(tmp_path):
    """Of its 32 MB a ledger would take three."""
    file = tmp_path / "conf"
    file.write_text("name c1\nfleet f\ndistributor d1 127.0.0.1:1\nsubscribe maps\n")
    program = (
        "import sys; from indigohitch import coordinator\n"
        "from indigohitch.fleet.node import subscriber_process\n"
        "subscriber_process.main = lambda text: 0\n"
        f"assert coordinator.main({str(file)!r}) == 0\n"
        "print([name for name in sys.modules if name.startswith('indigohitch.fleet.raft.')])"
    )
    environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, cwd=ROOT, env=environment
    )
    assert found.stdout.decode().strip() == "[]"


def test_a_member_tells_of_a_subscriber_at_its_port(installation):
    """Two addresses mixed up."""
    at = installation.fleet.places["d1"].at
    lines, installation.lines = installation.lines, [f"distributor d1 {at[0]}:{at[1]}"]
    try:
        one = installation.subscribe("c5", "maps")
    finally:
        installation.lines = lines
    said = until(lambda: installation.fleet.said("d1", "frame_spoilt"), 15, "a refusal")
    assert said[0]["remedy"] and one.runs
