"""One thing that one member at a time may act on, under leases given through reads of the ledger.

The holder counts its lease from before it asked, shorter by the drift of its clock; the giver from after it
answered, longer by it; and a new leader takes every member to hold one as it is elected."""

from __future__ import annotations

import msgspec

from indigohitch.fleet.membership.leases import grantor_span, holder_span
from indigohitch.fleet.raft.interfaces import Propose, ReadRequest
from indigohitch.fleet.types import Proposal
from proofs.ledger_checks import Breach
from proofs.ledger_station import DRIFT, Name

SPAN = 8000  # of a lease: longer than an election takes, so that one outlives its leader


class Leases:
    def __init__(self, world) -> None:
        self.world = world
        self.renewals = {}  # number of a read -> (leader, its epoch, member, asked at)
        self.moves = 0

    # ---- who acts ----------------------------------------------------------------------------------

    def acting(self) -> list:
        """A process that is stopped counts too: it may be between its look at the clock and its act."""
        now = self.world.now
        return [
            s
            for s in self.world.stations.values()
            if s.machine is not None
            and s.lease is not None
            and s.state_machine.parts["toy"].holder == s.me.name
            and s.lease > s.local(now)
        ]

    def check(self) -> None:
        acting = self.acting()
        if len(acting) > 1:
            raise Breach(f"{' and '.join(s.me.name for s in acting)} act under one lease")

    # ---- renewing ----------------------------------------------------------------------------------

    def beat(self, moving: bool) -> None:
        """Each member asks the leader that it knows; a leader moves the thing on now and then."""
        world = self.world
        for station in list(world.stations.values()):
            if station.machine is None or station.stopped_until > world.now:
                continue
            leader = station.machine.leader
            if leader is not None:
                world.post(
                    station.me, leader, self.asked, station.me, station.local(world.now), station.epoch
                )
            if station.machine.has_committed_in_term and moving:
                self.lead(station)

    def asked(self, leader, who, asked_at, epoch) -> None:
        """The leader answers once a read that began after this is confirmed."""
        if leader.machine.leadership is None:
            return
        world = self.world
        world.clients.numbers += 1
        self.renewals[world.clients.numbers] = (leader.epoch, who, asked_at, epoch)
        world.checks.read_begins(world.clients.numbers)
        world.step(leader, ReadRequest(world.clients.numbers))

    def confirmed(self, leader, readable) -> None:
        of_epoch, who, asked_at, epoch = self.renewals.pop(readable.number)
        toy = leader.state_machine.parts["toy"]
        shut = who.name == toy.holder and (toy.shut or who.name in leader.shutting)
        if (
            not readable.is_confirmed
            or of_epoch != leader.epoch
            or shut
            or leader.state_machine.index < readable.index
        ):
            return
        world = self.world
        leader.given[who.name] = leader.local(world.now) + grantor_span(SPAN, DRIFT)
        world.post(leader.me, who, self.renewed, asked_at, epoch, leader.state_machine.index)

    def renewed(self, station, asked_at, epoch, index) -> None:
        """Of use once the state machine here is as new as that which the leader looked at."""
        if station.epoch == epoch and station.state_machine.index >= index:
            station.lease = max(asked_at + holder_span(SPAN, DRIFT), station.lease or 0)
            self.check()

    # ---- moving it on ------------------------------------------------------------------------------

    def elected(self, station) -> None:
        station.given, station.shutting = {}, set()
        station.elected_at = station.local(self.world.now)

    def lead(self, station) -> None:
        toy, now = station.state_machine.parts["toy"], station.local(self.world.now)
        if not toy.shut:
            if self.world.random.random() < 0.5:
                station.shutting.add(toy.holder)
                self.propose(station, "shut", toy.holder)
            return
        if not toy.holder or now >= self.over_at(station, toy.holder):
            station.shutting.clear()
            self.propose(station, "hold", self.world.random.choice(sorted(self.world.stations)))

    def over_at(self, station, name: str) -> int:
        """By the giver's reckoning; whoever gave one before may have done so until this one was elected."""
        return max(station.given.get(name, 0), station.elected_at + grantor_span(SPAN, DRIFT))

    def propose(self, station, word: str, name: str) -> None:
        self.moves += 1
        self.world.tally["leases"] += word == "hold"
        body = msgspec.msgpack.encode(Name(name))
        self.world.step(
            station,
            Propose(Proposal(f"leases {station.me.name}", station.epoch, self.moves, f"toy.{word}", body)),
        )
