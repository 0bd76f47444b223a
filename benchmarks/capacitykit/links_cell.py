"""Connections between members: one process with links to so many, each a connection either way.

The far ends are one process of plain sockets (`links_far`), which greets, answers pulses and throws away what
comes.  Each peer has an address of its own in 127.1.0.0/16, as a link is told by the name that it
was dialled for."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from indigohitch.fleet.node.messages import KINDS
from indigohitch.fleet.raft.messages import AppendEntries, AppendEntriesResponse
from indigohitch.fleet.transport.links import Transport
from indigohitch.fleet.transport.outbound import Phase
from indigohitch.fleet.types import MemberId
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from waiting import free_address

from .measuring import Memory

BEAT = 1_000  # of links, as a member's process has it: 100 ms
IDLE_SECONDS = 1.5
TIMES = 5
PATIENCE = 60.0  # seconds until all are met
FLEET = "bench"


def address_of(number: int) -> str:
    return f"127.1.{number >> 8}.{number & 255}"


class Near:
    """The process measured."""

    def __init__(self, connections: int) -> None:
        self.clock = Clock()
        self.loop = EventLoop(self.clock, self.failed)
        self.log = Log(self.clock, "near", output_fd=-1)  # lines are lost, and counted
        self.links = Transport(self.loop, self.log, KINDS, FLEET, MemberId("near", 1), 1, lambda: 0.5)
        self.heard = 0
        self.links.deliver = self.hear
        self.names = [f"far{number}" for number in range(connections)]

    def failed(self, bad: BaseException) -> None:
        raise bad

    def hear(self, who: MemberId, word) -> None:
        self.heard += 1

    def begin(self) -> subprocess.Popen:
        """Listens, and starts the far ends, which say where they listen."""
        host, port = free_address().split(":")
        self.links.start((host, int(port)))
        far = subprocess.Popen(
            [sys.executable, str(Path(__file__).with_name("links_far.py")), port, str(len(self.names))],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        far_port = int(far.stdout.readline())
        self.links.set_peers({name: (address_of(number), far_port) for number, name in enumerate(self.names)})
        far.stdin.write("dial\n")
        far.stdin.flush()
        self.beat()
        return far

    def beat(self) -> None:
        self.loop.call_after(BEAT, self.beat)
        self.links.tick()

    def until(self, true, seconds: float = PATIENCE) -> None:
        end = time.monotonic() + seconds
        while not true():
            if time.monotonic() > end:
                raise TimeoutError("the links measured did not come up or fell silent")
            self.loop.turn()

    def met(self) -> bool:
        open_links = sum(link.phase is Phase.OPEN for link in self.links.peers.values())
        return open_links == len(self.names) == len(self.links.inbound)

    def say_to_all(self) -> float:
        """One word to each, encoded and written; processor milliseconds."""
        word = AppendEntries(1, 100, 1, 100, (), 0, 12_345_678)
        began = time.process_time()
        said = sum(self.links.send_to(name, word) for name in self.names)
        spent = time.process_time() - began
        if said != len(self.names):
            raise RuntimeError(f"{said} of {len(self.names)} words went out")
        return 1000 * spent

    def hear_of_all(self, far: subprocess.Popen) -> float:
        """One word of each, read and decoded; processor milliseconds."""
        self.heard = 0
        began = time.process_time()
        far.stdin.write("say\n")
        far.stdin.flush()
        self.until(lambda: self.heard >= len(self.names))
        return 1000 * (time.process_time() - began)

    def idle(self) -> float:
        """Percent of a core while only pulses go to and fro."""
        end = time.monotonic() + IDLE_SECONDS
        began = time.process_time()
        self.until(lambda: time.monotonic() >= end)
        return 100 * (time.process_time() - began) / IDLE_SECONDS


def measure(connections: int) -> dict[str, float]:
    memory, near = Memory(), Near(connections)
    far = near.begin()
    try:
        near.until(near.met)
        meeting_mb, descriptors = memory.grown_mb(), len(os.listdir("/proc/self/fd"))
        idle_pct = near.idle()
        say = sorted(near.say_to_all() for _ in range(TIMES))
        hear = sorted(near.hear_of_all(far) for _ in range(TIMES))
    finally:
        far.kill()
        far.wait()
        near.links.close()
        far.stdin.close()
        far.stdout.close()
    return {
        "idle_pct": idle_pct,
        "say_ms": say[TIMES // 2],
        "hear_ms": hear[TIMES // 2],
        "memory_mb": meeting_mb,
        "descriptors": float(descriptors),
    }


def said_frame() -> bytes:
    """What a far end says: a follower's answer."""
    return KINDS.frame(AppendEntriesResponse(1, True, 100))


def listeners(count: int) -> tuple[list[socket.socket], int]:
    """One listener an address, all at one port."""
    first = socket.create_server((address_of(0), 0), backlog=8)
    port = first.getsockname()[1]
    return [first, *(socket.create_server((address_of(n), port), backlog=8) for n in range(1, count))], port
