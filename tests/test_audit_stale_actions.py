"""Actions that come too late: receivers reject stale stamps, and blocked orders are not sent to the relay."""

from indigohitch import interface as face
from indigohitch.fleet.audit.stamp_verifier import StampVerifier
from indigohitch.fleet.types import Stamp
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.channel_backlog import ChannelBacklog
from indigohitch.platform_protocol.relay import Relay
from indigohitch.standins.stamp_guard import StampGuard


def test_a_stand_in_server_rejects_stale_stamps():
    stamped = StampGuard()
    assert not stamped.rejection_reason({}) and "read" in stamped.rejection_reason({b"x-stamp": b"m.1.x.2.3"})
    assert not stamped.rejection_reason({b"x-stamp": b"a.m.2.1.9.4"}) and stamped.rejection_reason(
        {b"x-stamp": b"a.m.1.1.9.5"}
    )
    assert stamped.apply_fleet_message(b"/fleet/gone/a.m/2") and not stamped.apply_fleet_message(
        b"/vacancies/12"
    )
    assert "shut out" in stamped.rejection_reason({b"x-stamp": b"a.m.2.1.9.6"})
    assert stamped.apply_fleet_message(b"/fleet/in-force/12") and stamped.rejection_reason(
        {b"x-stamp": b"o.1.1.11.1"}
    )


def test_a_stamp_of_an_evicted_incarnation_or_an_older_action_is_rejected():
    gate = StampVerifier()
    assert not any(gate.check(Stamp("m", 1, 1, 10, number), "seat") for number in (1, 2))
    assert "older" in gate.check(Stamp("m", 1, 1, 10, 2), "seat")
    gate.revoke_incarnation("m", 1)
    assert "shut out" in gate.check(Stamp("m", 1, 1, 12, 3), "seat")
    assert not gate.check(Stamp("m", 3, 1, 12, 1), "seat")
    assert "before one" in gate.check(Stamp("m", 2, 1, 12, 9))
    gate.raise_minimum_version(20)
    assert "in force" in gate.check(Stamp("m", 3, 1, 19, 2)) and not gate.check(Stamp("n", 1, 2, 20, 1))
    assert gate.rejected == 4


def test_orders_that_may_not_be_sent_are_dropped_and_reported():
    """Guards against sending, once a coordinator may not act, what it decided while it still could."""
    clock = Clock()
    relay = Relay(
        EventLoop(clock, print),
        Log(clock, output_fd=-1),
        ("127.0.0.1", 1),
        ["search"],
        0,
        0,
        ChannelBacklog(0, 0),
    )
    sent, dropped, may_send = [], [], False
    relay.client.request = lambda *arguments: sent.append(arguments[4])
    relay.on_dropped = dropped.extend
    relay.is_allowed = lambda orders: may_send and orders.startswith("put,3,b1")
    first, second = face.SetRoute(3, "b1", 1.0), face.SetRoute(4, "b2", 1.0)
    relay.set_paused(True)
    relay.enqueue([first])
    relay.enqueue([second])
    relay.set_paused(False)
    assert dropped == [first, second] and relay.idle and not relay.pending_calls and not sent
    may_send = True
    relay.enqueue([first])
    assert len(sent) == 1 and b"put%2C3%2Cb1" in sent[0] and relay.pending_calls
