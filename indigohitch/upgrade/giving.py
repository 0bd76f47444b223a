"""The old process' side of an upgrade: drives a `Giver` with what happens, and does what it says."""
from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from ..log import Log
from ..net.clock import SECOND
from ..net.loop import Deadline, Loop
from . import snapshot as shots
from . import words
from .channel import Channel
from .launch import Started
from .machine import Giver, Phase

Connection = tuple[str, socket.socket, bytes]   # its kind, the socket, and what it brought that nobody read


class Side(Protocol):
    """What a program offers so that it can be handed over."""
    # in the old process
    def listeners(self) -> dict[str, socket.socket]: ...
    def settle(self, on: bool) -> None: ...             # begin nothing that a state can't hold
    def settled(self) -> bool: ...
    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """The module stands still from here on; its state, or why there is none, at once or later."""
    def thaw(self) -> None: ...                         # it goes on
    def accept(self, on: bool) -> None: ...
    def rest(self) -> bytes: ...                        # what came since the state or the last rest
    def idle(self) -> list[Connection]: ...             # take out what can be passed on
    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None: ...
    def drain(self, pass_on: Callable[[Connection], bool]) -> None: ...
    def drained(self) -> bool: ...
    def rehearse(self, at: int) -> bytes: ...           # digest of the next orders; moves the module
    def reload(self) -> None: ...

    # in the new process
    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None: ...
    def again(self) -> shots.Snapshot: ...              # the restored state, as it would be handed over
    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes: ...
    def take_rest(self, rest: bytes) -> None: ...
    def fresh(self, listeners: dict[str, socket.socket]) -> None: ...       # without a state
    def begin(self, restored: bool) -> None: ...        # accept; OSError where nothing is to accept at


class Giving:
    # For each phase, how long at most.  Restoring 10,000 slices takes half a second on a busy core; a new
    # interpreter with all libraries a second where the disk is cold.
    WAITS = {"start": 10 * SECOND, "settle": 2 * SECOND, "give": 10 * SECOND, "prove": 10 * SECOND,
             "commit": 2 * SECOND, "drain": 30 * SECOND, "reclaim": SECOND,
             "watch": SECOND}           # the old one stands by: a first accept or plan that fails shows
    POLL = SECOND // 200
    ENDING = SECOND // 5                # from the end of its channel to the death of a process that ends
    MOST_RESTS = 1 << 20                # unread bytes of connections in one frame: an eighth of its bound
    PIECE = 1 << 16                     # of the state: a frame that a socket's buffer takes in one go
    REHEARSE = 2 * SECOND               # ahead: four beats, so that the module has something to order

    def __init__(self, loop: Loop, log: Log, side: Side, program: Sequence[str], waits: dict[str, int],
                 ended: Callable[[], None], reported: Callable[[dict], None]) -> None:
        """`ended`: this process has nothing more to do.  `reported`: what the upgrade came to."""
        self.loop, self.log, self.side, self.program = loop, log, side, program
        known = {name: span for name, span in waits.items() if name in self.WAITS}
        if "takeover" in waits:
            known |= {"give": waits["takeover"], "prove": waits["takeover"]}
        self.waits = self.WAITS | known
        self.ended, self.reported = ended, reported
        self.machine = Giver()
        self.started: Started | None = None
        self.channel: Channel | None = None
        self.deadline: Deadline | None = None
        self.passed: dict[int, Connection] = {}         # not known to have their owner
        self.reload = False                     # SIGHUP came meanwhile
        self.state, self.theirs, self.number = b"", b"", 0
        self.figures: dict = {}

    @property
    def under_way(self) -> bool:
        return self.machine.phase is not Phase.SERVING

    def step(self, event: str, why: str = "") -> None:
        machine, was = self.machine, self.machine.phase
        acts = machine.step(event, why)
        if machine.phase is not was:
            self.log.event("upgrade", was=was.value, now=machine.phase.value, on=event,
                           **({"why": why} if why else {}))
            if self.deadline is not None:
                self.deadline.cancel()
                self.deadline = None
            self.arm()
        for act in acts:
            getattr(self, f"do_{act.value}")()

    def arm(self) -> None:
        if (name := self.machine.wait) is not None:
            self.deadline = self.loop.after(self.waits[name], self.overdue)

    def overdue(self) -> None:
        self.step("deadline")
        if self.machine.phase is Phase.RECLAIMING:
            self.arm()

    # ---- what is heard -----------------------------------------------------------------------------

    def heard(self, word: words.Word, descriptors: list[int]) -> None:
        match word:
            case words.Hello(protocol, schema):
                if abs(protocol - words.PROTOCOL) > 1 or abs(schema - shots.SCHEMA) > 1:
                    self.step("refused", f"the new program reads schema {schema}, this one {shots.SCHEMA}")
                else:
                    self.step("hello")
            case words.Restored(digest):
                if digest == shots.digest(self.state):
                    self.step("restored")
                else:
                    self.step("refused", "the state came out different")
            case words.Proven(orders):
                self.theirs = orders
                self.step("proven")
            case words.Adopted(numbers):
                for number in numbers:
                    if number in self.passed:
                        self.passed.pop(number)[1].close()
            case words.Accepting():
                self.step("accepting")
            case words.Refuse(why):
                self.step("refused", why)
            case _:
                self.step("broken", f"{type(word).__name__} from the new process")

    def channel_ended(self, why: str, broken: bool) -> None:
        started = self.started
        if broken:
            self.step("broken", why)
            self.channel = None
        else:
            self.channel = None
            # A process that ends closes its channel first; how it ended tells more.  Once nobody accepts here
            # there is no time for that.
            span = 0 if self.machine.phase is Phase.COMMITTED else self.ENDING
            self.loop.after(span, lambda: started is self.started and self.step("eof", why))

    def died(self, why: str) -> None:
        if self.channel is not None:
            self.channel.read()                 # its last words came first
        self.step("died", why)

    # ---- what is done ------------------------------------------------------------------------------

    def say(self, word: words.Word, descriptors: Sequence[int] = ()) -> None:
        if self.channel is not None:
            self.channel.say(word, descriptors)

    def do_spawn(self) -> None:
        self.figures = {"asked": self.loop.clock.now()}
        self.reload = False
        one: list[Started] = []

        def died(why: str) -> None:
            if one and one[0] is self.started:      # not of an earlier upgrade, which was killed late
                self.died(why)
        try:
            self.started = Started(self.loop, self.program, died)
            one.append(self.started)
        except OSError as bad:
            self.step("refused", f"the new program can't be started: {bad}")
            return
        self.channel = Channel(self.loop, self.started.channel, self.heard, self.channel_ended)
        self.log.count("upgrades_begun")

    def do_settle(self) -> None:
        self.side.settle(True)
        self.poll_settled()

    def poll_settled(self) -> None:
        if self.machine.phase is Phase.SETTLING:
            if self.side.settled():
                self.step("settled")
            else:
                self.loop.after(self.POLL, self.poll_settled)

    def do_give(self) -> None:
        began, started = self.loop.clock.now(), self.started

        def taken(state: bytes | None, broken: BaseException | None) -> None:
            if started is not self.started or self.machine.phase is not Phase.GIVING:
                return                          # called off meanwhile
            if broken is not None:
                self.step("refused", f"the state can't be taken: {type(broken).__name__}: {broken}")
            else:
                self.give(state, began)
        self.side.freeze(taken)

    def give(self, state: bytes, began: int) -> None:
        self.state = state
        sockets = self.side.listeners()
        self.rehearse_at = self.loop.clock.now() + self.REHEARSE
        self.say(words.Listeners(list(sockets), self.loop.clock.now(), len(self.state), self.rehearse_at),
                 [sock.fileno() for sock in sockets.values()])
        for at in range(0, len(self.state), self.PIECE):
            self.say(words.Piece(self.state[at:at + self.PIECE]))
        self.figures |= {"state_bytes": len(self.state), "freeze_ms": (self.loop.clock.now() - began) / 10}

    def do_commit(self) -> None:
        self.figures["stopped"] = self.loop.clock.now()
        self.side.accept(False)
        try:
            self.pass_all()
        except OSError as bad:                  # whatever this process lacks now, it can take back
            self.step("refused", f"nothing could be passed: {bad}")

    def pass_all(self) -> None:
        for connection in self.side.idle():     # each is ours to take back from here on
            self.number += 1
            self.passed[self.number] = connection
        self.figures["passed"] = len(self.passed)
        batch: list[tuple[int, Connection]] = []
        size = 0
        for entry in self.passed.items():
            batch.append(entry)
            size += len(entry[1][2])
            if len(batch) >= Channel.MOST_DESCRIPTORS or size > self.MOST_RESTS:
                self.send(batch)
                batch, size = [], 0
        self.send(batch)
        self.say(words.Commit(self.side.rest(), self.reload))

    def send(self, batch: list[tuple[int, Connection]]) -> None:
        if batch:
            self.say(words.Passed([number for number, _ in batch], [c[2] for _, c in batch],
                                  [c[0] for _, c in batch]), [c[1].fileno() for _, c in batch])

    def do_release(self) -> None:
        """All that was passed before the word is the new one's; it said so before it said that it accepts."""
        for number in list(self.passed):
            self.passed.pop(number)[1].close()
        self.figures["gap_ms"] = (self.loop.clock.now() - self.figures["stopped"]) / 10

    def do_drain(self) -> None:
        self.side.drain(self.pass_on)
        self.log.event("upgraded", **self.told())
        self.loop.after(self.waits["watch"], lambda: self.step("watched"))
        self.poll_drained()

    def poll_drained(self) -> None:
        if self.machine.phase is Phase.DRAINING:
            if self.side.drained() and not self.passed:
                self.step("drained")
            else:
                self.loop.after(self.POLL, self.poll_drained)

    def pass_on(self, connection: Connection) -> bool:
        """One that came free while we drain; False: the new process can't be reached."""
        if self.channel is None or self.machine.phase is not Phase.DRAINING:
            return False
        self.number += 1
        self.passed[self.number] = connection
        try:
            self.send([(self.number, connection)])
        except OSError:
            del self.passed[self.number]
            return False
        self.log.count("connections_passed_late")
        return True

    def do_reclaim(self) -> None:
        self.log.trouble("upgrade_taken_back", why=self.machine.result, connections=len(self.passed))
        passed, self.passed = self.passed, {}
        self.side.settle(False)
        self.side.accept(True)
        for connection in passed.values():
            self.side.adopt(*connection)
        self.close()

    def do_thaw(self) -> None:
        self.side.thaw()
        self.state = b""
        if self.reload:
            self.loop.after(0, self.side.reload)

    def do_call_off(self) -> None:
        self.log.trouble("upgrade_called_off", why=self.machine.result)
        self.say(words.CallOff(self.machine.result))
        if self.channel is not None:
            self.channel.flush_hard()
        self.side.settle(False)

    def do_kill(self) -> None:
        if self.started is not None:
            self.started.kill()
        if self.machine.phase is Phase.SERVING:
            self.close()

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None

    def told(self) -> dict:
        now = self.loop.clock.now()
        return {"result": self.machine.result, "took_ms": (now - self.figures.get("asked", now)) / 10} | {
            name: value for name, value in self.figures.items() if name not in ("asked", "stopped")}

    def do_report(self) -> None:
        self.log.count("upgrades" if self.machine.result == "upgraded" else "upgrades_failed")
        self.reported(self.told())

    def do_done(self) -> None:
        # Our module has retired: its next step shows whether the new one's is the same.
        self.log.event("state_compared", equal=self.side.rehearse(self.rehearse_at) == self.theirs)
        self.say(words.Rest(self.side.rest()))
        self.say(words.Done())
        if self.channel is not None:
            self.channel.flush_hard()

    def do_end(self) -> None:
        self.close()
        if self.started is not None:
            self.started.reap()
        self.ended()
