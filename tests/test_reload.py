"""Reloads of the configuration file by SIGHUP, mostly with other addresses of relay and discovery."""

import signal

import pytest

from peers import Peer
from stage import SETTINGS, drain, heartbeat, none_lost
from waiting import eventually, free_address


def test_reload_moves_to_other_addresses(platform):
    program = platform.serving()
    for move_number in (1, 2):
        old_peers = platform.move()
        platform.change(f"b{move_number}", "DRAINING")  # at the same time as the reload
        eventually(lambda count=move_number: len(program.said("reloaded", moved=True)) == count)
        eventually(lambda count=move_number: len(program.said("relay_watch_started")) == count + 1)
        assert not program.said("relay_watch_lost") and not program.said("discovery_failed")
        for peer in old_peers:
            peer.close()
        drain(platform, f"b{move_number}")
    assert none_lost(platform) and heartbeat(platform) and not program.said("defect")
    assert not any("needs_restart" in event for event in program.said("reloaded"))
    platform.reload(
        limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
        store={"address": platform.relay.address},
        discovery=platform.discovery.address,
        settings=SETTINGS | {"period": 8.0},
    )
    eventually(lambda: program.said("reloaded", moved=False, needs_restart=["limits", "settings.period"]))
    assert program.end() == 0


def test_reload_to_addresses_that_are_not_up_yet(platform):
    program = platform.serving()
    new_addresses = [free_address(), free_address()]
    for _ in range(2):  # each reload starts before the last one has completed
        platform.reload(store={"address": new_addresses[0]}, discovery=new_addresses[1])
        platform.reload(store={"address": free_address()}, discovery=free_address())
    platform.reload(store={"address": new_addresses[0]}, discovery=new_addresses[1])
    eventually(lambda: program.said("relay_watch_lost", why="connect_failed"))
    eventually(lambda: program.said("discovery_new_address_unavailable"))
    platform.change(
        "b1", "DRAINING"
    )  # the open discovery connection reports it; no call reaches the relay yet
    eventually(lambda: program.said("relay_call_unresolved", why="connect_failed"))
    for peer in platform.move([int(address.rpartition(":")[2]) for address in new_addresses]):
        peer.close()
    drain(platform, "b1")
    drain(platform, "b2")
    eventually(lambda: len(program.said("relay_watch_started")) == 2)
    assert none_lost(platform) and heartbeat(platform)


@pytest.mark.parametrize("text", ["{", "[]", "{}", None])
def test_an_unusable_file_changes_nothing(platform, text):
    program = platform.serving()
    if text is None:
        program.file.unlink()
    else:
        program.file.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    assert_unchanged(platform)


@pytest.mark.parametrize(
    "part",
    [
        {"store": {"address": "nowhere"}},
        {"store": {"address": "r\u00e9seau:6400"}},
        {"store": {}},
        {"store": {"address": "a b:6400"}},
        {"store": {"address": "a\r\nb:6400"}},
        {"limits": {}},
        {"settings": SETTINGS | {"period": 1e308}},
        {"settings": SETTINGS | {"classes": []}},
        {"known": {"generation": 1, "reset": True, "instances": [{}]}},
        {"seed": "xyz"},
    ],
)
def test_a_file_with_one_unusable_part_changes_nothing(platform, part):
    """Its valid parts are not applied either: another discovery, and mostly another relay."""
    program = platform.serving()
    new_peers = [Peer(platform._relay), Peer(platform._discovery)]
    platform.reload(**{"store": {"address": new_peers[0].address}, "discovery": new_peers[1].address} | part)
    assert_unchanged(platform)
    assert [peer.connections for peer in new_peers] == [0, 0] and not program.said("defect")
    for peer in new_peers:
        peer.close()


def assert_unchanged(platform):
    """Checks that the file was rejected: relay, stream and discovery are as before, and calls succeed."""
    program = platform.program
    eventually(lambda: program.said("reload_failed"))
    drain(platform, "b1")
    assert not program.said("reloaded") and not program.said("relay_watch_lost") and none_lost(platform)


def test_sigterm_during_a_reload_ends_the_process(platform):
    program = platform.serving()
    platform.relay_faults += ["silent"] * 99
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("relay_call_unresolved"))
    platform.move()
    program.process.send_signal(signal.SIGHUP)
    assert program.end() == 0
    assert program.log[-1]["event"] == "counters"
