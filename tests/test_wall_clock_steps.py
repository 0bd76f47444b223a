"""The wall clock steps while the coordinator runs: a backend that has just started is cold all the same."""

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

HOUR = 3600


class StepRoom:
    """A front, lists told to it, and a wall clock that a test moves."""

    def __init__(self, monkeypatch):
        self.step = 0  # s
        real = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: real() + self.shift() + self.step * 10**9)
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
        self.tell("full", b0=0, b1=0)

    def shift(self):
        return getattr(self, "clock", Shifted).by * 100_000

    def fail(self, broken):
        raise broken

    def wall(self):
        """Unix time in tenths of a ms, as every machine reads it."""
        return time.time_ns() // 100_000

    def tell(self, scope="changes", **started):
        self.version += 1
        entries = tuple(face.BackendEntry(b, "ready", 6.0, "east", 0, "std", at) for b, at in started.items())
        self.front.on_backend_list(face.BackendList(scope, self.version, entries), {b: "" for b in started})
        self.pass_time(SECOND // 10)

    def pass_time(self, span):
        self.clock.by += span
        for _ in range(3):
            self.loop.call_after(0, lambda: None)
            self.loop.turn()
            self.front.event_batch.flush_if_due()

    def warmth(self, backend):
        """How warm the module takes it to be, from 0 to 1."""
        return self.front.coordinator.backends[backend].warmup_fraction


@pytest.fixture
def room(monkeypatch):
    found = StepRoom(monkeypatch)
    yield found
    found.front.close()
    found.loop.close()


@pytest.mark.parametrize("step", [HOUR, -HOUR, 5, -5, 0])
def test_one_that_started_after_a_step_is_cold_and_warms_up_in_time(room, step):
    room.pass_time(60 * SECOND)
    room.step = step
    room.tell(b1=room.wall() - SECOND)
    assert room.warmth("b0") == 1.0 and 0 < room.warmth("b1") < 0.5
    room.pass_time(room.front.settings["warm_within"] + SECOND)
    assert room.warmth("b1") == 1.0


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_one_that_started_right_before_a_step_is_cold(room, step):
    """It was not in the list before: it can't have run for an hour, nor start in an hour."""
    room.pass_time(60 * SECOND)
    began = room.wall() - SECOND
    room.step = step
    room.tell(b1=began)
    assert 0 < room.warmth("b1") < 0.5


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_the_same_start_told_again_after_a_step_is_no_other(room, step):
    room.tell(b1=(began := room.wall()))
    room.pass_time(room.front.settings["warm_within"] + SECOND)
    room.step = step
    room.tell("full", b0=0, b1=began)
    assert room.warmth("b1") == 1.0


def test_a_second_start_after_a_step_back_is_a_new_one(room):
    room.tell(b1=room.wall())
    room.pass_time(room.front.settings["warm_within"] + SECOND)
    assert room.warmth("b1") == 1.0
    room.step = -HOUR
    room.tell(b1=room.wall())
    assert room.warmth("b1") < 0.5
