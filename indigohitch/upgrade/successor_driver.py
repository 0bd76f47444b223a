"""The new process' side of an upgrade: feeds events to a `Successor` and executes its actions."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from ..errors import error_fields
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import EventLoop
from . import messages, snapshot
from .channel import Channel
from .handover_participant import HandoverParticipant, PassedConnection
from .phase_deadline import PhaseDeadline
from .phases import Action, Phase
from .process_launch import ProcessWatch
from .received_handover import ReceivedHandover, open_connections
from .successor import Successor


class SuccessorDriver:
    """Receives listeners, state and connections from the old process, then serves."""

    ORPHAN_TIMEOUT = 2 * SECOND  # ticks; a process that ends closes its channel shortly before its death

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        side: HandoverParticipant,
        channel: socket.socket,
        predecessor_pid: int,
        on_serving: Callable[[], None],
        on_exit: Callable[[int], None],
    ) -> None:
        """Calls `on_serving()` once this process serves, and `on_exit(code)` if it has to exit."""
        self.loop = loop
        self.log = log
        self.side = side
        self.on_serving = on_serving
        self.on_exit = on_exit
        self.machine = Successor()
        self.deadline = PhaseDeadline(loop, {"orphan": self.ORPHAN_TIMEOUT}, lambda: self.step("deadline"))
        self.received = ReceivedHandover()
        self.state_data = bytearray()  # the received part of the encoded state
        self.state_size = 0  # bytes of the complete encoded state
        self.last_reason = ""  # of the last event that had one
        self.reload = False  # SIGHUP has arrived during the upgrade
        self.channel: Channel | None = Channel(loop, channel, self.on_message, self.on_channel_end)
        try:
            self.predecessor_watch: ProcessWatch | None = ProcessWatch(
                loop, predecessor_pid, self.on_predecessor_death
            )
        except ProcessLookupError:
            self.predecessor_watch = None
            loop.call_after(0, self.on_predecessor_death)

    @property
    def is_over(self) -> bool:
        """Whether the upgrade has ended: the old process is dead or has sent its last message."""
        return self.machine.phase in (Phase.SERVING, Phase.ENDED)

    def start(self) -> None:
        """Sends the hello."""
        self.step("started")

    def step(self, event: str, reason: str = "") -> None:
        """Feeds an event to the machine, logs a change of phase, and executes the actions in order."""
        machine = self.machine
        previous = machine.phase
        self.last_reason = reason or self.last_reason
        actions = machine.step(event, reason)
        if machine.phase is not previous:
            reason_field = {"why": reason} if reason else {}
            self.log.event("takeover", was=previous.value, now=machine.phase.value, on=event, **reason_field)
            self.deadline.arm(machine.timeout_name)
        for action in actions:
            self._actions()[action]()
        if machine.phase is Phase.SERVING and previous is not Phase.SERVING:
            self.close()

    def _actions(self) -> dict[Action, Callable[[], None]]:
        return {
            Action.HELLO: self.do_hello,
            Action.RESTORE: self.do_restore,
            Action.PROVE: self.do_prove,
            Action.ACCEPT: self.do_accept,
            Action.BEGIN: self.do_begin,
            Action.REFUSE: self.do_refuse,
            Action.LEAVE: self.do_leave,
            Action.END: self.do_end,
        }

    def on_message(self, message: messages.Message, descriptors: list[int]) -> None:
        """Handles a message of the old process; an unexpected one fails the upgrade."""
        match message:
            case messages.Listeners():
                self._take_listeners(message, descriptors)
            case messages.StateChunk(data):
                self.state_data += data
                if len(self.state_data) >= self.state_size:
                    self.step("state")
            case messages.ConnectionsPassed():
                self._take_connections(message, descriptors)
            case messages.CommitHandover(late_events, reload):
                self.received.late_events = late_events
                self.reload |= reload
                self.step("commit")
            case messages.LateEvents(late_events):
                self.side.take_late_events(late_events)
            case messages.DrainCompleted():
                self.step("done")
            case messages.HandoverCalledOff(reason):
                self.step("call_off", reason)
            case _:
                self.step("failed", f"unexpected {type(message).__name__} from the old process")

    def _take_listeners(self, message: messages.Listeners, descriptors: list[int]) -> None:
        if not self.received.add_listeners(message, descriptors):
            self.step("failed", "listeners without descriptors")
            return
        self.state_size = message.state_bytes
        self.loop.clock.follow(message.now)
        self.step("listeners")

    def _take_connections(self, message: messages.ConnectionsPassed, descriptors: list[int]) -> None:
        connections = open_connections(message, descriptors)
        if connections is None:
            self.step("failed", "connections without descriptors")
        elif self.machine.accepting:
            self.send(messages.ConnectionsAdopted(message.numbers))  # before any byte is read from them
            self.adopt(connections)
        else:
            self.received.connections += connections

    def on_channel_end(self, reason: str, broken: bool) -> None:
        """Handles the end of the channel; invalid input fails an upgrade that is not committed."""
        if not broken:
            self.channel = None
        self.step("failed" if broken and not self.machine.accepting else "eof", reason)

    def on_predecessor_death(self) -> None:
        """Handles the death of the old process, after the messages that it sent before."""
        self.predecessor_watch = None
        if self.channel is not None:
            self.channel.read()  # the remaining messages may pass connections
        self.step("died", "the old process is dead")

    def send(self, message: messages.Message) -> None:
        """Sends a message to the old process; does nothing once the channel has ended."""
        if self.channel is not None:
            self.channel.send(message)

    def adopt(self, connections: list[tuple[int, PassedConnection]]) -> None:
        """Starts serving connections that the old process has passed."""
        for _, connection in connections:
            self.side.adopt(*connection)

    def do_hello(self) -> None:
        """Sends the protocol and schema versions of this program, and its pid."""
        self.send(messages.Hello(messages.PROTOCOL, snapshot.SCHEMA, os.getpid()))

    def do_restore(self) -> None:
        """Restores the state, encodes it again and sends the digest."""
        try:
            data = bytes(self.state_data)
            self.state_data = bytearray()
            self.received.snapshot = snapshot.decode(data)
            self.side.restore(self.received.snapshot, self.received.listeners)
            encoded_again = snapshot.encode(self.side.snapshot_again())
        except Exception as error:  # whatever the fault, the old process continues to serve
            self.step("failed", f"restore: {type(error).__name__}: {error}")
            return
        self.send(messages.StateRestored(snapshot.digest(encoded_again)))
        self.step("built")

    def do_prove(self) -> None:
        """Checks the listeners, and sends the digest of the restored module's rehearsal orders."""
        try:
            self.received.check_listening()
            orders = self.side.rehearse_copy(self.received.snapshot, self.received.rehearse_at)
        except Exception as error:
            self.step("failed", f"proof: {type(error).__name__}: {error}")
            return
        self.send(messages.StateProven(orders))
        self.step("works")

    def do_accept(self) -> None:
        """Starts serving after the commit; if that fails, this process exits without a message."""
        passed = self.received.remove_connections()
        try:
            self.side.take_late_events(self.received.late_events)
            self.side.start_serving(True)
        except Exception as error:  # after the exit the old process, which still owns all, serves again
            self.log.event("cannot_start", **error_fields(error))
            self.do_end()
            return
        self.send(messages.ConnectionsAdopted([number for number, _ in passed]))  # before any byte is read
        self.send(messages.AcceptingStarted())
        self.adopt(passed)
        self.on_serving()

    def do_begin(self) -> None:
        """Starts serving after the death of the old process, with what was received of its state."""
        passed = self.received.remove_connections()
        restored = self.machine.is_state_restored
        listeners = self.received.listeners
        self.log.warning(
            "begun_as_orphan", restored=restored, listeners=len(listeners), connections=len(passed)
        )
        try:
            if not restored:
                self.side.start_empty(listeners)  # binds missing listeners, whose addresses are free
            self.side.start_serving(restored)
        except OSError as error:
            self.log.event("cannot_start", **error_fields(error))
            self.on_exit(1)
            return
        self.adopt(passed)
        self.on_serving()

    def do_refuse(self) -> None:
        """Sends the reason of the refusal."""
        self.log.warning("upgrade_refused", why=self.last_reason)
        self.send(messages.HandoverRefused(self.last_reason))
        if self.channel is not None:
            self.channel.flush_blocking()

    def do_leave(self) -> None:
        """Notifies the old process that this one was ordered to end."""
        self.send(messages.HandoverRefused("told to end"))
        if self.channel is not None:
            self.channel.flush_blocking()

    def do_end(self) -> None:
        """Closes the channel and ends this process with exit code 1."""
        self.close()
        self.on_exit(1)

    def close(self) -> None:
        """Closes the channel and the watch of the old process."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None
        if self.predecessor_watch is not None:
            self.predecessor_watch.close()
            self.predecessor_watch = None
