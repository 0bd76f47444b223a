"""Whose update goes next at a distributor."""

from indigohitch.fleet.distribution.admission import Admission
from indigohitch.fleet.distribution.limits import Limits

LIMITS = Limits(small_bytes=10, large_bytes=100, sends=3)


def served(admission, now, sizes):
    """Who is sent an update in one turn; `sizes` of their updates by connection."""
    sent = []

    def serve(connection):
        if not admission.fits(connection, sizes[connection]):
            return False
        admission.sent(connection, sizes[connection])
        sent.append(connection)
        return True

    admission.turn(now, serve)
    return sent


def test_each_goes_when_its_own_pace_is_over_whoever_asked_first():
    admission = Admission(LIMITS)
    admission.pace(1, 50)
    admission.pace(2, 20)
    assert admission.due(0) == 20
    assert served(admission, 20, {2: 5}) == [2]
    assert served(admission, 50, {1: 5}) == [1]


def test_large_updates_go_in_turn_and_only_while_there_is_room():
    admission = Admission(LIMITS)
    sizes = {1: 80, 2: 60, 3: 15, 4: 5}
    for connection in sizes:
        admission.want(connection)
    assert served(admission, 0, sizes) == [1, 4]  # 3 would fit, and waits behind 2; 4 is small
    assert served(admission, 0, sizes) == [] and admission.due(0) is None
    admission.answered(1)
    assert served(admission, 0, sizes) == [2, 3]
    admission.left(2)
    admission.answered(3)
    assert admission.large_bytes == 0


def test_one_turn_sends_so_many_and_the_rest_is_due_at_once():
    admission = Admission(LIMITS)
    sizes = dict.fromkeys(range(5), 5)
    for connection in sizes:
        admission.want(connection)
    assert served(admission, 7, sizes) == [0, 1, 2] and admission.due(7) == 7
    assert served(admission, 7, sizes) == [3, 4]


def test_an_update_larger_than_all_room_goes_alone():
    admission = Admission(LIMITS)
    admission.want(1)
    assert served(admission, 0, {1: 500}) == [1]
    admission.want(2)
    assert served(admission, 0, {2: 20}) == []
