"""Entries proposed over a member's control socket."""
from __future__ import annotations

import json
import socket


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
