"""The old process' side of an upgrade: feeds events to a `Predecessor` and executes its actions."""

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
from .phases import PAUSED_PHASES, Phase
from .predecessor import Predecessor
from .process_launch import StartedProcess
from .state_transfer import StateTransfer
from .upgrade_report import UpgradeReport
from .urgent_work import UrgentWorkMonitor


class PredecessorDriver:
    """Starts the new process, hands state and connections over, and takes the service back if that fails."""

    EXIT_DELAY = SECOND // 5  # ticks from the end of the channel to the death of a process that ends

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        side: HandoverParticipant,
        program: Sequence[str],
        configured_timeouts: dict[str, int],
        on_end: Callable[[], None],
        on_result: Callable[[dict], None],
    ) -> None:
        """Calls `on_end()` when this process has to exit, and `on_result(result)` after each upgrade."""
        self.loop = loop
        self.log = log
        self.side = side
        self.program = program
        self.timeouts = phase_timeouts(configured_timeouts)
        self.deadline = PhaseDeadline(loop, self.timeouts, self._deadline_passed)
        self.on_end = on_end
        self.on_result = on_result
        self.machine = Predecessor()
        self.condition = PhaseCondition(loop, self.machine, self.step)
        self.urgency = UrgentWorkMonitor(loop, self.has_urgent_work, self.step)
        self.child: StartedProcess | None = None  # the new process
        self.channel = OptionalChannel()
        self.connections = ConnectionTransfer(self.channel.send)
        self.reload = False  # SIGHUP has arrived during the upgrade
        self.on_taken_back: Callable[[], None] = lambda: None  # called when this process serves again
        self.transfer = StateTransfer()
        self.report = UpgradeReport(loop.clock.now())

    def has_urgent_work(self) -> bool | None:
        """Whether work with a time limit waits while this process is frozen; None if it is not frozen."""
        return self.side.has_urgent_work() if self.machine.phase in PAUSED_PHASES else None

    @property
    def under_way(self) -> bool:
        """Whether an upgrade is under way."""
        return self.machine.phase is not Phase.SERVING

    def step(self, event: str, reason: str = "") -> None:
        """Feeds an event to the machine, logs a change of phase, and executes the actions in order."""
        machine = self.machine
        previous = machine.phase
        actions = machine.step(event, reason)
        if machine.phase is not previous:
            reason_field = {"why": reason} if reason else {}
            self.log.event("upgrade", was=previous.value, now=machine.phase.value, on=event, **reason_field)
            self.deadline.arm(machine.timeout_name)
        for action in actions:
            getattr(self, f"do_{action.value}")()
        if self.reload and machine.phase is Phase.SERVING:
            self.reload = False
            if not machine.is_ending:
                self.loop.call_after(0, self.side.reload)

    def reload_later(self) -> None:
        """Has the configuration reloaded by the process that serves after the upgrade."""
        self.reload = True
        if self.machine.phase in (Phase.COMMITTED, Phase.DRAINING):
            self.child.watch.kill(signal.SIGHUP)

    def _deadline_passed(self) -> None:
        self.step("deadline")
        if self.machine.phase is Phase.RECLAIMING:
            self.deadline.arm(self.machine.timeout_name)

    def on_message(self, message: messages.Message, descriptors: list[int]) -> None:
        """Handles a message of the new process."""
        if isinstance(message, messages.ConnectionsAdopted):
            self.connections.confirm(message.numbers)
            return
        if isinstance(message, messages.StateProven):
            self.transfer.successor_orders = message.orders
        self.step(*message_events.event(message, self.transfer.state))

    def on_channel_end(self, reason: str, broken: bool) -> None:
        """Handles the end of the channel."""
        child = self.child
        if broken:
            self.step("broken", reason)
        self.channel.detach()
        if not broken:
            # The exit code tells more about the cause: wait for it, unless no process accepts connections.
            delay = 0 if self.machine.phase is Phase.COMMITTED else self.EXIT_DELAY
            self.loop.call_after(delay, lambda: child is self.child and self.step("eof", reason))

    def on_successor_death(self, child: StartedProcess, reason: str) -> None:
        """Handles the death of the new process, after the messages that it sent before."""
        if child is not self.child:
            return  # a process of an earlier upgrade, whose death is reported late
        self.channel.read()
        # A serving process that exits with code 0 was ordered to end, even if its message was lost.
        ended_by_order = self.machine.phase is Phase.DRAINING and child.process.returncode == 0
        self.step("refused" if ended_by_order else "died", reason)

    def do_spawn(self) -> None:
        """Starts the new program."""
        self.report = UpgradeReport(self.loop.clock.now())
        self.reload = False
        try:
            self.child = StartedProcess(self.loop, self.program, self.on_successor_death)
        except OSError as error:
            self.step("refused", f"the new program can't be started: {error}")
            return
        self.channel.attach(Channel(self.loop, self.child.channel, self.on_message, self.on_channel_end))
        self.log.count("upgrades_begun")

    def do_settle(self) -> None:
        """Stops starting work that a snapshot can't represent, and waits for such work in flight."""
        self.side.settle(True)
        self.condition.poll(Phase.SETTLING, self.side.is_settled, "settled")
        self.urgency.begin()

    def do_give(self) -> None:
        """Freezes the decision module and sends its state."""
        freeze_started = self.loop.clock.now()
        child = self.child

        def on_state(state: bytes | None, error: BaseException | None) -> None:
            if child is not self.child or self.machine.phase is not Phase.GIVING:
                return  # the upgrade was cancelled meanwhile
            if error is not None:
                self.step("refused", f"the state can't be taken: {type(error).__name__}: {error}")
            else:
                self._send_state(state, freeze_started)

        self.side.freeze(on_state)

    def _send_state(self, state: bytes, freeze_started: int) -> None:
        now = self.loop.clock.now
        rehearse_at = now() + StateTransfer.REHEARSAL_DELAY
        self.transfer.send_state(self.channel.send, self.side.listeners(), state, now(), rehearse_at)
        self.report.record_state(len(state), freeze_started, self.loop.clock.now())

    def do_commit(self) -> None:
        """Stops accepting, passes idle connections, and commits the handover."""
        self.report.stopped_at = self.loop.clock.now()
        self.side.set_accepting(False)
        try:
            self.connections.add(self.side.take_idle_connections())
            self.report.add(passed=len(self.connections.unconfirmed))
            self.connections.send_all()
            self.channel.send(messages.CommitHandover(self.side.late_events(), self.reload))
        except OSError as error:  # all passed connections can be taken back
            self.step("refused", f"the connections could not be passed: {error}")

    def do_release(self) -> None:
        """Closes connections passed before the commit: the new process confirmed them before it accepted."""
        self.connections.confirm(list(self.connections.unconfirmed))
        self.report.record_accepting(self.loop.clock.now())

    def do_drain(self) -> None:
        """Finishes the work in flight, passes connections on, and stays ready to take over again."""
        self.side.drain(self.pass_on)
        self.log.event("upgraded", **self.report.summary(self.machine.result, self.loop.clock.now()))
        child = self.child
        self.loop.call_after(self.timeouts["watch"], lambda: child is self.child and self.step("watched"))
        # Connections that a new process did not confirm before it was ordered to end have no owner any more.
        self.condition.poll(
            Phase.DRAINING,
            lambda: self.side.is_drained() and (self.machine.child_left or not self.connections.unconfirmed),
            "drained",
        )

    def pass_on(self, connection: PassedConnection) -> bool:
        """Passes a connection that became idle while draining; returns False if that is not possible."""
        is_reachable = self.channel.is_attached() and self.machine.phase is Phase.DRAINING
        if not is_reachable or not self.connections.send_single(connection):
            return False
        self.log.count("connections_passed_late")
        return True

    def do_reclaim(self) -> None:
        """Serves again, with the connections that were not confirmed."""
        passed = self.connections.take_back()
        self.log.warning("upgrade_taken_back", why=self.machine.result, connections=len(passed))
        self.side.settle(False)
        self.side.set_accepting(True)
        for connection in passed:
            self.side.adopt(*connection)
        self.channel.close()
        self.on_taken_back()

    def do_thaw(self) -> None:
        """Resumes the decision module."""
        self.side.thaw()
        self.transfer.state = b""

    def do_call_off(self) -> None:
        """Notifies the new process that the upgrade is cancelled."""
        self.log.warning("upgrade_called_off", why=self.machine.result)
        self.channel.send(messages.HandoverCalledOff(self.machine.result), last=True)
        self.side.settle(False)

    def do_kill(self) -> None:
        """Kills the new process."""
        if self.child is not None:
            self.child.kill()
        if self.machine.phase is Phase.SERVING:
            self.channel.close()

    def do_report(self) -> None:
        """Reports the result of the upgrade."""
        self.log.count("upgrades" if self.machine.result == "upgraded" else "upgrades_failed")
        self.on_result(self.report.summary(self.machine.result, self.loop.clock.now()))

    def do_done(self) -> None:
        """Sends the last events and notifies the new process that the drain is complete."""
        # This module is no longer used, so it can be advanced to compare the state of both processes.
        self.log.event("state_compared", equal=self.transfer.is_equal(self.side))
        self.channel.send(messages.LateEvents(self.side.late_events()))
        self.channel.send(messages.DrainCompleted(), last=True)

    def do_end(self) -> None:
        """Ends this process and leaves the new one running."""
        self.channel.close()
        if self.child is not None:
            self.child.reap()
        self.on_end()
