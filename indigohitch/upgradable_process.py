"""A process that can replace itself: upgrades in both roles, the control socket, the state and pid files.

It is the base of the sidecar and of a coordinator that runs with an operator's file; a coordinator that the
platform starts does not use it.
"""

from __future__ import annotations

import os
import signal
import socket

from .config.texts import Text
from .control import ControlSocket
from .errors import DirectorError, error_fields
from .net.clock import SECOND
from .net.listener import Listener
from .pid_file import PidFile
from .process import Process
from .process_commands import ProcessCommands, Reply
from .state_file import StateFile
from .upgradable_parts import Companion, ProcessPhase
from .upgrade.handover_participant import HandoverParticipant
from .upgrade.phases import Phase as UpgradePhase
from .upgrade.predecessor_driver import PredecessorDriver
from .upgrade.successor_driver import SuccessorDriver


class UpgradableProcess(Process):
    """A process that serves until it has ended or a new process of the same program has taken over."""

    SIGNALS = (*Process.SIGNALS, signal.SIGUSR2)
    DRAIN_POLL_INTERVAL = SECOND // 100  # between checks for work in flight, while the process ends

    def __init__(self, name: str, settings: dict, timeouts: dict) -> None:
        """`settings` has `control`, `state`, `pidfile`, `program`; `timeouts` has `drain` and `start`."""
        super().__init__(ProcessPhase.STARTING, name)
        self.settings = settings
        self.timeouts = timeouts
        self.exit_code = 0
        self.control: ControlSocket | None = None
        self.companion: Companion | None = None
        self.state = StateFile(settings["state"], self.clock, self.log)
        self.pidfile = PidFile(settings["pidfile"], self.log)
        self.participant: HandoverParticipant = self.make_participant()
        self.commands = ProcessCommands(self)
        self.predecessor_driver = PredecessorDriver(
            self.loop,
            self.log,
            self.participant,
            settings["program"],
            timeouts,
            self.on_upgrade_finished,
            self.commands.on_upgrade_result,
        )
        self.predecessor_driver.on_taken_back = self.pidfile.write
        self.successor_driver: SuccessorDriver | None = None

    # ---- overridden by programs --------------------------------------------------------------------

    def make_participant(self) -> HandoverParticipant:
        """Returns the participant that hands over the program's state and sockets."""
        raise NotImplementedError

    def turn(self) -> None:
        """Runs the program's work at the end of each turn of the event loop."""

    def extra_status(self) -> dict:
        """Returns the keys that the program adds to the status."""
        return {}

    def read_operator_file(self) -> Text:
        """Reads the operator's file once more.  Raises ValueError for mistakes in it, OSError."""
        raise NotImplementedError

    def current_program(self) -> list[str]:
        """Returns the line `program` of the file as it is now, or the old one if the file has mistakes.

        The new process reports the mistakes.
        """
        try:
            return self.read_operator_file().single["program"]
        except (OSError, ValueError):
            return self.settings["program"]

    def reload(self) -> None:
        """Applies the operator's file as it is now."""

    def start_shutdown(self) -> None:
        """Stops accepting connections."""

    def is_done(self) -> bool:
        """Returns whether no work is in flight; asked while the process ends."""
        return True

    def close(self) -> None:
        """Closes the program's sockets and files."""

    def discard_state(self) -> None:
        """Discards a partly restored state."""

    # ---- phases ------------------------------------------------------------------------------------

    def run(self, channel: tuple[socket.socket, int] | None = None) -> int:
        """Runs until the process ends; returns the exit code.

        `channel` is the socket to the predecessor and its pid, or None without one.
        """
        self.log.event("starts", pid=os.getpid(), follows=channel[1] if channel else None)
        if channel is not None:
            self.become(ProcessPhase.TAKING_OVER)
            self.successor_driver = SuccessorDriver(
                self.loop, self.log, self.participant, *channel, self.on_serving, self.exit_with
            )
            self.successor_driver.start()
        elif not self.start():
            return 1
        while self.phase is not ProcessPhase.ENDED:
            self.loop.turn()
            self.loop.guarded(self.turn)
        self.log.counters()
        return self.exit_code

    def start(self) -> bool:
        """Starts without a predecessor; where that fails, logs the reason and returns False."""
        try:
            restored = self.restore()
            if not restored:
                self.participant.start_empty({})
            self.participant.start_serving(restored)
            self.open_control()
        except (DirectorError, OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.event(
                "cannot_start", **error_fields(error, "correct the file that this program was started with")
            )
            self.become(ProcessPhase.ENDED)
            return False
        self.on_serving()
        return True

    def restore(self) -> bool:
        """Restores the state file; returns whether a state was restored."""
        restored = self.state.restore(self.participant)
        if restored is None:
            self.discard_state()
        return bool(restored)

    def open_control(self) -> None:
        """Listens on the control socket; raises OSError."""
        if self.control is None and self.settings["control"]:
            self.control = ControlSocket(self.loop, self.settings["control"], self.on_command)

    def control_listener(self) -> Listener | None:
        """Returns the listener of the control socket, which a handover passes on."""
        return self.control and self.control.listener

    def take_over_control(self, sock: socket.socket) -> None:
        """Uses the predecessor's control socket, unless the file names another path now."""
        if sock.getsockname() == self.settings["control"]:
            self.control = ControlSocket(self.loop, self.settings["control"], self.on_command, sock)
        else:
            sock.close()

    def on_serving(self) -> None:
        """Enters SERVING; a successor also opens the control socket and applies a pending reload."""
        if self.successor_driver is not None:
            try:
                self.open_control()
            except OSError as error:
                self.log.warning("no_control", **error_fields(error))
        self.pidfile.write()
        self.become(ProcessPhase.SERVING)
        if self.successor_driver is not None and self.successor_driver.reload:
            self.reload()

    def exit_with(self, code: int) -> None:
        """Ends the process with this exit code, without saving or closing anything."""
        self.exit_code = code
        self.become(ProcessPhase.ENDED)

    def on_signal(self, number: int) -> None:
        """Handles a signal: logs the counters, upgrades, reloads or ends the process."""
        if number == signal.SIGUSR1:
            self.log.counters()
        elif number == signal.SIGUSR2:
            self.commands.upgrade(lambda result: None)
        elif number == signal.SIGHUP:
            if self.predecessor_driver.under_way:
                self.predecessor_driver.reload_later()
            elif self.phase is ProcessPhase.TAKING_OVER:
                self.successor_driver.reload = True
            elif self.phase is ProcessPhase.SERVING:
                self.reload()
        else:
            if self.successor_driver is not None:  # in SERVING this only notifies the predecessor
                self.successor_driver.step("told_to_end", "SIGTERM")
            if self.phase is ProcessPhase.SERVING:
                self.predecessor_driver.step("told_to_end", "SIGTERM")

    def on_command(self, name: str, command: dict, reply: Reply) -> None:
        """Runs a command of the control socket."""
        self.commands.on_command(name, command, reply)

    @property
    def is_handed_over(self) -> bool:
        """Whether another process serves instead of this one."""
        return self.predecessor_driver.machine.phase is UpgradePhase.ENDED

    def on_upgrade_finished(self) -> None:
        """Ends the process after a handover; without one, starts a shutdown as it was told to end."""
        if self.is_handed_over or self.phase is not ProcessPhase.SERVING:
            self.end()
            return
        self.become(ProcessPhase.ENDING)
        self.start_shutdown()
        self.state.save(self.participant)  # and again at the end, unless the process is killed before
        self.loop.call_after(self.timeouts["drain"], self.end)
        self.end_when_drained()

    def end_when_drained(self) -> None:
        """Ends the process as soon as no work is in flight and the companion has left."""
        if self.phase is ProcessPhase.ENDING:
            if self.is_done() and (self.companion is None or self.has_companion_left()):
                self.end()
            else:
                self.loop.call_after(self.DRAIN_POLL_INTERVAL, self.end_when_drained)

    def has_companion_left(self) -> bool:
        """Makes the companion leave, as no work depends on it any more; returns whether it has left."""
        self.companion.leave(True)
        return self.companion.left

    def end(self) -> None:
        """Saves the state, unless it was handed over, and closes everything."""
        if self.phase is not ProcessPhase.ENDED:
            if self.phase is ProcessPhase.ENDING:  # with what was sent and counted since the first save
                self.state.save(self.participant)
            if self.companion is not None:
                self.companion.close()
            self.close()
            if self.control is not None:
                self.control.close(unlink=not self.is_handed_over)
            self.become(ProcessPhase.ENDED)
