"""The new process' side of an upgrade: feeds events to a `Successor` and carries out its acts."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from ..errors import error_fields
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import EventLoop
from . import messages
from . import snapshot as shots
from .channel import Channel
from .handover_participant import HandoverParticipant, PassedConnection
from .phase_deadline import PhaseDeadline
from .phases import Act, Phase
from .process_launch import ProcessWatch
from .received_handover import ReceivedHandover, open_connections
from .successor import Successor


class SuccessorDriver:
    """Takes over from the old process: receives listeners, state and connections, then serves."""

    ORPHAN_TIMEOUT = 2 * SECOND  # a process that ends closes its channel first; it is dead within a moment

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        side: HandoverParticipant,
        channel: socket.socket,
        old_pid: int,
        on_serving: Callable[[], None],  # called once this process is the service
        ended: Callable[[int], None],
    ) -> None:
        """Watches the channel and the process `old_pid`; `ended(code)` is called if this one has to exit."""
        self.loop = loop
        self.log = log
        self.side = side
        self.on_serving = on_serving
        self.ended = ended
        self.machine = Successor()
        self.deadline = PhaseDeadline(loop, {"orphan": self.ORPHAN_TIMEOUT}, lambda: self.step("deadline"))
        self.received = ReceivedHandover()
        self.parts = bytearray()  # the encoded state, as far as it was received
        self.size = 0  # of the whole encoded state, in bytes
        self.why = ""  # the reason of the last event that had one
        self.reload = False  # SIGHUP came meanwhile
        self.channel: Channel | None = Channel(loop, channel, self.on_message, self.channel_ended)
        try:
            self.watch: ProcessWatch | None = ProcessWatch(loop, old_pid, self.died)
        except ProcessLookupError:
            self.watch = None
            loop.call_after(0, self.died)

    @property
    def over(self) -> bool:
        """Whether the upgrade has ended: the old process is dead or has sent its last message."""
        return self.machine.phase in (Phase.SERVING, Phase.ENDED)

    def start(self) -> None:
        """Sends the hello."""
        self.step("started")

    def step(self, event: str, why: str = "") -> None:
        """Feeds an event to the machine, logs a change of phase, and carries out the acts in order."""
        machine = self.machine
        previous = machine.phase
        self.why = why or self.why
        acts = machine.step(event, why)
        if machine.phase is not previous:
            reason = {"why": why} if why else {}
            self.log.event("takeover", was=previous.value, now=machine.phase.value, on=event, **reason)
            self.deadline.arm(machine.wait)
        for act in acts:
            self._actions()[act]()
        if machine.phase is Phase.SERVING and previous is not Phase.SERVING:
            self.close()

    def _actions(self) -> dict[Act, Callable[[], None]]:
        return {
            Act.HELLO: self.do_hello,
            Act.RESTORE: self.do_restore,
            Act.PROVE: self.do_prove,
            Act.ACCEPT: self.do_accept,
            Act.BEGIN: self.do_begin,
            Act.REFUSE: self.do_refuse,
            Act.LEAVE: self.do_leave,
            Act.END: self.do_end,
        }

    def on_message(self, message: messages.Message, descriptors: list[int]) -> None:
        """Takes a message of the old process; one that is not expected fails the upgrade."""
        match message:
            case messages.Listeners():
                self._take_listeners(message, descriptors)
            case messages.StateChunk(data):
                self.parts += data
                if len(self.parts) >= self.size:
                    self.step("state")
            case messages.ConnectionsPassed():
                self._take_connections(message, descriptors)
            case messages.CommitHandover(rest, reload):
                self.received.late_events = rest
                self.reload |= reload
                self.step("commit")
            case messages.LateEvents(rest):
                self.side.take_late_events(rest)
            case messages.DrainCompleted():
                self.step("done")
            case messages.HandoverCalledOff(why):
                self.step("call_off", why)
            case _:
                self.step("failed", f"{type(message).__name__} from the old process")

    def _take_listeners(self, message: messages.Listeners, descriptors: list[int]) -> None:
        if not self.received.add_listeners(message, descriptors):
            self.step("failed", "listeners without descriptors")
            return
        self.size = message.state_bytes
        self.loop.clock.follow(message.now)
        self.step("listeners")

    def _take_connections(self, message: messages.ConnectionsPassed, descriptors: list[int]) -> None:
        connections = open_connections(message, descriptors)
        if connections is None:
            self.step("failed", "connections without descriptors")
        elif self.machine.accepting:
            self.send(messages.ConnectionsAdopted(message.numbers))  # before a byte is read of them
            self.adopt(connections)
        else:
            self.received.connections += connections

    def channel_ended(self, why: str, broken: bool) -> None:
        """Takes the end of the channel; a broken one fails an upgrade that is not committed."""
        if not broken:
            self.channel = None
        self.step("failed" if broken and not self.machine.accepting else "eof", why)

    def died(self) -> None:
        """Takes the death of the old process, after the messages it sent before."""
        self.watch = None
        if self.channel is not None:
            self.channel.read()  # its messages still count: connections may be among them
        self.step("died", "the old process is dead")

    def send(self, message: messages.Message) -> None:
        """Sends a message to the old process; does nothing once the channel has ended."""
        if self.channel is not None:
            self.channel.send(message)

    def adopt(self, connections: list[tuple[int, PassedConnection]]) -> None:
        """Begins to serve numbered connections."""
        for _, connection in connections:
            self.side.adopt(*connection)

    def do_hello(self) -> None:
        """Sends the versions that this program reads, and its pid."""
        self.send(messages.Hello(messages.PROTOCOL, shots.SCHEMA, os.getpid()))

    def do_restore(self) -> None:
        """Rebuilds the state and sends the digest of its re-encoding."""
        try:
            data = bytes(self.parts)
            self.parts = bytearray()
            self.received.snapshot = shots.decode(data)
            self.side.restore(self.received.snapshot, self.received.listeners)
            rebuilt = shots.encode(self.side.snapshot_again())
        except Exception as bad:  # whatever the fault is, the old process goes on serving
            self.step("failed", f"restore: {type(bad).__name__}: {bad}")
            return
        self.send(messages.StateRestored(shots.digest(rebuilt)))
        self.step("built")

    def do_prove(self) -> None:
        """Checks the listeners and sends the orders that the restored state gives at the rehearsal time."""
        try:
            self.received.check_listening()
            orders = self.side.rehearse_copy(self.received.snapshot, self.received.rehearse_at)
        except Exception as bad:
            self.step("failed", f"proof: {type(bad).__name__}: {bad}")
            return
        self.send(messages.StateProven(orders))
        self.step("works")

    def do_accept(self) -> None:
        """Starts to serve after the commit; if that fails, this process exits without a message."""
        passed = self.received.remove_connections()
        try:
            self.side.take_late_events(self.received.late_events)
            self.side.start_serving(True)
        except Exception as bad:  # once dead it makes room for the old process, which still has all
            self.log.event("cannot_start", **error_fields(bad))
            self.do_end()
            return
        self.send(messages.ConnectionsAdopted([number for number, _ in passed]))  # before any is read
        self.send(messages.AcceptingStarted())
        self.adopt(passed)
        self.on_serving()

    def do_begin(self) -> None:
        """Starts to serve after the death of the old process, with as much as was received of its state."""
        passed = self.received.remove_connections()
        restored = self.machine.state
        listeners = self.received.listeners
        self.log.warning(
            "begun_as_orphan", restored=restored, listeners=len(listeners), connections=len(passed)
        )
        try:
            if not restored:
                self.side.start_empty(listeners)  # a missing listener is bound: its address is free
            self.side.start_serving(restored)
        except OSError as bad:
            self.log.event("cannot_start", **error_fields(bad))
            self.ended(1)
            return
        self.adopt(passed)
        self.on_serving()

    def do_refuse(self) -> None:
        """Sends the reason of the refusal."""
        self.log.warning("upgrade_refused", why=self.why)
        self.send(messages.HandoverRefused(self.why))
        if self.channel is not None:
            self.channel.flush_hard()

    def do_leave(self) -> None:
        """Notifies the old process that this one was ordered to end."""
        self.send(messages.HandoverRefused("told to end"))
        if self.channel is not None:
            self.channel.flush_hard()

    def do_end(self) -> None:
        """Closes the channel and ends this process with exit code 1."""
        self.close()
        self.ended(1)

    def close(self) -> None:
        """Closes the channel and the watch of the old process."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None
        if self.watch is not None:
            self.watch.close()
            self.watch = None
