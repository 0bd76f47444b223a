"""The links, connections and listeners of the fault proxy (fault_proxy.py).

A link that is cut keeps what it holds and what arrives, as a network does while packets are lost: neither end
is notified, and once it is healed all is delivered late, in order, unless the connections were reset before.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..net.clock import SECOND
from ..net.listener import Listener
from ..net.loop import Deadline, EventLoop
from ..net.stream import Stream

# A throttled link delivers bytes twenty times a second: slow, and without bursts.
TRICKLE_INTERVAL = SECOND // 20
# The bytes that one direction keeps in its own queue; the rest waits in the ring buffers, then at the sender.
QUEUE_BYTES = 256 << 10


@dataclass(slots=True, frozen=True)
class Fault:
    """The faults of one link: delays of `delay` to `delay + spread` tenths of a ms, in order.

    `trickle`: limit in bytes a second, 0 for none; `spoil`: the share of pieces in which one byte is changed.
    """

    cut: bool = False
    delay: int = 0
    spread: int = 0
    trickle: int = 0
    spoil: float = 0.0


NO_FAULT = Fault()


class FaultLink:
    """All bytes from `sender` to `receiver`, whichever of them connected; counts bytes and changed pieces."""

    def __init__(self, sender: str, receiver: str, uniform: Callable[[], float]) -> None:
        self.sender, self.receiver, self.uniform = sender, receiver, uniform
        self.directions: set[_Direction] = set()
        self.bytes = self.spoilt = 0
        self.fault = NO_FAULT

    def on_fault_changed(self) -> None:
        """Continues delivery in all directions of the link, under the new fault."""
        for direction in list(self.directions):
            direction.pump()

    def transmit(self, data: bytes) -> bytes:
        """Counts `data` and returns it, with one byte changed where the link's `spoil` fault says so."""
        self.bytes += len(data)
        if not self.fault.spoil or self.uniform() >= self.fault.spoil:
            return data
        self.spoilt += 1
        index = int(self.uniform() * len(data))
        return data[:index] + bytes([data[index] ^ (1 + int(self.uniform() * 255))]) + data[index + 1 :]


class _Direction:
    """One direction of a connection: bytes read from `source`, delivered to `sink`."""

    def __init__(self, loop: EventLoop, link: FaultLink) -> None:
        self.loop, self.link = loop, link
        self.source: Stream | None = None
        self.sink: Stream | None = None
        self.queue: deque[tuple[int, bytes]] = deque()  # due time, piece
        self.queued_bytes = 0  # in `queue`
        self.last_due = 0  # due time of the last piece: pieces never overtake each other
        self.next_delivery = 0  # a throttled link delivers nothing before this time
        self.ended = ""  # how the source ended; the sink is closed that way after the last byte
        self.timer: Deadline | None = None
        link.directions.add(self)

    def enqueue(self, data: bytes) -> None:
        fault = self.link.fault
        delay = fault.delay + int(fault.spread * self.link.uniform()) if fault.spread else fault.delay
        self.last_due = max(self.last_due, self.loop.clock.now() + delay)
        self.queue.append((self.last_due, data))
        self.queued_bytes += len(data)

    def pump(self) -> None:
        """Delivers what is due now and sets a timer for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        source, sink, link = self.source, self.sink, self.link
        while source is not None and source.open and len(source.incoming) and self.queued_bytes < QUEUE_BYTES:
            self.enqueue(source.incoming.take(min(len(source.incoming), QUEUE_BYTES)))
            source.resume_reading()
        if link.fault.cut or sink is None or sink.connecting or not sink.open:
            return
        now, allowed = self.loop.clock.now(), QUEUE_BYTES
        if link.fault.trickle and self.queue:
            if now < self.next_delivery:
                self.timer = self.loop.call_at(self.next_delivery, self.pump)
                return
            self.next_delivery = now + TRICKLE_INTERVAL
            allowed = max(1, link.fault.trickle * TRICKLE_INTERVAL // SECOND)
        while self.queue and self.queue[0][0] <= now and allowed > 0:
            room = min(sink.free_capacity(), allowed)
            if room <= 0:
                return  # `on_output_drained` pumps again
            due_at, data = self.queue.popleft()
            if len(data) > room:
                self.queue.appendleft((due_at, data[room:]))
                data = data[:room]
            self.queued_bytes -= len(data)
            allowed -= len(data)
            sink.write(link.transmit(data))
        if self.queue:
            earliest = self.next_delivery if link.fault.trickle else now
            self.timer = self.loop.call_at(max(earliest, self.queue[0][0]), self.pump)
        elif source is not None and source.open and len(source.incoming):
            self.timer = self.loop.call_at(now, self.pump)  # unread while the queue was full
        elif self.ended and not len(sink.outgoing):
            close_stream(sink, self.ended)


def close_stream(stream: Stream, why: str) -> None:
    """Closes the stream; `why` "reset" makes the kernel send a TCP reset."""
    if why == "reset":
        stream.set_ends_with_reset(True)
    stream.close("hung up")


class _ProxiedConnection:
    """One connection that a member opened, and the proxy's own connection to the member behind the gate."""

    def __init__(self, gate: Gate, sock: socket.socket) -> None:
        self.gate = gate
        self.forward, self.reverse = _Direction(gate.loop, gate.forward), _Direction(gate.loop, gate.reverse)
        self.client = Stream.accepted(gate.loop, sock, self, Stream.MAX_BUFFERED, gate.loop.pool)
        self.upstream: Stream | None = None
        self.forward.source = self.reverse.sink = self.client
        gate.connections.add(self)
        self.dial()

    def dial(self) -> None:
        """Connects upstream once neither link is cut; until then the client waits and is not notified."""
        if self.upstream is not None or self.forward.link.fault.cut or self.reverse.link.fault.cut:
            return
        try:
            self.upstream = Stream.dial(self.gate.loop, self.gate.target, self)
        except OSError:
            self.reset()
            return
        self.forward.sink = self.reverse.source = self.upstream

    def on_connected(self, stream: Stream) -> None:
        self.forward.pump()

    def on_data(self, stream: Stream) -> None:
        (self.forward if stream is self.client else self.reverse).pump()

    def on_output_drained(self, stream: Stream) -> None:
        (self.reverse if stream is self.client else self.forward).pump()

    def on_closed(self, stream: Stream, why: str) -> None:
        """Closes the other end the same way, after everything that this end sent has been delivered."""
        if self not in self.gate.connections:
            return
        outgoing, incoming = (
            (self.forward, self.reverse) if stream is self.client else (self.reverse, self.forward)
        )
        if len(stream.incoming):
            outgoing.enqueue(stream.incoming.take())
        outgoing.ended = "reset" if why in ("reset", "refused") else "ended"
        incoming.queue.clear()
        incoming.queued_bytes = 0
        other = self.upstream if stream is self.client else self.client
        if other is None or not other.open:
            self.detach()
        else:
            outgoing.pump()

    def reset(self) -> None:
        """Resets both ends at once and drops what is queued."""
        self.detach()
        for stream in (self.client, self.upstream):
            if stream is not None and stream.open:
                close_stream(stream, "reset")

    def detach(self) -> None:
        """Removes the connection from its gate and links and cancels its timers."""
        self.gate.connections.discard(self)
        for direction in (self.forward, self.reverse):
            direction.link.directions.discard(direction)
            if direction.timer is not None:
                direction.timer.cancel()


class Gate:
    """The listener at which one member reaches another; members' files name its address."""

    def __init__(
        self, loop: EventLoop, forward: FaultLink, reverse: FaultLink, target: tuple[str, int]
    ) -> None:
        self.loop, self.forward, self.reverse, self.target = loop, forward, reverse, target
        self.connections: set[_ProxiedConnection] = set()
        # Bound and never listening: reserves the port while the gate refuses connections and has no listener.
        self.port_reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_reservation.bind(("127.0.0.1", 0))
        self.address = self.port_reservation.getsockname()
        self.listener: Listener | None = None
        self.refuse(False)

    def refuse(self, on: bool) -> None:
        """Stops listening, so that new connections are refused, or listens again."""
        if on and self.listener is not None:
            self.listener.close()
            self.listener = None
        elif not on and self.listener is None:
            self.listener = Listener(self.loop, self.address, self.on_accepted, lambda why: None)

    def on_accepted(self, sock: socket.socket) -> bool:
        """Proxies an accepted connection; returns True, as the listener goes on accepting."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _ProxiedConnection(self, sock)
        return True

    def on_fault_changed(self) -> None:
        """Connects upstream where a cut that was healed prevented it."""
        for connection in list(self.connections):
            connection.dial()

    def reset(self) -> None:
        """Resets all connections of the gate."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Resets all connections, stops listening and releases the port."""
        self.reset()
        self.refuse(True)
        self.port_reservation.close()
