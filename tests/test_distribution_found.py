"""Faults that random inputs found in the decisions of a distributor, each forced."""

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


def test_who_subscribes_again_while_its_claim_is_in_doubt_is_served_once():
    machine = distributor()
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(1, Version(1, 9), (HeldService("s", b"x"),))))
    assert updates(
        machine.step(NOW, interfaces.MessageReceived(1, Subscribe(2, NO_VERSION, (HeldService("s"),))))
    )
    assert machine.step(NOW + 1, interfaces.CaughtUp(NOW + 1)) == []
    subscribers = machine.server.subscribers
    assert list(subscribers.subscriptions) == list(subscribers.names) == [1] and not subscribers.claims


def test_requests_that_do_not_grow_leave_nothing_of_an_older_scope():
    machine = distributor()
    machine.step(
        NOW, interfaces.MessageReceived(1, Subscribe(0, NO_VERSION, (HeldService("s"), HeldService("t"))))
    )
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(0, NO_VERSION, (HeldService("u"),))))
    subscription = machine.server.subscribers.subscriptions[1]
    assert subscription.in_flight is not None and subscription.scope == ("s", "t")
    assert subscription.pending_scope is not None and not subscription.full_resend


def test_who_is_lost_at_once_may_act_under_the_lease_of_the_distributor_before():
    machine = distributor()
    machine.step(NOW, interfaces.MessageReceived(1, Subscribe(1, Version(1, 1), (HeldService("s", b"x"),))))
    machine.step(NOW, interfaces.SubscriberDisconnected(1))
    lost = machine.report(NOW + SECOND).unreachable
    assert [one.acting for one in lost] == [grantor_span(LIMITS.lease, LIMITS.drift) - SECOND]


def test_a_full_distributor_takes_back_who_is_served_there_over_another_connection():
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
