"""Tests subscriber processes with distributor processes: content, status, failover, scope change, upgrade."""

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
    created = Installation(tmp_path_factory.mktemp("distribution"))
    try:
        created.fleet.start()
        created.distribute("set", {"maps": {"m1": "serving"}, "search": {"s1": "serving"}, "far": {"f": "x"}})
        yield created
    finally:
        created.close()


def test_a_subscriber_holds_its_scope_and_reports_it_in_its_status(installation):
    installation.subscribe("c1", "maps", "search")
    until(lambda: installation.held("c1", "search") == {"s1": "serving"}, 15, "the first content")
    index = installation.distribute("set", {"maps": {"m2": "draining"}})
    until(lambda: installation.held("c1", "maps") == {"m1": "serving", "m2": "draining"}, 6, "the change")
    assert installation.held("c1", "far") == {}
    status = until(lambda: (status := installation.status("c1")).get("current") and status, 6, "a lease")
    assert status["version"].endswith(f".{index}") and status["age_ms"] < 6_000
    assert status["distributor"] in NAMES and status["services"] == 2 and status["bytes_received"] > 0
    served = until(
        lambda: installation.at_distributor(status["distributor"]).get("subscribers"),
        6,
        "the subscriber count",
    )
    assert served == 1
    in_force = until(
        lambda: complete_report(installation, status["distributor"], index), 10, "it to be in force"
    )
    assert in_force["unreachable_count"] == 0 and in_force["age"] == 0


def complete_report(installation, name, index):
    """Returns the convergence report once it includes all distributors and the entry is in force."""
    report = installation.at_distributor(name).get("in_force")
    return report and not report["silent"] and int(report["version"].partition(".")[2]) >= index and report


def test_the_subscribers_of_a_killed_distributor_continue_at_the_other(installation):
    installation.subscribe("c2", "maps")
    first = until(lambda: installation.status("c2").get("distributor"), 15, "a distributor")
    until(lambda: installation.held("c2", "maps"), 15, "the first content")
    installation.fleet.kill(first)
    installation.distribute("set", {"maps": {"m3": "serving"}})
    until(lambda: "m3" in (installation.held("c2", "maps") or {}), 6, "the change from the other distributor")
    assert installation.status("c2")["distributor"] not in ("", first)
    installation.fleet.restart(first)
    until(lambda: installation.at_distributor(first).get("ledger_age") is not None, 15, "it to catch up")


def test_a_changed_scope_is_read_on_sighup_without_a_gap(installation):
    subscriber = installation.subscribe("c3", "maps")
    until(lambda: installation.held("c3", "maps"), 15, "the first content")
    installation.write("c3", "maps", "far")
    subscriber.signal(signal.SIGHUP)
    until(lambda: installation.held("c3", "far") == {"f": "x"}, 6, "the new service")
    assert installation.held("c3", "maps")
    assert not subscriber.said("distributor_lost") and len(subscriber.said("distributor_reached")) == 1


def test_an_upgraded_subscriber_subscribes_again(installation):
    subscriber = installation.subscribe("c4", "search")
    until(lambda: installation.held("c4", "search"), 15, "the first content")
    assert subscriber.ask("upgrade", 20)["result"] == "upgraded"
    until(lambda: len(subscriber.pids()) == 1, 15, "the end of the old process")
    until(
        lambda: installation.held("c4", "search") == {"s1": "serving"}, 15, "the content in the new process"
    )
    assert subscriber.noise() == []


def test_a_subscriber_does_not_import_raft(tmp_path):
    """Raft would take 3 MB of the process's 32 MB."""
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
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, cwd=ROOT, env=environment
    )
    assert result.stdout.decode().strip() == "[]"


def test_a_member_logs_a_subscriber_that_connects_to_its_port(installation):
    """The subscriber is configured with the address for members instead of that for subscribers."""
    at = installation.fleet.places["d1"].at
    lines = installation.lines
    installation.lines = [f"distributor d1 {at[0]}:{at[1]}"]
    try:
        subscriber = installation.subscribe("c5", "maps")
    finally:
        installation.lines = lines
    events = until(lambda: installation.fleet.said("d1", "frame_spoilt"), 15, "a refusal")
    assert events[0]["remedy"] and subscriber.runs
