"""What the cases share: processes started as the deploy file says, a record, and an end that leaves nothing.

A case calls `main(play)`.  `play(case)` returns the breaches of the rule; an exception means that the case
could not run.  Exit codes: 1 broken, 0 held, 2 could not run.
"""

from __future__ import annotations

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIMIT = 110  # s: a case may take 120
HOST = "127.0.0.1"


class CaseError(Exception):
    """The case could not run."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Case:
    """One run of a case."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = temporary
        self.began = time.monotonic()
        self.record_file = open(folder / "record.txt", "w")  # noqa: SIM115 - closed with the process
        self.processes: list[subprocess.Popen] = []
        # The program that `run` of the deploy file starts; further words make it another of its commands.
        self.program = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.record("begins", trouble=self.trouble)

    def record(self, what: str, **fields: object) -> None:
        """Writes one JSON line, with the seconds since the beginning."""
        line = {"s": round(time.monotonic() - self.began, 3), "what": what} | fields
        self.record_file.write(json.dumps(line) + "\n")
        self.record_file.flush()

    def start(self, *words: str) -> subprocess.Popen:
        """Starts a command of the project's program; its log goes to the temporary folder."""
        command = f"{self.program} {shlex.join(words)}"
        self.record("starts", command=command)
        with open(self.temporary / f"log-{len(self.processes)}", "wb") as log:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def signal(self, process: subprocess.Popen, number: signal.Signals) -> None:
        self.record("signals", name=number.name, words=process.args[-1])
        process.send_signal(number)

    def wait_until_open(self, port: int, seconds: float = 15.0) -> None:
        """Waits until something listens there; raises CaseError."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                socket.create_connection((HOST, port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CaseError(f"nothing listens at {port}")

    def stand_in(self, name: str, *words: str) -> tuple[subprocess.Popen, int]:
        """Starts a stand-in server of the project; returns it and its port."""
        port = free_port()
        process = self.start("stand-in", f"{HOST}:{port}", "--name", name, *words)
        self.wait_until_open(port)
        return process, port

    def sidecar(self, lines: str) -> tuple[subprocess.Popen, int]:
        """Starts a sidecar whose file has these lines beside its name and addresses; returns its port too."""
        port = free_port()
        path = self.temporary / "sidecar.conf"
        control = self.temporary / "control.sock"
        path.write_text(f"name eros-1\nlisten {HOST}:{port}\ncontrol {control}\n{lines}")
        self.record("sidecar", port=port, lines=lines)
        process = self.start("sidecar", str(path))
        self.wait_until_open(port)
        return process, port

    def end(self) -> None:
        """Ends all processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + 3
        for process in self.processes:
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def main(play: Callable[[Case], list[str]]) -> None:
    """Plays the case of the calling script and exits."""
    folder = Path(sys.argv[0]).resolve().parent

    def too_long(number: int, frame: object) -> None:
        raise CaseError(f"took over {LIMIT} s")

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.alarm(LIMIT)
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        case = Case(folder, Path(temporary))
        try:
            breaches = play(case)
        except Exception as error:
            traceback.print_exc()
            case.record("could not run", why=f"{type(error).__name__}: {error}")
            code = 2
        else:
            for breach in breaches:
                case.record("broken", breach=breach)
                print(f"broken: {breach}")
            code = 1 if breaches else 0
        finally:
            signal.alarm(0)
            case.end()
        case.record("ends", code=code)
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
