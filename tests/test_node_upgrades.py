"""Members as processes: failed upgrades, a corrupt disk, and a member in a coordinator's process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from proofs.fleetkit import Fleet, until
from stage import Platform
from waiting import eventually

FAULTY = Path(__file__).parent / "faulty.py"
QUICK = ["wait start 2s", "wait takeover 1s", "wait commit 500ms", "wait watch 300ms", "wait drain 2s"]


def wait_for_lease(fleet, name="v1"):
    """Waits until the member holds a lease, which a majority has confirmed."""
    return until(lambda: (fleet.of_fleet(name) or {}).get("lease_ms"), 15, "a lease")


@pytest.mark.parametrize(
    "point, fault, error",
    [
        ("hello", "hang", "while giving"),
        ("restored", "crash", "ended with"),
        ("commit", "crash", ""),
        ("commit", "hang", "after the commit"),
        ("differs", "none", "different"),
    ],
)
def test_a_failed_upgrade_leaves_the_member_in_the_old_process(tmp_path, point, fault, error):
    """The old process has its disk and port again, and leads under another incarnation."""
    file = tmp_path / "v1" / "operator.conf"
    program = f"program {sys.executable} {FAULTY} {point} {fault} run --operator {file}"
    with Fleet(tmp_path, voters=1, relay=False, each={"v1": [*QUICK, program]}).start() as fleet:
        wait_for_lease(fleet)
        assert fleet.note("v1", "before")["index"]
        pid = fleet.status("v1")["pid"]
        incarnation = fleet.of_fleet("v1")["incarnation"]
        reply = fleet.upgrade("v1")
        assert error in reply["error"] and fleet.said("v1", "fault", point=point)
        wait_for_lease(fleet)
        assert fleet.status("v1")["pid"] == pid and fleet.of_fleet("v1")["incarnation"] > incarnation
        assert fleet.note("v1", "after")["index"]
        assert fleet.ask("v1", "book notes")["texts"] == ["before", "after"]
        assert not fleet.noise()


def test_a_corrupt_log_ends_the_command_with_file_and_remedy(tmp_path):
    with Fleet(tmp_path, voters=1, relay=False).start() as fleet:
        wait_for_lease(fleet)
        fleet.kill("v1")
        path = fleet.places["v1"].ledger / "log-000000000001"
        data = bytearray(path.read_bytes())
        data[150] ^= 0xFF
        path.write_bytes(data)
        completed = subprocess.run(
            [sys.executable, "-m", "indigohitch", "run", "--operator", str(fleet.places["v1"].file)],
            capture_output=True,
            text=True,
            timeout=30,
            env={key: value for key, value in os.environ.items() if key != "BALANCER_CONFIG"},
        )
        assert completed.returncode == 1
        assert str(path) in completed.stdout and "take the folder away" in completed.stdout


def test_a_member_in_a_coordinators_process_is_upgraded_with_its_front(tmp_path):
    """The front keeps serving during the upgrade, and the member continues under another incarnation."""
    platform = Platform(tmp_path)
    with Fleet(tmp_path / "fleet", voters=1, relay=False) as fleet:
        place = fleet.places["v1"]
        lines = ["wait watch 200ms"]
        fleet.write(more=lines)
        try:
            program = platform.serving(["run", "--operator", str(place.file)])
            eventually(platform.agrees)
            wait_for_lease(fleet)
            first = fleet.status("v1")
            assert first["fleet"]["role"] == "leader" and "proxies" in first
            assert fleet.note("v1", "one")["index"]
            assert fleet.upgrade("v1")["result"] == "upgraded"
            until(lambda: fleet.status("v1"), 10)
            wait_for_lease(fleet)
            second = fleet.status("v1")
            assert second["pid"] != first["pid"]
            assert second["fleet"]["incarnation"] > first["fleet"]["incarnation"]
            assert fleet.note("v1", "two")["index"]
            assert fleet.ask("v1", "book notes")["texts"] == ["one", "two"]
            eventually(platform.agrees)
            os.kill(second["pid"], signal.SIGTERM)
            until(lambda: len(program.said("phase", now="ended")) == 2, 10)
            assert program.said("membership", now="left")
        finally:
            for event in program.said("starts"):
                try:
                    os.kill(event["pid"], signal.SIGKILL)
                except ProcessLookupError:
                    pass
            platform.close()
