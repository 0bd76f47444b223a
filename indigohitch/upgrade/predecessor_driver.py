"""The old process' side of an upgrade: feeds events to a `Predecessor` and carries out its acts."""

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
from .optional_channel import OptionalChannel
from .phase_condition import PhaseCondition
from .phase_deadline import PhaseDeadline
from .phase_timeouts import phase_timeouts
from .phases import STANDING_STILL, Phase
from .predecessor import Predecessor
from .process_launch import StartedProcess
from .state_transfer import StateTransfer
from .upgrade_report import UpgradeReport
from .urgent_work import UrgentWorkMonitor


class PredecessorDriver:
    """Starts the new process, hands state and connections over, and takes them back if it fails."""

    EXIT_TIME = SECOND // 5  # from the end of its channel to the death of a process that ends

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
        """Calls `ended()` when this process has to exit, and `reported(result)` after each upgrade."""
        self.loop = loop
        self.log = log
        self.side = side
        self.program = program
        self.timeouts = phase_timeouts(waits)
        self.deadline = PhaseDeadline(loop, self.timeouts, self._deadline_passed)
        self.ended = ended
        self.reported = reported
        self.machine = Predecessor()
        self.condition = PhaseCondition(loop, self.machine, self.step)
        self.urgency = UrgentWorkMonitor(loop, self.has_urgent_work, self.step)
        self.started: StartedProcess | None = None
        self.channel = OptionalChannel()
        self.passing = ConnectionTransfer(self.channel.send)
        self.reload = False  # SIGHUP came meanwhile
        self.taken_back: Callable[[], None] = lambda: None  # this process is the service again
        self.transfer = StateTransfer()
        self.report = UpgradeReport(loop.clock.now())

    def has_urgent_work(self) -> bool | None:
        """Whether work with a time limit waits while this process is frozen; None: it is not frozen."""
        return self.side.has_urgent_work() if self.machine.phase in STANDING_STILL else None

    @property
    def under_way(self) -> bool:
        """Whether an upgrade is under way."""
        return self.machine.phase is not Phase.SERVING

    def step(self, event: str, why: str = "") -> None:
        """Feeds an event to the machine, logs a change of phase, and carries out the acts in order."""
        machine = self.machine
        previous = machine.phase
        acts = machine.step(event, why)
        if machine.phase is not previous:
            reason = {"why": why} if why else {}
            self.log.event("upgrade", was=previous.value, now=machine.phase.value, on=event, **reason)
            self.deadline.arm(machine.wait)
        for act in acts:
            getattr(self, f"do_{act.value}")()
        if self.reload and machine.phase is Phase.SERVING:
            self.reload = False
            if not machine.ending:
                self.loop.call_after(0, self.side.reload)

    def reload_later(self) -> None:
        """Has the configuration reloaded by the process that serves after the upgrade."""
        self.reload = True
        if self.machine.phase in (Phase.COMMITTED, Phase.DRAINING):
            self.started.watch.kill(signal.SIGHUP)

    def _deadline_passed(self) -> None:
        self.step("deadline")
        if self.machine.phase is Phase.RECLAIMING:
            self.deadline.arm(self.machine.wait)

    def on_message(self, message: messages.Message, descriptors: list[int]) -> None:
        """Takes a message of the new process."""
        if isinstance(message, messages.ConnectionsAdopted):
            self.passing.confirm(message.numbers)
            return
        if isinstance(message, messages.StateProven):
            self.transfer.successor_orders = message.orders
        self.step(*message_events.event(message, self.transfer.state))

    def channel_ended(self, why: str, broken: bool) -> None:
        """Takes the end of the channel."""
        started = self.started
        if broken:
            self.step("broken", why)
        self.channel.detach()
        if not broken:
            # Wait for the exit code, which is the better reason, unless no process accepts connections.
            span = 0 if self.machine.phase is Phase.COMMITTED else self.EXIT_TIME
            self.loop.call_after(span, lambda: started is self.started and self.step("eof", why))

    def died(self, started: StartedProcess, why: str) -> None:
        """Takes the death of the new process, after the messages it sent before."""
        if started is not self.started:
            return  # it belongs to an earlier upgrade and was killed late
        self.channel.read()
        # A service that ends with code 0 was ordered to, whether or not its message of that arrived.
        ended_in_order = self.machine.phase is Phase.DRAINING and started.process.returncode == 0
        self.step("refused" if ended_in_order else "died", why)

    def do_spawn(self) -> None:
        """Starts the new program."""
        self.report = UpgradeReport(self.loop.clock.now())
        self.reload = False
        try:
            self.started = StartedProcess(self.loop, self.program, self.died)
        except OSError as bad:
            self.step("refused", f"the new program can't be started: {bad}")
            return
        self.channel.attach(Channel(self.loop, self.started.channel, self.on_message, self.channel_ended))
        self.log.count("upgrades_begun")

    def do_settle(self) -> None:
        """Stops beginning work that the state can not hold, and waits for the rest."""
        self.side.settle(True)
        self.condition.poll(Phase.SETTLING, self.side.is_settled, "settled")
        self.urgency.begin()

    def do_give(self) -> None:
        """Freezes the module and hands its state over."""
        freeze_started = self.loop.clock.now()
        started = self.started

        def on_state(state: bytes | None, error: BaseException | None) -> None:
            if started is not self.started or self.machine.phase is not Phase.GIVING:
                return  # called off meanwhile
            if error is not None:
                self.step("refused", f"the state can't be taken: {type(error).__name__}: {error}")
            else:
                self._send_state(state, freeze_started)

        self.side.freeze(on_state)

    def _send_state(self, state: bytes, freeze_started: int) -> None:
        now = self.loop.clock.now
        rehearse_at = now() + StateTransfer.REHEARSAL_DELAY
        self.transfer.send_state(self.channel.send, self.side.listeners(), state, now(), rehearse_at)
        self.report.state_taken(len(state), freeze_started, self.loop.clock.now())

    def do_commit(self) -> None:
        """Stops accepting, passes idle connections, and commits the handover."""
        self.report.stopped = self.loop.clock.now()
        self.side.set_accepting(False)
        try:
            self.passing.add(self.side.take_idle_connections())
            self.report.add(passed=len(self.passing.unconfirmed))
            self.passing.send_all()
            self.channel.send(messages.CommitHandover(self.side.late_events(), self.reload))
        except OSError as bad:  # all that was passed can be taken back
            self.step("refused", f"nothing could be passed: {bad}")

    def do_release(self) -> None:
        """Closes what was passed before the commit: the new process confirmed it before it accepted."""
        self.passing.confirm(list(self.passing.unconfirmed))
        self.report.accepting_again(self.loop.clock.now())

    def do_drain(self) -> None:
        """Finishes the work in hand, passing connections on, and keeps ready to take over again."""
        self.side.drain(self.pass_on)
        self.log.event("upgraded", **self.report.told(self.machine.result, self.loop.clock.now()))
        started = self.started
        self.loop.call_after(self.timeouts["watch"], lambda: started is self.started and self.step("watched"))
        # Connections that a new process which was ordered to end did not confirm have no owner any more.
        self.condition.poll(
            Phase.DRAINING,
            lambda: self.side.is_drained() and (self.machine.left or not self.passing.unconfirmed),
            "drained",
        )

    def pass_on(self, connection: PassedConnection) -> bool:
        """Passes a connection that became idle while draining; False: the new process can't be reached."""
        reached = self.channel.is_attached() and self.machine.phase is Phase.DRAINING
        if not reached or not self.passing.send_single(connection):
            return False
        self.log.count("connections_passed_late")
        return True

    def do_reclaim(self) -> None:
        """Becomes the service again, with the connections that were not confirmed."""
        passed = self.passing.take_back()
        self.log.warning("upgrade_taken_back", why=self.machine.result, connections=len(passed))
        self.side.settle(False)
        self.side.set_accepting(True)
        for connection in passed:
            self.side.adopt(*connection)
        self.channel.close()
        self.taken_back()

    def do_thaw(self) -> None:
        """Lets the module go on."""
        self.side.thaw()
        self.transfer.state = b""

    def do_call_off(self) -> None:
        """Notifies the new process that the upgrade is called off."""
        self.log.warning("upgrade_called_off", why=self.machine.result)
        self.channel.send(messages.HandoverCalledOff(self.machine.result), last=True)
        self.side.settle(False)

    def do_kill(self) -> None:
        """Kills the new process."""
        if self.started is not None:
            self.started.kill()
        if self.machine.phase is Phase.SERVING:
            self.channel.close()

    def do_report(self) -> None:
        """Reports the result of the upgrade."""
        self.log.count("upgrades" if self.machine.result == "upgraded" else "upgrades_failed")
        self.reported(self.report.told(self.machine.result, self.loop.clock.now()))

    def do_done(self) -> None:
        """Sends the last events and notifies the new process that the drain is complete."""
        # This module has retired: its next step shows whether the state of both processes was equal.
        self.log.event("state_compared", equal=self.transfer.is_equal(self.side))
        self.channel.send(messages.LateEvents(self.side.late_events()))
        self.channel.send(messages.DrainCompleted(), last=True)

    def do_end(self) -> None:
        """Ends this process, leaving the new one running."""
        self.channel.close()
        if self.started is not None:
            self.started.reap()
        self.ended()
