"""One member's process: started, asked, stopped, killed; ends only what it started."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from indigohitch import control

ROOT = Path(__file__).parent.parent.parent


def until(condition: Callable[[], object], most: float = 15.0, what: str = "") -> object:
    """What the condition came to; AssertionError after `most` seconds."""
    end = time.monotonic() + most
    while not (found := condition()):
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain for {what or condition}, {most:g} s")
        time.sleep(0.01)
    return found


class Member:
    def __init__(
        self,
        folder: Path,
        words: list[str],
        file: Path,
        socket: str,
        environment: dict[str, str] | None = None,
    ) -> None:
        """`words`: the program and what comes before FILE."""
        self.folder, self.words, self.file, self.socket = folder, words, file, socket
        self.environment = {
            key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")
        } | (environment or {})
        self.process: subprocess.Popen | None = None
        self.stopped = False
        self.starts = 0
        self._read, self._lines, self._rest = 0, [], b""
        self._reading = threading.Lock()
        (folder / "log").touch()

    def start(self) -> None:
        self.starts += 1
        with open(self.folder / "log", "ab") as out:
            self.process = subprocess.Popen(
                [*self.words, str(self.file)], cwd=ROOT, stdout=out, stderr=out, env=self.environment
            )

    def pids(self) -> list[int]:
        """Of this member that run: the one started, and those that followed it in an upgrade."""
        known = {e["pid"] for e in self.log() if e.get("event") == "starts" and "pid" in e}
        if self.process is not None and self.process.poll() is None:
            known.add(self.process.pid)
        return sorted(pid for pid in known if self.mine(pid))

    def mine(self, pid: int) -> bool:
        """It names this member's file, and has not ended."""
        try:
            return (
                str(self.file).encode() in Path(f"/proc/{pid}/cmdline").read_bytes()
                and b") Z " not in Path(f"/proc/{pid}/stat").read_bytes()
            )
        except OSError:
            return False

    @property
    def runs(self) -> bool:
        return bool(self.pids())

    def signal(self, number: int) -> int:
        """To each of them; how many there were."""
        pids = self.pids()
        for pid in pids:
            try:
                os.kill(pid, number)
            except ProcessLookupError:
                pass
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.stopped = number == signal.SIGSTOP
        return len(pids)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.stopped = False
        self.ended()

    def ended(self, most: float = 20.0) -> None:
        until(lambda: not self.pids(), most, f"the end of {self.folder.name}")
        if self.process is not None:
            self.process.wait(5)

    def ask(self, what: str, wait: float = 1.0) -> dict | None:
        """None: no answer, which may mean anything."""
        if self.stopped:
            return None
        try:
            return control.send_command(self.socket, what, wait)
        except (OSError, ValueError):
            return None

    def log(self) -> list[dict]:
        """Its JSON lines so far; what is no JSON (a traceback) under `text`."""
        with self._reading:
            with open(self.folder / "log", "rb") as file:
                file.seek(self._read)
                data = file.read()
            self._read += len(data)
            *whole, self._rest = (self._rest + data).split(b"\n")
            for line in whole:
                try:
                    self._lines.append(json.loads(line))
                except ValueError:
                    self._lines.append({"event": "", "text": line.decode(errors="replace")})
            return list(self._lines)

    def said(self, event: str, **words) -> list[dict]:
        return [e for e in self.log() if e.get("event") == event and words.items() <= e.items()]

    def noise(self) -> list[str]:
        """Lines that are no events: tracebacks."""
        return [e["text"] for e in self.log() if "text" in e and not e["event"] and e["text"].strip()]


def program(kind: str, altered: bool) -> list[str]:
    """The words before FILE; `kind`: "run" (a member without a front) or "sidecar"."""
    first = (
        [sys.executable, str(Path(__file__).parent / "altered.py")]
        if altered
        else [sys.executable, "-m", "indigohitch"]
    )
    return [*first, *(["run", "--operator"] if kind == "run" else ["sidecar"])]
