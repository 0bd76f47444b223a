"""The sidecar's request path: its listener, its clients and its pools."""

from __future__ import annotations

import os
import socket

from ..config.texts import Text
from ..log import Log
from ..net.clock import SECOND
from ..net.listener import Listener
from ..net.loop import EventLoop
from ..net.peer_state import has_peer_left
from ..net.ring_buffer import BufferPool as Memory
from ..net.slot_table import SlotTable
from ..net.stream import Stream
from ..net.worker_thread import WorkerThread
from .access import AccessLog
from .clients import Client
from .heads import RequestHead
from .pool import Pool


class Host:
    """Owns the listener, the client connections and the server pools of a sidecar."""

    SWEEP_INTERVAL = SECOND // 2  # maximum delay in closing slow clients; their time limits are seconds
    ACCEPT_BACKLOG = 1024  # as in Listener.open_socket

    def __init__(self, loop: EventLoop, log: Log, text: Text) -> None:
        self.loop = loop
        self.log = log
        self.text = text
        self.seating = None  # a Seating if the configuration has a fleet with seats
        # Replaced if the configuration has a fleet, whose batches react to the latency.
        self.on_rpc_completed = lambda now, rpc, latency: None
        loop.pool = Memory(text.limits["memory"])
        self.memory = Memory(text.limits["memory"])
        self.clients: SlotTable[Client] = SlotTable()
        self.worker = WorkerThread(loop)
        self.pools = self.make_pools()
        self.listener: Listener | None = None
        self.is_holding_requests = False  # no RPC begins
        self.is_passing_connections = False  # idle clients are passed to another process
        self.pass_on = lambda client: None
        self._sweep = None
        single = text.single
        self.access = (
            AccessLog(
                single["access-log"], single["access-log-form"], lambda: log.count("access_lines_dropped")
            )
            if single["access-log"]
            else None
        )
        # Together these identify a client in the access log.
        self.serial = 0
        self.process_id = f"{os.getpid():x}"
        self.now = loop.clock.now()  # time of this turn, for uses that tolerate a few ms

    def make_pools(self) -> dict[str, Pool]:
        """Creates the pools of the configuration, each with a seed of its own."""
        return {
            name: Pool(self, pool, self.text.single["seed"] + place)
            for place, (name, pool) in enumerate(self.text.pools.items())
        }

    def start(self, listening: socket.socket | None = None) -> None:
        """Starts listening, on `listening` if it is given; raises OSError if the address is not available."""
        self.listener = Listener(
            self.loop,
            self.text.single["listen"],
            self.greet,
            lambda why: self.log.warning("accept_failed", why=why),
            listening,
        )

    def start_sweeps(self) -> None:
        """Starts the periodic sweep of slow clients and idle server connections."""
        self._sweep = self.loop.call_after(self.SWEEP_INTERVAL, self.sweep)

    def greet(self, sock: socket.socket) -> bool:
        """Accepts a client connection; returns False if the connection limit is reached."""
        if len(self.clients) >= self.text.limits["clients"]:
            self.log.warning("connection_limit_reached")
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.add_client(sock)
        self.log.counts["accepted"] += 1
        return True

    def add_client(self, sock: socket.socket, rest: bytes = b"") -> Client:
        """Creates a client for the socket; `rest` is data that was already read from it."""
        client = Client(self)
        self.serial += 1
        client.serial = self.serial
        client.stream = Stream.accepted(self.loop, sock, client, Stream.MAX_BUFFERED, self.memory)
        client.number = self.clients.put(client)
        if rest:
            client.stream.incoming.push(rest)
        return client

    def log_access(
        self, client: Client, head: RequestHead, started_at: int, rpc: str, status: int, size: int
    ) -> None:
        """Adds a line to the access log, if there is one."""
        if self.access is not None:
            request_id = head.values(b"x-id")
            self.access.add(
                started_at,
                self.loop.clock.now(),
                f"{self.process_id}.{client.serial}",
                head.method,
                head.target.decode("latin-1"),
                rpc,
                status,
                size,
                request_id[0].decode("latin-1") if request_id else "",
            )

    def forget(self, client: Client) -> None:
        """Removes a client; does nothing if it was removed before."""
        if client.number >= 0:
            self.clients.drop(client.number)
            client.number = -1

    def turn(self) -> None:
        """Updates `now` and flushes the event batches; called at the end of each turn of the loop."""
        self.now = self.loop.clock.now()
        for pool in self.pools.values():
            pool.event_batch.flush_if_due()

    def sweep(self) -> None:
        """Closes overdue clients and server connections that were idle for too long, and schedules itself."""
        now = self.loop.clock.now()
        delay = now - self._sweep.when  # this process was stalled, the clients were not silent
        for client in self.clients:
            client.last_activity += delay
            if client.stream.reading_paused and has_peer_left(client.stream.sock):
                client.close_at_once()
            elif client.is_overdue(now):
                self.log.count(
                    "client_too_slow" if client.rpc or client.bytes_at_last_sweep else "client_idle_closed"
                )
                client.close_at_once()
        for pool in self.pools.values():
            pool.sweep(now)
        self._sweep = self.loop.call_after(self.SWEEP_INTERVAL, self.sweep)

    def active_rpc_count(self) -> int:
        """Returns the number of clients with an RPC in flight."""
        return sum(client.rpc is not None for client in self.clients)

    def status_fields(self) -> dict:
        """Returns the request path's part of the status answer."""
        return {
            "clients": len(self.clients),
            "in_hand": self.active_rpc_count(),
            "pools": {
                pool.name: {
                    "slices": pool.slices,
                    "without_line": sum(not t.servers for t in pool.tables),
                    "servers": {
                        s.name: {
                            "held": s.held,
                            "idle": len(s.idle),
                            "withdrawn": s.withdrawn,
                            "lines": sum(s in t.servers for t in pool.tables),
                        }
                        for s in pool.servers.values()
                        if s.listed
                    },
                }
                for pool in self.pools.values()
            },
        }

    def accept_pending_connections(self) -> None:
        """Accepts the connections in the listener's queue.

        Called when no other process follows: closing the listener would reset them.
        """
        try:
            for _ in range(self.ACCEPT_BACKLOG):
                sock, _ = self.listener.sock.accept()
                sock.setblocking(False)
                if not self.greet(sock):
                    sock.close()
        except OSError:  # the queue is empty, or no descriptor is left
            pass

    def close_unused_clients(self) -> bool:
        """Closes the connections without an RPC in flight while the process ends.

        Returns whether no connection is left.
        """
        for client in list(self.clients):
            if client.rpc is not None:
                client.close_after |= client.rpc.answer is None
            elif not client.lingering and not len(client.stream.outgoing):
                client.close_gracefully()
        return not len(self.clients)

    def stop_listening(self) -> None:
        """Closes the listener; does nothing if it is closed."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Closes all connections and pools, and writes the rest of the access log."""
        if self._sweep is not None:
            self._sweep.cancel()
        self.stop_listening()
        for client in list(self.clients):
            client.answer_and_close()
        for pool in self.pools.values():
            pool.close()
        self.worker.close()
        if self.access is not None:
            self.access.close()
            self.log.count("access_lines_failed", self.access.failed_line_count)
