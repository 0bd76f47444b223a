"""The new process' side of an upgrade: drives a `Taker` with what happens, and does what it says."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from ..errors import error_fields
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import Deadline, EventLoop
from . import messages
from . import snapshot as shots
from .channel import Channel
from .handover_participant import HandoverParticipant, PassedConnection
from .phases import Act, Phase
from .process_launch import ProcessWatch
from .successor import Successor


class SuccessorDriver:
    ORPHAN = 2 * SECOND  # a process that ends closes its channel first; it is dead within a moment

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        side: HandoverParticipant,
        channel: socket.socket,
        old: int,
        began: Callable[[], None],
        ended: Callable[[int], None],
    ) -> None:
        """`began`: this process is the service.  `ended(code)`: it is not to be."""
        self.loop, self.log, self.side = loop, log, side
        self.began, self.ended = began, ended
        self.machine = Successor()
        self.deadline: Deadline | None = None
        self.listeners: dict[str, socket.socket] = {}
        self.parts, self.size, self.rehearse_at = bytearray(), 0, 0
        self.shot: shots.Snapshot | None = None
        self.passed: list[tuple[int, PassedConnection]] = []
        self.why, self.rest, self.reload = "", b"", False
        self.channel: Channel | None = Channel(loop, channel, self.on_message, self.channel_ended)
        try:
            self.watch: ProcessWatch | None = ProcessWatch(loop, old, self.died)
        except ProcessLookupError:
            self.watch = None
            loop.call_after(0, self.died)

    @property
    def over(self) -> bool:
        """The old process is no more, or has said its last word."""
        return self.machine.phase in (Phase.SERVING, Phase.ENDED)

    def start(self) -> None:
        self.step("started")

    def step(self, event: str, why: str = "") -> None:
        machine, was = self.machine, self.machine.phase
        self.why = why or self.why
        acts = machine.step(event, why)
        if machine.phase is not was:
            self.log.event(
                "takeover", was=was.value, now=machine.phase.value, on=event, **({"why": why} if why else {})
            )
            if self.deadline is not None:
                self.deadline.cancel()
                self.deadline = None
            if machine.wait is not None:
                self.deadline = self.loop.call_after(self.ORPHAN, lambda: self.step("deadline"))
        for act in acts:
            self._actions()[act]()
        if machine.phase is Phase.SERVING and was is not Phase.SERVING:
            self.close()

    def _actions(self) -> dict[Act, Callable[[], None]]:
        """Returns what carries out each act of the machine."""
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

    # ---- what is heard -----------------------------------------------------------------------------

    def on_message(self, word: messages.Message, descriptors: list[int]) -> None:
        match word:
            case messages.Listeners(names, now, size, at):
                if len(descriptors) != len(names):
                    self.step("failed", "listeners without descriptors")
                    return
                self.listeners = {name: socket.socket(fileno=fd) for name, fd in zip(names, descriptors)}
                self.size, self.rehearse_at = size, at
                self.loop.clock.follow(now)
                self.step("listeners")
            case messages.StateChunk(data):
                self.parts += data
                if len(self.parts) >= self.size:
                    self.step("state")
            case messages.ConnectionsPassed(numbers, rests, kinds):
                if not len(numbers) == len(rests) == len(kinds) == len(descriptors):
                    self.step("failed", "connections without descriptors")
                    return
                found = [
                    (number, (kind, socket.socket(fileno=fd), rest))
                    for number, kind, fd, rest in zip(numbers, kinds, descriptors, rests)
                ]
                if self.machine.accepting:
                    self.send(messages.ConnectionsAdopted(numbers))  # before a byte is read of them
                    self.adopt(found)
                else:
                    self.passed += found
            case messages.CommitHandover(rest, reload):
                self.rest = rest
                self.reload |= reload
                self.step("commit")
            case messages.LateEvents(rest):
                self.side.take_late_events(rest)
            case messages.DrainCompleted():
                self.step("done")
            case messages.HandoverCalledOff(why):
                self.step("call_off", why)
            case _:
                self.step("failed", f"{type(word).__name__} from the old process")

    def channel_ended(self, why: str, broken: bool) -> None:
        if not broken:
            self.channel = None
        self.step("failed" if broken and not self.machine.accepting else "eof", why)

    def died(self) -> None:
        self.watch = None
        if self.channel is not None:
            self.channel.read()  # what it said before counts: connections may be among it
        self.step("died", "the old process is dead")

    def send(self, word: messages.Message) -> None:
        if self.channel is not None:
            self.channel.send(word)

    def adopt(self, found: list[tuple[int, PassedConnection]]) -> None:
        for _, connection in found:
            self.side.adopt(*connection)

    # ---- what is done ------------------------------------------------------------------------------

    def do_hello(self) -> None:
        self.send(messages.Hello(messages.PROTOCOL, shots.SCHEMA, os.getpid()))

    def do_restore(self) -> None:
        try:
            data, self.parts = bytes(self.parts), bytearray()
            self.shot = shots.decode(data)
            self.side.restore(self.shot, self.listeners)
            built = shots.encode(self.side.snapshot_again())
        except Exception as bad:  # whatever is wrong with it: the old one carries on
            self.step("failed", f"restore: {type(bad).__name__}: {bad}")
            return
        self.send(messages.StateRestored(shots.digest(built)))
        self.step("built")

    def do_prove(self) -> None:
        try:
            for name, sock in self.listeners.items():
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                    raise ValueError(f"{name} does not listen")
            orders = self.side.rehearse_copy(self.shot, self.rehearse_at)
        except Exception as bad:
            self.step("failed", f"proof: {type(bad).__name__}: {bad}")
            return
        self.send(messages.StateProven(orders))
        self.step("works")

    def do_accept(self) -> None:
        passed, self.passed = self.passed, []
        try:
            self.side.take_late_events(self.rest)
            self.side.start_serving(True)
        except Exception as bad:  # dead it makes room for the old one, which has everything yet
            self.log.event("cannot_start", **error_fields(bad))
            self.do_end()
            return
        self.send(
            messages.ConnectionsAdopted([number for number, _ in passed])
        )  # before a byte is read of them
        self.send(messages.AcceptingStarted())
        self.adopt(passed)
        self.began()

    def do_begin(self) -> None:
        """The old one is dead: with the state if it is whole, else as at any start; with its listeners if
        they came, else at the address, which is free now."""
        passed, self.passed = self.passed, []
        self.log.warning(
            "begun_as_orphan",
            restored=self.machine.state,
            listeners=len(self.listeners),
            connections=len(passed),
        )
        try:
            if not self.machine.state:
                self.side.start_empty(self.listeners)
            self.side.start_serving(self.machine.state)
        except OSError as bad:
            self.log.event("cannot_start", **error_fields(bad))
            self.ended(1)
            return
        self.adopt(passed)
        self.began()

    def do_refuse(self) -> None:
        self.log.warning("upgrade_refused", why=self.why)
        self.send(messages.HandoverRefused(self.why))
        if self.channel is not None:
            self.channel.flush_hard()

    def do_leave(self) -> None:
        self.send(messages.HandoverRefused("told to end"))
        if self.channel is not None:
            self.channel.flush_hard()

    def do_end(self) -> None:
        self.close()
        self.ended(1)

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None
        if self.watch is not None:
            self.watch.close()
            self.watch = None
