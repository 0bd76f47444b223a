"""Subscribers that are the program itself, a process each, and what processes cost."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path

from fleetkit.processes import Member, until

from .records import clock

TICKS = os.sysconf("SC_CLK_TCK")
LEAST = 5 * 10_000  # of a process that is judged by its share of a core


class Real:
    def __init__(
        self, path: Path, name: str, fleet: str, addresses: dict[str, str], services: list[str]
    ) -> None:
        self.name, self.services = name, services
        folder = path / name
        folder.mkdir()
        file, socket = folder / "operator.conf", str(folder / "control")
        lines = [f"name {name}", f"fleet {fleet}", f"control {socket}"]
        lines += [f"distributor {each} {at}" for each, at in addresses.items()]
        lines += [f"subscribe {' '.join(services)}"]
        file.write_text("\n".join([*lines, ""]))
        words = [sys.executable, "-m", "indigohitch", "run", "--operator"]
        self.member = Member(folder, words, file, socket)
        self.begun = 0

    def start(self) -> None:
        self.member.start()

    def status(self) -> dict:
        return (self.member.ask("status", 3.0) or {}).get("distribution", {})

    def ready(self) -> None:
        until(lambda: self.status().get("phase") == "served", 20, f"{self.name} to be served")
        told = self.status()
        self.begun, self.bytes = clock(), told["bytes_received"] + told["bytes_sent"]

    def confirmed(self, since: int) -> bool:
        """It surely holds all that was committed until then."""
        age = self.status().get("age_ms")
        return age is not None and clock() - age * 10 >= since

    def rate(self) -> float:
        """Bytes a second, both ways, since it was served first."""
        told = self.status()
        return (told["bytes_received"] + told["bytes_sent"] - self.bytes) * 10_000 / (clock() - self.begun)

    def differs(self, intended: dict[str, dict[str, str]]) -> str:
        for service in self.services:
            told = self.member.ask(f"resources {service}", 3.0) or {}
            if told.get("resources") != intended[service]:
                return f"{self.name}: {service} is another than intended"
        return ""

    def older_applied(self) -> int:
        """How often its log tells of a version older than the one before."""
        told = [event["version"].split(".") for event in self.member.said("version_applied")]
        versions = [(int(term), int(index)) for term, index in told]
        return sum(later < earlier for earlier, later in zip(versions, versions[1:]))

    def close(self) -> None:
        self.member.signal(signal.SIGKILL)
        self.member.ended()


class Costs:
    """Looks at processes twice a second: processor time and the most memory that each has had."""

    def __init__(self) -> None:
        self.groups: dict[str, callable] = {}
        self.first: dict[tuple[str, int], tuple[int, int]] = {}
        self.last: dict[tuple[str, int], tuple[int, int]] = {}
        self.memory: dict[str, int] = {}  # the largest of a group, KB
        self.peaks: dict[int, int] = {}  # of each process
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def watch(self, group: str, pids) -> None:
        """`pids()`: the processes of that group as they are."""
        self.groups[group] = pids

    def start(self) -> None:
        self.thread.start()

    def run(self) -> None:
        while not self.stopping.wait(0.5):
            for group, pids in self.groups.items():
                for pid in pids():
                    self.look(group, pid)

    def look(self, group: str, pid: int) -> None:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return
        seen = clock(), int(fields[11]) + int(fields[12])
        self.first.setdefault((group, pid), seen)
        self.last[group, pid] = seen
        if "VmHWM:" in status:
            peak = int(status.split("VmHWM:")[1].split()[0])
            self.memory[group] = max(self.memory.get(group, 0), peak)
            self.peaks[pid] = peak

    def core(self, group: str) -> float:
        """The largest share of a core, in percent, of the processes that lived for some seconds."""
        found = [0.0]
        for key, (begun, ticks) in self.first.items():
            at, now = self.last[key]
            if key[0] == group and at - begun >= LEAST:
                found.append(100 * (now - ticks) / TICKS * 10_000 / (at - begun))
        return round(max(found), 2)

    def memory_mb(self, group: str) -> float:
        return round(self.memory.get(group, 0) / 1024, 1)

    def all_memory_mb(self) -> float:
        """The most that each process ever had, added up, also of those that were killed."""
        return round(sum(self.peaks.values()) / 1024, 1)

    def close(self) -> None:
        self.stopping.set()
        self.thread.join()
