"""A server as the sidecar meets it: what is out at it, its kept connections, and what was met there."""

from __future__ import annotations

from ..net.http_exchange import is_connection_open
from ..net.stream import Stream


class Server:
    __slots__ = (
        "name",
        "address",
        "withdrawn",
        "held",
        "idle",
        "most_idle",
        "tries",
        "failures",
        "oks",
        "time",
        "load",
        "listed",
    )

    def __init__(self, name: str, address: tuple[str, int], most_idle: int) -> None:
        self.name, self.address, self.most_idle = name, address, most_idle
        self.withdrawn, self.listed = False, True
        self.held = 0  # own RPCs out
        self.idle: list[Upstream] = []  # the last used last
        self.load: dict[str, float] = {}  # its newest load report
        self.forget_sums()

    def forget_sums(self) -> None:
        self.tries = self.failures = self.oks = self.time = 0

    def spare(self) -> Upstream | None:
        """A kept connection, silent as far as can be seen now: its end would cost an RPC that must not go out
        twice, and bytes that nobody asked for would be the answer to the next."""
        while self.idle:
            found = self.idle.pop()
            if is_connection_open(found.stream.sock):
                return found
            found.stream.close()
        return None

    def keep(self, upstream: Upstream) -> None:
        if self.listed and not self.withdrawn and len(self.idle) < self.most_idle:
            upstream.rpc = None
            upstream.since = upstream.stream.loop.clock.now()
            self.idle.append(upstream)
        else:
            upstream.stream.close()

    def drop_idle(self, since: int | None = None) -> None:
        """Close what stands idle, all or what has since then: the server would close it soon, and a close
        that crosses an RPC costs a try."""
        while self.idle and (since is None or self.idle[0].since < since):
            self.idle.pop(0).stream.close()


class Upstream:
    """One connection to a server, and the RPC that has it."""

    __slots__ = ("server", "stream", "rpc", "since", "used")

    def __init__(self, server: Server, rpc) -> None:
        self.server, self.rpc, self.used, self.since = server, rpc, False, 0
        self.stream: Stream | None = None

    # ---- what the stream tells

    def on_connected(self, stream: Stream) -> None:
        self.rpc.connected()

    def on_data(self, stream: Stream) -> None:
        if self.rpc is not None:
            self.rpc.answer_came()
        else:
            self.on_closed(stream, "unasked")
            stream.close()

    def on_output_drained(self, stream: Stream) -> None:
        if self.rpc is not None:
            self.rpc.upstream_drained()

    def on_closed(self, stream: Stream, why: str) -> None:
        if self.rpc is not None:
            self.rpc.upstream_closed(why)
        elif self in self.server.idle:
            self.server.idle.remove(self)
