"""A process that can replace itself: upgrades in both roles, the control socket, the state and pid files.

The sidecar uses it, and a coordinator that runs with an operator's file; the platform's `run` does not.
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
    POLL = SECOND // 100  # while it ends: how often it checks for work in flight

    def __init__(self, name: str, lines: dict, waits: dict) -> None:
        """`lines`: the operator's `control`, `state`, `pidfile`, `program`; `waits`: `drain`, `start`."""
        super().__init__(ProcessPhase.STARTING, name)
        self.lines = lines
        self.waits = waits
        self.code = 0
        self.control: ControlSocket | None = None
        self.companion: Companion | None = None
        self.state = StateFile(lines["state"], self.clock, self.log)
        self.pidfile = PidFile(lines["pidfile"], self.log)
        self.side: HandoverParticipant = self.make_participant()
        self.commands = ProcessCommands(self)
        self.predecessor_driver = PredecessorDriver(
            self.loop,
            self.log,
            self.side,
            lines["program"],
            waits,
            self.on_upgrade_finished,
            self.commands.on_upgrade_result,
        )
        self.predecessor_driver.taken_back = self.pidfile.write
        self.successor_driver: SuccessorDriver | None = None

    # ---- what a program adds -----------------------------------------------------------------------

    def make_participant(self) -> HandoverParticipant:
        """Return the program's part in handovers."""
        raise NotImplementedError

    def turn(self) -> None:
        """Run at the end of each turn of the loop."""

    def extra_status(self) -> dict:
        """Return the keys that the program adds to the status."""
        return {}

    def read_operator_file(self) -> Text:
        """Read the operator's file once more; raises ValueError for mistakes in it, and OSError."""
        raise NotImplementedError

    def current_program(self) -> list[str]:
        """Return the line `program` of the file now, or the old one if the file has mistakes.

        The new process reports the mistakes.
        """
        try:
            return self.read_operator_file().single["program"]
        except (OSError, ValueError):
            return self.lines["program"]

    def reload(self) -> None:
        """Apply the operator's file once more."""

    def begin_to_end(self) -> None:
        """Stop accepting connections."""

    def is_done(self) -> bool:
        """Whether no work is in flight, while the process ends."""
        return True

    def close(self) -> None:
        """Close the program's sockets and files."""

    def without_state(self) -> None:
        """Discard a state that was refused after a part of it was restored."""

    # ---- phases ------------------------------------------------------------------------------------

    def run(self, channel: tuple[socket.socket, int] | None = None) -> int:
        """Return the exit code; `channel`: the socket to the predecessor and its pid."""
        self.log.event("starts", pid=os.getpid(), follows=channel[1] if channel else None)
        if channel is not None:
            self.become(ProcessPhase.TAKING_OVER)
            self.successor_driver = SuccessorDriver(
                self.loop, self.log, self.side, *channel, self.on_serving, self.exit_with
            )
            self.successor_driver.start()
        elif not self.start():
            return 1
        while self.phase is not ProcessPhase.ENDED:
            self.loop.turn()
            self.loop.guarded(self.turn)
        self.log.counters()
        return self.code

    def start(self) -> bool:
        """Start without a predecessor; return False, with a line in the log, where that fails."""
        try:
            restored = self.restore()
            if not restored:
                self.side.start_empty({})
            self.side.start_serving(restored)
            self.open_control()
        except (DirectorError, OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.event(
                "cannot_start", **error_fields(error, "mend the file that this program was started with")
            )
            self.become(ProcessPhase.ENDED)
            return False
        self.on_serving()
        return True

    def restore(self) -> bool:
        """Restore the state file; return whether there was a state to restore."""
        restored = self.state.restore(self.side)
        if restored is None:
            self.without_state()
        return bool(restored)

    def open_control(self) -> None:
        """Listen on the control socket; raises OSError."""
        if self.control is None and self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.on_command)

    def control_listener(self) -> Listener | None:
        """Return the listener of the control socket, which a handover passes on."""
        return self.control and self.control.listener

    def take_over_control(self, sock: socket.socket) -> None:
        """Use the predecessor's control socket, unless the file names another path now."""
        if sock.getsockname() == self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.on_command, sock)
        else:
            sock.close()

    def on_serving(self) -> None:
        """Enter the phase of service; as a successor, with the control socket and a pending reload."""
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
        """End at once with this exit code."""
        self.code = code
        self.become(ProcessPhase.ENDED)

    def on_signal(self, number: int) -> None:
        """Handle a signal: counters, an upgrade, a reload or the end."""
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
            if self.successor_driver is not None:  # once it serves it only notifies the predecessor
                self.successor_driver.step("told_to_end", "SIGTERM")
            if self.phase is ProcessPhase.SERVING:
                self.predecessor_driver.step("told_to_end", "SIGTERM")

    def on_command(self, name: str, line: dict, reply: Reply) -> None:
        """Run a command of the control socket."""
        self.commands.on_command(name, line, reply)

    @property
    def is_handed_over(self) -> bool:
        """Whether another process is the service."""
        return self.predecessor_driver.machine.phase is UpgradePhase.ENDED

    def on_upgrade_finished(self) -> None:
        """End, as the upgrade's machine has ended: a successor serves, or this process has to stop."""
        if self.is_handed_over or self.phase is not ProcessPhase.SERVING:
            self.end()
            return
        self.become(ProcessPhase.ENDING)
        self.begin_to_end()
        self.state.save(self.side)  # and again at the end, where that is reached
        self.loop.call_after(self.waits["drain"], self.end)
        self.wait_for_last()

    def wait_for_last(self) -> None:
        """End as soon as no work is in flight and the companion has left."""
        if self.phase is ProcessPhase.ENDING:
            if self.is_done() and (self.companion is None or self.has_companion_left()):
                self.end()
            else:
                self.loop.call_after(self.POLL, self.wait_for_last)

    def has_companion_left(self) -> bool:
        """Make the companion leave, once no work depends on it, and return whether it has left."""
        self.companion.leave(True)
        return self.companion.left

    def end(self) -> None:
        """Save the state if the process ended in order, and close everything."""
        if self.phase is not ProcessPhase.ENDED:
            if self.phase is ProcessPhase.ENDING:  # with what was still sent, and counts, since
                self.state.save(self.side)
            if self.companion is not None:
                self.companion.close()
            self.close()
            if self.control is not None:
                self.control.close(unlink=not self.is_handed_over)
            self.become(ProcessPhase.ENDED)
