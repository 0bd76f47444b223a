"""The send window of a relay's channel: an urgent message never waits long, whatever was sent before."""

import random

import pytest

from indigohitch.net.clock import SECOND
from indigohitch.versions.terms import Channel
from indigohitch.versions.window import SPREAD, Window


class OneLineMessage:
    """A message of one line."""

    def lines(self):
        return 1


@pytest.mark.parametrize("seed", range(4))
def test_an_urgent_message_waits_at_most_one_and_a_half_seconds_within_the_limit(seed):
    """Guards against a burst of drains that uses up the window and delays the next drain by ten seconds."""
    rng, channel = random.Random(seed), Channel(messages=12, stall=0)
    window, now, sent = Window(channel), 0, []
    for _ in range(3000):
        now += rng.choice([1, 100, 1000])
        urgent = rng.random() < 0.9
        if window.free(now, (), urgent):
            window.take(now, OneLineMessage())
            sent.append(now)
        else:
            assert window.opens(now, urgent) > now
        opens = window.opens(now, True)
        assert opens is None or opens - now <= SECOND * 3 // 2
    assert all(late - early >= Channel.WINDOW + SPREAD for early, late in zip(sent, sent[12:]))
