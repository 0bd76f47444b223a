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
from .upgradable_parts import Companion, ProcessPhase
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
        self.beside: Companion | None = None
        self.state = StateFile(lines["state"], self.clock, self.log)
        self.pidfile = PidFile(lines["pidfile"], self.log)
        self.side: HandoverParticipant = self.make_side()
        self.askers: list[Callable[[dict], None]] = []
        self.giving = PredecessorDriver(
            self.loop, self.log, self.side, lines["program"], waits, self.handed_over, self.reported
        )
        self.giving.taken_back = self.pidfile.write
        self.taking: SuccessorDriver | None = None

    # ---- what a program adds -----------------------------------------------------------------------

    def make_side(self) -> HandoverParticipant:
        raise NotImplementedError

    def turn(self) -> None:
        """At the end of each turn of the loop."""

    def more_figures(self) -> dict:
        return {}

    def file_now(self) -> Text: ...  # the operator's file, read again; raises Mistakes, OSError

    def program_now(self) -> list[str]:
        """The line `program` as it is now; of a file with mistakes, which the new one tells, as it was."""
        try:
            return self.file_now().single["program"]
        except (OSError, ValueError):
            return self.lines["program"]

    def reload(self) -> None: ...

    def begin_to_end(self) -> None:
        """Accept nobody any more."""

    def all_done(self) -> bool:
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
            self.taking = SuccessorDriver(self.loop, self.log, self.side, *channel, self.begun, self.end_with)
            self.taking.start()
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
        self.begun()
        return True

    def restore(self) -> bool:
        restored = self.state.restore(self.side)
        if restored is None:
            self.without_state()
        return bool(restored)

    def open_control(self) -> None:
        if self.control is None and self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.asked)

    def controls(self) -> Listener | None:
        return self.control and self.control.listener

    def control_taken(self, sock: socket.socket) -> None:
        if sock.getsockname() == self.lines["control"]:
            self.control = ControlSocket(self.loop, self.lines["control"], self.asked, sock)
        else:
            sock.close()  # the file names another path by now

    def begun(self) -> None:
        if self.taking is not None:
            try:
                self.open_control()
            except OSError as bad:
                self.log.warning("no_control", **error_fields(bad))
        self.pidfile.write()
        self.become(ProcessPhase.SERVING)
        if self.taking is not None and self.taking.reload:
            self.reload()

    def end_with(self, code: int) -> None:
        self.code = code
        self.become(ProcessPhase.ENDED)

    # ---- signals and people ------------------------------------------------------------------------

    def signalled(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.counters()
        elif number == signal.SIGUSR2:
            self.upgrade(lambda told: None)
        elif number == signal.SIGHUP:
            if self.giving.under_way:
                self.giving.reload_later()
            elif self.phase is ProcessPhase.TAKING_OVER:
                self.taking.reload = True
            elif self.phase is ProcessPhase.SERVING:
                self.reload()
        else:
            if self.taking is not None:  # once it serves it only tells the one that stands by
                self.taking.step("told_to_end", "SIGTERM")
            if self.phase is ProcessPhase.SERVING:
                self.giving.step("told_to_end", "SIGTERM")

    def asked(self, what: str, line: dict, answer: Callable[[dict], None]) -> None:
        if what == "status":
            answer(self.figures())
        elif what == "upgrade":
            self.upgrade(answer)
        elif what == "snapshot":
            answer(self.state.save(self.side))
        elif self.beside is None or not self.beside.asked(what, line, answer):
            answer({"error": f"no such word: {what[:40]}"})

    def figures(self) -> dict:
        return {
            "name": self.log.name,
            "pid": os.getpid(),
            "phase": self.phase.value,
            "upgrade": self.giving.machine.phase.value,
            "counters": dict(sorted(self.log.counts.items())),
            **(self.beside.figures() if self.beside is not None else {}),
            **self.more_figures(),
        }

    def upgrade(self, answer: Callable[[dict], None]) -> None:
        follows = self.taking is not None and not self.taking.over
        if self.phase is not ProcessPhase.SERVING or self.giving.under_way or follows:
            why = (
                "an upgrade is under way"
                if self.giving.under_way
                else "the process before this one still drains"
                if follows
                else f"the program is {self.phase.value}"
            )
            self.log.count("upgrades_not_now")
            answer({"result": "not now", "error": why})
            return
        self.askers.append(answer)
        self.giving.program = self.program_now()
        self.giving.step("asked")

    def reported(self, told: dict) -> None:
        askers, self.askers = self.askers, []
        for answer in askers:
            answer(told if told["result"] == "upgraded" else told | {"error": told["result"]})

    # ---- the end -----------------------------------------------------------------------------------

    @property
    def handed(self) -> bool:
        """Another process is the service."""
        return self.giving.machine.phase is Handing.ENDED

    def handed_over(self) -> None:
        """The upgrade's machine has no more to do here: a new one is the service, or this was told to end."""
        if self.handed or self.phase is not ProcessPhase.SERVING:
            self.end()
            return
        self.become(ProcessPhase.ENDING)
        self.begin_to_end()
        self.state.save(self.side)  # and again at the end, where that is reached
        self.loop.call_after(self.waits["drain"], self.end)
        self.wait_for_last()

    def wait_for_last(self) -> None:
        if self.phase is ProcessPhase.ENDING:
            if self.all_done() and (self.beside is None or self.leaves_beside()):
                self.end()
            else:
                self.loop.call_after(self.POLL, self.wait_for_last)

    def leaves_beside(self) -> bool:
        """Only once nothing is in hand that hangs on it."""
        self.beside.leave(True)
        return self.beside.left

    def end(self) -> None:
        if self.phase is not ProcessPhase.ENDED:
            if self.phase is ProcessPhase.ENDING:  # with what was still sent, and counts, since
                self.state.save(self.side)
            if self.beside is not None:
                self.beside.close()
            self.close()
            if self.control is not None:
                self.control.close(unlink=not self.handed)
            self.become(ProcessPhase.ENDED)
