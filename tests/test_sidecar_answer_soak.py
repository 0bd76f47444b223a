"""Random answers, whole and broken off, to random clients, beside upgrades and reloads of the sidecar.

SOAK_SECONDS and SOAK_SEED make it longer or other; a failure names the seed.
"""

import os
import signal
import socket
import threading
import time
from random import Random

import pytest

from answer_plans import AnswerPlan, PlanPeer
from field import Field
from received_answer import BROKEN_OFF, NO_ANSWER, WHOLE, split_answers

SECONDS = float(os.environ.get("SOAK_SECONDS", "20"))
SEED = int(os.environ.get("SOAK_SEED", "1"))
CLIENTS = 24
SERVERS = 3
UPGRADE_INTERVAL = 6.0  # s
READ_SIZES = (1 << 16, 1 << 16, 5_000)
PAUSES = (0, 0, 0, 0.002, 0.05)  # s between two reads


@pytest.fixture
def field(tmp_path):
    peers = [PlanPeer() for _ in range(SERVERS)]
    more = [f"server p{n} {peer.address} pool nodes" for n, peer in enumerate(peers)]
    field = Field(tmp_path, servers=1, more=[*more, "limit memory 256KB", "wait drain 20s"])
    field.write(servers=[])
    field.start()
    yield field
    field.close()
    for peer in peers:
        peer.close()


class Client(threading.Thread):
    """Sends one to three requests on each of its connections, reads at its pace and judges the answers."""

    def __init__(self, address, seed, until):
        super().__init__()
        self.address, self.random, self.until = address, Random(seed), until
        self.breaches, self.verdicts = [], []

    def run(self):
        while time.monotonic() < self.until:
            plans = [AnswerPlan.draw(self.random) for _ in range(self.random.choice((1, 1, 2, 3)))]
            versions = ["1.1"] * (len(plans) - 1) + [self.random.choice(("1.0", "1.1"))]
            sent, data, was_reset = self.exchange(plans, versions)
            self.judge(plans, versions, split_answers(data, was_reset, sent))

    def exchange(self, plans, versions):
        """Returns how many requests went out on a connection, all that came, and whether a reset ended it."""
        size, pause = self.random.choice(READ_SIZES), self.random.choice(PAUSES)
        data = bytearray()
        with socket.socket() as sock:
            if size < 1 << 16:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.settimeout(30)
            sock.connect(self.address)
            sent = 0
            try:
                for plan, version in zip(plans, versions):
                    sock.sendall(self.request(plan, version, is_last=plan is plans[-1]))
                    sent += 1
                while part := sock.recv(size):
                    data += part
                    time.sleep(pause)
            except (ConnectionResetError, BrokenPipeError):
                return sent, bytes(data), True
        return sent, bytes(data), False

    def request(self, plan, version, is_last):
        close = "Connection: close\r\n" if is_last else ""
        target = f"/vacancies/{self.random.randrange(1000)}?{plan.query}"
        return f"GET {target} HTTP/{version}\r\nHost: t\r\n{close}\r\n".encode()

    def judge(self, plans, versions, answers):
        for plan, version, answer in zip(plans, versions, answers):
            verdict = answer.verdict
            own = verdict == WHOLE and answer.status >= 500
            self.verdicts.append("status 5xx" if own else verdict)
            what = f"HTTP/{version} {plan}: {verdict}, {len(answer.data)} bytes, reset {answer.was_reset}"
            if verdict == NO_ANSWER:
                self.breaches.append(what)
            elif verdict == WHOLE and not own and answer.body != plan.body and not plan.may_look_whole:
                self.breaches.append(what)
            elif verdict == BROKEN_OFF and plan.is_whole:
                self.breaches.append(what)
            if verdict != WHOLE:
                return  # the connection has ended


def test_random_answers_are_whole_or_seen_to_be_broken(field):
    """Guards against any answer that is taken for whole and is not, or broken off though it was whole."""
    host, port = field.listen.split(":")
    until = time.monotonic() + SECONDS
    clients = [Client((host, int(port)), SEED * 1000 + number, until) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    upgrades = []
    while time.monotonic() < until - UPGRADE_INTERVAL:
        time.sleep(UPGRADE_INTERVAL)
        os.kill(field.pid(), signal.SIGHUP)
        upgrades.append(field.ask("upgrade", 30)["result"])
    for client in clients:
        client.join(60)
    verdicts = [verdict for client in clients for verdict in client.verdicts]
    breaches = [breach for client in clients for breach in client.breaches]
    assert not breaches, f"seed {SEED}: {len(breaches)} of {len(verdicts)}: {breaches[:5]}"
    assert not field.said("defect")
    assert "upgraded" in upgrades and set(upgrades) <= {"upgraded", "not now"}
    assert {WHOLE, BROKEN_OFF, "status 5xx"} <= set(verdicts)  # all kinds were met
