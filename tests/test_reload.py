"""The program moved to other addresses by its file and a signal."""

import signal

import pytest

from peers import Peer
from stage import SETTINGS, drain, heartbeat, none_lost
from waiting import eventually, free_address


def test_reload_moves_to_other_addresses(platform):
    program = platform.serving()
    for times in (1, 2):
        left = platform.move()
        platform.change(f"b{times}", "DRAINING")  # meets the reload
        eventually(lambda n=times: len(program.said("reloaded", moved=True)) == n)
        eventually(lambda n=times: len(program.said("relay_watch_started")) == n + 1)
        assert not program.said("relay_watch_lost") and not program.said("discovery_failed")
        for peer in left:
            peer.close()
        drain(platform, f"b{times}")
    assert none_lost(platform) and heartbeat(platform) and not program.said("defect")
    assert not any("needs_restart" in e for e in program.said("reloaded"))
    platform.reload(
        limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
        store={"address": platform.relay.address},
        discovery=platform.discovery.address,
        settings=SETTINGS | {"period": 8.0},
    )
    eventually(lambda: program.said("reloaded", moved=False, needs_restart=["limits", "settings.period"]))
    assert program.end() == 0


def test_reload_to_addresses_that_are_not_up_yet(platform):
    program, coming = platform.serving(), [free_address(), free_address()]
    for _ in range(2):  # one in the middle of the other
        platform.reload(store={"address": coming[0]}, discovery=coming[1])
        platform.reload(store={"address": free_address()}, discovery=free_address())
    platform.reload(store={"address": coming[0]}, discovery=coming[1])
    eventually(lambda: program.said("relay_watch_lost", why="connect_failed"))
    eventually(lambda: program.said("discovery_new_address_unavailable"))
    platform.change("b1", "DRAINING")  # what is still open there tells it; no call gets through yet
    eventually(lambda: program.said("relay_call_unresolved", why="connect_failed"))
    for peer in platform.move([int(at.rpartition(":")[2]) for at in coming]):
        peer.close()
    drain(platform, "b1")
    drain(platform, "b2")
    eventually(lambda: len(program.said("relay_watch_started")) == 2)
    assert none_lost(platform) and heartbeat(platform)


@pytest.mark.parametrize("text", ["{", "[]", "{}", None])
def test_a_file_that_can_not_be_used_changes_nothing(platform, text):
    program = platform.serving()
    if text is None:
        program.file.unlink()
    else:
        program.file.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    unchanged(platform)


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
def test_a_file_of_which_a_part_can_not_be_used_changes_nothing(platform, part):
    """Nor does its good half come in: it names another discovery, and a relay where that is not the part."""
    program, coming = platform.serving(), [Peer(platform._relay), Peer(platform._discovery)]
    platform.reload(**{"store": {"address": coming[0].address}, "discovery": coming[1].address} | part)
    unchanged(platform)
    assert [peer.connections for peer in coming] == [0, 0] and not program.said("defect")
    for peer in coming:
        peer.close()


def unchanged(platform):
    """The file was turned away; relay, news and discovery are those of before, and calls go."""
    program = platform.program
    eventually(lambda: program.said("reload_failed"))
    drain(platform, "b1")
    assert not program.said("reloaded") and not program.said("relay_watch_lost") and none_lost(platform)


def test_reload_meets_the_end(platform):
    program = platform.serving()
    platform.relay_faults += ["silent"] * 99
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("relay_call_unresolved"))
    platform.move()
    program.process.send_signal(signal.SIGHUP)
    assert program.end() == 0
    assert program.log[-1]["event"] == "counters"
