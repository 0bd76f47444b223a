"""A model of seats at scale: 50 members with the real allocators, state and moves, 2,000 nodes
with the real meters, in simulated time.  The log is a delay here, and all leases hold."""

import random
from heapq import heappop, heappush
from pathlib import Path
from sys import path

path[:0] = [str(Path(__file__).resolve().parent.parent)]

import msgspec  # noqa: E402

from indigohitch.fleet.seats.allocator import Allocation, SeatSettings  # noqa: E402
from indigohitch.fleet.seats.contract import Contract, Grant, Pass, Terms  # noqa: E402
from indigohitch.fleet.seats.part import Seats  # noqa: E402
from indigohitch.fleet.seats.server_clock import Meter, ServerClocks, Verdict  # noqa: E402
from indigohitch.fleet.seats.work import SeatsWork  # noqa: E402
from indigohitch.fleet.state_machine import ReplicatedStateMachine  # noqa: E402
from indigohitch.fleet.types import Lease, LogEntry, Stamp  # noqa: E402

SECOND = 10_000
SETTINGS = SeatSettings(queue_place_lifetime=5 * SECOND // 2, retry_after=SECOND, drift=0.001)
COMMIT, REPORT, BEAT, LEASE = 200, SECOND // 2, SECOND // 10, 2 * SECOND  # 20 ms to commit and hear
SEATS, TERM, JOB, GAP = 1000, 20 * SECOND, SECOND // 2, SECOND // 4
LOAD = 1.3  # of all wanting, against the seats: more is wanted than there is
WANDERS = 0.05  # of the clients, after each job, to a member drawn anew


class Model:
    def __init__(self, seed: int, members: int = 50, nodes: int = 2000, moves: bool = True) -> None:
        self.rng, self.t, self.heap, self.order, self.moves = random.Random(seed), 0, [], 0, moves
        self.log = 0
        terms = (Terms("geo", SEATS),)
        # One state machine stands for all of them: every member hears an entry at the same time here.
        self.part = Seats()
        self.state_machine = ReplicatedStateMachine([self.part])
        self.works = [
            SeatsWork(f"m{n}", self.part, self, lambda now: 0, lambda: Contract(1, terms), True, SETTINGS)
            for n in range(members)
        ]
        self.known = [ServerClocks(SETTINGS.drift) for _ in range(members)]
        self.meters = [Meter(f"b{n}") for n in range(nodes)]
        self.reports: dict[str, bytes] = {}
        self.weights, self.number, self.term = [1.0] * members, 0, 0
        self.running = self.refused = self.asked = self.entries = self.peak = 0
        self.late: list[list[int]] = []  # of each second: running, asked, refused
        self.share, self.lead_s = [], []
        self.used = 0.0

    def after(self, span: int, action) -> None:
        self.order += 1
        heappush(self.heap, (self.t + span, self.order, action))

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp:
        self.number += 1
        return Stamp("m", 1, 1, self.log, self.number)

    def propose(self, member: int, wanted) -> None:
        for one in wanted:
            self.after(COMMIT, lambda one=one: self.commit(member, one))

    def commit(self, member: int, one) -> None:
        self.log += 1
        self.entries += 1
        entry = LogEntry(self.log, 1, one.kind, msgspec.msgpack.encode(one.body), f"m{member}", 1, self.log)
        outcome = self.state_machine.apply(entry)
        self.works[member].answered(self.t, one.tag, outcome)
        about = one.body.member if hasattr(one.body, "member") else f"m{member}"
        for n in range(len(self.works)) if one.kind == "seats.contract" else [int(about[1:])]:
            self.propose(n, self.works[n].applied(self.t, entry, outcome))

    # ---- what goes on

    def beat(self) -> None:
        from time import perf_counter

        for n, work in enumerate(self.works):
            self.propose(n, work.turn(self.t, Lease(1, self.t + LEASE)))
        if self.moves or not self.split():
            began = perf_counter()
            wanted = self.works[0].lead(self.t, self.reports)
            self.lead_s.append(perf_counter() - began)
            self.propose(0, wanted)
        self.after(BEAT, self.beat)

    def split(self) -> bool:
        """Static: an equal part for each, once."""
        if self.part.edition and not self.part.features["geo"].shares and not self.works[0].out:
            for n in range(len(self.works)):
                self.commit(
                    0,
                    msgspec.structs.replace(
                        next(
                            iter(
                                self.works[0].propose_once(
                                    f"split {n}",
                                    "seats.grant",
                                    Grant("geo", "", f"m{n}", 1, SEATS // len(self.works)),
                                )
                            )
                        )
                    ),
                )
        return True

    def report(self) -> None:
        self.reports = {work.allocator.name: work.report(self.t) for work in self.works}
        self.after(REPORT, self.report)

    def shift(self) -> None:
        """Another few members want most of it, as schools in another district begin their day."""
        self.weights = [self.rng.lognormvariate(0, 1.2) for _ in self.works]
        self.term += 1
        self.after(TERM, self.shift)

    def drawn(self) -> int:
        return self.rng.choices(range(len(self.works)), self.weights)[0]

    def client(self, member: int) -> None:
        """One that wants a job at its member; after a shift of wanting, and now and then, it is another's."""
        term, work, node = self.term, self.works[member], self.rng.randrange(len(self.meters))
        self.asked += 1
        found = work.allocator.allocate(self.t, "geo", f"t{member % 7}", "", LEASE)
        meter = self.meters[node]
        if not isinstance(found, Allocation):
            self.refused += 1
            self.after(self.rng.randint(1, 2 * GAP), lambda: self.client(member))
            return
        self.known[member].heard(str(node), meter.boot, self.t, self.t)  # by the probes before
        boot, end = self.known[member].server_deadline(str(node), found.until)
        verdict, job = meter.admit(self.t, Pass(found.given, boot, end, found.stamp))
        assert verdict is Verdict.ACCEPTED
        self.running += 1
        self.peak = max(self.peak, self.running)

        def over() -> None:
            meter.ended(job)
            self.running -= 1
            work.allocator.release(self.t, found)
            moves = term != self.term or self.rng.random() < WANDERS
            self.client(self.drawn() if moves else member)

        lasts = min(int(self.rng.expovariate(1 / JOB)) + 10, LEASE - 200)
        self.after(lasts, over)

    def look(self) -> None:
        self.share.append((self.t / SECOND, self.running / SEATS))
        self.late.append([self.asked, self.refused])
        self.after(SECOND // 10, self.look)

    def run(self, seconds: int) -> "Model":
        self.weights = [self.rng.lognormvariate(0, 1.2) for _ in self.works]
        self.beat()
        self.report()
        for _ in range(int(SEATS * LOAD)):
            member = self.drawn()
            self.after(SECOND + self.rng.randint(0, SECOND), lambda member=member: self.client(member))
        self.after(TERM, self.shift)
        self.after(2 * SECOND, self.look)
        while self.heap[0][0] < seconds * SECOND:
            self.t, _, action = heappop(self.heap)
            action()
        return self
