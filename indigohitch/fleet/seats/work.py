"""Seats in one member's process: its allocator, what it returns, and what it proposes as leader."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .allocator import Counts, SeatAllocator, SeatSettings
from .contract import Contract, Grant, Recall, Report, Wanting
from .part import Feature, Seats
from .rebalancing import TURN, MemberDemand, Move, rebalance

ROUND = 5_000  # of moves: as often as members report with a lease of 2 s
FED = 15_000  # after a grant, until a report shows what of it is used


@dataclass(slots=True, frozen=True)
class Heard:
    """A member's last report, and what it wants by feature and pool."""

    report: Report
    wanting: dict[tuple[str, str], Wanting]


class SeatsWork:
    """ports.Work.  `contract()`: what this member's file contracts, None where it says nothing of seats."""

    name = "seats"

    def __init__(
        self,
        name: str,
        part: Seats,
        acts: ActionRecorder,
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

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        if not entry.kind.startswith(("seats.", "members.")):
            return []
        self.allocator.sync()
        return self.returns()

    def restored(self, now: int) -> list[ProposalRequest]:
        self.allocator.sync()
        return self.returns()

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        self.allocator.turn(now, lease)
        wanted = self.returns()
        own = self.contract()
        if lease is not None and own is not None and own.edition > self.part.edition:
            wanted += self.want("contract", "seats.contract", own)
        return wanted

    def returns(self) -> list[ProposalRequest]:
        wanted = []
        for row in self.allocator.returns():
            wanted += self.want(f"return {row.feature} {row.pool}", "seats.return", row)
        return wanted

    def want(self, tag: str, kind: str, row) -> list[ProposalRequest]:
        """One of a tag at a time: what it was for may look different once it is answered."""
        if tag in self.out:
            return []
        self.out.add(tag)
        return [ProposalRequest(kind, row, tag)]

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        self.out.discard(tag)
        if tag == "contract" and outcome is not None:
            self.refused = outcome.rejection
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

    def has_leased_resources(self, now: int) -> bool:
        """Jobs with seats are out: what this member holds is not free before their end."""
        self.allocator.expire(now)
        return any(pool.assignments for pool in self.allocator.pools.values())

    def in_use(self, feature: str) -> int:
        return sum(len(pool.assignments) for (of, _), pool in self.allocator.pools.items() if of == feature)

    def figures(self) -> dict:
        return {
            "edition": self.part.edition,
            "refused_contract": self.refused,
            "counts": told(self.allocator.counts),
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

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        heard = decoded(reports)
        recalls, wanted = now >= self.next_round, []
        if recalls:
            self.next_round = now + ROUND
        for feature, found in self.part.features.items():
            for pool, size in found.pools.items():
                if not self.waits(feature, pool):
                    wanted += self.rebalance(now, found, pool, size, heard, recalls)
        return wanted

    def waits(self, feature: str, pool: str) -> bool:
        """Moves of that pool are not answered yet: what is under way would be counted twice."""
        return any(tag.startswith(f"lead {feature} {pool} ") for tag in self.out)

    def rebalance(
        self, now: int, found: Feature, pool: str, size: int, heard: Mapping[str, Heard], recalls: bool
    ) -> list[ProposalRequest]:
        members = [
            self.demand(now, found, pool, name, one)
            for name, one in heard.items()
            if one.report.incarnation > self.part.gone.get(name, 0)
        ]
        coming = sum(share.debt for share in found.shares.values() if share.pool == pool)
        moves = rebalance(size, found.room(pool), coming, members, now // TURN)
        wanted, feature = [], found.terms.feature
        for move in moves.grants:
            self.fed[feature, pool, move.member.name] = now + FED
            wanted += self.want_move(Grant, "grant", feature, pool, move)
        for move in moves.recalls if recalls else ():
            wanted += self.want_move(Recall, "recall", feature, pool, move)
        return wanted

    def want_move(
        self, kind: type[Grant] | type[Recall], word: str, feature: str, pool: str, move: Move
    ) -> list[ProposalRequest]:
        member = move.member
        row = kind(feature, pool, member.name, member.incarnation, move.count)
        return self.want(f"lead {feature} {pool} {word} {member.name}", f"seats.{word}", row)

    def demand(self, now: int, found: Feature, pool: str, name: str, heard: Heard) -> MemberDemand:
        feature, report = found.terms.feature, heard.report
        share = found.shares.get((pool, name, report.incarnation))
        net = share.net if share is not None else 0
        wanting = heard.wanting.get((feature, pool))
        used, missed = (wanting.used, wanting.missed) if wanting is not None else (0, 0)
        if now < self.fed.get((feature, pool, name), 0):
            used = max(used, net)
        return MemberDemand(name, report.incarnation, net, used, missed, report.stocks)


def decoded(reports: Mapping[str, bytes]) -> dict[str, Heard]:
    heard: dict[str, Heard] = {}
    for name, raw in sorted(reports.items()):
        try:
            report = msgspec.msgpack.decode(raw, type=Report)
        except msgspec.MsgspecError:
            continue  # of a version that tells it otherwise: no grants to it
        wanting = {(one.feature, one.pool): one for one in report.wanting}
        heard[name] = Heard(report, wanting)
    return heard


def told(counts: Counts) -> dict[str, int]:
    """As `status` names them."""
    return {
        "given": counts.given,
        "refused": counts.refused,
        "no_lease": counts.no_lease,
        "unheard": counts.unheard,
    }
