"""A process that can replace itself: upgrades both ways, the control socket, the state's and the pid's file.

Used by the sidecar, and by a coordinator that is run with an operator's file; the platform's `run` has none
of this and imports none of it."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable

from .config.texts import Text
from .control import ControlSocket
from .errors import DirectorError, error_fields
from .net.clock import SECOND
from .net.listener import Listener
from .pid_file import PidFile
from .process import Process
from .state_file import StateFile
from .upgradable_parts import Companion, ProcessPhase, upgrade_refusal
from .upgrade.handover_participant import HandoverParticipant
from .upgrade.phases import Phase as Handing
from .upgrade.predecessor_driver import PredecessorDriver
from .upgrade.successor_driver import SuccessorDriver


class UpgradableProcess(Process):
    SIGNALS = (*Process.SIGNALS, signal.SIGUSR2)
    POLL = SECOND // 100  # while it ends: whether the last thing in hand is done

    def __init__(self, name: str, lines: dict, waits: dict) -> None:
        """`lines`: the operator's `control`, `state`, `pidfile`, `program`; `waits`: `drain`, `start`."""
        super().__init__(ProcessPhase.STARTING, name)
        self.lines, self.waits, self.code = lines, waits, 0
        self.control: ControlSocket | None = None
        self.companion: Companion | None = None
        self.state = StateFile(lines["state"], self.clock, self.log)
        self.pidfile = PidFile(lines["pidfile"], self.log)
        self.side: HandoverParticipant = self.make_participant()
        self.pending_upgrade_replies: list[Callable[[dict], None]] = []
        self.predecessor_driver = PredecessorDriver(
            self.loop,
            self.log,
            self.side,
            lines["program"],
            waits,
            self.on_upgrade_finished,
            self.on_upgrade_result,
        )
        self.predecessor_driver.taken_back = self.pidfile.write
        self.successor_driver: SuccessorDriver | None = None

    # ---- what a program adds -----------------------------------------------------------------------

    def make_participant(self) -> HandoverParticipant:
        raise NotImplementedError

    def turn(self) -> None:
        """At the end of each turn of the loop."""

    def extra_status(self) -> dict:
        return {}

    def read_operator_file(self) -> Text: ...  # the operator's file, read again; raises Mistakes, OSError

    def current_program(self) -> list[str]:
        """The line `program` as it is now; of a file with mistakes, which the new one tells, as it was."""
        try:
            return self.read_operator_file().single["program"]
        except (OSError, ValueError):
            return self.lines["program"]

    def reload(self) -> None: ...

    def begin_to_end(self) -> None:
        """Accept nobody any more."""

    def is_done(self) -> bool:
        """While it ends: nothing is in hand."""
        return True

    def close(self) -> None: ...

    def without_state(self) -> None:
        """A state was refused half way: as if none had been read."""

    # ---- phases ------------------------------------------------------------------------------------

    def run(self, channel: tuple[socket.socket, int] | None = None) -> int:
        """Returns the exit code; `channel`: where the process is that this one follows."""
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
        try:
            restored = self.restore()
            if not restored:
                self.side.start_empty({})
            self.side.start_serving(restored)
            self.open_control()
        except (DirectorError, OSError, ValueError, KeyError, TypeError, AttributeError) as bad:
            self.log.event(
                "cannot_start", **error_fields(bad, "mend the file that this program was started with")
            )
            self.become(ProcessPhase.ENDED)
            return False
        self.on_serving()
        return True

    def restore(self) -> bool:
        restored = self.state.restore(self.side)
        if restored is None:
            self.without_state()
        return bool(restored)

    def open_control(self) -> None:
        if self.control is None and self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.on_command)

    def control_listener(self) -> Listener | None:
        return self.control and self.control.listener

    def take_over_control(self, sock: socket.socket) -> None:
        if sock.getsockname() == self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.on_command, sock)
        else:
            sock.close()  # the file names another path by now

    def on_serving(self) -> None:
        if self.successor_driver is not None:
            try:
                self.open_control()
            except OSError as bad:
                self.log.warning("no_control", **error_fields(bad))
        self.pidfile.write()
        self.become(ProcessPhase.SERVING)
        if self.successor_driver is not None and self.successor_driver.reload:
            self.reload()

    def exit_with(self, code: int) -> None:
        self.code = code
        self.become(ProcessPhase.ENDED)

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.counters()
        elif number == signal.SIGUSR2:
            self.upgrade(lambda told: None)
        elif number == signal.SIGHUP:
            if self.predecessor_driver.under_way:
                self.predecessor_driver.reload_later()
            elif self.phase is ProcessPhase.TAKING_OVER:
                self.successor_driver.reload = True
            elif self.phase is ProcessPhase.SERVING:
                self.reload()
        else:
            if self.successor_driver is not None:  # once it serves it only tells the one that stands by
                self.successor_driver.step("told_to_end", "SIGTERM")
            if self.phase is ProcessPhase.SERVING:
                self.predecessor_driver.step("told_to_end", "SIGTERM")

    def on_command(self, what: str, line: dict, answer: Callable[[dict], None]) -> None:
        if what == "status":
            answer(self.status())
        elif what == "upgrade":
            self.upgrade(answer)
        elif what == "snapshot":
            answer(self.state.save(self.side))
        elif self.companion is None or not self.companion.on_command(what, line, answer):
            answer({"error": f"no such word: {what[:40]}"})

    def status(self) -> dict:
        return {
            "name": self.log.name,
            "pid": os.getpid(),
            "phase": self.phase.value,
            "upgrade": self.predecessor_driver.machine.phase.value,
            "counters": dict(sorted(self.log.counts.items())),
            **(self.companion.status() if self.companion is not None else {}),
            **self.extra_status(),
        }

    def upgrade(self, answer: Callable[[dict], None]) -> None:
        follows = self.successor_driver is not None and not self.successor_driver.over
        why = upgrade_refusal(self.phase, self.predecessor_driver.under_way, follows)
        if why:
            self.log.count("upgrades_not_now")
            answer({"result": "not now", "error": why})
            return
        self.pending_upgrade_replies.append(answer)
        self.predecessor_driver.program = self.current_program()
        self.predecessor_driver.step("asked")

    def on_upgrade_result(self, told: dict) -> None:
        askers, self.pending_upgrade_replies = self.pending_upgrade_replies, []
        for answer in askers:
            answer(told if told["result"] == "upgraded" else told | {"error": told["result"]})

    @property
    def is_handed_over(self) -> bool:
        """Another process is the service."""
        return self.predecessor_driver.machine.phase is Handing.ENDED

    def on_upgrade_finished(self) -> None:
        """The upgrade's machine has no more to do here: a new one is the service, or this was told to end."""
        if self.is_handed_over or self.phase is not ProcessPhase.SERVING:
            self.end()
            return
        self.become(ProcessPhase.ENDING)
        self.begin_to_end()
        self.state.save(self.side)  # and again at the end, where that is reached
        self.loop.call_after(self.waits["drain"], self.end)
        self.wait_for_last()

    def wait_for_last(self) -> None:
        if self.phase is ProcessPhase.ENDING:
            if self.is_done() and (self.companion is None or self.has_companion_left()):
                self.end()
            else:
                self.loop.call_after(self.POLL, self.wait_for_last)

    def has_companion_left(self) -> bool:
        """Only once nothing is in hand that hangs on it."""
        self.companion.leave(True)
        return self.companion.left

    def end(self) -> None:
        if self.phase is not ProcessPhase.ENDED:
            if self.phase is ProcessPhase.ENDING:  # with what was still sent, and counts, since
                self.state.save(self.side)
            if self.companion is not None:
                self.companion.close()
            self.close()
            if self.control is not None:
                self.control.close(unlink=not self.is_handed_over)
            self.become(ProcessPhase.ENDED)
