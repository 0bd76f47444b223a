"""What truly ran: stand-in servers with licensed software, and their own records of it merged."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import time
from pathlib import Path

from fleetkit.files import held_port
from fleetkit.processes import ROOT, until

NS = 1_000_000_000


class Servers:
    """Stand-in servers; each start writes a record of its own."""

    def __init__(self, path: Path, count: int, service: float) -> None:
        self.path, self.service = path, service
        self.holders = {f"n{n + 1}": held_port() for n in range(count)}
        self.at = {name: "{}:{}".format(*sock.getsockname()) for name, sock in self.holders.items()}
        self.processes: dict[str, subprocess.Popen] = {}
        self.records: list[list] = []  # path, when its process was known to be dead (ns), or None
        self.current: dict[str, list] = {}
        for name in self.at:
            self.start(name)

    def start(self, name: str) -> None:
        record = [self.path / f"{name}.{len(self.records)}.meter", None]
        self.records.append(record)
        self.current[name] = record
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "indigohitch",
                "stand-in",
                self.at[name],
                "--name",
                name,
                "--service",
                str(self.service),
                "--licensed",
                "/geocode",
                "--meter",
                str(record[0]),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.processes[name].stdout.readline()

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()
        self.processes[name].stdout.close()
        self.current[name][1] = time.monotonic_ns()

    def stats(self, name: str) -> dict:
        host, port = self.at[name].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("GET", "/stats")
        found = json.loads(connection.getresponse().read())
        connection.close()
        return found["seats"]

    def refused(self) -> dict[str, int]:
        """By reason, at those that run now."""
        sums: dict[str, int] = {}
        for name in self.at:
            for why, count in self.stats(name)["refused"].items():
                sums[why] = sums.get(why, 0) + count
        return sums

    def quiet(self, most: float) -> None:
        until(lambda: not any(self.stats(name)["running"] for name in self.at), most, "the last job's end")

    def close(self) -> None:
        for name in self.at:
            if self.processes[name].poll() is None:
                self.kill(name)
        for sock in self.holders.values():
            sock.close()


class Truth:
    """All servers' records as one: how many seats of `feature` were in use from when to when."""

    def __init__(self, servers: Servers, feature: str) -> None:
        events = []  # when, -1 an end before +1 a beginning, job, seat, member
        for place, (path, dead) in enumerate(servers.records):
            open_jobs = {}
            for line in path.read_text().splitlines():
                sign, when, job, *seat = line.split()
                if sign == "+" and seat[0] == feature:
                    open_jobs[job] = (seat[1:5] if seat[4] == "1" else [place, job], seat[5])
                    events.append((int(when), 1, tuple(map(str, open_jobs[job][0])), seat[1], seat[5]))
                elif job in open_jobs:
                    key, member = open_jobs.pop(job)
                    when = min(int(when), int(seat[0])) if seat else int(when)
                    events.append((when, -1, tuple(map(str, key)), "", member))
            events += [
                (dead or 1 << 62, -1, tuple(map(str, key)), "", member) for key, member in open_jobs.values()
            ]
        self.given = sum(sign > 0 for _, sign, *_ in events)
        self.steps: list[tuple[int, int, dict[str, int]]] = []  # from when: in use, by member
        self.doubled = 0  # a number in use twice at once
        users: dict[tuple, list] = {}  # by seat in use: jobs, number, member
        for when, sign, key, number, member in sorted(events):
            if sign > 0:
                known = users.setdefault(key, [0, number, member])
                known[0] += 1
                self.doubled += len({n for _, n, _ in users.values()}) < len(users)
            else:
                users[key][0] -= 1
                if not users[key][0]:
                    del users[key]
            by: dict[str, int] = {}
            for _, _, who in users.values():
                by[who] = by.get(who, 0) + 1
            self.steps.append((when, len(users), by))

    def peak(self, since: int = 0, before: int = 1 << 62) -> int:
        """Most in use at once between two instants; what ran as the first one came counts."""
        inside = [count for when, count, _ in self.steps if since <= when < before]
        running = [count for when, count, _ in self.steps if when < since]
        return max([*inside, *running[-1:]], default=0)

    def mean(self, since: int, before: int, member: str = "") -> float:
        """Seats in use, of that member or of all, on average between two instants."""
        total, last, count = 0, since, 0
        for when, all_in_use, by in [*self.steps, (1 << 62, 0, {})]:
            at = min(max(when, since), before)
            total += count * (at - last)
            last, count = at, by.get(member, 0) if member else all_in_use
        return total / (before - since)
