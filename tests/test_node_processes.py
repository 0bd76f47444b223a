"""A member as a process whose upgrade fails at some point, and one beside a coordinator's front."""

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


def holds(fleet, name="v1"):
    """Its lease runs, so a majority has confirmed it."""
    return until(lambda: (fleet.of_fleet(name) or {}).get("lease_ms"), 15, "a lease")


@pytest.mark.parametrize(
    "point, how, why",
    [
        ("hello", "hang", "while giving"),
        ("restored", "crash", "ended with"),
        ("commit", "crash", ""),
        ("commit", "hang", "after the commit"),
        ("differs", "none", "different"),
    ],
)
def test_an_upgrade_that_fails_leaves_the_member_as_it_was(tmp_path, point, how, why):
    """Its disk and port are its own again, and it leads on."""
    file = tmp_path / "v1" / "operator.conf"
    program = f"program {sys.executable} {FAULTY} {point} {how} run --operator {file}"
    with Fleet(tmp_path, voters=1, relay=False, each={"v1": [*QUICK, program]}).start() as fleet:
        holds(fleet)
        assert fleet.note("v1", "before")["index"]
        before, incarnation = fleet.status("v1")["pid"], fleet.of_fleet("v1")["incarnation"]
        told = fleet.upgrade("v1")
        assert why in told["error"] and fleet.said("v1", "fault", point=point)
        holds(fleet)
        assert fleet.status("v1")["pid"] == before and fleet.of_fleet("v1")["incarnation"] > incarnation
        assert fleet.note("v1", "after")["index"]
        assert fleet.ask("v1", "book notes")["texts"] == ["before", "after"]
        assert not fleet.noise()


def test_a_harmed_disk_ends_the_command_with_place_and_remedy(tmp_path):
    with Fleet(tmp_path, voters=1, relay=False).start() as fleet:
        holds(fleet)
        fleet.kill("v1")
        path = fleet.places["v1"].ledger / "log-000000000001"
        data = bytearray(path.read_bytes())
        data[150] ^= 0xFF
        path.write_bytes(data)
        found = subprocess.run(
            [sys.executable, "-m", "indigohitch", "run", "--operator", str(fleet.places["v1"].file)],
            capture_output=True,
            text=True,
            timeout=30,
            env={k: v for k, v in os.environ.items() if k != "BALANCER_CONFIG"},
        )
        assert found.returncode == 1
        assert str(path) in found.stdout and "take the folder away" in found.stdout


def test_a_member_beside_a_coordinators_front(tmp_path):
    """The front serves on through an upgrade, and the member goes on under another incarnation."""
    platform = Platform(tmp_path)
    with Fleet(tmp_path / "fleet", voters=1, relay=False) as fleet:
        place, lines = fleet.places["v1"], ["wait watch 200ms"]
        fleet.write(more=lines)
        try:
            program = platform.serving(["run", "--operator", str(place.file)])
            eventually(platform.agrees)
            holds(fleet)
            first = fleet.status("v1")
            assert first["fleet"]["role"] == "leader" and "proxies" in first
            assert fleet.note("v1", "one")["index"]
            assert fleet.upgrade("v1")["result"] == "upgraded"
            until(lambda: fleet.status("v1"), 10)
            holds(fleet)
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
            for e in program.said("starts"):
                try:
                    os.kill(e["pid"], signal.SIGKILL)
                except ProcessLookupError:
                    pass
            platform.close()
