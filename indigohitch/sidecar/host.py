"""The sidecar's request path as one object: its listener, clients and pools."""

from __future__ import annotations

import os
import socket

from ..config.texts import Text
from ..log import Log
from ..net.clock import SECOND
from ..net.listener import Listener
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool as Memory
from ..net.slot_table import SlotTable
from ..net.stream import Stream
from ..net.worker_thread import WorkerThread
from .access import AccessLog
from .clients import Client
from .pool import Pool


class Host:
    SWEEP = SECOND // 2  # slow clients are ended as late as that: their waits are seconds
    QUEUE = 1024  # as many may wait to be accepted, says Listener.open_socket

    def __init__(self, loop: EventLoop, log: Log, text: Text) -> None:
        self.loop, self.log, self.text = loop, log, text
        self.seating = None  # where the file has a fleet: sidecar/seating.py
        self.felt = lambda now, rpc, latency: None  # where the file has a fleet, its batches hear it
        loop.pool = Memory(text.limits["memory"])
        self.memory = Memory(text.limits["memory"])
        self.clients: SlotTable[Client] = SlotTable()
        self.worker = WorkerThread(loop)
        self.pools = self.make_pools()
        self.listener: Listener | None = None
        self.holding = self.passing = False  # no RPC begins; idle clients go to another process
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
        self.serial, self.process = 0, f"{os.getpid():x}"  # of clients, for the access log
        self.now = loop.clock.now()  # of this turn: for what may be a few ms late

    def make_pools(self) -> dict[str, Pool]:
        return {
            name: Pool(self, pool, self.text.single["seed"] + place)
            for place, (name, pool) in enumerate(self.text.pools.items())
        }

    def start(self, listening: socket.socket | None = None) -> None:
        """OSError where the address can't be had; `listening`: a socket that does already."""
        self.listener = Listener(
            self.loop,
            self.text.single["listen"],
            self.greet,
            lambda why: self.log.warning("accept_failed", why=why),
            listening,
        )

    def go(self) -> None:
        self._sweep = self.loop.call_after(self.SWEEP, self.sweep)

    def greet(self, sock: socket.socket) -> bool:
        if len(self.clients) >= self.text.limits["clients"]:
            self.log.warning("connection_limit_reached")
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.take(sock)
        self.log.counts["accepted"] += 1
        return True

    def take(self, sock: socket.socket, rest: bytes = b"") -> Client:
        client = Client(self)
        self.serial += 1
        client.serial = self.serial
        client.stream = Stream.accepted(self.loop, sock, client, Stream.MAX_BUFFERED, self.memory)
        client.number = self.clients.put(client)
        if rest:
            client.stream.incoming.push(rest)
        return client

    def note(self, client: Client, head, began: int, rpc: str, status: int, size: int) -> None:
        """One line of the access log."""
        if self.access is not None:
            id = head.values(b"x-id")
            self.access.add(
                began,
                self.loop.clock.now(),
                f"{self.process}.{client.serial}",
                head.method,
                head.target.decode("latin-1"),
                rpc,
                status,
                size,
                id[0].decode("latin-1") if id else "",
            )

    def forget(self, client: Client) -> None:
        if client.number >= 0:
            self.clients.drop(client.number)
            client.number = -1

    def turn(self) -> None:
        """At the end of each turn of the loop."""
        self.now = self.loop.clock.now()
        for pool in self.pools.values():
            pool.event_batch.flush_if_due()

    def sweep(self) -> None:
        now = self.loop.clock.now()
        late = now - self._sweep.when  # this process stood still for so long: no silence of theirs
        for client in self.clients:
            client.since += late
            if client.overdue(now):
                self.log.count("client_too_slow" if client.rpc or client.marked else "client_idle_closed")
                client.stream.close()
                client.gone()
        for pool in self.pools.values():
            pool.sweep(now)
        self._sweep = self.loop.call_after(self.SWEEP, self.sweep)

    def in_hand(self) -> int:
        return sum(client.rpc is not None for client in self.clients)

    def figures(self) -> dict:
        return {
            "clients": len(self.clients),
            "in_hand": self.in_hand(),
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

    def accept_last(self) -> None:
        """No process comes after this one: who has connected already would be reset."""
        try:
            for _ in range(self.QUEUE):
                sock, _ = self.listener.sock.accept()
                sock.setblocking(False)
                if not self.greet(sock):
                    sock.close()
        except OSError:  # none more, or no descriptor left
            pass

    def finish(self) -> bool:
        """While the process ends: end the connections that nothing is out for; True: there are none left."""
        for client in list(self.clients):
            if client.rpc is not None:
                client.close_after |= client.rpc.answer is None
            elif not client.lingering and not len(client.stream.outgoing):
                client.part()
        return not len(self.clients)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
        self.stop_listening()
        for client in list(self.clients):
            client.stream.close()
            client.gone()
        for pool in self.pools.values():
            pool.close()
        self.worker.close()
        if self.access is not None:
            self.access.close()
            self.log.count("access_lines_failed", self.access.failed)
