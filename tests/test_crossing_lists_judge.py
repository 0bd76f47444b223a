"""The judge of discovery's answers alone, on seeded days: calls that are handled and answered in any order, a
discovery that begins anew, copies that lag.  What is held is always one list that discovery had."""

import random

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.list_versions import ListVerdict, ListVersions

STEP = SECOND // 20


class Day:
    """Discovery with the history of its list, and a client that asks as it likes."""

    def __init__(self, seed):
        self.rng, self.now = random.Random(seed), 0
        self.lists = {41: {f"b{n}": 0 for n in range(6)}}  # of each backend: when it changed last
        self.generation, self.lag = 41, 0
        self.judge, self.held, self.of = ListVersions(41), dict(self.lists[41]), self.lists
        self.asked, self.answered, self.believed = [], [], 0

    def change(self):
        now = dict(self.lists[self.generation])
        backend = self.rng.choice(sorted(now))
        self.generation += 1
        now[backend] = self.now
        self.lists[self.generation] = now

    def begin_anew(self):
        self.lists, self.generation = {1: dict(self.lists[self.generation])}, 1

    def ask(self):
        whole = self.judge.unconfirmed is not None or self.rng.random() < 0.3
        self.asked.append((self.judge.new_request(self.now, whole), self.lists))

    def handle(self):
        """Discovery comes to one of the calls; its answer is on its way."""
        ask, _ = self.asked.pop(self.rng.randrange(len(self.asked)))
        at = max(min(self.lists), self.generation - self.lag)
        found = self.lists[at]
        if ask.base is not None and self.rng.random() < 0.8:
            found = {b: s for b, s in found.items() if ask.base < at and s != self.lists[ask.base][b]}
        scope = "full" if found is self.lists[at] else "changes"
        entries = tuple(face.BackendEntry(b, "ready", 1.0, "a", 0, "std", s) for b, s in found.items())
        self.answered.append((ask, face.BackendList(scope, at, entries), self.lists))

    def hear(self):
        ask, news, lists = self.answered.pop(self.rng.randrange(len(self.answered)))
        verdict = self.judge.classify(ask, news, self.now)
        if verdict.is_accepted:
            told = {e.backend: e.started_at for e in news.entries}
            self.held = told if news.scope == "full" else self.held | told
            if verdict is ListVerdict.RESET:
                self.of, self.believed = lists, self.believed + 1
        assert self.held == self.of[self.judge.current]

    def run(self, span, changes=0.05):
        end = self.now + span
        while self.now < end:
            self.now += STEP
            if self.rng.random() < changes:
                self.change()
            if len(self.asked) + len(self.answered) < 4 and self.rng.random() < 0.5:
                self.ask()
            if self.asked and self.rng.random() < 0.4:
                self.handle()
            if self.answered and self.rng.random() < 0.4:
                self.hear()

    def settle(self):
        self.run(10 * SECOND, changes=0.0)
        assert self.judge.current == self.generation and self.held == self.lists[self.generation]


@pytest.mark.parametrize("seed", range(40))
def test_answers_in_any_order_never_bring_the_past_back(seed):
    day = Day(seed)
    day.run(60 * SECOND)
    day.settle()
    assert not day.believed and day.generation > 60


@pytest.mark.parametrize("seed", range(40))
def test_a_discovery_that_begins_anew_is_believed_whole(seed):
    day = Day(seed)
    day.run(10 * SECOND)
    day.begin_anew()
    day.run(3 * SECOND)
    day.settle()
    assert day.believed == 1


@pytest.mark.parametrize("seed", range(40))
def test_a_copy_that_lags_for_less_than_a_second_is_not_believed(seed):
    day = Day(seed)
    for _ in range(20):
        day.lag = 0
        day.run(3 * SECOND)
        day.lag = 3
        day.run(ListVersions.CONFIRM_AFTER - 2 * STEP, changes=0.5)
    day.lag = 0
    day.settle()
    assert not day.believed


def news(scope, version):
    return face.BackendList(scope, version, ())


def test_older_changes_alone_are_never_believed():
    """They are of a list that is not held."""
    judge = ListVersions(45)
    for second in range(4):
        verdict = judge.classify(
            judge.new_request(second * SECOND, whole=False), news("changes", 3), second * SECOND
        )
        assert verdict is ListVerdict.UNCONFIRMED and judge.current == 45


def test_an_older_list_from_the_address_left_casts_no_doubt():
    judge = ListVersions(45)
    judge.on_address_change()
    for second in range(4):
        ask = judge.new_request(second * SECOND, whole=True, left=True)
        assert (
            judge.classify(ask, news("full", 3), second * SECOND) is ListVerdict.SUPERSEDED
            and not judge.unconfirmed
        )
