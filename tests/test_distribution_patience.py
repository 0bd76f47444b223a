"""How long a subscriber waits for a distributor that is silent, or behind."""

import random

from indigohitch.fleet.distribution.limits import SubscriberLimits
from indigohitch.fleet.distribution.patience import Patience

LIMITS = SubscriberLimits()


def test_patience_with_silence_doubles_until_one_brings_the_content_up_to_date():
    patience, spans = Patience(LIMITS, random.Random(1)), []
    for _ in range(5):
        patience.heard(1_000)
        spans.append((patience.silent_at - 1_000) // LIMITS.answer)
        patience.left_silent()
    assert spans == [1, 2, 4, 4, 4]
    patience.current(2_000)
    patience.heard(1_000)
    assert patience.silent_at == 1_000 + LIMITS.answer


def test_one_that_was_current_is_left_as_soon_as_its_lease_is_over():
    """Who is cut off from the ledger is left in time for the next one to tell a change within 6 s."""
    patience = Patience(LIMITS, random.Random(1))
    patience.connected(0, True)
    assert patience.stale_at == LIMITS.lease
    patience.current(LIMITS.lease + 7)
    assert patience.stale_at == LIMITS.lease + 7
    assert LIMITS.lease + LIMITS.first_delay < 5 * 10_000
