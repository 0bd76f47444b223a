"""The transfer of an exclusive slice begins anew if another coordinator may have owned it meanwhile."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from stage import SETTINGS, Platform
from waiting import eventually

SETTLE_S = 1.2
SILENCE_S = 2.6  # longer than the silence after which a coordinator gives a stream up


def exclusive_settings():
    family = {
        "exclusive": True,
        "settle": SETTLE_S * 1000,
        "keeps-writing": 200.0,
        "class-writes": [False, True],
    }
    return SETTINGS | {"family-info": SETTINGS["family-info"] | family}


@pytest.fixture
def platform(tmp_path):
    (tmp_path / "operator.conf").write_text(
        f"control {tmp_path / 'control'}\nstate {tmp_path / 'state'}\nwait watch 200ms\n"
    )
    platform = Platform(tmp_path, backends=3, slices=6)
    yield platform
    for event in platform.program.said("starts"):
        try:
            os.kill(event["pid"], signal.SIGKILL)
        except ProcessLookupError:
            pass
    platform.close()


def start(platform, words=()):
    platform.start(words, settings=exclusive_settings())
    eventually(lambda: platform.program.said("phase", now="serving"))
    eventually(lambda: platform.news and platform.program.said("relay_watch_started"))


def close_a_slice(platform):
    """Drain a backend; return once the slices at it are closed, so that only their settling is awaited."""
    eventually(lambda: platform.calls)
    platform.change("b0", "DRAINING")
    eventually(lambda: any(order.startswith("gate,0,*,0") for call in platform.calls for order in call))
    time.sleep(0.2)
    assert platform.tables[0] == {"b0": 1.0}


def assert_closed_before_each_move(platform, first_call):
    """Since that call each slice was closed for the time to settle before it got another backend."""
    closed_at = {}
    moved = set()
    calls = list(zip(platform.calls, platform.times))[first_call:]
    for orders, called_at in calls:
        for order in orders:
            kind, *words = order.split(",")
            if kind == "gate" and words[0] != "*" and float(words[2]) == 0:
                closed_at[words[0]] = called_at
            if kind == "put" and float(words[2]) > 0:
                assert called_at - closed_at.get(words[0], called_at) >= SETTLE_S - 0.05, (order, calls)
                moved.add(words[0])
    assert "0" in moved


def wait_until_moved(platform):
    eventually(lambda: not any("b0" in table for table in platform.tables.values()), 20)


@pytest.mark.parametrize("cut_s", [SILENCE_S, 4.5])
def test_a_partition_within_a_transfer_makes_it_begin_anew(platform, cut_s):
    """Guards against review/6: the order that opens the slice at its new backend outlived a partition in
    which another coordinator had opened it at the old one."""
    start(platform)
    close_a_slice(platform)
    platform.taken_away = platform.cut_off = True
    time.sleep(cut_s)
    calls_before = len(platform.calls)
    platform.cut_off = False
    wait_until_moved(platform)
    assert_closed_before_each_move(platform, calls_before)


def test_a_restart_with_a_state_file_within_a_transfer_makes_it_begin_anew(platform, tmp_path):
    """Guards against review/7: the restored module acted on the closed slice before it had any news."""
    words = ["run", "--operator", str(tmp_path / "operator.conf")]
    start(platform, words)
    close_a_slice(platform)
    platform.program.process.send_signal(signal.SIGTERM)
    platform.program.process.wait(10)
    calls_before = len(platform.calls)
    platform.taken_away = True
    time.sleep(SETTLE_S)
    start(platform, words)
    assert platform.program.said("state_read")
    wait_until_moved(platform)
    assert_closed_before_each_move(platform, calls_before)


def test_an_upgrade_within_a_transfer_makes_it_begin_anew(platform, tmp_path):
    """Guards against a hand-over that stands still for as long as another coordinator has the slices."""
    words = ["run", "--operator", str(tmp_path / "operator.conf")]
    start(platform, words)
    close_a_slice(platform)
    calls_before = len(platform.calls)
    answer = subprocess.run(
        [sys.executable, "-m", "indigohitch", "upgrade", str(tmp_path / "operator.conf")],
        capture_output=True,
        check=False,
    ).stdout
    assert json.loads(answer).get("result") == "upgraded", answer
    wait_until_moved(platform)
    assert_closed_before_each_move(platform, calls_before)
