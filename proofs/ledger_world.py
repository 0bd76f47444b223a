"""Members of a ledger in simulated time: links that lose, double, reorder and are cut, disks that lose what
wasn't synced, clocks that drift, processes that stop.  All by one seed."""

from __future__ import annotations

import heapq
from random import Random

from indigohitch.fleet.raft.interfaces import (
    ApplyEntries,
    Members,
    MessageReceived,
    ProposalRejected,
    ReadConfirmed,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
    Snapshot,
    TakeSnapshot,
    Tick,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import AppendEntries, InstallSnapshot, RequestVote
from indigohitch.fleet.types import MemberId
from proofs.ledger_checks import Checks
from proofs.ledger_clients import Clients
from proofs.ledger_leases import Leases
from proofs.ledger_station import BOOTSTRAP, Station

TALLY = (
    "steps",
    "commits",
    "kills",
    "cuts",
    "reads",
    "snapshots",
    "elections",
    "disk_failures",
    "changes",
    "hand_overs",
    "stops",
    "voided",
    "leases",
)


class World:
    def __init__(self, seed: int, size: int) -> None:
        self.random = Random(seed)
        self.now, self.order, self.events = 0, 0, []
        self.checks, self.leases = Checks(self), Leases(self)
        self.cuts, self.loss, self.doubling, self.delay, self.in_order = set(), 0.0, 0.0, 20, False
        self.arrivals = {}  # link -> the last arrival, where order is kept
        founders = Members(tuple(MemberId(name, 1) for name in "abcdefg"[:size]))
        self.bootstrap = {**BOOTSTRAP, "append_most": self.random.choice((100, 300, 1000))}
        self.stations, self.disks = {}, {}
        self.tally = dict.fromkeys(TALLY, 0)
        self.hunter = None  # told of each new leader, a little later
        self.clients = Clients(self)
        self.carry = {
            SendMessage: self.send,
            WriteEntries: self.to_disk,
            RestoreSnapshot: self.install,
            ApplyEntries: self.commit,
            TakeSnapshot: self.snapshot,
            ProposalRejected: self.clients.turned,
            ReadConfirmed: self.clients.readable,
            RoleChanged: self.became,
        }
        for who in founders.voters:
            self.begin(who, founders)

    # ---- time --------------------------------------------------------------------------------------

    def at(self, time: int, act, *args) -> None:
        self.order += 1
        heapq.heappush(self.events, (time, self.order, act, args))

    def run(self, until: int) -> None:
        events = self.events
        while events and events[0][0] <= until:
            time, _, act, args = heapq.heappop(events)
            self.now = max(self.now, time)
            act(*args)
        self.now = until

    # ---- members -----------------------------------------------------------------------------------

    def begin(self, who: MemberId, members: Members) -> None:
        """With an empty disk, in place of one of that name."""
        station = self.stations[who.name] = Station(who, members, self.bootstrap, self.random.random)
        self.disks[who] = station.disk
        self.start(station)

    def start(self, station: Station) -> None:
        if station.machine is None:
            station.start(self.now)
            self.wake(station)

    def crash(self, station: Station) -> None:
        if station.machine is not None:
            station.crash()
            self.tally["kills"] += 1

    def step(self, station: Station, input) -> None:
        self.tally["steps"] += 1
        for output in station.machine.step(station.local(self.now), input):
            act = self.carry.get(type(output))
            if act is not None and station.machine is not None:
                act(station, output)
        self.wake(station)

    def wake(self, station: Station) -> None:
        due = station.machine.due_at
        if due != station.due_at:
            station.due_at = due
            self.at(station.when(due), self.timed, station, station.epoch, due)

    def timed(self, station: Station, epoch: int, due: int) -> None:
        if self.held_up(station, epoch, self.timed, station, epoch, due, late=40) or station.due_at != due:
            return
        station.due_at = 0
        self.step(station, Tick())

    def held_up(self, station: Station, epoch: int, act, *args, late: int = 0) -> bool:
        """What comes to a stopped process waits, in order; what comes to one that ended is lost.  `late`:
        once it goes on, up to so long after the others: nobody promises that a timer is seen first."""
        if station.epoch != epoch:
            return True
        if station.stopped_until > self.now:
            self.at(station.stopped_until + int(late * self.random.random()), act, *args)
            return True
        return False

    # ---- links -------------------------------------------------------------------------------------

    def send(self, station: Station, output: SendMessage) -> None:
        self.checks.sent(station, output.to, output.message)
        self.post(station.me, output.to, self.heard, station.me, output.message)

    def post(self, sender: MemberId, to: MemberId, act, *args) -> None:
        """`act(station, *args)` at the member `to`, if it gets there."""
        link, chance = (sender.name, to.name), self.random.random
        if link in self.cuts or chance() < self.loss:
            return
        for _ in range(2 if chance() < self.doubling else 1):
            arrival = self.now + 1 + int(self.delay * (0.5 + chance()) * (1 if chance() < 0.95 else 8))
            if self.in_order:
                arrival = self.arrivals[link] = max(arrival, self.arrivals.get(link, 0))
            self.at(arrival, self.deliver, to, act, args)

    def deliver(self, to: MemberId, act, args) -> None:
        station = self.stations.get(to.name)
        if station is None or station.me != to or station.machine is None:
            return
        if not self.held_up(station, station.epoch, self.deliver, to, act, args):
            act(station, *args)

    def heard(self, station: Station, sender: MemberId, word) -> None:
        local = station.local(self.now)
        heard, ballot = station.hears_leader(local), station.machine.state.hard_state
        leads = type(word) in (AppendEntries, InstallSnapshot) and word.term >= station.machine.term
        self.step(station, MessageReceived(sender, word))
        if leads and station.machine is not None and station.machine.state.leader_seen_at == local:
            station.heard = local  # one that came too late tells of no leader
        if type(word) is RequestVote and heard:
            self.checks.asked(station, ballot, sender, word)

    # ---- disks -------------------------------------------------------------------------------------

    def to_disk(self, station: Station, op) -> None:
        if type(op) is WriteEntries:
            self.checks.written(station, op)
            self.checks.proposed(station, op)
            self.tally["voided"] += bool(op.truncate_from)
        station.disk.queue.append(op)
        if len(station.disk.queue) == 1:
            self.write_next(station)

    def write_next(self, station: Station) -> None:
        span = int((2 + self.random.random() * 60) * station.slow)
        self.at(self.now + span, self.disk_done, station, station.epoch)

    def disk_done(self, station: Station, epoch: int) -> None:
        if epoch != station.epoch or not station.disk.queue:
            return
        if self.held_up(station, epoch, self.disk_done, station, epoch):
            return
        if not station.disk.failed:
            told = station.disk.carry_out()
            if station.disk.queue:
                self.write_next(station)
            self.step(station, told)

    def install(self, station: Station, output: RestoreSnapshot) -> None:
        station.state_machine.restore(output.snapshot.state)
        self.tally["snapshots"] += 1
        self.to_disk(station, output)

    def snapshot(self, station: Station, output: TakeSnapshot) -> None:
        state_machine = station.state_machine
        self.checks.snapshot(state_machine, output)
        self.to_disk(station, Snapshot(output.index, output.term, output.members, state_machine.snapshot()))

    def disk_term(self, who: MemberId, index: int) -> int | None:
        """On the disk of that member, or as it was when it got lost."""
        return self.disks[who].term(index) if who in self.disks else None

    # ---- what the machine says ---------------------------------------------------------------------

    def commit(self, station: Station, output: ApplyEntries) -> None:
        self.checks.commits(station, output.entries)
        for entry in output.entries:
            self.checks.applied(station, entry, station.state_machine.apply(entry))
            self.clients.told(entry)
        self.leases.check()

    def became(self, station: Station, output: RoleChanged) -> None:
        if output.leader is None:
            station.heard = None
        self.tally["elections"] += output.role == "leader"
        self.checks.became(station, output)
        if output.role == "leader":
            self.leases.elected(station)
        if output.role == "leader" and self.hunter is not None:
            self.at(self.now + int(self.random.random() ** 2 * 600), self.hunter, station)
