"""A server dies within its answers to clients that speak HTTP/1.0, as a plain front layer does."""

from __future__ import annotations

import signal
import socket
import threading
import time

from common import HOST, Case, main

SIZE = 20_000  # bytes of the answer that each search has; it comes a kilobyte each 100 ms
CLIENTS = 40  # of each version of HTTP
SERVERS = 5

LINES = """
rpc vacancy-search idempotent soft 2s deadline 6s criticality 2
pool nodes slices 64 report 1s probe /health/live come-back 2s
{servers}
route GET /vacancies/{{block}} rpc vacancy-search pool nodes key path 1
limit clients 2000
limit memory 64MB
wait drain 30s
"""


class Client:
    """Asks once, reads to the end and judges the answer as RFC 9112, 6.3 and 8, lets it."""

    def __init__(self, port: int, version: str, number: int) -> None:
        self.port, self.version, self.number = port, version, number
        self.server = ""
        self.verdict = "no answer"
        self.received = 0  # bytes of the body

    def run(self) -> None:
        with socket.create_connection((HOST, self.port), 5) as sock:
            sock.settimeout(20)
            sock.sendall(
                f"GET /vacancies/{self.number} HTTP/{self.version}\r\nHost: eros-1\r\n"
                f"X-Act: chunks,drip=100,size={SIZE}\r\n\r\n".encode()
            )
            data, end = bytearray(), "closed"
            try:
                while True:
                    part = sock.recv(1 << 16)
                    data += part
                    if not part or data.endswith(b"\r\n0\r\n\r\n"):
                        break
            except OSError as error:
                end = type(error).__name__
        self.judge(bytes(data), end)

    def judge(self, data: bytes, end: str) -> None:
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
        self.server = headers.get(b"x-server", b"").decode()
        if lines[0].split()[1] != b"200":
            self.verdict = f"status {lines[0].split()[1].decode()}"
        elif headers.get(b"transfer-encoding") == b"chunked":
            self.received = body.count(b"x")
            self.verdict = "whole" if body.endswith(b"\r\n0\r\n\r\n") else "seen to be broken off"
        elif b"content-length" in headers:
            self.received = len(body)
            self.verdict = (
                "whole" if len(body) == int(headers[b"content-length"]) else "seen to be broken off"
            )
        else:  # its end is that of the connection
            self.received = len(body)
            self.verdict = "whole" if end == "closed" else f"seen to be broken off ({end})"


def play(case: Case) -> list[str]:
    nodes = [case.stand_in(f"n{n}") for n in range(1, SERVERS + 1)]
    servers = [f"server n{n} {HOST}:{port} pool nodes weight 1" for n, (_, port) in enumerate(nodes, 1)]
    _, port = case.sidecar(LINES.format(servers="\n".join(servers)))
    time.sleep(1)
    clients = [Client(port, version, n) for n in range(CLIENTS) for version in ("1.0", "1.1")]
    threads = [threading.Thread(target=client.run) for client in clients]
    for thread in threads:
        thread.start()
    time.sleep(0.9)
    if case.trouble:
        case.signal(nodes[0][0], signal.SIGKILL)  # n1, one of five servers
    for thread in threads:
        thread.join()
    breaches = []
    for client in clients:
        told = {
            name: getattr(client, name) for name in ("version", "number", "server", "verdict", "received")
        }
        case.record("answer", **told)
        if client.verdict == "whole" and client.received != SIZE:
            breaches.append(
                f"HTTP/{client.version} client {client.number} got {client.received} of {SIZE} bytes of "
                f"{client.server} as a whole answer"
            )
        if not case.trouble and client.verdict != "whole":
            breaches.append(f"HTTP/{client.version} client {client.number}: {client.verdict}")
    return breaches


if __name__ == "__main__":
    main(play)
