"""Unit tests of ring buffers, slots, the event loop, the clock, addresses and the log."""

import os
import random
import socket

import orjson
import pytest

from hours import Hours
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.connection import parse_address
from indigohitch.net.loop import EventLoop
from indigohitch.net.ring_buffer import BufferPool, RingBuffer
from indigohitch.net.slot_table import SlotTable


@pytest.mark.parametrize("seed", range(4))
def test_ring_is_a_queue_of_bytes(seed):
    rng, pool = random.Random(seed), BufferPool(1 << 20)
    ring, model = RingBuffer(20_000, pool), b""
    ring_sock, peer_sock = socket.socketpair()
    for sock in (ring_sock, peer_sock):
        sock.setblocking(False)
    for _ in range(3000):
        roll = rng.random()
        if roll < 0.4:
            data = bytes(rng.choices(b"ab\r\n", (40, 40, 1, 1), k=rng.randint(0, 900)))
            assert ring.push(data) == (len(model) + len(data) <= 20_000)
            model += data if len(model) + len(data) <= 20_000 else b""
        elif roll < 0.5:
            peer_sock.send(data := rng.randbytes(rng.randint(1, 900)).replace(b"\n", b""))
            while data:  # the ring reads as much as fits, in parts
                if (received := ring.receive_from(ring_sock)) < 0:
                    assert ring.full and len(model) == 20_000
                    ring_sock.recv(1 << 16)
                    break
                model, data = model + data[:received], data[received:]
        elif roll < 0.6 and model:
            ring.send_to(ring_sock)
            sent = peer_sock.recv(1 << 16)
            assert sent and model.startswith(sent)
            model = model[len(sent) :]
        elif roll < 0.7:
            count = rng.randint(0, len(model))
            assert ring.take(count) == model[:count]
            model = model[count:]
        else:
            line, found, rest = model.partition(b"\n")
            assert ring.line() == (line.removesuffix(b"\r") if found else None)
            model = rest if found else model
        assert len(ring) == len(model) and ring.peek() == model
    ring.close()
    assert pool.available == 1 << 20
    ring_sock.close()
    peer_sock.close()


def test_rings_share_the_limit_of_their_pool():
    pool = BufferPool(12_288)
    first, second = RingBuffer(1 << 20, pool), RingBuffer(1 << 20, pool)
    assert first.push(b"x" * 12_000) and not second.push(b"x" * 5000) and second.push(b"x" * 4096)
    assert second.full
    first.close()
    assert second.push(b"x" * 5000)


def test_slot_numbers_are_reused():
    rng, slots, model, max_number = random.Random(1), SlotTable(), {}, 0
    for item in range(2000):
        if model and rng.random() < 0.5:
            number = rng.choice(sorted(model))
            assert slots.get(number) == model.pop(number)
            slots.drop(number)
        else:
            number = slots.put(item)
            max_number = max(max_number, len(model))  # no number beyond the most items stored at once
            assert number not in model and number <= max_number
            model[number] = item
        assert len(slots) == len(model) and sorted(slots) == sorted(model.values())


def test_deadlines_run_in_order_and_an_exception_stops_none():
    calls, errors = [], []
    loop = EventLoop(Clock(), errors.append)
    now = loop.clock.now()
    loop.call_at(now + 30, lambda: calls.append("late"))
    loop.call_at(now + 20, lambda: calls.append(1 / 0))
    for name in ("first", "second"):
        loop.call_at(now + 10, lambda name=name: calls.append(name))
    loop.call_at(now + 5, lambda: calls.append("cancelled")).cancel()
    while len(calls) < 3:
        loop.turn()
    assert calls == ["first", "second", "late"] and isinstance(errors[0], ZeroDivisionError)
    loop.close()


def test_the_clock_keeps_unix_time_when_the_wall_clock_is_set_back(monkeypatch):
    clock = Clock()
    before = clock.now()
    monkeypatch.setattr("time.time_ns", lambda: 0)
    assert 0 <= clock.now() - before < 100_000 and before > 10_000 * 1_700_000_000


def test_addresses_are_host_and_port():
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)
    for text in ("", "host", ":80", "host:", "host:0", "host:65536", "host:x", "host:-1"):
        with pytest.raises(ValueError):
            parse_address(text)


def test_the_log_limits_repeated_warnings_and_never_blocks():
    hours = Hours()
    read, write = os.pipe()
    os.set_blocking(write, False)
    log = Log(hours, "n0", write)
    for _ in range(100):
        log.warning("line_unreadable", why=b"\xff")
    hours.time += 10_000
    log.warning("line_unreadable")
    lines = [orjson.loads(line) for line in os.read(read, 1 << 16).splitlines()]
    assert len(lines) == Log.MAX_WARNING_RATE + 1 and lines[-1]["left_out"] == 100 - Log.MAX_WARNING_RATE
    assert log.counts["line_unreadable"] == 101 and lines[0]["coordinator"] == "n0"
    for _ in range(2000):  # the pipe is not read
        log.event("phase", now="serving")
    assert log.counts["log_lines_lost"]
    os.close(read)
    os.close(write)


def test_log_lines_stay_short_whatever_peers_send():
    read, write = os.pipe()
    os.set_blocking(write, False)
    log = Log(Hours(), "n0", write)
    log.warning("line_invalid", why="x" * (1 << 20), line=b"x" * 80)
    (line,) = os.read(read, 1 << 20).splitlines()
    assert len(line) < 4096 and orjson.loads(line)["why"] == "x" * 1000
    log.event("reloaded", needs_restart=["settings"] * 20_000)  # more than the pipe accepts at once
    os.read(read, 1 << 20)
    log.event("phase", now="serving")
    log.event("phase", now="ending")
    line_rest, *lines = os.read(read, 1 << 20).splitlines()
    assert not line_rest and [orjson.loads(line)["now"] for line in lines] == ["serving", "ending"]
    os.close(read)
    os.close(write)


def test_packages_import_no_package_of_a_higher_layer():
    """The layers from the bottom: net, platform_protocol, service; benchlink imports none of them."""
    root = os.path.join(os.path.dirname(__file__), "..", "indigohitch")
    for package, forbidden in (
        ("net", ("from ..", "logic", "interface", "platform_protocol")),
        ("platform_protocol", ("service", "benchlink")),
        ("benchlink", ("platform_protocol", "net", "service")),
    ):
        for name in os.listdir(os.path.join(root, package)):
            if name.endswith(".py"):
                with open(os.path.join(root, package, name)) as file:
                    imports = [line for line in file if line.startswith(("from ", "import "))]
                assert not [entry for entry in imports if any(word in entry for word in forbidden)], name
