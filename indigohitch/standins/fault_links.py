"""What a relay of faults does to bytes: a lane is all that goes from one member to another, over whichever of
them dialled; a passage is one connection of theirs, one half a direction.

A lane that is cut holds what it has and what comes, as a network does whose packets are lost: nobody hears of
it, and once it is healed all comes late, in order, unless the connections were reset before."""

from __future__ import annotations

import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..net.clock import SECOND
from ..net.listener import Listener
from ..net.loop import Deadline, EventLoop
from ..net.stream import Stream

# How often a trickling lane lets something through: twenty times a second is slow, and no burst.
DRIP = SECOND // 20
# What a lane holds back in its own queue; the rest waits in the rings, then with the sender.
HELD = 256 << 10


@dataclass(slots=True, frozen=True)
class Fault:
    """What stands on a lane.  `delay`, up to `spread` more: tenths of a ms, in order; `trickle`: bytes a
    second, 0 for no bound; `spoil`: the share of pieces in which one byte is changed."""

    cut: bool = False
    delay: int = 0
    spread: int = 0
    trickle: int = 0
    spoil: float = 0.0


NO_FAULT = Fault()


class FaultLink:
    def __init__(self, sender: str, receiver: str, uniform: Callable[[], float]) -> None:
        self.sender, self.receiver, self.uniform = sender, receiver, uniform
        self.halves: set[Half] = set()
        self.bytes = self.spoilt = 0
        self.fault = NO_FAULT

    def changed(self) -> None:
        for half in list(self.halves):
            half.pump()

    def passed(self, data: bytes) -> bytes:
        self.bytes += len(data)
        if not self.fault.spoil or self.uniform() >= self.fault.spoil:
            return data
        self.spoilt += 1
        at = int(self.uniform() * len(data))
        return data[:at] + bytes([data[at] ^ (1 + int(self.uniform() * 255))]) + data[at + 1 :]


class Half:
    """Bytes of one direction of a passage: out of `source`, into `sink`."""

    def __init__(self, loop: EventLoop, lane: FaultLink) -> None:
        self.loop, self.lane = loop, lane
        self.source: Stream | None = None
        self.sink: Stream | None = None
        self.queue: deque[tuple[int, bytes]] = deque()  # due, piece
        self.held = 0  # bytes in `queue`
        self.last = 0  # due time of the last piece: pieces never overtake
        self.next = 0  # a trickling lane lets nothing through before
        self.ended = ""  # why the source ended: told to the sink after what it sent
        self.timer: Deadline | None = None
        lane.halves.add(self)

    def take(self, data: bytes) -> None:
        fault = self.lane.fault
        wait = fault.delay + int(fault.spread * self.lane.uniform()) if fault.spread else fault.delay
        self.last = max(self.last, self.loop.clock.now() + wait)
        self.queue.append((self.last, data))
        self.held += len(data)

    def pump(self) -> None:
        """Let through what may go now; come again when more may."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        source, sink, lane = self.source, self.sink, self.lane
        while source is not None and source.open and len(source.incoming) and self.held < HELD:
            self.take(source.incoming.take(min(len(source.incoming), HELD)))
            source.resume_reading()
        if lane.fault.cut or sink is None or sink.connecting or not sink.open:
            return
        now, allowed = self.loop.clock.now(), HELD
        if lane.fault.trickle and self.queue:
            if now < self.next:
                self.timer = self.loop.call_at(self.next, self.pump)
                return
            self.next, allowed = now + DRIP, max(1, lane.fault.trickle * DRIP // SECOND)
        while self.queue and self.queue[0][0] <= now and allowed > 0:
            room = min(sink.free_capacity(), allowed)
            if room <= 0:
                return  # `on_output_drained` pumps again
            due, data = self.queue.popleft()
            if len(data) > room:
                self.queue.appendleft((due, data[room:]))
                data = data[:room]
            self.held -= len(data)
            allowed -= len(data)
            sink.write(lane.passed(data))
        if self.queue:
            earliest = self.next if lane.fault.trickle else now
            self.timer = self.loop.call_at(max(earliest, self.queue[0][0]), self.pump)
        elif source is not None and source.open and len(source.incoming):
            self.timer = self.loop.call_at(now, self.pump)  # left while the queue was full
        elif self.ended and not len(sink.outgoing):
            hang_up(sink, self.ended)


def hang_up(stream: Stream, why: str) -> None:
    if why == "reset":
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close("hung up")


class Passage:
    """One connection that a member dialled, and ours to the member that it meant."""

    def __init__(self, gate: Gate, sock: socket.socket) -> None:
        self.gate = gate
        self.forth, self.back = Half(gate.loop, gate.forth), Half(gate.loop, gate.back)
        self.near = Stream.accepted(gate.loop, sock, self, Stream.MAX_BUFFERED, gate.loop.pool)
        self.far: Stream | None = None
        self.forth.source = self.back.sink = self.near
        gate.passages.add(self)
        self.dial()

    def dial(self) -> None:
        """A connection needs both lanes: until then nothing comes of it, and who dialled is not told."""
        if self.far is not None or self.forth.lane.fault.cut or self.back.lane.fault.cut:
            return
        try:
            self.far = Stream.dial(self.gate.loop, self.gate.to, self)
        except OSError:
            self.reset()
            return
        self.forth.sink = self.back.source = self.far

    def on_connected(self, stream: Stream) -> None:
        self.forth.pump()

    def on_data(self, stream: Stream) -> None:
        (self.forth if stream is self.near else self.back).pump()

    def on_output_drained(self, stream: Stream) -> None:
        (self.back if stream is self.near else self.forth).pump()

    def on_closed(self, stream: Stream, why: str) -> None:
        if self not in self.gate.passages:
            return
        out, into = (self.forth, self.back) if stream is self.near else (self.back, self.forth)
        if len(stream.incoming):
            out.take(stream.incoming.take())
        out.ended = "reset" if why in ("reset", "refused") else "ended"
        into.queue.clear()
        into.held = 0
        other = self.far if stream is self.near else self.near
        if other is None or not other.open:
            self.forget()
        else:
            out.pump()

    def reset(self) -> None:
        """Both ends are told at once."""
        self.forget()
        for stream in (self.near, self.far):
            if stream is not None and stream.open:
                hang_up(stream, "reset")

    def forget(self) -> None:
        self.gate.passages.discard(self)
        for half in (self.forth, self.back):
            half.lane.halves.discard(half)
            if half.timer is not None:
                half.timer.cancel()


class Gate:
    """The port that one member's file names for another."""

    def __init__(self, loop: EventLoop, forth: FaultLink, back: FaultLink, to: tuple[str, int]) -> None:
        self.loop, self.forth, self.back, self.to = loop, forth, back, to
        self.passages: set[Passage] = set()
        # Bound and never listening: it keeps the port ours while a refusing gate listens nowhere.
        self.holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.holder.bind(("127.0.0.1", 0))
        self.at = self.holder.getsockname()
        self.listener: Listener | None = None
        self.refuse(False)

    def refuse(self, on: bool) -> None:
        if on and self.listener is not None:
            self.listener.close()
            self.listener = None
        elif not on and self.listener is None:
            self.listener = Listener(self.loop, self.at, self.greet, lambda why: None)

    def greet(self, sock: socket.socket) -> bool:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        Passage(self, sock)
        return True

    def changed(self) -> None:
        """A lane was cut or healed."""
        for passage in list(self.passages):
            passage.dial()

    def reset(self) -> None:
        for passage in list(self.passages):
            passage.reset()

    def close(self) -> None:
        self.reset()
        self.refuse(True)
        self.holder.close()
