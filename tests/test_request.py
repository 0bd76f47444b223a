"""The decisions on one RPC at its proxy."""

import random

import pytest

from indigohitch import request


class Server:
    def __init__(self):
        self.withdrawn, self.held = False, 0


def test_picks_follow_the_weights_and_what_is_out():
    table, (a, b, c) = request.RouteTable(), (Server(), Server(), Server())
    for server, weight in ((a, 6.0), (b, 3.0), (c, 1.0)):
        table.set(server, weight)
    uniform, counts = random.Random(1).random, {a: 0, b: 0, c: 0}
    for _ in range(3000):
        counts[table.pick(uniform)] += 1
    assert counts[a] > counts[b] > counts[c] > 30
    a.held = 100
    assert sum(table.pick(uniform) is a for _ in range(1000)) < 450  # only where both draws are the same
    a.withdrawn = True
    assert all(table.pick(uniform) is not a for _ in range(200))
    assert table.pick(uniform, [b]) is c
    b.withdrawn = c.withdrawn = True
    assert table.pick(uniform) is None


def test_levels_let_in_their_share():
    table, uniform = request.RouteTable(), random.Random(1).random
    table.level, table.levels = 0.3, {"search": 1.0}
    assert table.admits("search", uniform)
    assert 200 < sum(table.admits("reserve", uniform) for _ in range(1000)) < 400


@pytest.mark.parametrize("tries", [0, 1, 2, 3])
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("tried", [1, 2, 3])
def test_a_reservation_never_goes_out_twice(tries, whole, tried):
    """Whatever the orders say: only if not one byte of it can have been acted on."""
    table = request.RouteTable()
    table.retry_level = tries
    for outcome in (request.SENT, request.CLOSED_IN_TRANSIT):
        assert not request.should_retry(table, "non_idempotent", outcome, tried, whole, 1000)
    again = request.should_retry(table, "non_idempotent", request.UNSENT, tried, whole, 1000)
    assert again == (whole and tried <= (0, 1, 1, 2)[tries])
    assert not request.should_retry(table, "idempotent", request.UNSENT, tried, whole, 0)
    later = request.should_retry(table, "idempotent", request.SENT, tried, whole, 1000)
    assert later == (whole and tries >= 2 and tried <= (0, 1, 1, 2)[tries])


def test_given_up_is_said_with_a_time_to_return_only_where_nothing_ran():
    assert request.final_status("no_line", 1, {"come_back": 15_000}) == (503, 2)
    assert request.final_status("pushed_back", 1, {}) == (503, None)
    assert request.final_status(request.SENT, 1, {"come_back": 15_000}) == (502, None)
    assert request.final_status(request.SENT, 0, {"come_back": 15_000}) == (504, None)
