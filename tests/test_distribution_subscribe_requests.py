"""Regression tests of how a distributor handles subscriptions; random inputs found these faults."""

from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.distributor import Distributor
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import HeldService, RefusalReason, Subscribe, Update
from indigohitch.fleet.distribution.replicated_part import DistributionPart, ServiceResources, SetResources
from indigohitch.fleet.distribution.types import NO_VERSION, Resource, Version
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.membership.leases import grantor_span
from indigohitch.net.clock import SECOND

NOW = 100 * SECOND
LIMITS = Limits()


def distributor(limits=LIMITS):
    part = DistributionPart()
    part.apply(
        EntryContext(1, 1, 0, "", 0), "set", SetResources((ServiceResources("s", (Resource("a", b""),)),))
    )
    machine = Distributor("d", part.store, limits, NOW)
    machine.step(NOW, interfaces.CaughtUp(NOW))
    machine.step(NOW, interfaces.SubscriberConnected(1, "one"))
    return machine


def updates(outputs):
    return [output.message for output in outputs if isinstance(getattr(output, "message", None), Update)]


def test_a_subscriber_that_subscribes_again_while_its_claim_is_pending_is_served_once():
    machine = distributor()
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(1, Version(1, 9), (HeldService("s", b"x"),))))
    assert updates(
        machine.step(NOW, interfaces.MessageReceived(1, Subscribe(2, NO_VERSION, (HeldService("s"),))))
    )
    assert machine.step(NOW + 1, interfaces.CaughtUp(NOW + 1)) == []
    subscribers = machine.server.subscribers
    assert list(subscribers.subscriptions) == list(subscribers.names) == [1] and not subscribers.claims


def test_a_repeated_request_number_does_not_mix_two_scopes():
    machine = distributor()
    machine.step(
        NOW, interfaces.MessageReceived(1, Subscribe(0, NO_VERSION, (HeldService("s"), HeldService("t"))))
    )
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(0, NO_VERSION, (HeldService("u"),))))
    subscription = machine.server.subscribers.subscriptions[1]
    assert subscription.in_flight is not None and subscription.scope == ("s", "t")
    assert subscription.pending_scope is not None and not subscription.full_resend


def test_a_subscriber_lost_at_once_may_still_hold_a_lease_of_its_previous_distributor():
    machine = distributor()
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(1, Version(1, 1), (HeldService("s", b"x"),))))
    machine.step(NOW, interfaces.SubscriberDisconnected(1))
    unreachable = machine.report(NOW + SECOND).unreachable
    assert [each.acting for each in unreachable] == [grantor_span(LIMITS.lease, LIMITS.drift) - SECOND]


def test_a_full_distributor_accepts_a_new_connection_of_a_subscriber_that_it_serves():
    machine = distributor(Limits(subscribers=1))
    claim = Subscribe(1, NO_VERSION, (HeldService("s"),))
    machine.step(NOW, interfaces.MessageReceived(1, claim))
    machine.step(NOW, interfaces.SubscriberConnected(2, "two"))
    refused = machine.step(NOW, interfaces.MessageReceived(2, claim))
    assert refused[0].message.reason is RefusalReason.FULL
    machine.step(NOW, interfaces.SubscriberConnected(3, "one"))
    outputs = machine.step(NOW, interfaces.MessageReceived(3, claim))
    assert updates(outputs) and [
        each.connection for each in outputs if isinstance(each, interfaces.CloseConnection)
    ] == [1]
