"""Seats in one member's process: its allocator, what it returns, and what it proposes as leader."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import asdict

import msgspec

from ..ports import Acts, Wanted
from ..terms import Entry, Lease, Outcome
from .allocator import SeatAllocator, SeatSettings
from .contract import Contract, Grant, Recall, Report, Wanting
from .moving import TURN, Wish, spread
from .part import Feature, Seats

ROUND = 5_000  # of moves: as often as members report with a lease of 2 s
FED = 15_000  # after a grant, until a report shows what of it is used


class SeatsWork:
    """ports.Work.  `contract()`: what this member's file contracts, None where it says nothing of seats."""

    name = "seats"

    def __init__(
        self,
        name: str,
        part: Seats,
        acts: Acts,
        fleet_time: Callable[[int], int],
        contract: Callable[[], Contract | None],
        stocks: bool,
        settings: SeatSettings,
    ) -> None:
        """`stocks`: it has a front that needs seats, and holds some before they are wanted."""
        self.part, self.contract, self.stocks = part, contract, stocks
        self.allocator = SeatAllocator(name, part, acts, fleet_time, settings)
        self.out: set[str] = set()  # tags of proposals that are not answered
        self.next_round = 0
        self.fed: dict[tuple[str, str, str], int] = {}  # feature, pool, member: new to it until
        self.refused = ""  # why our contract was not taken

    # ---- of any member -----------------------------------------------------------------------------

    def applied(self, now: int, entry: Entry, outcome: Outcome) -> list[Wanted]:
        if not entry.kind.startswith(("seats.", "members.")):
            return []
        self.allocator.sync()
        return self.returns()

    def restored(self, now: int) -> list[Wanted]:
        self.allocator.sync()
        return self.returns()

    def turn(self, now: int, lease: Lease | None) -> list[Wanted]:
        self.allocator.turn(now, lease)
        wanted = self.returns()
        own = self.contract()
        if lease is not None and own is not None and own.edition > self.part.edition:
            wanted += self.want("contract", "seats.contract", own)
        return wanted

    def returns(self) -> list[Wanted]:
        wanted = []
        for row in self.allocator.returns():
            wanted += self.want(f"return {row.feature} {row.pool}", "seats.return", row)
        return wanted

    def want(self, tag: str, kind: str, row) -> list[Wanted]:
        """One of a tag at a time: what it was for may look different once it is answered."""
        if tag in self.out:
            return []
        self.out.add(tag)
        return [Wanted(kind, row, tag)]

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[Wanted]:
        self.out.discard(tag)
        if tag == "contract" and outcome is not None:
            self.refused = outcome.refused
        return []

    def report(self, now: int) -> bytes:
        lease = self.allocator.lease
        wanting = []
        for (feature, name), pool in self.allocator.pools.items():
            demand = pool.demand()
            wanting.append(Wanting(feature, name, demand.used, demand.missed))
        return msgspec.msgpack.encode(
            Report(lease.incarnation if lease is not None else 0, tuple(wanting), self.stocks)
        )

    def holds(self, now: int) -> bool:
        """Jobs with seats are out: what this member holds is not free before their end."""
        self.allocator.expire(now)
        return any(pool.assignments for pool in self.allocator.pools.values())

    def in_use(self, feature: str) -> int:
        return sum(len(pool.assignments) for (of, _), pool in self.allocator.pools.items() if of == feature)

    def figures(self) -> dict:
        return {
            "edition": self.part.edition,
            "refused_contract": self.refused,
            "counts": asdict(self.allocator.counts),
            "features": {
                name: {
                    "seats": f.terms.seats,
                    "held": f.held(),
                    "free": max(0, f.terms.seats - f.held()),
                    "over": f.over(),
                    "in_use": self.in_use(name),
                    "members": f.by_member(),
                }
                for name, f in self.part.features.items()
            },
        }

    # ---- of the leader -----------------------------------------------------------------------------

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[Wanted]:
        told: dict[str, Report] = {}
        for name, raw in sorted(reports.items()):
            try:
                told[name] = msgspec.msgpack.decode(raw, type=Report)
            except msgspec.MsgspecError:
                continue  # of a version that tells it otherwise: no grants to it
        moves, wanted = now >= self.next_round, []
        if moves:
            self.next_round = now + ROUND
        lately = {
            (name, wanting.feature, wanting.pool): wanting
            for name, report in told.items()
            for wanting in report.wanting
        }
        for feature, found in self.part.features.items():
            for pool, size in found.pools.items():
                if any(tag.startswith(f"lead {feature} {pool} ") for tag in self.out):
                    continue  # what is under way would be counted twice
                wishes = [
                    self.wish(now, found, pool, name, report, lately)
                    for name, report in told.items()
                    if report.incarnation > self.part.gone.get(name, 0)
                ]
                coming = sum(s.debt for s in found.shares.values() if s.pool == pool)
                grants, back = spread(size, found.room(pool), coming, wishes, now // TURN)
                for kind, rows in ((Grant, grants), (Recall, back if moves else [])):
                    word = kind.__name__.lower()
                    for wish, count in rows:
                        if kind is Grant:
                            self.fed[feature, pool, wish.name] = now + FED
                        wanted += self.want(
                            f"lead {feature} {pool} {word} {wish.name}",
                            f"seats.{word}",
                            kind(feature, pool, wish.name, wish.incarnation, count),
                        )
        return wanted

    def wish(self, now: int, found: Feature, pool: str, name: str, report: Report, lately: Mapping) -> Wish:
        feature = found.terms.feature
        share = found.shares.get((pool, name, report.incarnation))
        net = share.net if share is not None else 0
        wanting = lately.get((name, feature, pool))
        used, missed = (wanting.used, wanting.missed) if wanting is not None else (0, 0)
        if now < self.fed.get((feature, pool, name), 0):
            used = max(used, net)
        return Wish(name, report.incarnation, net, used, missed, report.stocks)
