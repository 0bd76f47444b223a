"""The program itself, started by what the platform hands over, and its log."""

import json
import os
import signal
import subprocess
import sys
import threading

from waiting import eventually


class Program:
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
        self.log, self.bound = [], 30_000 if words else 600  # ms
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            self.log.append(json.loads(line))

    def said(self, event, **words):
        return [e for e in list(self.log) if e["event"] == event and words.items() <= e.items()]

    def counters(self):
        before = len(self.said("counters"))
        self.process.send_signal(signal.SIGUSR1)
        return eventually(lambda: self.said("counters")[before:])[0]

    def end(self):
        """SIGTERM; the exit code.  The platform's SIGKILL would come after 0.7 s; an operator waits for
        `drain`, and the state is on the disk by then."""
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(10)
        self.reader.join(5)
        ending, ended = (self.said("phase", now=now)[0]["ms"] for now in ("ending", "ended"))
        assert ended - ending < self.bound
        return code


class stopped:
    """Nothing of the program runs meanwhile; what happens within it meets at one turn."""

    def __init__(self, program, *signals):
        self.process, self.signals = program.process, signals

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)

        def stands():
            with open(f"/proc/{self.process.pid}/stat") as file:
                return file.read().rpartition(")")[2].split()[0] == "T"

        eventually(stands)

    def __exit__(self, *_):
        for number in (*self.signals, signal.SIGCONT):
            self.process.send_signal(number)
