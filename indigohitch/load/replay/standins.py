"""What is asked of stand-ins beside the replay: to prove that they are, and what they acted on."""
from __future__ import annotations

import http.client
import secrets

import orjson

from .safety import PATH, proof


def asked(at: tuple[str, int], path: str) -> bytes:
    """Raises OSError, http.client.HTTPException."""
    connection = http.client.HTTPConnection(*at, timeout=5)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.read(64 << 20) if answer.status == 200 else b""
    finally:
        connection.close()


def proven(servers: list[tuple[str, int]]) -> bool:
    """Every one of them answers a nonce that it can't have met before."""
    for at in servers:
        nonce = secrets.token_hex(16)
        try:
            if asked(at, f"{PATH}?nonce={nonce}").decode("latin-1") != proof(nonce):
                return False
        except (OSError, http.client.HTTPException):
            return False
    return bool(servers)


def acts(servers: list[tuple[str, int]], name: str) -> dict[int, int]:
    """How often each numbered request of the replay `name` was acted on, by all of them."""
    found: dict[int, int] = {}
    for at in servers:
        for id, count in orjson.loads(asked(at, "/stats") or b"{}").get("acts", {}).items():
            trace, _, number = id.rpartition("-")
            if trace == name and number.isdigit():
                found[int(number)] = found.get(int(number), 0) + count
    return found
