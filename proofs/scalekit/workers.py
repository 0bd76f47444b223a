"""The processes of the hollow subscribers, as the proof has them."""

from __future__ import annotations

import json
import os
import pickle
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .intended import scope
from .judging import Facts, Judged
from .records import clock
from .sizes import Size

STARTS = 1_300  # a second
ROOT = Path(__file__).parent.parent.parent


class Worker:
    def __init__(self, path: Path, number: int, names: list[str]) -> None:
        self.number, self.names = number, names
        self.out = path / f"judged-{number}"
        with open(path / f"worker-{number}.log", "wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "proofs.scalekit.hollow"],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.stopped_at = 0

    def ask(self, do: str, **words) -> dict:
        """Raises OSError, ValueError where the process has ended, AssertionError where it failed."""
        self.process.stdin.write(json.dumps({"do": do} | words).encode() + b"\n")
        self.process.stdin.flush()
        told = json.loads(self.process.stdout.readline())
        assert "error" not in told, f"{do} at worker {self.number}: {told['error']}"
        return told

    def stop(self) -> None:
        self.stopped_at = clock()
        os.kill(self.process.pid, signal.SIGSTOP)

    def go_on(self) -> tuple[int, int]:
        """From when to when it stood still."""
        os.kill(self.process.pid, signal.SIGCONT)
        since, self.stopped_at = self.stopped_at, 0
        return since, clock()

    def close(self) -> None:
        if self.stopped_at:
            self.go_on()
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(10)


class Workers:
    def __init__(self, path: Path, size: Size, seed: int) -> None:
        self.path, self.size, self.seed = path, size, seed
        numbers = list(range(size.hollow))
        self.scopes = {f"hollow-{n:04}": scope(size, seed, n) for n in numbers}
        names = list(self.scopes)
        self.all = [Worker(path, n, names[n :: size.workers]) for n in range(size.workers)]
        self.threads = ThreadPoolExecutor(size.workers)

    def begin(self, fleet: str, guard: bool, addresses: list[dict[str, tuple[str, int]]]) -> None:
        """`addresses`: of the distributors, for each worker."""

        def begin(worker: Worker) -> None:
            mine = {name: self.scopes[name] for name in worker.names}
            at = addresses[worker.number]
            told = {"fleet": fleet, "seed": self.seed, "guard": guard, "spread": self.size.hollow / STARTS}
            worker.ask("begin", distributors=at, subscribers=mine, **told)

        self.each(begin)

    def each(self, action) -> list:
        return list(self.threads.map(action, self.all))

    def states(self) -> list[dict]:
        """Of those that run."""
        return self.each(lambda worker: {} if worker.stopped_at else worker.ask("state"))

    def served(self) -> int:
        return sum(state.get("served", 0) for state in self.states())

    def confirmed(self, since: int) -> int:
        """How many surely hold all that was committed until then (records.clock)."""
        return sum(self.each(lambda worker: worker.ask("confirmed", since=since)["confirmed"]))

    def at(self, distributor: str) -> int:
        """How many are subscribed there."""
        return sum(state.get("at", {}).get(distributor, 0) for state in self.states())

    def bytes(self) -> int:
        return sum(state.get("bytes", 0) for state in self.states())

    def judge(self, facts: Facts) -> list[Judged]:
        file = self.path / "facts"
        file.write_bytes(pickle.dumps(facts))

        def judge(worker: Worker) -> Judged:
            told = worker.ask("judge", facts=str(file), out=str(worker.out))
            found = pickle.loads(worker.out.read_bytes())
            found.wrong += [f"worker {worker.number}: {broken}" for broken in told["broken"]]
            return found

        return self.each(judge)

    def close(self) -> None:
        for worker in self.all:
            worker.close()
        self.threads.shutdown()
