"""Entries proposed over a member's control socket; RPCs with a stamp to a stand-in server."""

from __future__ import annotations

import http.client
import json
import socket
import subprocess
import sys
from pathlib import Path


def put(path: str, kind: str, body: list, wait: float = 3.0) -> dict | None:
    """What the member answered; None: nothing, which may mean anything."""
    try:
        return asked(path, [{"ask": "propose", "kind": kind, "body": body}], wait)[0]
    except (OSError, ValueError, IndexError):
        return None


def burst(path: str, count: int, under: str, wait: float = 20.0) -> int:
    """So many notes, as many at a time as a member has room for; how many are known to be written."""
    done, n = 0, 0
    while done < count:
        lines = [{"ask": f"note {under}-{n + i}", "mark": i} for i in range(min(64, count - done))]
        n += len(lines)
        try:
            done += sum("index" in told for told in asked(path, lines, wait))
        except (OSError, ValueError):
            return done
    return done


def asked(path: str, lines: list[dict], wait: float) -> list[dict]:
    """The answers, in the order in which they come.  Raises OSError, ValueError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(wait)
        sock.connect(path)
        sock.sendall(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
        with sock.makefile("rb") as file:
            return [json.loads(file.readline()) for _ in lines]


class Server:
    """A stand-in server as a process, that checks stamps."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "indigohitch", "stand-in", f"127.0.0.1:{self.port}"],
            cwd=Path(__file__).parent.parent,
            stdout=subprocess.PIPE,
        )
        self.process.stdout.readline()

    def ask(self, target: str, stamp=None) -> int:
        """The status of the answer; `stamp`: a fleet.terms.Stamp that the RPC bears."""
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        heads = (
            {}
            if stamp is None
            else {
                "X-Stamp": ".".join(
                    map(str, (stamp.member, stamp.incarnation, stamp.term, stamp.version, stamp.number))
                )
            }
        )
        try:
            link.request("POST", target, b"", heads)
            return link.getresponse().status
        finally:
            link.close()

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
