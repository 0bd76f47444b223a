"""What may be sent where.  No I/O.

A non-idempotent RPC goes to proven stand-ins only, whatever is allowed: a replay must never reserve a place.
What goes there is remembered, so that each recorded one goes once."""

from __future__ import annotations

import hashlib

from ...errors import InvalidRequestError
from ..entry import Request

PATH = "/.well-known/indigohitch-stand-in"
KEY = b"indigohitch stand-in"


class Refused(InvalidRequestError):
    """The replay does not begin; the text names the line."""


def proof(nonce: str) -> str:
    """What a stand-in answers to a nonce.  A real server can't by accident; it is no secret."""
    return hashlib.blake2b(nonce.encode(), digest_size=16, key=KEY).hexdigest()


def loopback(host: str) -> bool:
    parts = host.split(".")
    return len(parts) == 4 and parts[0] == "127" and all(p.isdigit() and int(p) < 256 for p in parts)


def may_begin(
    host: str, proven: bool, allowed: bool, journal: bool, unsafe: Request | None, sources: list[str]
) -> None:
    """Raises Refused.  `unsafe`: the first non-idempotent request of what is to be sent, if any; `allowed`:
    the user says that the target may be no stand-in."""
    if unsafe is not None and not (proven and journal):
        where = f"{sources[unsafe.file]}:{unsafe.line}"
        what = f"{unsafe.method} {unsafe.target} ({unsafe.rpc}) is non-idempotent"
        if not proven:
            raise Refused(
                f"{what}, and the target has not proved to be a stand-in",
                where,
                "filter such RPCs out, as with --filter method=GET",
            )
        raise Refused(
            f"{what}, and a second run would send it again", where, "name a journal: --journal FILE"
        )
    if not loopback(host) and not allowed:
        raise Refused("the target is not on loopback", host, "--allow-target sends idempotent RPCs there")
    if not proven and not allowed:
        raise Refused(
            "the target has not proved to be a stand-in",
            host,
            "start `indigohitch stand-in` there, or give --allow-target for idempotent RPCs",
        )
