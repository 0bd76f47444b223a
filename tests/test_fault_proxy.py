"""The relay of faults: each fault does what it says, to the lane it is told of, and to no other."""

import random
import socket
import threading
import time

import pytest

from echo import Echo
from indigohitch.standins.fault_proxy import FaultProxy


@pytest.fixture
def pair():
    breaker, a, b = FaultProxy(seed=3), Echo("a"), Echo("b")
    breaker.gate("a", "b", b.at)
    breaker.gate("b", "a", a.at)
    yield breaker, a, b
    for echo in (a, b):
        echo.listening.close()
    breaker.close()


def dial(breaker, sender, receiver):
    sock = socket.create_connection(breaker.gates[sender, receiver].at, 10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def taken(sock, count, timeout=10.0):
    sock.settimeout(timeout)
    got = b""
    while len(got) < count:
        data = sock.recv(65536)
        if not data:
            break
        got += data
    return got


def silent(sock, span=0.15):
    """Nothing comes, and no end."""
    sock.settimeout(span)
    with pytest.raises(TimeoutError):
        sock.recv(1)
    return True


def said(condition):
    end = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.005)


def test_passes_all_bytes_in_order_without_a_fault(pair):
    breaker, _, b = pair
    data = random.Random(1).randbytes(3_000_000)
    sock = dial(breaker, "a", "b")
    threading.Thread(target=sock.sendall, args=(data,), daemon=True).start()
    assert taken(sock, len(data)) == data and bytes(b.heard) == data
    sock.close()
    said(lambda: b.ends == ["ended"])


def test_a_cut_is_silent_and_what_was_sent_comes_late(pair):
    breaker, _, b = pair
    sock = dial(breaker, "a", "b")
    sock.sendall(b"one")
    assert taken(sock, 3) == b"one"
    breaker.cut("a", "b", both=True)
    sock.sendall(b"two")
    assert silent(sock) and bytes(b.heard) == b"one"
    fresh = dial(breaker, "a", "b")  # the kernel takes it; nothing comes of it
    fresh.sendall(b"new")
    assert silent(fresh)
    breaker.heal()
    assert taken(sock, 3) == b"two" and taken(fresh, 3) == b"new"


def test_a_large_backlog_of_a_cut_comes_whole(pair):
    breaker, _, b = pair
    sock = dial(breaker, "a", "b")
    breaker.cut("a", "b")
    data = random.Random(2).randbytes(2_000_000)
    sender = threading.Thread(target=sock.sendall, args=(data,), daemon=True)
    sender.start()
    assert silent(sock) and not b.heard
    breaker.heal()
    assert taken(sock, len(data)) == data


def test_one_way_only(pair):
    breaker, a, b = pair
    there, back = dial(breaker, "a", "b"), dial(breaker, "b", "a")
    for sock in (there, back):
        sock.sendall(b"x")
        assert taken(sock, 1) == b"x"
    breaker.cut("b", "a")  # a is heard, and hears nothing
    there.sendall(b"heard")
    said(lambda: bytes(b.heard) == b"xheard")
    assert silent(there)
    back.sendall(b"not")
    assert silent(back) and bytes(a.heard) == b"x"
    breaker.heal()
    assert taken(there, 5) == b"heard" and taken(back, 3) == b"not"


def test_an_end_does_not_cross_a_cut(pair):
    breaker, _, b = pair
    sock = dial(breaker, "a", "b")
    sock.sendall(b"x")
    assert taken(sock, 1) == b"x"
    breaker.cut("a", "b")
    sock.sendall(b"last")
    sock.close()
    time.sleep(0.1)
    assert not b.ends
    breaker.heal()
    said(lambda: b.ends and bytes(b.heard).startswith(b"xlast"))


def test_what_waits_is_lost_with_its_connection_where_told_so(pair):
    breaker, _, b = pair
    sock = dial(breaker, "a", "b")
    sock.sendall(b"x")
    assert taken(sock, 1) == b"x"
    breaker.cut("a", "b")
    sock.sendall(b"gone")
    assert silent(sock)
    breaker.heal(lose=True)
    with pytest.raises(ConnectionResetError):
        taken(sock, 1)
    said(lambda: b.ends == ["reset"])
    assert bytes(b.heard) == b"x"


def test_reset_and_refuse(pair):
    breaker, _, b = pair
    sock = dial(breaker, "a", "b")
    sock.sendall(b"x")
    assert taken(sock, 1) == b"x"
    breaker.refuse("a", "b")
    with pytest.raises(ConnectionRefusedError):
        dial(breaker, "a", "b")
    sock.sendall(b"y")  # what stands, stands
    assert taken(sock, 1) == b"y"
    breaker.reset("a", "b")
    with pytest.raises(ConnectionResetError):
        taken(sock, 1)
    said(lambda: b.ends == ["reset"])
    breaker.refuse("a", "b", False)
    sock = dial(breaker, "a", "b")
    sock.sendall(b"z")
    assert taken(sock, 1) == b"z"


def test_delay_keeps_order_and_trickle_is_slow(pair):
    breaker, _, _ = pair
    sock = dial(breaker, "a", "b")
    breaker.slow("a", "b", delay_ms=60, spread_ms=60)
    begun = time.monotonic()
    for n in range(50):
        sock.sendall(b"%02d" % n)
    assert taken(sock, 100) == b"".join(b"%02d" % n for n in range(50))
    assert time.monotonic() - begun >= 0.06
    breaker.heal()
    breaker.slow("a", "b", trickle=2000)
    begun = time.monotonic()
    sock.sendall(b"x" * 1000)
    for _ in range(20):  # pieces that come often are not let through oftener
        sock.sendall(b"y")
    assert taken(sock, 1020) == b"x" * 1000 + b"y" * 20
    assert time.monotonic() - begun >= 0.4
    breaker.heal()
    sock.sendall(b"z" * 100_000)
    assert len(taken(sock, 100_000)) == 100_000


def test_spoils_the_same_bytes_by_the_same_seed():
    def run(seed):
        breaker, b = FaultProxy(seed), Echo("b")
        breaker.gate("a", "b", b.at)
        sock = dial(breaker, "a", "b")
        breaker.spoil("a", "b", 0.3)
        for n in range(60):
            sock.sendall(b"%08d" % n)  # each answered before the next: pieces are the same
            taken(sock, 8)
        sock.close()
        b.listening.close()
        breaker.close()
        return bytes(b.heard), breaker.figures()

    heard, figures = run(5)
    clean = b"".join(b"%08d" % n for n in range(60))
    assert 5 <= figures["spoilt"] <= 35
    assert sum(x != y for x, y in zip(heard, clean)) == figures["spoilt"]
    assert run(5) == (heard, figures) and run(6)[0] != heard


def test_groups():
    breaker = FaultProxy()
    echoes = {name: Echo(name) for name in "abc"}
    for s in "abc":
        for r in "abc":
            if s != r:
                breaker.gate(s, r, echoes[r].at)
    breaker.cut_off("a", hears=True)
    assert {p for p, lane in breaker.lanes.items() if lane.fault.cut} == {("a", "b"), ("a", "c")}
    breaker.heal()
    breaker.part("ab")
    assert {p for p, lane in breaker.lanes.items() if lane.fault.cut} == {
        ("a", "c"),
        ("b", "c"),
        ("c", "a"),
        ("c", "b"),
    }
    assert [what for _, what in breaker.told] == ["cut_off a hears", "heal", "part a,b"]
    breaker.close()
    for echo in echoes.values():
        echo.listening.close()


def test_a_call_that_breaks_is_told_to_the_caller(pair):
    breaker, _, _ = pair
    with pytest.raises(KeyError):
        breaker.cut("a", "nobody")
