"""One schedule: what goes wrong when, by its seed; then quiet, after which all must be well again."""

from __future__ import annotations

from indigohitch.fleet.raft.interfaces import (
    ChangeMembers,
    Members,
    StorageFailed,
    StorageRecovered,
    TransferLeadership,
)
from indigohitch.fleet.types import MemberId
from proofs.ledger_checks import Breach
from proofs.ledger_station import Station
from proofs.ledger_world import World

STORM = 24_000  # ten shortest elections' times
LATEST = 120_000  # by then all must be well: with slow links votes are split again and again
FAULTS = (
    "cut_one_way",
    "cut_off",
    "split",
    "heal",
    "kill",
    "kill_all",
    "stop",
    "slow_disk",
    "disk_fails",
    "hand_over",
    "change",
    "calm",
)


class Schedule:
    def __init__(self, seed: int) -> None:
        self.world = world = World(seed, 3 if seed % 2 else 5)
        self.random = world.random
        pick = self.random.choice
        world.loss, world.doubling = pick((0, 0, 0.03, 0.15)), pick((0, 0, 0.05, 0.2))
        world.delay, world.in_order = pick((5, 20, 120)), self.random.random() < 0.3
        # Few kinds at a time: what one provokes another often hides.
        self.weights = [pick((0, 0, 1, 4)) + 2 * (name == "heal") for name in FAULTS]
        world.hunter = self.hunt if self.random.random() < 0.4 else None
        self.wishes: list[ChangeMembers] = []
        self.changed = False

    def run(self) -> dict:
        """Its tally; raises `Breach` for a broken promise, and whatever a machine raises."""
        world, random = self.world, self.random
        pace = random.choice((300, 900, 2500))
        time = int(random.expovariate(1 / pace))
        while time < STORM:
            world.at(time, self.fault)
            time += 1 + int(random.expovariate(1 / pace))
        self.use()
        self.renew()
        world.run(STORM)
        self.heal()
        for station in world.stations.values():
            station.stopped_until = 0
            self.mend(station)
            world.start(station)
        world.loss = world.doubling = 0
        world.run(STORM + 6000)
        while why := self.not_well():
            if world.now > LATEST:
                raise Breach(f"after quiet {why}")
            world.run(world.now + 2000)
        return world.tally

    # ---- who uses it -------------------------------------------------------------------------------

    def renew(self) -> None:
        self.world.at(self.world.now + 900, self.renew)
        self.world.leases.beat(self.world.now < STORM)

    def use(self) -> None:
        world, random = self.world, self.random
        world.at(world.now + 180, self.use)
        leading = [s for s in world.stations.values() if s.machine is not None and s.machine.leadership]
        if world.now < STORM + 4000:
            world.clients.propose(random.choice(list(world.stations.values())), True)
        elif leading:
            world.clients.propose(leading[0], False)
        if leading:
            for station in leading:
                world.clients.read(station)
            for change in self.wishes:
                world.clients.ask_change(random.choice(leading), change)

    # ---- what goes wrong ---------------------------------------------------------------------------

    def fault(self) -> None:
        name = self.random.choices(FAULTS, self.weights)[0] if any(self.weights) else "calm"
        station = self.random.choice(list(self.world.stations.values()))
        leaders = [s for s in self.world.stations.values() if s.machine is not None and s.machine.leadership]
        if leaders and self.random.random() < 0.5:
            station = self.random.choice(leaders)
        getattr(self, name)(station)

    def calm(self, station: Station) -> None:
        """Nothing, this time."""

    def others(self, station: Station) -> list[str]:
        return [name for name in self.world.stations if name != station.me.name]

    def cut_one_way(self, station: Station) -> None:
        self.world.tally["cuts"] += 1
        other, me = self.random.choice(self.others(station)), station.me.name
        self.world.cuts.add((me, other) if self.random.random() < 0.5 else (other, me))

    def cut_off(self, station: Station) -> None:
        if self.world.now >= STORM:
            return
        self.world.tally["cuts"] += 1
        way, me = self.random.random(), station.me.name
        for other in self.others(station):
            if way < 0.7:
                self.world.cuts.add((me, other))
            if way > 0.3:
                self.world.cuts.add((other, me))

    def split(self, station: Station) -> None:
        """Two camps."""
        self.world.tally["cuts"] += 1
        names = list(self.world.stations)
        camp = {name for name in names if self.random.random() < 0.5}
        self.world.cuts.update((a, b) for a in names for b in names if (a in camp) is not (b in camp))

    def hunt(self, station: Station) -> None:
        """A new leader is in for it, before or soon after its first words are out."""
        if self.world.now < STORM:
            self.random.choice((self.kill, self.kill, self.cut_off, self.stop))(station)

    def heal(self, station: Station | None = None) -> None:
        self.world.cuts.clear()

    def kill(self, station: Station) -> None:
        self.world.crash(station)
        span = 100 + int(self.random.random() ** 2 * 6000)
        self.world.at(self.world.now + span, self.world.start, station)

    def kill_all(self, station: Station) -> None:
        for one in self.world.stations.values():
            self.kill(one)

    def stop(self, station: Station) -> None:
        if self.world.now >= STORM:
            return
        self.world.tally["stops"] += 1
        station.stopped_until = self.world.now + 500 + int(self.random.random() * 7000)

    def slow_disk(self, station: Station) -> None:
        station.slow = self.random.choice((1, 10, 60))

    def disk_fails(self, station: Station) -> None:
        disk = station.disk
        if station.machine is not None and not disk.failed and station.stopped_until <= self.world.now:
            self.world.tally["disk_failures"] += 1
            disk.lose(self.random.random)
            disk.failed = True
            self.world.step(station, StorageFailed("full"))
            self.world.at(self.world.now + 1000 + int(self.random.random() * 5000), self.mend, station)

    def mend(self, station: Station) -> None:
        station.slow = 1
        if station.disk.failed:
            station.disk.failed = False
            self.world.step(station, StorageRecovered())

    def hand_over(self, station: Station) -> None:
        if station.machine is not None and station.stopped_until <= self.world.now:
            self.world.tally["hand_overs"] += 1
            self.world.step(station, TransferLeadership())
            after = self.world.now + int(self.random.random() * 400)
            self.world.at(after, self.random.choice((self.cut_off, self.stop, self.calm)), station)

    def change(self, station: Station) -> None:
        """Once a schedule: a voter or a follower more, some voters less, or one whose disk is lost."""
        if self.changed:
            return
        self.changed = True
        self.world.tally["changes"] += 1
        way = self.random.randrange(4)
        if way == 0:
            stations = list(self.world.stations.values())
            some = self.random.sample(stations, self.random.randrange(1, len(stations)))
            self.wishes = [ChangeMembers(station.me, remove=True) for station in some]
        elif way == 3:
            self.world.crash(station)
            self.begin(MemberId(station.me.name, station.me.number + 1), True)
        else:
            self.begin(MemberId("x", 1), way == 1)

    def begin(self, who: MemberId, votes: bool) -> None:
        self.world.begin(who, Members(()))
        self.wishes = [ChangeMembers(who, as_voter=votes)]

    # ---- after quiet -------------------------------------------------------------------------------

    def not_well(self) -> str:
        """Well: one leads, its members are as wished, all hold what it holds, and every proposal came in."""
        world = self.world
        leading = [s for s in world.stations.values() if s.machine.leadership]
        if len(leading) != 1:
            return f"{len(leading)} lead"
        members = leading[0].machine.members
        for wish in self.wishes:
            among = (
                members.voters if wish.as_voter and not wish.remove else members.voters + members.followers
            )
            if (wish.member in among) is wish.remove:
                return f"{wish} is not reached"
        for who in members.voters + members.followers:
            commit = world.stations[who.name].machine.commit_index
            if commit < len(world.checks.committed):
                return f"{who.name} stands at {commit} of {len(world.checks.committed)}"
        return f"proposals {sorted(world.clients.open)} are not in" if world.clients.open else ""
