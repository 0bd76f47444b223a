"""Decisions about a single RPC at its proxy."""

import random

import pytest

from indigohitch import request


class Server:
    def __init__(self):
        self.withdrawn, self.held = False, 0


def test_pick_follows_weights_load_and_ejections():
    table, (heavy, middle, light) = request.RouteTable(), (Server(), Server(), Server())
    for server, weight in ((heavy, 6.0), (middle, 3.0), (light, 1.0)):
        table.set(server, weight)
    uniform, counts = random.Random(1).random, {heavy: 0, middle: 0, light: 0}
    for _ in range(3000):
        counts[table.pick(uniform)] += 1
    assert counts[heavy] > counts[middle] > counts[light] > 30
    heavy.held = 100
    # Only where both draws are this server.
    assert sum(table.pick(uniform) is heavy for _ in range(1000)) < 450
    heavy.withdrawn = True
    assert all(table.pick(uniform) is not heavy for _ in range(200))
    assert table.pick(uniform, [middle]) is light
    middle.withdrawn = light.withdrawn = True
    assert table.pick(uniform) is None


def test_admission_ratios_admit_their_share():
    table, uniform = request.RouteTable(), random.Random(1).random
    table.level, table.levels = 0.3, {"search": 1.0}
    assert table.admits("search", uniform)
    assert 200 < sum(table.admits("reserve", uniform) for _ in range(1000)) < 400


@pytest.mark.parametrize("retry_level", [0, 1, 2, 3])
@pytest.mark.parametrize("is_buffered", [True, False])
@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_non_idempotent_rpc_is_never_processed_twice(retry_level, is_buffered, attempts):
    """At any retry level it is retried only if no byte of it can have been processed."""
    table = request.RouteTable()
    table.retry_level = retry_level
    for outcome in (request.SENT, request.CLOSED_IN_TRANSIT):
        assert not request.should_retry(table, "non_idempotent", outcome, attempts, is_buffered, 1000)
    after_unsent = request.should_retry(table, "non_idempotent", request.UNSENT, attempts, is_buffered, 1000)
    assert after_unsent == (is_buffered and attempts <= (0, 1, 1, 2)[retry_level])
    assert not request.should_retry(table, "idempotent", request.UNSENT, attempts, is_buffered, 0)
    after_sent = request.should_retry(table, "idempotent", request.SENT, attempts, is_buffered, 1000)
    assert after_sent == (is_buffered and retry_level >= 2 and attempts <= (0, 1, 1, 2)[retry_level])


def test_retry_after_is_given_only_for_an_rpc_that_never_ran():
    assert request.final_status("no_line", 1, {"come_back": 15_000}) == (503, 2)
    assert request.final_status("pushed_back", 1, {}) == (503, None)
    assert request.final_status(request.SENT, 1, {"come_back": 15_000}) == (502, None)
    assert request.final_status(request.SENT, 0, {"come_back": 15_000}) == (504, None)
