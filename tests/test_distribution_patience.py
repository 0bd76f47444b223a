"""How long a subscriber waits for a distributor that is silent, or behind."""

import random

import pytest

from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.connection_deadlines import ConnectionDeadlines
from indigohitch.fleet.distribution.limits import SubscriberLimits
from indigohitch.fleet.distribution.subscriber import Subscriber
from indigohitch.net.clock import SECOND

LIMITS = SubscriberLimits()
IN_FORCE = 6 * SECOND  # in which what is reachable again has what it missed


def test_patience_with_silence_doubles_until_one_brings_the_content_up_to_date():
    patience, spans = ConnectionDeadlines(LIMITS, random.Random(1), 0), []
    for _ in range(5):
        patience.on_message(1_000)
        spans.append((patience.silent_at - 1_000) // LIMITS.response_timeout)
        patience.on_left_silent()
    assert spans == [1, 2, 4, 4, 4]
    patience.on_current(2_000)
    patience.on_message(1_000)
    assert patience.silent_at == 1_000 + LIMITS.response_timeout


def test_one_that_was_current_is_left_as_soon_as_its_lease_is_over():
    """Who is cut off from the ledger is left in time for the next one to tell a change within 6 s."""
    patience = ConnectionDeadlines(LIMITS, random.Random(1), 0)
    patience.on_connected(0, True)
    assert patience.stale_at == LIMITS.lease
    patience.on_current(LIMITS.lease + 7)
    assert patience.stale_at == LIMITS.lease + 7
    assert LIMITS.lease + LIMITS.reconnect_jitter < 5 * 10_000


def dials_after(cut, seed):
    """How long after a network is back a subscriber dials anew, each dial before that being lost; `cut`: for
    how long nothing was heard."""
    distributors = {f"d{number}": 1.0 for number in range(6)}
    now = 10 * SECOND
    one = Subscriber("s1", ["maps"], distributors, LIMITS, random.Random(seed), now)
    back = now + cut
    while True:
        now = max(now, one.due)
        if (
            any(isinstance(output, interfaces.Dial) for output in one.step(now, interfaces.Tick()))
            and now >= back
        ):
            return now - back


@pytest.mark.parametrize("cut", [12, 30, 120, 600])
def test_after_a_cut_of_minutes_a_distributor_is_dialled_soon(cut):
    """Seen in proof-scale: 9.2 s after a region was back, as patience had doubled to 10 s."""
    waited = [dials_after(cut * SECOND + seed * SECOND // 7, seed) for seed in range(40)]
    longest = LIMITS.response_timeout << 2 if cut < 30 else LIMITS.response_timeout
    assert max(waited) <= longest + LIMITS.reconnect_jitter
    assert cut < 30 or max(waited) + 2 * SECOND < IN_FORCE
