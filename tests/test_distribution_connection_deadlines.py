"""Tests how long a subscriber waits for a distributor that is silent or lags behind the ledger."""

import random

import pytest

from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.connection_deadlines import ConnectionDeadlines
from indigohitch.fleet.distribution.limits import SubscriberLimits
from indigohitch.fleet.distribution.subscriber import Subscriber
from indigohitch.net.clock import SECOND

LIMITS = SubscriberLimits()
RECOVERY_LIMIT = 6 * SECOND  # in which a subscriber receives missed changes once the network is back


def test_the_response_timeout_doubles_until_a_distributor_brings_the_content_up_to_date():
    deadlines = ConnectionDeadlines(LIMITS, random.Random(1), 0)
    factors = []
    for _ in range(5):
        deadlines.on_message(1_000)
        factors.append((deadlines.silent_at - 1_000) // LIMITS.response_timeout)
        deadlines.on_left_silent()
    assert factors == [1, 2, 4, 4, 4]
    deadlines.on_current(2_000)
    deadlines.on_message(1_000)
    assert deadlines.silent_at == 1_000 + LIMITS.response_timeout


def test_a_distributor_that_goes_stale_is_left_as_soon_as_the_lease_expires():
    """This is early enough for the next distributor to deliver a change within 6 s."""
    deadlines = ConnectionDeadlines(LIMITS, random.Random(1), 0)
    deadlines.on_connected(0, True)
    assert deadlines.stale_at == LIMITS.lease
    deadlines.on_current(LIMITS.lease + 7)
    assert deadlines.stale_at == LIMITS.lease + 7
    assert LIMITS.lease + LIMITS.reconnect_jitter < 5 * SECOND


def delay_until_dial(partition_time, seed):
    """Returns how long after a partition of that duration a subscriber dials; earlier dials are lost."""
    distributors = {f"d{number}": 1.0 for number in range(6)}
    now = 10 * SECOND
    subscriber = Subscriber("s1", ["maps"], distributors, LIMITS, random.Random(seed), now)
    partition_end = now + partition_time
    while True:
        now = max(now, subscriber.due)
        if (
            any(isinstance(output, interfaces.Dial) for output in subscriber.step(now, interfaces.Tick()))
            and now >= partition_end
        ):
            return now - partition_end


@pytest.mark.parametrize("seconds", [12, 30, 120, 600])
def test_a_distributor_is_dialled_soon_after_a_long_partition(seconds):
    """Guards against a response timeout that stays doubled after a partition.

    The scale proof measured a recovery 9.2 s after a region was back, as the timeout had doubled to 10 s.
    """
    delays = [delay_until_dial(seconds * SECOND + seed * SECOND // 7, seed) for seed in range(40)]
    max_timeout = LIMITS.response_timeout << 2 if seconds < 30 else LIMITS.response_timeout
    assert max(delays) <= max_timeout + LIMITS.reconnect_jitter
    assert seconds < 30 or max(delays) + 2 * SECOND < RECOVERY_LIMIT
