"""The order in which a distributor's machine hears of what the ledger did."""

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


def test_a_read_that_an_entry_completes_counts_after_that_entry(looped):
    """An update made between the two would have another digest than its content (proofs/scale.py)."""
    part, reads, heard = DistributionPart(), [], []
    state = ReplicatedStateMachine([part])
    log = Kept(looped.clock, "d1")
    role = DistributorRole(
        looped.loop, log, "whk", "d1", 1, {"d1": free()}, part, reads.append, lambda name, word: True
    )
    step = role.listener.driver.step
    role.listener.driver.step = lambda input: (heard.append(type(input)), step(input))
    role.confirm_read(looped.clock.now())
    body = msgspec.msgpack.encode(SetResources((ServiceResources("maps", (Resource("m1", b"serving"),)),)))
    entry = LogEntry(1, 1, "distribution.set", body, "n1", 1, 1)
    outcome = state.apply(entry)
    reads[0](1)
    role.applied(looped.clock.now(), entry, outcome)
    looped.until(lambda: CaughtUp in heard)
    role.close()
    assert heard[:2] == [ResourcesChanged, CaughtUp]


def test_the_soft_limit_on_descriptors_is_raised_as_far_as_it_goes(monkeypatch):
    limits, given = (256, 1_024), []
    monkeypatch.setattr(file_limits.resource, "getrlimit", lambda what: limits)
    monkeypatch.setattr(file_limits.resource, "setrlimit", lambda what, told: given.append(told))
    assert [file_limits.raise_file_limit(wanted) for wanted in (100, 512, 4_096)] == [256, 512, 1_024]
    assert given == [(512, 1_024), (1_024, 1_024)]


def test_a_member_that_stops_serves_no_subscriber_and_its_port_is_free(looped):
    address = free()
    role = DistributorRole(
        looped.loop,
        Kept(looped.clock, "d1"),
        "whk",
        "d1",
        1,
        {"d1": address},
        DistributionPart(),
        lambda done: None,
        lambda name, word: True,
    )
    role.turn(looped.clock.now(), None)
    assert role.listener.is_listening
    for _ in range(2):  # the member stops, and the process closes it later
        role.close()
        role.turn(looped.clock.now() + 100_000, None)
        assert not role.listener.is_listening
    with socket.create_server(address):
        pass
