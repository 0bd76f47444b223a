"""Parts of the network side on their own: seeded runs against plain models, and plain cases."""

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
    ours, theirs = socket.socketpair()
    for sock in (ours, theirs):
        sock.setblocking(False)
    for _ in range(3000):
        roll = rng.random()
        if roll < 0.4:
            data = bytes(rng.choices(b"ab\r\n", (40, 40, 1, 1), k=rng.randint(0, 900)))
            assert ring.push(data) == (len(model) + len(data) <= 20_000)
            model += data if len(model) + len(data) <= 20_000 else b""
        elif roll < 0.5:
            theirs.send(data := rng.randbytes(rng.randint(1, 900)).replace(b"\n", b""))
            while data:  # it reads what it has room for, in pieces
                if (got := ring.receive_from(ours)) < 0:
                    assert ring.full and len(model) == 20_000
                    ours.recv(1 << 16)
                    break
                model, data = model + data[:got], data[got:]
        elif roll < 0.6 and model:
            ring.send_to(ours)
            sent = theirs.recv(1 << 16)
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
    ours.close()
    theirs.close()


def test_rings_together_stay_within_their_pool():
    pool = BufferPool(12_288)
    first, second = RingBuffer(1 << 20, pool), RingBuffer(1 << 20, pool)
    assert first.push(b"x" * 12_000) and not second.push(b"x" * 5000) and second.push(b"x" * 4096)
    assert second.full
    first.close()
    assert second.push(b"x" * 5000)


def test_slots_are_used_again():
    rng, slots, model, most = random.Random(1), SlotTable(), {}, 0
    for n in range(2000):
        if model and rng.random() < 0.5:
            number = rng.choice(sorted(model))
            assert slots.get(number) == model.pop(number)
            slots.drop(number)
        else:
            number = slots.put(n)
            most = max(most, len(model))  # no number beyond what was ever in use at once
            assert number not in model and number <= most
            model[number] = n
        assert len(slots) == len(model) and sorted(slots) == sorted(model.values())


def test_deadlines_come_in_order_and_a_defect_stops_none():
    said, broken = [], []
    loop = EventLoop(Clock(), broken.append)
    now = loop.clock.now()
    loop.call_at(now + 30, lambda: said.append("late"))
    loop.call_at(now + 20, lambda: said.append(1 / 0))
    for name in ("first", "second"):
        loop.call_at(now + 10, lambda name=name: said.append(name))
    loop.call_at(now + 5, lambda: said.append("cancelled")).cancel()
    while len(said) < 3:
        loop.turn()
    assert said == ["first", "second", "late"] and isinstance(broken[0], ZeroDivisionError)
    loop.close()


def test_the_clock_has_the_base_of_unix_time(monkeypatch):
    clock = Clock()
    before = clock.now()
    monkeypatch.setattr("time.time_ns", lambda: 0)  # the wall clock is set back
    assert 0 <= clock.now() - before < 100_000 and before > 10_000 * 1_700_000_000


def test_addresses():
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)
    for bad in ("", "host", ":80", "host:", "host:0", "host:65536", "host:x", "host:-1"):
        with pytest.raises(ValueError):
            parse_address(bad)


def test_the_log_neither_floods_nor_blocks():
    hours = Hours()
    read, write = os.pipe()
    os.set_blocking(write, False)
    log = Log(hours, "n0", write)
    for _ in range(100):
        log.warning("line_unreadable", why=b"\xff")
    hours.time += 10_000
    log.warning("line_unreadable")
    lines = [orjson.loads(line) for line in os.read(read, 1 << 16).splitlines()]
    assert len(lines) == Log.RATE + 1 and lines[-1]["left_out"] == 100 - Log.RATE
    assert log.counts["line_unreadable"] == 101 and lines[0]["coordinator"] == "n0"
    for _ in range(2000):  # nobody reads
        log.event("phase", now="serving")
    assert log.counts["log_lines_lost"]
    os.close(read)
    os.close(write)


def test_no_line_of_the_log_grows_with_what_strangers_say():
    read, write = os.pipe()
    os.set_blocking(write, False)
    log = Log(Hours(), "n0", write)
    log.warning("line_invalid", why="x" * (1 << 20), line=b"x" * 80)
    (line,) = os.read(read, 1 << 20).splitlines()
    assert len(line) < 4096 and orjson.loads(line)["why"] == "x" * 1000
    log.event("reloaded", needs_restart=["settings"] * 20_000)  # more than the pipe takes at once
    os.read(read, 1 << 20)
    log.event("phase", now="serving")
    log.event("phase", now="ending")
    rest, *lines = os.read(read, 1 << 20).splitlines()
    assert not rest and [orjson.loads(line)["now"] for line in lines] == ["serving", "ending"]
    os.close(read)
    os.close(write)


def test_no_package_imports_in_a_circle():
    """Left knows nothing of right: net, platform_protocol, service."""
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
                assert not [i for i in imports if any(word in i for word in forbidden)], name
