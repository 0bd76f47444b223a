"""Starts the program as a process, as the platform does, and reads its log."""

import json
import os
import signal
import subprocess
import sys
import threading

from waiting import eventually


class Program:
    """A running program, the events that it has logged, and its configuration file."""

    def __init__(self, path, config, words=(), **variables):
        self.file = path / "config.json"
        self.file.write_text(config)
        environ = os.environ | {"BALANCER_NAME": "n0", "BALANCER_CONFIG": str(self.file)} | variables
        self.process = subprocess.Popen(
            [sys.executable, "-m", "indigohitch", *words],
            env=environ,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.log = []
        self.shutdown_limit_ms = 30_000 if words else 600
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            self.log.append(json.loads(line))

    def said(self, event, **words):
        """Returns the logged events of this name that have all of these fields."""
        return [
            logged
            for logged in list(self.log)
            if logged["event"] == event and words.items() <= logged.items()
        ]

    def counters(self):
        """Returns the counters event that the program logs on SIGUSR1."""
        before = len(self.said("counters"))
        self.process.send_signal(signal.SIGUSR1)
        return eventually(lambda: self.said("counters")[before:])[0]

    def end(self):
        """Sends SIGTERM and returns the exit code; fails if the shutdown took too long.

        The platform sends SIGKILL 0.7 s after SIGTERM.  With an operator's file it may take as long
        as `drain`, and has saved the state by then.
        """
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(10)
        self.reader.join(5)
        ending, ended = (self.said("phase", now=phase)[0]["ms"] for phase in ("ending", "ended"))
        assert ended - ending < self.shutdown_limit_ms
        return code


class stopped:
    """Stops the program by SIGSTOP, so that all that happens inside the block is handled in one loop turn.

    At the end of the block it sends `signals`, then SIGCONT.
    """

    def __init__(self, program, *signals):
        self.process = program.process
        self.signals = signals

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)

        def is_stopped():
            with open(f"/proc/{self.process.pid}/stat") as file:
                return file.read().rpartition(")")[2].split()[0] == "T"

        eventually(is_stopped)

    def __exit__(self, *_):
        for number in (*self.signals, signal.SIGCONT):
            self.process.send_signal(number)
