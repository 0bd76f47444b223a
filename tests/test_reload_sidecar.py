"""Reload of the configuration under load: no route to a server of the old configuration remains."""

import os
import signal

import pytest

from field import Field, answers
from waiting import eventually


@pytest.fixture
def field(tmp_path):
    field = Field(tmp_path, servers=3)
    field.write(servers=field.servers[:2])
    yield field.start()
    field.close()


def move(field, *lines):
    """Gives `s1` the address of the third stand-in server, which reports the name s2."""
    field.write(*lines, servers=field.servers[:2])
    field.file.write_text(field.file.read_text().replace(field.servers[1], field.servers[2]))


def answering_servers(field):
    return {field.get(f"/vacancies/{n}").headers["X-Server"] for n in range(60)}


def route_counts(field):
    return {name: s["lines"] for name, s in field.ask("status")["pools"]["nodes"]["servers"].items()}


def test_a_server_moves_to_another_address(field):
    assert answering_servers(field) == {"s0", "s1"}
    key = next(n for n in range(60) if field.get(f"/vacancies/{n}").headers["X-Server"] == "s1")
    sock = field.raw(b"POST /vacancies/%d HTTP/1.1\r\nHost: t\r\nContent-Length: 8\r\n\r\nhalf" % key)
    eventually(lambda: field.ask("status")["in_hand"] == 1)
    move(field)
    os.kill(field.process.pid, signal.SIGHUP)
    eventually(lambda: field.said("reloaded", came=["s1"], left=[]))
    assert "s1" not in answering_servers(field)  # at once, before the next round of the decision module
    eventually(
        lambda: "s2" in answering_servers(field)
    )  # a cold server may lose its routes and get some back
    assert sum(route_counts(field).values()) == field.slices
    sock.sendall(b"half")
    assert answers(sock, 1)[0][0] == 200  # in flight during the reload; its connection is not reused
    assert "s1" not in answering_servers(field)
    assert field.ask("upgrade")["result"] == "upgraded" and "s1" not in answering_servers(field)
    eventually(lambda: "s2" in answering_servers(field))
    assert not field.said("defect")


def test_a_server_moves_with_the_upgrade(field):
    move(field)
    assert field.ask("upgrade")["result"] == "upgraded"
    eventually(lambda: field.said("servers_changed", came=["s1"]))  # the log is written concurrently
    assert "s1" not in answering_servers(field)
    eventually(lambda: "s2" in answering_servers(field))
    assert sum(route_counts(field).values()) == field.slices
