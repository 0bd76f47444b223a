"""The fault proxy: each fault has its effect on the links that it is set for, and on no others."""

import random
import socket
import threading
import time

import pytest

from echo import Echo
from indigohitch.standins.fault_proxy import FaultProxy


@pytest.fixture
def pair():
    proxy, a, b = FaultProxy(seed=3), Echo("a"), Echo("b")
    proxy.gate("a", "b", b.address)
    proxy.gate("b", "a", a.address)
    yield proxy, a, b
    for echo in (a, b):
        echo.listener.close()
    proxy.close()


def dial(proxy, sender, receiver):
    sock = socket.create_connection(proxy.gates[sender, receiver].address, 10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def receive(sock, count, timeout=10.0):
    sock.settimeout(timeout)
    received = b""
    while len(received) < count:
        data = sock.recv(65536)
        if not data:
            break
        received += data
    return received


def is_silent(sock, seconds=0.15):
    """Asserts that nothing arrives in that time, not even the end of the stream."""
    sock.settimeout(seconds)
    with pytest.raises(TimeoutError):
        sock.recv(1)
    return True


def wait_until(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met within 10 s"
        time.sleep(0.005)


def test_passes_all_bytes_in_order_without_a_fault(pair):
    proxy, _, b = pair
    data = random.Random(1).randbytes(3_000_000)
    sock = dial(proxy, "a", "b")
    threading.Thread(target=sock.sendall, args=(data,), daemon=True).start()
    assert receive(sock, len(data)) == data and bytes(b.received) == data
    sock.close()
    wait_until(lambda: b.ends == ["ended"])


def test_a_cut_is_silent_and_delivers_late_what_was_sent_meanwhile(pair):
    proxy, _, b = pair
    sock = dial(proxy, "a", "b")
    sock.sendall(b"one")
    assert receive(sock, 3) == b"one"
    proxy.cut("a", "b", both=True)
    sock.sendall(b"two")
    assert is_silent(sock) and bytes(b.received) == b"one"
    fresh = dial(proxy, "a", "b")  # the kernel accepts it; the proxy does not connect upstream
    fresh.sendall(b"new")
    assert is_silent(fresh)
    proxy.heal()
    assert receive(sock, 3) == b"two" and receive(fresh, 3) == b"new"


def test_a_large_backlog_of_a_cut_is_delivered_completely(pair):
    proxy, _, b = pair
    sock = dial(proxy, "a", "b")
    proxy.cut("a", "b")
    data = random.Random(2).randbytes(2_000_000)
    sender = threading.Thread(target=sock.sendall, args=(data,), daemon=True)
    sender.start()
    assert is_silent(sock) and not b.received
    proxy.heal()
    assert receive(sock, len(data)) == data


def test_a_cut_in_one_direction_leaves_the_other_open(pair):
    proxy, a, b = pair
    a_to_b, b_to_a = dial(proxy, "a", "b"), dial(proxy, "b", "a")
    for sock in (a_to_b, b_to_a):
        sock.sendall(b"x")
        assert receive(sock, 1) == b"x"
    proxy.cut("b", "a")  # b receives from a, a receives nothing
    a_to_b.sendall(b"heard")
    wait_until(lambda: bytes(b.received) == b"xheard")
    assert is_silent(a_to_b)
    b_to_a.sendall(b"not")
    assert is_silent(b_to_a) and bytes(a.received) == b"x"
    proxy.heal()
    assert receive(a_to_b, 5) == b"heard" and receive(b_to_a, 3) == b"not"


def test_the_end_of_a_connection_does_not_cross_a_cut(pair):
    proxy, _, b = pair
    sock = dial(proxy, "a", "b")
    sock.sendall(b"x")
    assert receive(sock, 1) == b"x"
    proxy.cut("a", "b")
    sock.sendall(b"last")
    sock.close()
    time.sleep(0.1)
    assert not b.ends
    proxy.heal()
    wait_until(lambda: b.ends and bytes(b.received).startswith(b"xlast"))


def test_heal_with_lose_resets_connections_and_drops_their_data(pair):
    proxy, _, b = pair
    sock = dial(proxy, "a", "b")
    sock.sendall(b"x")
    assert receive(sock, 1) == b"x"
    proxy.cut("a", "b")
    sock.sendall(b"gone")
    assert is_silent(sock)
    proxy.heal(lose=True)
    with pytest.raises(ConnectionResetError):
        receive(sock, 1)
    wait_until(lambda: b.ends == ["reset"])
    assert bytes(b.received) == b"x"


def test_refuse_keeps_open_connections_and_reset_ends_them(pair):
    proxy, _, b = pair
    sock = dial(proxy, "a", "b")
    sock.sendall(b"x")
    assert receive(sock, 1) == b"x"
    proxy.refuse("a", "b")
    with pytest.raises(ConnectionRefusedError):
        dial(proxy, "a", "b")
    sock.sendall(b"y")  # an open connection stays open
    assert receive(sock, 1) == b"y"
    proxy.reset("a", "b")
    with pytest.raises(ConnectionResetError):
        receive(sock, 1)
    wait_until(lambda: b.ends == ["reset"])
    proxy.refuse("a", "b", False)
    sock = dial(proxy, "a", "b")
    sock.sendall(b"z")
    assert receive(sock, 1) == b"z"


def test_delay_keeps_order_and_trickle_limits_the_rate(pair):
    proxy, _, _ = pair
    sock = dial(proxy, "a", "b")
    proxy.slow("a", "b", delay_ms=60, spread_ms=60)
    started = time.monotonic()
    for n in range(50):
        sock.sendall(b"%02d" % n)
    assert receive(sock, 100) == b"".join(b"%02d" % n for n in range(50))
    assert time.monotonic() - started >= 0.06
    proxy.heal()
    proxy.slow("a", "b", trickle=2000)
    started = time.monotonic()
    sock.sendall(b"x" * 1000)
    for _ in range(20):  # pieces that arrive more often are not delivered more often
        sock.sendall(b"y")
    assert receive(sock, 1020) == b"x" * 1000 + b"y" * 20
    assert time.monotonic() - started >= 0.4
    proxy.heal()
    sock.sendall(b"z" * 100_000)
    assert len(receive(sock, 100_000)) == 100_000


def test_the_same_seed_changes_the_same_bytes():
    def run(seed):
        proxy, b = FaultProxy(seed), Echo("b")
        proxy.gate("a", "b", b.address)
        sock = dial(proxy, "a", "b")
        proxy.spoil("a", "b", 0.3)
        for n in range(60):
            sock.sendall(b"%08d" % n)  # waits for each answer, so that the pieces are the same in each run
            receive(sock, 8)
        sock.close()
        b.listener.close()
        proxy.close()
        return bytes(b.received), proxy.figures()

    received, figures = run(5)
    sent = b"".join(b"%08d" % n for n in range(60))
    assert 5 <= figures["spoilt"] <= 35
    assert sum(x != y for x, y in zip(received, sent)) == figures["spoilt"]
    assert run(5) == (received, figures) and run(6)[0] != received


def test_cut_off_and_part_cut_all_links_between_groups():
    proxy = FaultProxy()
    echoes = {name: Echo(name) for name in "abc"}
    for sender in "abc":
        for receiver in "abc":
            if sender != receiver:
                proxy.gate(sender, receiver, echoes[receiver].address)
    proxy.cut_off("a", hears=True)
    assert {pair for pair, link in proxy.links.items() if link.fault.cut} == {("a", "b"), ("a", "c")}
    proxy.heal()
    proxy.part("ab")
    assert {pair for pair, link in proxy.links.items() if link.fault.cut} == {
        ("a", "c"),
        ("b", "c"),
        ("c", "a"),
        ("c", "b"),
    }
    assert [what for _, what in proxy.told] == ["cut_off a hears", "heal", "part a,b"]
    proxy.close()
    for echo in echoes.values():
        echo.listener.close()


def test_a_call_that_fails_in_the_thread_raises_in_the_caller(pair):
    proxy, _, _ = pair
    with pytest.raises(KeyError):
        proxy.cut("a", "nobody")
