"""The window of a relay's channel: whatever went before, an urgent message is never far away."""

import random

import pytest

from indigohitch.net.clock import SECOND
from indigohitch.versions.terms import Channel
from indigohitch.versions.window import SPREAD, Window


class Lines:
    """A message of so many lines."""

    def lines(self):
        return 1


@pytest.mark.parametrize("seed", range(4))
def test_an_urgent_message_is_never_far_away_and_the_bound_is_kept(seed):
    """A burst of drains used the window up, and the next drain waited for ten seconds."""
    chance, channel = random.Random(seed), Channel(messages=12, stall=0)
    window, now, sent = Window(channel), 0, []
    for _ in range(3000):
        now += chance.choice([1, 100, 1000])
        urgent = chance.random() < 0.9
        if window.free(now, (), urgent):
            window.take(now, Lines())
            sent.append(now)
        else:
            assert window.opens(now, urgent) > now
        opens = window.opens(now, True)
        assert opens is None or opens - now <= SECOND * 3 // 2
    assert all(late - early >= Channel.WINDOW + SPREAD for early, late in zip(sent, sent[12:]))
