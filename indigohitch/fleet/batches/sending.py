"""Sends the steps of pieces as RPCs over HTTP.

They go to the sidecar of this process, whose decision module chooses the server, or to the server that the
operator's file names.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...net.clock import SECOND
from ...net.http_client import HttpClient
from ...net.http_exchange import HttpExchange
from ...net.http_response import HttpResponse
from ...net.loop import EventLoop
from ..types import Stamp
from .part import Batches

# Shortest timeout of a step's RPC; it is twice the pace if that is longer. A sidecar's own deadline is
# shorter.
MIN_TIMEOUT = 5 * SECOND
# Body of a sidecar's own 503 answer, sent when no part of the RPC has left it (sidecar/rpc.py); any other 503
# comes from the server.
UNSENT = b"no server now"


def outcome(answer: HttpResponse) -> tuple[str, str]:
    """Returns the outcome of an RPC in the runner's terms, and the reason.

    Only an RPC that surely never ran is "not run".
    """
    if answer.outcome in ("connect_failed", "unreached"):
        return "not run", ""
    if answer.outcome != "answered":
        return "unknown", f"no answer ({answer.outcome})"
    if answer.status < 400:
        return "ok", ""
    if answer.status == 429 or answer.status == 503 and answer.body.startswith(UNSENT):
        return "not run", ""
    return "unknown" if answer.status >= 500 else "refused", f"answered {answer.status}"


def format_stamp(stamp: Stamp) -> str:
    """Returns the stamp as servers and logs have it: member.incarnation.term.version.number."""
    return f"{stamp.member}.{stamp.incarnation}.{stamp.term}.{stamp.version}.{stamp.number}"


class Sending:
    """Sends steps; a `runner.Port`.

    `targets`: address by site and kind of node.  `on_outcome(piece, step, stamp, outcome, why)` gets each
    outcome.
    """

    def __init__(
        self,
        loop: EventLoop,
        part: Batches,
        targets: Mapping[tuple[str, str], tuple[str, int]],
        on_outcome: Callable[[str, int, Stamp, str, str], None],
    ) -> None:
        self.loop = loop
        self.part = part
        self.on_outcome = on_outcome
        # Each step has a connection of its own: an idle one may be closed while the RPC is sent, and then it
        # is unknown whether the RPC ran.
        self.clients = {place: HttpClient(loop, target) for place, target in targets.items()}

    def send(self, piece: str, step: int, stamp: Stamp) -> None:
        """Sends the RPC of a step under the stamp of the piece's start."""
        row = self.part.pieces.all[piece]
        rpc = self.part.rpc(row.rpc)
        place = (row.placing.site, row.placing.kind)
        client = self.clients.get(place)
        if rpc is None or client is None:
            self.loop.call_after(
                0, lambda: self.on_outcome(piece, step, stamp, "not run", "no server is known for this step")
            )
            return
        path = rpc.path.replace("{piece}", piece).replace("{step}", str(step))
        data = (
            f"POST {path} HTTP/1.1\r\nHost: {client.host}\r\nX-Id: {piece}.{step}\r\n"
            f"X-Stamp: {format_stamp(stamp)}\r\nContent-Length: 0\r\n\r\n"
        ).encode()

        def done(answer: HttpResponse) -> None:
            self.on_outcome(piece, step, stamp, *outcome(answer))

        HttpExchange(client, data, max(MIN_TIMEOUT, 2 * row.cut.work // row.cut.steps), done).start()

    def close(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            client.close()
