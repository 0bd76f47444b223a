"""A backend that has just started counts as cold even if the wall clock steps while the coordinator runs."""

import os
import time

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from seam import Shifted
from stage import SETTINGS
from waiting import free_address

HOUR = 3600  # s


class FrontWithSteps:
    """Sends lists to a front, with a wall clock that the test moves."""

    def __init__(self, monkeypatch):
        self.step = 0  # s
        real_time_ns = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: real_time_ns() + self.shift() + self.step * 10**9)
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.fail)
        self.front = Front(
            self.loop,
            Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY)),
            {
                "listen": free_address(),
                "discovery": free_address(),
                "seed": "1",
                "settings": SETTINGS,
                "known": {"generation": 1, "reset": True, "instances": []},
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "store": {"address": free_address()},
            },
        )
        self.version = 1
        self.send_list("full", b0=0, b1=0)

    def shift(self):
        return getattr(self, "clock", Shifted).by * 100_000

    def fail(self, error):
        raise error

    def wall(self):
        """Returns the wall clock that all machines share, in ticks of 0.1 ms."""
        return time.time_ns() // 100_000

    def send_list(self, scope="changes", **started):
        self.version += 1
        entries = tuple(
            face.BackendEntry(name, "ready", 6.0, "east", 0, "std", at) for name, at in started.items()
        )
        self.front.on_backend_list(
            face.BackendList(scope, self.version, entries), {name: "" for name in started}
        )
        self.pass_time(SECOND // 10)

    def pass_time(self, span):
        self.clock.by += span
        for _ in range(3):
            self.loop.call_after(0, lambda: None)
            self.loop.turn()
            self.front.event_batch.flush_if_due()

    def warmth(self, backend):
        """Returns how warm the decision module considers a backend, from 0 to 1."""
        return self.front.coordinator.backends[backend].warmup_fraction


@pytest.fixture
def bench(monkeypatch):
    bench = FrontWithSteps(monkeypatch)
    yield bench
    bench.front.close()
    bench.loop.close()


@pytest.mark.parametrize("step", [HOUR, -HOUR, 5, -5, 0])
def test_a_backend_started_after_a_step_is_cold_and_warms_up_in_time(bench, step):
    bench.pass_time(60 * SECOND)
    bench.step = step
    bench.send_list(b1=bench.wall() - SECOND)
    assert bench.warmth("b0") == 1.0 and 0 < bench.warmth("b1") < 0.5
    bench.pass_time(bench.front.settings["warm_within"] + SECOND)
    assert bench.warmth("b1") == 1.0


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_backend_started_right_before_a_step_is_cold(bench, step):
    """The previous list lacks it, so it cannot have run for an hour, nor can it start in an hour."""
    bench.pass_time(60 * SECOND)
    started_at = bench.wall() - SECOND
    bench.step = step
    bench.send_list(b1=started_at)
    assert 0 < bench.warmth("b1") < 0.5


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_the_same_start_listed_again_after_a_step_is_not_a_new_one(bench, step):
    bench.send_list(b1=(started_at := bench.wall()))
    bench.pass_time(bench.front.settings["warm_within"] + SECOND)
    bench.step = step
    bench.send_list("full", b0=0, b1=started_at)
    assert bench.warmth("b1") == 1.0


def test_a_restart_after_a_step_back_counts_as_a_new_start(bench):
    bench.send_list(b1=bench.wall())
    bench.pass_time(bench.front.settings["warm_within"] + SECOND)
    assert bench.warmth("b1") == 1.0
    bench.step = -HOUR
    bench.send_list(b1=bench.wall())
    assert bench.warmth("b1") < 0.5
