"""The old process' side of an upgrade: drives a `Giver` with what happens, and does what it says."""

from __future__ import annotations

import signal
from collections.abc import Callable, Sequence

from ..log import Log
from ..net.clock import SECOND
from ..net.loop import EventLoop
from . import message_events, messages
from .channel import Channel
from .connection_transfer import ConnectionTransfer
from .handover_participant import HandoverParticipant, PassedConnection
from .phase_deadline import PhaseDeadline
from .phase_timeouts import phase_timeouts as waits_told
from .phases import STANDING_STILL, Phase
from .predecessor import Predecessor
from .process_launch import StartedProcess
from .state_transfer import send_state
from .upgrade_report import UpgradeReport
from .urgent_work import UrgentWorkMonitor


class PredecessorDriver:
    POLL = SECOND // 200
    ENDING = SECOND // 5  # from the end of its channel to the death of a process that ends
    REHEARSE = 2 * SECOND  # ahead: four beats, so that the module has something to order

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        side: HandoverParticipant,
        program: Sequence[str],
        waits: dict[str, int],
        ended: Callable[[], None],
        reported: Callable[[dict], None],
    ) -> None:
        """`ended`: this process has nothing more to do.  `reported`: what the upgrade came to."""
        self.loop, self.log, self.side, self.program = loop, log, side, program
        self.waits = waits_told(waits)
        self.deadline = PhaseDeadline(loop, self.waits, self.overdue)
        self.ended, self.reported = ended, reported
        self.machine = Predecessor()
        self.urgency = UrgentWorkMonitor(loop, self.has_urgent_work, self.step)
        self.started: StartedProcess | None = None
        self.channel: Channel | None = None
        self.passing = ConnectionTransfer(self.send)
        self.reload = False  # SIGHUP came meanwhile
        self.taken_back: Callable[[], None] = lambda: None  # this process is the service again
        self.state, self.theirs = b"", b""
        self.figures = UpgradeReport(loop.clock.now())

    def has_urgent_work(self) -> bool | None:
        """Whether something with a time limit does, while this process stands still; None: it does not."""
        return self.side.has_urgent_work() if self.machine.phase in STANDING_STILL else None

    @property
    def under_way(self) -> bool:
        return self.machine.phase is not Phase.SERVING

    def step(self, event: str, why: str = "") -> None:
        machine, was = self.machine, self.machine.phase
        acts = machine.step(event, why)
        if machine.phase is not was:
            self.log.event(
                "upgrade", was=was.value, now=machine.phase.value, on=event, **({"why": why} if why else {})
            )
            self.deadline.arm(machine.wait)
        for act in acts:
            getattr(self, f"do_{act.value}")()
        if self.reload and machine.phase is Phase.SERVING:
            self.reload = False
            if not machine.ending:
                self.loop.call_after(0, self.side.reload)

    def reload_later(self) -> None:
        """By whoever is the service afterwards; the word for it may have gone out without it."""
        self.reload = True
        if self.machine.phase in (Phase.COMMITTED, Phase.DRAINING):
            self.started.watch.kill(signal.SIGHUP)

    def overdue(self) -> None:
        self.step("deadline")
        if self.machine.phase is Phase.RECLAIMING:
            self.deadline.arm(self.machine.wait)

    # ---- what is heard -----------------------------------------------------------------------------

    def on_message(self, word: messages.Message, descriptors: list[int]) -> None:
        if isinstance(word, messages.ConnectionsAdopted):
            self.passing.confirm(word.numbers)
            return
        if isinstance(word, messages.StateProven):
            self.theirs = word.orders
        self.step(*message_events.event(word, self.state))

    def channel_ended(self, why: str, broken: bool) -> None:
        started = self.started
        if broken:
            self.step("broken", why)
            self.channel = None
        else:
            self.channel = None
            # A process that ends closes its channel first; how it ended tells more.  If nobody accepts: now.
            span = 0 if self.machine.phase is Phase.COMMITTED else self.ENDING
            self.loop.call_after(span, lambda: started is self.started and self.step("eof", why))

    def died(self, started: StartedProcess, why: str) -> None:
        if started is not self.started:
            return  # of an earlier upgrade, which was killed late
        if self.channel is not None:
            self.channel.read()  # its last words came first
        # A service that ended in order was told to, whether or not its word for that came through.
        ended = self.machine.phase is Phase.DRAINING and started.process.returncode == 0
        self.step("refused" if ended else "died", why)

    # ---- what is done ------------------------------------------------------------------------------

    def send(self, word: messages.Message, descriptors: Sequence[int] = (), last: bool = False) -> None:
        if self.channel is not None:
            self.channel.send(word, descriptors)
            if last:
                self.channel.flush_hard()

    def do_spawn(self) -> None:
        self.figures = UpgradeReport(self.loop.clock.now())
        self.reload = False
        try:
            self.started = StartedProcess(self.loop, self.program, self.died)
        except OSError as bad:
            self.step("refused", f"the new program can't be started: {bad}")
            return
        self.channel = Channel(self.loop, self.started.channel, self.on_message, self.channel_ended)
        self.log.count("upgrades_begun")

    def do_settle(self) -> None:
        self.side.settle(True)
        self.poll(Phase.SETTLING, self.side.is_settled, "settled")
        self.urgency.begin()

    def poll(self, phase: Phase, there: Callable[[], bool], event: str) -> None:
        """As long as the phase lasts: `event` once `there`."""
        if self.machine.phase is phase:
            if there():
                self.step(event)
            else:
                self.loop.call_after(self.POLL, lambda: self.poll(phase, there, event))

    def do_give(self) -> None:
        began, started = self.loop.clock.now(), self.started

        def taken(state: bytes | None, broken: BaseException | None) -> None:
            if started is not self.started or self.machine.phase is not Phase.GIVING:
                return  # called off meanwhile
            if broken is not None:
                self.step("refused", f"the state can't be taken: {type(broken).__name__}: {broken}")
            else:
                self.give(state, began)

        self.side.freeze(taken)

    def give(self, state: bytes, began: int) -> None:
        self.state = state
        self.rehearse_at = self.loop.clock.now() + self.REHEARSE
        send_state(self.send, self.side.listeners(), state, self.loop.clock.now(), self.rehearse_at)
        self.figures.state_taken(len(state), began, self.loop.clock.now())

    def do_commit(self) -> None:
        self.figures.stopped = self.loop.clock.now()
        self.side.set_accepting(False)
        try:
            self.passing.add(self.side.take_idle_connections())
            self.figures.add(passed=len(self.passing.unconfirmed))
            self.passing.send_all()
            self.send(messages.CommitHandover(self.side.late_events(), self.reload))
        except OSError as bad:  # whatever this process lacks now, it can take back
            self.step("refused", f"nothing could be passed: {bad}")

    def do_release(self) -> None:
        """All that was passed before the word is the new one's; it said so before it said that it accepts."""
        self.passing.confirm(list(self.passing.unconfirmed))
        self.figures.accepting_again(self.loop.clock.now())

    def do_drain(self) -> None:
        self.side.drain(self.pass_on)
        self.log.event("upgraded", **self.figures.told(self.machine.result, self.loop.clock.now()))
        started = self.started
        self.loop.call_after(self.waits["watch"], lambda: started is self.started and self.step("watched"))
        # What was passed to a new one that was told to end has nobody any more.
        self.poll(
            Phase.DRAINING,
            lambda: self.side.is_drained() and (self.machine.left or not self.passing.unconfirmed),
            "drained",
        )

    def pass_on(self, connection: PassedConnection) -> bool:
        """One that came free while we drain; False: the new process can't be reached."""
        reached = self.channel is not None and self.machine.phase is Phase.DRAINING
        if not reached or not self.passing.send_single(connection):
            return False
        self.log.count("connections_passed_late")
        return True

    def do_reclaim(self) -> None:
        passed = self.passing.take_back()
        self.log.warning("upgrade_taken_back", why=self.machine.result, connections=len(passed))
        self.side.settle(False)
        self.side.set_accepting(True)
        for connection in passed:
            self.side.adopt(*connection)
        self.close()
        self.taken_back()

    def do_thaw(self) -> None:
        self.side.thaw()
        self.state = b""

    def do_call_off(self) -> None:
        self.log.warning("upgrade_called_off", why=self.machine.result)
        self.send(messages.HandoverCalledOff(self.machine.result), last=True)
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

    def do_report(self) -> None:
        self.log.count("upgrades" if self.machine.result == "upgraded" else "upgrades_failed")
        self.reported(self.figures.told(self.machine.result, self.loop.clock.now()))

    def do_done(self) -> None:
        # Our module has retired: its next step shows whether the new one's is the same.
        self.log.event("state_compared", equal=self.side.rehearse(self.rehearse_at) == self.theirs)
        self.send(messages.LateEvents(self.side.late_events()))
        self.send(messages.DrainCompleted(), last=True)

    def do_end(self) -> None:
        self.close()
        if self.started is not None:
            self.started.reap()
        self.ended()
