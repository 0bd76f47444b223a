"""Steps of pieces as RPCs over HTTP: to the sidecar of this process, whose decision module chooses among the
servers, or to the server that the operator's file names."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...net.clock import SECOND
from ...net.http_client import HttpClient
from ...net.http_exchange import HttpExchange, HttpResponse
from ...net.loop import EventLoop
from ..types import Stamp
from .part import Batches

# The least that an answer is waited for; else twice the pace.  A sidecar's own deadline is shorter.
LEAST = 5 * SECOND
# What a sidecar says where nothing of an RPC has left it (sidecar/rpc.py, 503): another 503 is its server's.
UNSENT = b"no server now"


def outcome(answer: HttpResponse) -> tuple[str, str]:
    """In the runner's words, and why.  Only what surely never ran counts as that."""
    if answer.outcome in ("connect_failed", "unreached"):
        return "not run", ""
    if answer.outcome != "answered":
        return "unknown", f"no answer ({answer.outcome})"
    if answer.status < 400:
        return "ok", ""
    if answer.status == 429 or answer.status == 503 and answer.body.startswith(UNSENT):
        return "not run", ""
    return "unknown" if answer.status >= 500 else "refused", f"answered {answer.status}"


def mark(stamp: Stamp) -> str:
    """As servers and logs have it: member.incarnation.term.version.number."""
    return f"{stamp.member}.{stamp.incarnation}.{stamp.term}.{stamp.version}.{stamp.number}"


class Sending:
    """A `runner.Port`.  `to`: by site and kind of node; `back(piece, step, stamp, outcome, why)`."""

    def __init__(
        self,
        loop: EventLoop,
        part: Batches,
        to: Mapping[tuple[str, str], tuple[str, int]],
        back: Callable[[str, int, Stamp, str, str], None],
    ) -> None:
        self.loop, self.part, self.back = loop, part, back
        # Each step on a connection of its own: one that had rested may close as the RPC goes out, and then
        # nobody knows whether it ran.
        self.clients = {place: HttpClient(loop, where) for place, where in to.items()}

    def send(self, piece: str, step: int, stamp: Stamp) -> None:
        known = self.part.pieces.all[piece]
        rpc, place = self.part.rpc(known.rpc), (known.placing.site, known.placing.kind)
        client = self.clients.get(place)
        if rpc is None or client is None:
            self.loop.call_after(0, lambda: self.back(piece, step, stamp, "not run", "nobody to send it to"))
            return
        target = rpc.path.replace("{piece}", piece).replace("{step}", str(step))
        data = (
            f"POST {target} HTTP/1.1\r\nHost: {client.host}\r\nX-Id: {piece}.{step}\r\n"
            f"X-Stamp: {mark(stamp)}\r\nContent-Length: 0\r\n\r\n"
        ).encode()

        def done(answer: HttpResponse) -> None:
            self.back(piece, step, stamp, *outcome(answer))

        HttpExchange(client, data, max(LEAST, 2 * known.cut.work // known.cut.steps), done).start()

    def close(self) -> None:
        for client in self.clients.values():
            client.close()
