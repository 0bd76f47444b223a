"""Tests of the distributor role: order of ledger events, descriptor limit and shutdown."""

import socket

import msgspec
import pytest

from indigohitch.fleet.distribution.distributor_role import DistributorRole
from indigohitch.fleet.distribution.interfaces import CaughtUp, ResourcesChanged
from indigohitch.fleet.distribution.replicated_part import DistributionPart, ServiceResources, SetResources
from indigohitch.fleet.distribution.types import Resource
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import LogEntry
from indigohitch.net import file_limits
from nodes import Kept, Looped, free


@pytest.fixture
def looped():
    looped = Looped()
    yield looped
    looped.loop.close()
    assert not looped.failed


def test_a_read_completed_by_an_entry_is_reported_after_that_entry(looped):
    """An update composed between the two would have a digest that differs from its content.

    proofs/scale.py found this with 6,500 subscribers.
    """
    part = DistributionPart()
    reads = []
    events = []
    state = ReplicatedStateMachine([part])
    log = Kept(looped.clock, "d1")
    role = DistributorRole(
        looped.loop, log, "whk", "d1", 1, {"d1": free()}, part, reads.append, lambda name, message: True
    )
    step = role.listener.driver.step
    role.listener.driver.step = lambda event: (events.append(type(event)), step(event))
    role.confirm_read(looped.clock.now())
    body = msgspec.msgpack.encode(SetResources((ServiceResources("maps", (Resource("m1", b"serving"),)),)))
    entry = LogEntry(1, 1, "distribution.set", body, "n1", 1, 1)
    outcome = state.apply(entry)
    reads[0](1)
    role.applied(looped.clock.now(), entry, outcome)
    looped.until(lambda: CaughtUp in events)
    role.close()
    assert events[:2] == [ResourcesChanged, CaughtUp]


def test_the_soft_limit_on_file_descriptors_is_raised_up_to_the_hard_limit(monkeypatch):
    limits = (256, 1_024)
    soft_limits_set = []
    monkeypatch.setattr(file_limits.resource, "getrlimit", lambda resource: limits)
    monkeypatch.setattr(file_limits.resource, "setrlimit", lambda resource, new: soft_limits_set.append(new))
    assert [file_limits.raise_file_limit(wanted) for wanted in (100, 512, 4_096)] == [256, 512, 1_024]
    assert soft_limits_set == [(512, 1_024), (1_024, 1_024)]


def test_a_closed_role_stops_listening_and_frees_its_port(looped):
    address = free()
    role = DistributorRole(
        looped.loop,
        Kept(looped.clock, "d1"),
        "whk",
        "d1",
        1,
        {"d1": address},
        DistributionPart(),
        lambda on_confirmed: None,
        lambda name, message: True,
    )
    role.turn(looped.clock.now(), None)
    assert role.listener.is_listening
    for _ in range(2):  # the member stops, and the process closes it later
        role.close()
        role.turn(looped.clock.now() + 100_000, None)
        assert not role.listener.is_listening
    with socket.create_server(address):
        pass
