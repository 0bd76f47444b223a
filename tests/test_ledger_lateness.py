"""A leader whose words come ever later is not heard; one whose link is slow but steady is."""

import random

from indigohitch.fleet.raft.follower import MIN_DELAY_WINDOW, DelayMonitor

BOUND = 3000


def test_words_that_trickle_are_late_once_the_lag_is_over_the_bound():
    lateness = DelayMonitor(BOUND)
    lateness.reset(0)
    told = [lateness.is_late(1000 + n * 500 + n * 400, 77 + n * 500) for n in range(12)]
    assert told == [n * 400 > BOUND for n in range(12)] and any(told)


def test_a_slow_steady_link_is_not_late_whatever_the_clocks_say():
    for seed in range(50):
        chance = random.Random(seed)
        lateness, now, ahead = DelayMonitor(BOUND), 5_000_000, chance.randrange(-4_000_000, 4_000_000)
        lateness.reset(now)
        for _ in range(2000):
            now += 500
            at = round((now - chance.randrange(100, 2900)) * 1.001) + ahead
            assert not lateness.is_late(now, at)


def test_a_link_that_is_slower_for_good_is_taken_as_it_is_after_a_while():
    lateness, now = DelayMonitor(BOUND), 0
    lateness.reset(now)
    assert not lateness.is_late(10, 10)
    seen = [lateness.is_late(now, now - 5000) for now in range(5010, 5 * MIN_DELAY_WINDOW, 500)]
    assert seen[0] and not seen[-1]


def test_words_that_do_not_tell_are_heard():
    assert not DelayMonitor(BOUND).is_late(10**9, 0)
