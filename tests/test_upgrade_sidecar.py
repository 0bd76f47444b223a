"""Upgrades of a sidecar process under load, and new processes that fail at each point of an upgrade."""

import os
import signal
import threading
import time

import pytest

from field import Field, answers
from waiting import eventually

# A new process that hangs exceeds a short timeout; the others are too long to expire on a busy machine.
LONG_TIMEOUTS = {"start": "30s", "takeover": "20s", "commit": "10s"}
TIMEOUTS_BY_HANG_POINT = {
    "start": {"start": "4s"},
    "hello": {"takeover": "3s"},
    "half": {"takeover": "3s"},
    "commit": {"commit": "2s"},
}


@pytest.fixture
def field(tmp_path, request):
    params = request.node.callspec.params if hasattr(request.node, "callspec") else {}
    timeouts = LONG_TIMEOUTS | {"watch": "300ms", "drain": "4s"}
    timeouts |= TIMEOUTS_BY_HANG_POINT[params["point"]] if params.get("how") == "hang" else {}
    sidecar_field = Field(
        tmp_path,
        slices=600,
        deadlines=("20s", "20s"),  # the state needs more than one chunk
        more=[f"wait {name} {span}" for name, span in timeouts.items()],
    ).start()
    yield sidecar_field
    sidecar_field.close()


# Each fault with the reported reason; no request is lost before the new process accepts.
@pytest.mark.parametrize(
    "point, how, reason",
    [
        ("start", "crash", "ended with"),
        ("start", "hang", "while offered"),
        ("hello", "hang", "while giving"),
        ("listener", "crash", "ended with"),
        ("half", "crash", "ended with"),
        ("half", "hang", "while giving"),
        ("restored", "crash", "ended with"),
        ("proven", "exit", ""),
        ("commit", "crash", ""),
        ("commit", "hang", "after the commit"),
        ("newer", "none", "schema"),
        ("differs", "none", "different"),
        ("garbled", "none", "another protocol"),
        ("descriptors", "none", "descriptors ran out"),
    ],
)
def test_a_new_process_that_fails_before_it_accepts_loses_no_request(field, point, how, reason):
    load = field.load(120, 6.5 if how == "hang" else 2.5)
    time.sleep(0.3)
    old_pid = field.pid()
    field.fault(point, how)
    result = field.ask("upgrade")
    assert reason in result["error"] and field.said("fault", point=point), result
    assert field.pid() == old_pid and field.get().status == 200
    field.fault("", "")
    # After a hang this upgrade has the same short timeout.
    eventually(lambda: field.ask("upgrade")["result"] == "upgraded")
    assert field.pid() != old_pid
    load_result = load.join()
    assert load_result["lost"] == 0, load_result
    executions = field.acts()
    assert all(executions.get(id) == 1 for id in load.made.reserves)
    eventually(field.one)
    assert all(event["equal"] for event in field.said("state_compared")) and field.said("state_compared")


@pytest.mark.parametrize("point", ["accept", "drain"])
def test_a_new_process_that_dies_after_accepting_loses_only_its_own_connections(field, point):
    """The old process still monitors the new one and accepts again.

    Connections that the new process had taken over are closed; new connections are served by the old process.
    """
    old_pid = field.pid()
    field.fault(point, "crash")
    # A slow request makes the drain longer than the `watch` timeout.
    slow = field.raw(b"GET /vacancies/1 HTTP/1.1\r\nHost: t\r\nX-Act: wait=2500\r\n\r\n")
    time.sleep(0.2)
    upgrading = threading.Thread(target=lambda: field.ask("upgrade"))
    upgrading.start()
    eventually(lambda: field.said("takeover", now="following"))
    lost = field.raw(b"GET /vacancies/2 HTTP/1.1\r\nHost: t\r\n\r\n")
    eventually(lambda: field.said("upgrade_taken_back"))
    upgrading.join()
    assert field.pid() == old_pid
    assert field.get().status == 200 and answers(slow, 1)[0][0] == 200
    if point == "accept":
        with pytest.raises(ConnectionError):  # the new process had accepted this connection
            if not lost.recv(1):
                raise ConnectionError
    field.fault("", "")
    assert field.ask("upgrade")["result"] == "upgraded"


@pytest.mark.parametrize("point, restored", [("start", False), ("restored", True)])
def test_the_new_process_serves_after_the_old_one_dies_during_the_upgrade(field, point, restored):
    old_pid = field.pid()
    field.fault(point, "wait")
    threading.Thread(target=lambda: pytest.raises((OSError, ValueError), field.ask, "upgrade")).start()
    eventually(lambda: field.said("upgrade", now="restored" if restored else "offered"))
    eventually(lambda: field.said("fault", point=point))  # the old process logs "offered" before it starts it
    os.kill(old_pid, signal.SIGKILL)
    field.process.wait()
    eventually(lambda: field.said("begun_as_orphan"))
    assert field.said("begun_as_orphan")[0]["restored"] is restored
    eventually(lambda: field.said("phase", now="serving")[1:])
    assert field.get().status == 200 and field.pid() != old_pid


def test_partial_and_pipelined_requests_are_answered_across_an_upgrade(field):
    partial = field.raw(b"GET /vacancies/1 HTTP/1.1\r\nHo")
    pipelined = field.raw(
        b"GET /vacancies/1 HTTP/1.1\r\nHost: t\r\nX-Act: wait=700\r\n\r\n"
        + 2 * b"GET /vacancies/2 HTTP/1.1\r\nHost: t\r\n\r\n"
    )
    time.sleep(0.2)
    old_pid = field.pid()
    assert field.ask("upgrade")["result"] == "upgraded"
    partial.sendall(b"st: t\r\n\r\n")
    assert answers(partial, 1)[0][0] == 200
    assert [status for status, _ in answers(pipelined, 3)] == [200] * 3
    assert field.pid() != old_pid
    eventually(field.one)
    partial.sendall(b"GET /vacancies/4 HTTP/1.1\r\nHost: t\r\n\r\n")
    assert answers(partial, 1)[0][0] == 200  # the same connection, in the new process


def test_a_request_whose_body_arrives_during_the_drain_is_executed_once(field):
    sock = field.raw(
        b"POST /places/7/reserve HTTP/1.1\r\nHost: t\r\nX-Id: one\r\nX-Act: wait=600\r\n"
        b"Content-Length: 5\r\n\r\n"
    )
    time.sleep(0.2)
    assert field.ask("upgrade")["result"] == "upgraded"
    sock.sendall(b"hello")  # the rest of its body, to the old process
    assert answers(sock, 1)[0][0] == 200
    assert field.acts() == {"one": 1}


def test_a_response_longer_than_the_drain_timeout_is_cut(field):
    """The old process closes the connection after `wait drain` and logs it."""
    sock = field.raw(b"GET /vacancies/1 HTTP/1.1\r\nHost: t\r\nX-Act: size=100000,drip=100\r\n\r\n")
    sock.recv(1000)
    assert field.ask("upgrade")["result"] == "upgraded"
    started_at = time.monotonic()
    received = 0
    while data := sock.recv(65536):
        received += len(data)
    assert 2.5 < time.monotonic() - started_at < 6 and received < 100000
    assert field.said("rpc_outlived_the_bound")
    assert field.get().status == 200


def test_during_an_upgrade_a_second_one_is_refused_and_signals_take_effect(field):
    field.fault("restored", "wait")
    results = []
    upgrading = threading.Thread(target=lambda: results.append(field.ask("upgrade")))
    upgrading.start()
    eventually(lambda: field.said("upgrade", now="offered"))
    assert field.ask("upgrade")["result"] == "not now"
    field.write(servers=field.servers[:1])  # reloaded by the process that serves after the upgrade
    os.kill(field.pid(), signal.SIGHUP)
    upgrading.join()
    assert results[0]["result"] == "upgraded"
    eventually(lambda: field.said("reloaded"))
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"})
    eventually(field.one)
    field.fault("restored", "wait")
    upgrading = threading.Thread(target=lambda: results.append(field.ask("upgrade")))
    upgrading.start()
    eventually(lambda: len(field.said("upgrade", now="offered")) == 2)
    os.kill(field.pid(), signal.SIGTERM)
    upgrading.join()
    assert results[1]["error"] == "told to end"
    eventually(lambda: not any(field.mine(event["pid"]) for event in field.said("starts")))


def test_an_invalid_operator_file_cancels_the_upgrade(field):
    old_pid = field.pid()
    field.write("wiat drain 3s")
    assert "ended with 1" in field.ask("upgrade")["error"]
    assert field.pid() == old_pid and field.get().status == 200


def test_an_upgrade_applies_a_changed_list_of_servers(field):
    field.write(servers=field.servers[:1])
    assert field.ask("upgrade")["result"] == "upgraded"
    assert eventually(lambda: field.said("servers_changed"))[0]["left"] == ["s1"]
    eventually(lambda: {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(20)} == {"s0"}, 2)


def test_the_state_file_is_written_at_exit_and_read_at_start(tmp_path):
    field = Field(tmp_path, more=[f"state {tmp_path / 'state'}"])
    try:
        field.start()
        assert field.ask("snapshot")["bytes"] > 1000
        server_by_key = {n: field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(30)}
        os.kill(field.pid(), signal.SIGTERM)
        assert field.process.wait(5) == 0
        field.start()
        assert field.said("state_read")
        assert {n: field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(30)} == server_by_key
        os.kill(field.pid(), signal.SIGTERM)
        field.process.wait(5)
        data = bytearray((tmp_path / "state").read_bytes())
        data[len(data) // 2] ^= 8
        (tmp_path / "state").write_bytes(data)
        field.start()
        assert "digest" in field.said("state_refused")[0]["why"] and field.get().status == 200
    finally:
        field.close()
