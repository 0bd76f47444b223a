"""Seeded faults around transfers of exclusive slices: each settles in its present ownership before it moves.

ROUNDS and SEED in the environment make a longer run or another one.
"""

import os
import random
import time

import pytest

from program import stopped
from stage import SETTINGS, Platform
from waiting import eventually

SETTLE_S = 0.6
# The platform's cuts last 5 s or more; its takeovers come no sooner than this after their begin.
TAKEOVER_S = (0.81, 1.2)
AWAY_S = (0.8, 2.5)
MEASURING_S = 0.05  # between an order and the time that is noted of it
ROUNDS = int(os.environ.get("ROUNDS", "14"))
SEEDS = [int(os.environ["SEED"])] if "SEED" in os.environ else [1, 2]
FAULTS = ("silent", "silent done", "reset", "reset done", "garbage done", "hang")


class OwnershipPlatform(Platform):
    """A platform that takes slices away and gives them back, and judges each move of a slice."""

    def __init__(self, path):
        super().__init__(path, backends=4, slices=6)
        self.away = set()  # slices of another coordinator: orders for them count as taken and change nothing
        self.closed_at = {}
        self.broken = []
        self.moves = 0

    def _carry_out(self, orders):
        with self.lock:
            now = time.monotonic()
            effective = []
            for order in orders:
                kind, *words = order.split(",")
                number = int(words[0]) if kind in ("put", "gate") and words[0] != "*" else None
                if number in self.away:
                    continue
                if kind == "gate" and number is not None:
                    self._record_level(number, words, now)
                elif kind == "put" and float(words[2]) > 0:
                    self._judge_move(number, words[1], now)
                effective.append(order)
            super()._carry_out(effective)
            return len(orders)

    def _record_level(self, number, words, now):
        if float(words[2]) == 0:
            self.closed_at[number] = now
        else:
            self.closed_at.pop(number, None)

    def _judge_move(self, number, backend, now):
        if backend in self.tables[number]:
            return
        self.moves += 1
        closed_at = self.closed_at.get(number)
        if closed_at is None or now - closed_at < SETTLE_S - MEASURING_S:
            self.broken.append((number, backend, closed_at and now - closed_at))

    def take_away(self, numbers, told=True):
        """Gives these slices to another coordinator, whose takeover resets their levels."""
        with self.lock:
            self.away |= set(numbers)
            for number in numbers:
                self.closed_at.pop(number, None)
                if told:
                    self.tell("owner", range=number, flag=0)

    def give_back(self, numbers, told=True):
        with self.lock:
            self.away -= set(numbers)
            for number in numbers if told else ():
                self.tell("owner", range=number, flag=1)
                for backend, weight in self.tables[number].items():
                    self.tell("entry", range=number, target=backend, rps=weight)

    def _ownership_events(self):
        events = super()._ownership_events()
        return [
            event for event in events if int(event.partition("range=")[2].partition("&")[0]) not in self.away
        ]


class Schedule:
    """Random faults on a platform, one after another."""

    def __init__(self, platform, seed):
        self.platform = platform
        self.random = random.Random(seed)
        self.actions = [
            self.cut_off,
            self.cut_off,
            self.revoke,
            self.stall,
            self.break_stream,
            self.lose_calls,
        ]

    def some_slices(self):
        return self.random.sample(range(6), self.random.randint(1, 6))

    def start_moves(self):
        """Drain one backend and let the others serve, so that slices have to move."""
        drained = self.random.randrange(4)
        for number in range(4):
            self.platform.change(f"b{number}", "DRAINING" if number == drained else "SERVING")
        time.sleep(self.random.uniform(0, 1.2))

    def cut_off(self):
        numbers = self.some_slices()
        is_taken = self.random.random() < 0.8
        self.platform.cut_off = True
        time.sleep(self.random.uniform(*TAKEOVER_S))
        if is_taken:
            self.platform.take_away(numbers, told=False)
        time.sleep(self.random.uniform(*AWAY_S))
        if is_taken:
            self.platform.give_back(numbers, told=False)
        self.platform.cut_off = False

    def revoke(self):
        numbers = self.some_slices()
        self.platform.take_away(numbers)
        time.sleep(self.random.uniform(0, 0.8))
        self.platform.give_back(numbers)

    def stall(self):
        numbers = self.some_slices()
        with stopped(self.platform.program):
            time.sleep(self.random.uniform(0.1, 0.8))
            self.platform.take_away(numbers)
            time.sleep(self.random.uniform(0.1, 0.8))
            self.platform.give_back(numbers)

    def break_stream(self):
        self.platform.news_faults.append("reset")
        time.sleep(self.random.uniform(0, 0.4))

    def lose_calls(self):
        self.platform.relay_faults += self.random.choices(FAULTS, k=self.random.randint(1, 3))
        self.random.choice([self.cut_off, self.revoke, self.stall, self.break_stream])()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slice_moves_only_after_it_has_settled_in_its_present_ownership(tmp_path, seed):
    """Guards against review/6 and review/7 under faults that nobody listed, alone and together."""
    platform = OwnershipPlatform(tmp_path)
    family = {
        "exclusive": True,
        "settle": SETTLE_S * 1000,
        "keeps-writing": 100.0,
        "class-writes": [False, True],
    }
    try:
        platform.start(settings=SETTINGS | {"family-info": SETTINGS["family-info"] | family})
        eventually(lambda: platform.program.said("relay_watch_started"))
        schedule = Schedule(platform, seed)
        for _ in range(ROUNDS):
            schedule.start_moves()
            schedule.random.choice(schedule.actions)()
        platform.relay_faults.clear()
        eventually(platform.agrees, 20)
        assert platform.broken == [] and platform.moves >= ROUNDS // 7
        assert not platform.program.said("defect")
    finally:
        platform.close()
