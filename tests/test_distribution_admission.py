"""Tests in which order a distributor sends updates, and within which limits."""

from indigohitch.fleet.distribution.admission import Admission
from indigohitch.fleet.distribution.limits import Limits

LIMITS = Limits(small_bytes=10, large_bytes=100, max_sends_per_step=3)


def serve_step(admission, now, sizes):
    """Returns the connections served in one step; `sizes`: bytes of their updates by connection."""
    sent = []

    def serve(connection):
        if not admission.may_send(connection, sizes[connection]):
            return False
        admission.on_sent(connection, sizes[connection])
        sent.append(connection)
        return True

    admission.serve_ready(now, serve)
    return sent


def test_delayed_connections_are_served_in_the_order_of_their_due_times():
    admission = Admission(LIMITS)
    admission.delay(1, 50)
    admission.delay(2, 20)
    assert admission.next_due(0) == 20
    assert serve_step(admission, 20, {2: 5}) == [2]
    assert serve_step(admission, 50, {1: 5}) == [1]


def test_large_updates_are_sent_in_order_and_only_while_there_is_capacity():
    admission = Admission(LIMITS)
    sizes = {1: 80, 2: 60, 3: 15, 4: 5}
    for connection in sizes:
        admission.enqueue(connection)
    assert serve_step(admission, 0, sizes) == [1, 4]  # 3 would fit but waits behind 2; 4 is small
    assert serve_step(admission, 0, sizes) == [] and admission.next_due(0) is None
    admission.on_acknowledged(1)
    assert serve_step(admission, 0, sizes) == [2, 3]
    admission.remove(2)
    admission.on_acknowledged(3)
    assert admission.large_bytes == 0


def test_one_step_sends_a_limited_number_and_the_rest_is_due_at_once():
    admission = Admission(LIMITS)
    sizes = dict.fromkeys(range(5), 5)
    for connection in sizes:
        admission.enqueue(connection)
    assert serve_step(admission, 7, sizes) == [0, 1, 2] and admission.next_due(7) == 7
    assert serve_step(admission, 7, sizes) == [3, 4]


def test_an_update_larger_than_the_whole_capacity_is_sent_alone():
    admission = Admission(LIMITS)
    admission.enqueue(1)
    assert serve_step(admission, 0, {1: 500}) == [1]
    admission.enqueue(2)
    assert serve_step(admission, 0, {2: 20}) == []
