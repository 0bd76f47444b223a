"""The sidecar as a process: from start or take-over to its end, signals, and what the control socket asks."""
from __future__ import annotations

import enum
import os
import signal
import socket
from collections.abc import Callable

from ..control import Control
from ..net.clock import SECOND
from ..process import Process
from ..upgrade import launch
from ..upgrade import snapshot as shots
from ..upgrade.giving import Giving
from ..upgrade.machine import Phase as Handing
from ..upgrade.taking import Taking
from . import conf
from .handover import Handover
from .host import Host


class Phase(enum.Enum):
    STARTING = "starting"
    TAKING_OVER = "taking over"
    SERVING = "serving"
    ENDING = "ending"           # accepts nobody; what is in hand is answered, for a while
    ENDED = "ended"


class Sidecar(Process):
    POLL = SECOND // 100        # while it ends: whether the last RPC has been answered
    SIGNALS = (*Process.SIGNALS, signal.SIGUSR2)

    def __init__(self, source: str, text: conf.Text) -> None:
        super().__init__(Phase.STARTING, text.single["name"])
        self.source, self.text = source, text
        self.code = 0
        self.host = Host(self.loop, self.log, text)
        self.control: Control | None = None
        self.side = Handover(self.host, lambda: self.control and self.control.listener, self.control_taken,
                             self.reload)
        self.askers: list[Callable[[dict], None]] = []
        self.giving = Giving(self.loop, self.log, self.side, text.single["program"],
                             {"drain": text.waits["drain"], "start": text.waits["start"]}, self.handed_over,
                             self.reported)
        self.taking: Taking | None = None

    # ---- phases ------------------------------------------------------------------------------------

    def run(self, channel: tuple[socket.socket, int] | None = None) -> int:
        if channel is not None:
            self.become(Phase.TAKING_OVER)
            self.taking = Taking(self.loop, self.log, self.side, *channel, self.begun, self.end_with)
            self.taking.start()
        elif not self.start():
            return 1
        while self.phase is not Phase.ENDED:
            self.loop.turn()
            self.loop.guarded(self.host.turn)
        self.log.counters()
        return self.code

    def start(self) -> bool:
        path = self.text.single["state"]
        try:
            state = shots.read(path) if path and os.path.exists(path) else None
            if state is not None:
                self.side.restore(state, {})
                # Its clock was the wall's; one that has been set back since must not lie in the past.
                if state.taken > self.clock.now():
                    self.clock.follow(state.taken)
        except (shots.Unusable, OSError, ValueError, IndexError, KeyError, TypeError) as bad:
            self.log.trouble("state_refused", path=path, why=f"{type(bad).__name__}: {bad}")
            self.host.pools = self.host.make_pools()
            self.side.wanted = {name: dict(pool.text.servers) for name, pool in self.host.pools.items()}
            state = None
        try:
            if state is None:
                self.side.fresh({})
            self.side.begin(state is not None)
            self.open_control()
        except OSError as bad:
            self.log.event("cannot_start", why=f"{type(bad).__name__}: {bad}")
            self.become(Phase.ENDED)
            return False
        self.begun()
        return True

    def open_control(self) -> None:
        if self.control is None and self.text.single["control"]:
            self.control = Control(self.loop, self.text.single["control"], self.asked)

    def control_taken(self, sock: socket.socket) -> None:
        if sock.getsockname() == self.text.single["control"]:
            self.control = Control(self.loop, self.text.single["control"], self.asked, sock)
        else:
            sock.close()                        # the file names another path by now

    def begun(self) -> None:
        if self.taking is not None:
            try:
                self.open_control()
            except OSError as bad:
                self.log.trouble("no_control", why=str(bad))
        if path := self.text.single["pidfile"]:
            try:
                shots.write(path, b"%d\n" % os.getpid())
            except OSError as bad:
                self.log.trouble("no_pidfile", why=str(bad))
        self.become(Phase.SERVING)
        if self.taking is not None and self.taking.reload:
            self.reload()

    def end_with(self, code: int) -> None:
        self.code = code
        self.become(Phase.ENDED)

    # ---- signals and people ------------------------------------------------------------------------

    def signalled(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.counters()
        elif number == signal.SIGUSR2:
            self.upgrade(lambda told: None)
        elif number == signal.SIGHUP:
            if self.giving.under_way:
                self.giving.reload = True       # by whoever is the service afterwards
            elif self.phase is Phase.SERVING:
                self.reload()
        elif self.phase is Phase.TAKING_OVER:
            self.taking.step("told_to_end", "SIGTERM")
        elif self.phase is Phase.SERVING:
            self.giving.step("told_to_end", "SIGTERM")

    def asked(self, what: str, answer: Callable[[dict], None]) -> None:
        if what == "status":
            answer(self.figures())
        elif what == "upgrade":
            self.upgrade(answer)
        elif what == "snapshot":
            path = self.text.single["state"]
            answer(self.save() if path else {"error": "the file has no line `state`"})
        else:
            answer({"error": f"no such word: {what[:40]}"})

    def figures(self) -> dict:
        return {"name": self.text.single["name"], "pid": os.getpid(), "phase": self.phase.value,
                "upgrade": self.giving.machine.phase.value, "counters": dict(sorted(self.log.counts.items())),
                **self.host.figures()}

    def upgrade(self, answer: Callable[[dict], None]) -> None:
        follows = self.taking is not None and not self.taking.over
        if self.phase is not Phase.SERVING or self.giving.under_way or follows:
            why = ("an upgrade is under way" if self.giving.under_way
                   else "the process before this one still drains" if follows
                   else f"the program is {self.phase.value}")
            self.log.count("upgrades_not_now")
            answer({"result": "not now", "error": why})
            return
        self.askers.append(answer)
        self.giving.step("asked")

    def reported(self, told: dict) -> None:
        askers, self.askers = self.askers, []
        for answer in askers:
            answer(told if told["result"] == "upgraded" else told | {"error": told["result"]})

    def reload(self) -> None:
        """Servers as the file names them now; all else in it waits for an upgrade.  A file with a mistake
        changes nothing."""
        try:
            text = conf.load(self.source)
            if text.pools.keys() != self.text.pools.keys():
                raise ValueError("other pools: this takes an upgrade")
        except (OSError, ValueError) as bad:
            self.log.trouble("reload_failed", why=str(bad))
            return
        self.log.count("reloads")
        for name, pool in self.host.pools.items():
            self.log.event("reloaded", pool=name, **pool.relist(text.pools[name].servers))

    def save(self) -> dict:
        """The state into its file, whole or not at all."""
        path, data = self.text.single["state"], shots.encode(self.side.snapshot())
        try:
            shots.write(path, data)
        except OSError as bad:
            self.log.trouble("state_not_written", path=path, why=str(bad))
            return {"error": str(bad)}
        self.log.event("state_written", path=path, bytes=len(data))
        return {"path": path, "bytes": len(data)}

    # ---- the end -----------------------------------------------------------------------------------

    def handed_over(self) -> None:
        """This process has nothing more to do: a new one is the service, or it was told to end."""
        if self.phase is Phase.SERVING and self.giving.machine.phase is not Handing.ENDED:
            self.become(Phase.ENDING)
            self.host.listener.accept(False)
            if self.text.single["state"]:
                self.save()
            self.loop.after(self.text.waits["drain"], self.end)
            self.wait_for_last()
        else:
            self.end()

    def wait_for_last(self) -> None:
        if self.phase is not Phase.ENDING:
            return
        for client in list(self.host.clients):
            if client.rpc is not None:
                client.close_after |= client.rpc.answer is None
            elif client.idle:
                client.stream.close()
                client.gone()
        if len(self.host.clients):
            self.loop.after(self.POLL, self.wait_for_last)
        else:
            self.end()

    def end(self) -> None:
        if self.phase is not Phase.ENDED:
            for client in self.host.clients:
                if client.rpc is not None:
                    self.log.trouble("rpc_outlived_the_bound", rpc=client.rpc.route.rpc.name)
            handed = self.giving.machine.phase is Handing.ENDED
            self.host.close()
            if self.control is not None:
                self.control.close(unlink=not handed)
            self.become(Phase.ENDED)


def main(source: str) -> int:
    """Raises conf.Mistakes, OSError."""
    channel = launch.inherited()
    text = conf.load(source)
    os.set_blocking(1, False)           # a log that nobody reads must not hold up the service
    return Sidecar(source, text).run(channel)
