"""One coordinator with a platform of its own: relay, discovery, backends, a collector, and what is true."""

from __future__ import annotations

import random
import signal
from pathlib import Path

from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from proofs.fleetkit.files import held_port

from . import settings
from .collector import Collector
from .discovery import Discovery
from .http_server import Peer, Server
from .process import Coordinator
from .relay import Relay
from .truth import Truth


class Cell:
    LOOK = SECOND // 10  # for a process that ended by itself

    def __init__(self, loop: EventLoop, folder: Path, seed: int, broken: str) -> None:
        folder.mkdir()
        self.loop, self.seed, self.chance = loop, seed, random.Random(seed)
        self.truth = Truth(loop)
        self.nodes = Server(loop, self.probed)  # all backends listen at one address
        self.backends = {f"s-{n:02}": self.nodes.address for n in range(settings.BACKENDS)}
        self.discovery = Discovery(loop, self.chance, self.truth, self.backends)
        self.relay = Relay(loop, self.chance, self.truth, list(self.backends))
        self.held = held_port()  # the address stays the coordinator's own while it is down
        listen = "{}:{}".format(*self.held.getsockname())
        self.coordinator = Coordinator(loop, folder, listen, broken)
        self.coordinator.on_ready = self.ready
        self.collector = Collector(self)
        self.known = self.discovery.whole()  # as a new process has it: old
        self.wall = 0  # s by which its wall clock is off
        self.is_ready = False
        self.starting = 0  # counts starts, for what comes late

    def probed(self, peer: Peer, method: str, target: str, body: str) -> None:
        peer.answer('{"pending":1,"svc_ms":230.5}')

    def start(self) -> None:
        self.starting += 1
        self.write_config()
        self.write_faults()
        self.coordinator.start()
        self.loop.call_after(self.LOOK, self.look_at_process)

    def write_config(self) -> None:
        relay, discovery = self.relay.server.address, self.discovery.server.address
        self.coordinator.write_config(discovery, relay, self.known, self.seed + self.starting)

    def write_faults(self, **told) -> None:
        self.coordinator.write_faults(wall=self.wall, **told)

    def ready(self) -> None:
        """It answers: its proxies join, and time limits begin a second later."""
        self.is_ready = True
        self.truth.process_started()
        if not self.relay.cut:
            self.relay.join()
        self.relay.give_back()
        starting = self.starting
        self.loop.call_after(
            Truth.READY_LIMITS,
            lambda: self.truth.process_ready(True) if self.is_ready and starting == self.starting else None,
        )

    def end(self, number: int) -> None:
        self.is_ready = False
        self.truth.process_ready(False)
        self.relay.leave()
        self.coordinator.end(number)

    def move(self) -> None:
        """What was there takes no new connection; what is open goes on."""
        left = self.relay.server, self.discovery.server
        self.relay.server = Server(self.loop, self.relay.asked, self.relay.left)
        self.discovery.server = Server(self.loop, self.discovery.asked, self.discovery.left)
        self.write_config()
        self.coordinator.signal(signal.SIGHUP)
        for server in left:
            server.listener.close()

    def look_at_process(self) -> None:
        if self.coordinator.runs():
            self.loop.call_after(self.LOOK, self.look_at_process)
        elif not self.coordinator.meant_to_end:
            self.is_ready = False  # a crash, and counted as one: started again
            self.truth.process_ready(False)
            self.relay.leave()
            self.start()

    def converged(self) -> bool:
        """Each slice has a line, and none is at a backend that leaves."""
        tables, leaving = self.truth.tables, self.truth.leaving
        return all(lines and not set(lines) & leaving.keys() for lines in tables.values())
