"""Who uses a simulated ledger: proposals that are made until they are in, reads, wishes for its members."""

from __future__ import annotations

import msgspec

from indigohitch.fleet.raft.interfaces import (
    ChangeMembers,
    ProposalRejected,
    Propose,
    ReadConfirmed,
    ReadRequest,
)
from indigohitch.fleet.types import LogEntry, Proposal
from proofs.ledger_station import Add, Station


class Clients:
    def __init__(self, world) -> None:
        self.world = world
        self.open = {}  # proposal's number -> proposal, not known to be committed
        self.numbers = 0

    def told(self, entry: LogEntry) -> None:
        """Somebody has applied it: its proposer may know."""
        if entry.proposer == "p" and self.open.pop(entry.number, None) is not None:
            self.world.tally["commits"] += 1
        self.world.checks.told(entry.index)

    def propose(self, station: Station, fresh: bool) -> None:
        """A new one, or one again that isn't known yet."""
        if self.open and (not fresh or len(self.open) > 12 or self.world.random.random() < 0.5):
            number = self.world.random.choice(sorted(self.open))
        elif not fresh:
            return
        else:
            self.numbers += 1
            number = self.numbers
            body = msgspec.msgpack.encode(Add(number))
            self.open[number] = Proposal("p", 1, number, "toy.add", body)
        self.offer(station, self.open[number])

    def offer(self, station: Station, proposal: Proposal) -> None:
        if station.machine is not None and not self.world.held_up(
            station, station.epoch, self.offer, station, proposal
        ):
            self.world.step(station, Propose(proposal))

    def turned(self, station: Station, output: ProposalRejected) -> None:
        leader, proposal = output.leader and self.world.stations.get(output.leader.name), output.proposal
        if leader not in (None, station) and self.open.get(proposal.number) is proposal:
            self.world.at(self.world.now + 10, self.offer, leader, proposal)

    def read(self, station: Station) -> None:
        self.numbers += 1
        self.world.checks.read_begins(self.numbers)
        self.ask(station, station.epoch, self.numbers)

    def ask(self, station: Station, epoch: int, number: int) -> None:
        if station.machine is not None and not self.world.held_up(
            station, epoch, self.ask, station, epoch, number
        ):
            self.world.step(station, ReadRequest(number))

    def ask_change(self, station: Station, change: ChangeMembers) -> None:
        if station.machine is not None and not self.world.held_up(
            station, station.epoch, self.ask_change, station, change
        ):
            self.world.step(station, change)

    def readable(self, station: Station, output: ReadConfirmed) -> None:
        self.world.tally["reads"] += output.is_confirmed
        self.world.checks.read_ends(station, output)
        if output.number in self.world.leases.renewals:
            self.world.leases.confirmed(station, output)
