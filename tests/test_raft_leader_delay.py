"""Delay monitor: increasingly late messages are no sign of a live leader; a constant delay is harmless."""

import random

from indigohitch.fleet.raft.follower import MIN_DELAY_WINDOW, DelayMonitor

MAX_EXTRA_DELAY = 3000


def test_growing_delay_is_late_once_it_exceeds_the_bound():
    monitor = DelayMonitor(MAX_EXTRA_DELAY)
    monitor.reset(0)
    late = [monitor.is_late(1000 + n * 500 + n * 400, 77 + n * 500) for n in range(12)]
    assert late == [n * 400 > MAX_EXTRA_DELAY for n in range(12)] and any(late)


def test_slow_link_with_bounded_jitter_is_not_late_at_any_clock_offset():
    for seed in range(50):
        rng = random.Random(seed)
        monitor = DelayMonitor(MAX_EXTRA_DELAY)
        now = 5_000_000
        clock_offset = rng.randrange(-4_000_000, 4_000_000)
        monitor.reset(now)
        for _ in range(2000):
            now += 500
            sent_at = round((now - rng.randrange(100, 2900)) * 1.001) + clock_offset
            assert not monitor.is_late(now, sent_at)


def test_permanently_slower_link_is_accepted_after_some_windows():
    monitor = DelayMonitor(MAX_EXTRA_DELAY)
    now = 0
    monitor.reset(now)
    assert not monitor.is_late(10, 10)
    late = [monitor.is_late(now, now - 5000) for now in range(5010, 5 * MIN_DELAY_WINDOW, 500)]
    assert late[0] and not late[-1]


def test_message_without_send_time_is_not_late():
    assert not DelayMonitor(MAX_EXTRA_DELAY).is_late(10**9, 0)
