"""The result of an HTTP exchange."""

from __future__ import annotations

from dataclasses import dataclass

from .clock import Ticks


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """The result of an exchange.

    `outcome` is "answered" or the reason for a missing response: "connect_failed", "unreached" (the connect
    timed out), "timeout", "reset", "unreadable".  After the last three the server may have executed the
    request.
    """

    outcome: str
    status: int = 0
    body: bytes = b""
    duration: Ticks = 0
