"""The servers of a pool: RPCs in flight, idle connections, and traffic since the last report."""

from __future__ import annotations

from ..net.http_exchange import is_connection_open
from ..net.stream import Stream


class Server:
    """A server of a pool.

    `withdrawn` follows the orders of the decision module; `listed` says whether the configuration has the
    server.
    """

    __slots__ = (
        "name",
        "address",
        "withdrawn",
        "held",
        "idle",
        "max_idle",
        "attempts",
        "failures",
        "successes",
        "success_time",
        "load",
        "listed",
    )

    def __init__(self, name: str, address: tuple[str, int], max_idle: int) -> None:
        self.name = name
        self.address = address
        self.max_idle = max_idle
        self.withdrawn = False
        self.listed = True
        self.held = 0  # RPCs of this sidecar in flight
        self.idle: list[Upstream] = []  # the most recently used last
        self.load: dict[str, float] = {}  # the latest load report
        self.reset_counts()

    def reset_counts(self) -> None:
        """Resets the traffic counts, after a report."""
        self.attempts = 0
        self.failures = 0
        self.successes = 0
        self.success_time = 0

    def take_idle_connection(self) -> Upstream | None:
        """Returns an idle connection, None if there is none that is open and has no unread data.

        An RPC sent on a connection that has ended could be lost even though it must not be repeated, and
        unrequested data would be read as the answer to the next RPC.
        """
        while self.idle:
            found = self.idle.pop()
            if is_connection_open(found.stream.sock):
                return found
            found.stream.close()
        return None

    def keep_connection(self, upstream: Upstream) -> None:
        """Keeps the connection for the next RPC, or closes it if there are enough or the server is out."""
        if self.listed and not self.withdrawn and len(self.idle) < self.max_idle:
            upstream.rpc = None
            upstream.idle_since = upstream.stream.loop.clock.now()
            self.idle.append(upstream)
        else:
            upstream.stream.close()

    def drop_idle(self, unused_since: int | None = None) -> None:
        """Closes all idle connections, or those that have been idle since before `unused_since`.

        The server would close them soon, and a close that overlaps with an RPC costs an attempt.
        """
        while self.idle and (unused_since is None or self.idle[0].idle_since < unused_since):
            self.idle.pop(0).stream.close()


class Upstream:
    """A connection to a server, and the RPC that uses it."""

    __slots__ = ("server", "stream", "rpc", "idle_since", "has_served_rpc")

    def __init__(self, server: Server, rpc) -> None:
        self.server = server
        self.rpc = rpc
        self.has_served_rpc = False
        self.idle_since = 0
        self.stream: Stream | None = None

    # ---- callbacks of the stream

    def on_connected(self, stream: Stream) -> None:
        """Starts sending the RPC."""
        self.rpc.connected()

    def on_data(self, stream: Stream) -> None:
        """Passes received data to the RPC; closes an idle connection that receives data."""
        if self.rpc is not None:
            self.rpc.on_answer_data()
        else:
            self.on_closed(stream, "unasked")
            stream.close()

    def on_output_drained(self, stream: Stream) -> None:
        """Lets the RPC send more of its request."""
        if self.rpc is not None:
            self.rpc.forward_request()

    def on_closed(self, stream: Stream, why: str) -> None:
        """Tells the RPC, or removes the connection from the idle ones."""
        if self.rpc is not None:
            self.rpc.upstream_closed(why)
        elif self in self.server.idle:
            self.server.idle.remove(self)
