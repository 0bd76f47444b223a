"""Whose update goes next at a distributor."""

from indigohitch.fleet.distribution.admission import Admission
from indigohitch.fleet.distribution.limits import Limits

LIMITS = Limits(small_bytes=10, large_bytes=100, max_sends_per_step=3)


def served(admission, now, sizes):
    """Who is sent an update in one turn; `sizes` of their updates by connection."""
    sent = []

    def serve(connection):
        if not admission.may_send(connection, sizes[connection]):
            return False
        admission.on_sent(connection, sizes[connection])
        sent.append(connection)
        return True

    admission.serve_ready(now, serve)
    return sent


def test_each_goes_when_its_own_pace_is_over_whoever_asked_first():
    admission = Admission(LIMITS)
    admission.delay(1, 50)
    admission.delay(2, 20)
    assert admission.next_due(0) == 20
    assert served(admission, 20, {2: 5}) == [2]
    assert served(admission, 50, {1: 5}) == [1]


def test_large_updates_go_in_turn_and_only_while_there_is_room():
    admission = Admission(LIMITS)
    sizes = {1: 80, 2: 60, 3: 15, 4: 5}
    for connection in sizes:
        admission.enqueue(connection)
    assert served(admission, 0, sizes) == [1, 4]  # 3 would fit, and waits behind 2; 4 is small
    assert served(admission, 0, sizes) == [] and admission.next_due(0) is None
    admission.on_acknowledged(1)
    assert served(admission, 0, sizes) == [2, 3]
    admission.remove(2)
    admission.on_acknowledged(3)
    assert admission.large_bytes == 0


def test_one_turn_sends_so_many_and_the_rest_is_due_at_once():
    admission = Admission(LIMITS)
    sizes = dict.fromkeys(range(5), 5)
    for connection in sizes:
        admission.enqueue(connection)
    assert served(admission, 7, sizes) == [0, 1, 2] and admission.next_due(7) == 7
    assert served(admission, 7, sizes) == [3, 4]


def test_an_update_larger_than_all_room_goes_alone():
    admission = Admission(LIMITS)
    admission.enqueue(1)
    assert served(admission, 0, {1: 500}) == [1]
    admission.enqueue(2)
    assert served(admission, 0, {2: 20}) == []
