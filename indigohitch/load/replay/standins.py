"""What is asked of stand-ins beside the replay: to prove that they are, and what they acted on."""

from __future__ import annotations

import http.client
import secrets

import orjson

from ...errors import InvalidDataError
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
    """How often each numbered request of the replay `name` was acted on, by all of them.  Raises OSError,
    Unreadable."""
    found: dict[int, int] = {}
    for at in servers:
        try:
            told = orjson.loads(asked(at, "/stats") or b"{}").get("acts", {})
        except (http.client.HTTPException, ValueError, AttributeError) as bad:
            raise InvalidDataError(
                f"no answer that can be read: {type(bad).__name__}: {bad}",
                "{}:{}".format(*at),
                "once it answers, --resume with the same journal asks it again",
            ) from None
        for id, count in told.items():
            trace, _, number = id.rpartition("-")
            if trace == name and number.isdigit():
                found[int(number)] = found.get(int(number), 0) + count
    return found
