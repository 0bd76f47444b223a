"""Seats in a member's process: its allocator, its returns, and its proposals as leader."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from ...encoding.rows import Row
from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .allocator import Counts, SeatAllocator, SeatSettings
from .contract import Contract, Grant, Recall, Report, Wanting
from .part import Feature, Seats
from .rebalancing import TURN, MemberDemand, Move, rebalance

ROUND = 5_000  # of moves: as often as members report with a lease of 2 s
FED = 15_000  # after a grant, until a report shows what of it is used


@dataclass(slots=True, frozen=True)
class MemberReport:
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
        self.part = part
        self.contract = contract
        self.stocks = stocks
        self.allocator = SeatAllocator(name, part, acts, fleet_time, settings)
        self.pending_tags: set[str] = set()  # tags of proposals that are not answered
        self.next_round = 0
        self.fed: dict[tuple[str, str, str], int] = {}  # feature, pool, member: new to it until
        self.refused = ""  # why our contract was not taken

    # ---- of any member -----------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Updates the shares after an entry on seats or members."""
        if not entry.kind.startswith(("seats.", "members.")):
            return []
        self.allocator.sync()
        return self.returns()

    def restored(self, now: int) -> list[ProposalRequest]:
        """Updates the shares after a restored snapshot."""
        self.allocator.sync()
        return self.returns()

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Runs the allocator; proposes returns and a newer contract."""
        self.allocator.turn(now, lease)
        wanted = self.returns()
        own_contract = self.contract()
        if lease is not None and own_contract is not None and own_contract.edition > self.part.edition:
            wanted += self.want("contract", "seats.contract", own_contract)
        return wanted

    def returns(self) -> list[ProposalRequest]:
        """Proposes the seats to return."""
        wanted = []
        for row in self.allocator.returns():
            wanted += self.want(f"return {row.feature} {row.pool}", "seats.return", row)
        return wanted

    def want(self, tag: str, kind: str, row: Row) -> list[ProposalRequest]:
        """Returns a proposal, one of a tag at a time."""
        if tag in self.pending_tags:
            return []
        self.pending_tags.add(tag)
        return [ProposalRequest(kind, row, tag)]

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Notes the outcome of a proposal."""
        self.pending_tags.discard(tag)
        if tag == "contract" and outcome is not None:
            self.refused = outcome.rejection
        return []

    def report(self, now: int) -> bytes:
        """Returns the report to the leader."""
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
        """Returns the assigned seats of a feature."""
        return sum(len(pool.assignments) for (of, _), pool in self.allocator.pools.items() if of == feature)

    def figures(self) -> dict:
        """Returns plain JSON for the `status` command."""
        return {
            "edition": self.part.edition,
            "refused_contract": self.refused,
            "counts": counters_status(self.allocator.counts),
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
        """Proposes grants and recalls as leader."""
        reports_by_member = decode_reports(reports)
        recalls = now >= self.next_round
        wanted = []
        if recalls:
            self.next_round = now + ROUND
        for feature, found in self.part.features.items():
            for pool, size in found.pools.items():
                if not self.waits(feature, pool):
                    wanted += self.rebalance(now, found, pool, size, reports_by_member, recalls)
        return wanted

    def waits(self, feature: str, pool: str) -> bool:
        """Returns whether moves of a pool are pending: they would be counted twice."""
        return any(tag.startswith(f"lead {feature} {pool} ") for tag in self.pending_tags)

    def rebalance(
        self,
        now: int,
        found: Feature,
        pool: str,
        size: int,
        reports_by_member: Mapping[str, MemberReport],
        recalls: bool,
    ) -> list[ProposalRequest]:
        """Proposes the moves of one pool."""
        members = [
            self.demand(now, found, pool, name, one)
            for name, one in reports_by_member.items()
            if one.report.incarnation > self.part.gone.get(name, 0)
        ]
        coming = sum(share.debt for share in found.shares.values() if share.pool == pool)
        moves = rebalance(size, found.room(pool), coming, members, now // TURN)
        wanted = []
        feature = found.terms.feature
        for move in moves.grants:
            self.fed[feature, pool, move.member.name] = now + FED
            wanted += self.want_move(Grant, "grant", feature, pool, move)
        for move in moves.recalls if recalls else ():
            wanted += self.want_move(Recall, "recall", feature, pool, move)
        return wanted

    def want_move(
        self, kind: type[Grant] | type[Recall], action: str, feature: str, pool: str, move: Move
    ) -> list[ProposalRequest]:
        """Returns the proposal of one move."""
        member = move.member
        row = kind(feature, pool, member.name, member.incarnation, move.count)
        return self.want(f"lead {feature} {pool} {action} {member.name}", f"seats.{action}", row)

    def demand(
        self, now: int, found: Feature, pool: str, name: str, reports_by_member: MemberReport
    ) -> MemberDemand:
        """Returns the demand of a member for a pool."""
        feature = found.terms.feature
        report = reports_by_member.report
        share = found.shares.get((pool, name, report.incarnation))
        net = share.net if share is not None else 0
        wanting = reports_by_member.wanting.get((feature, pool))
        used, missed = (wanting.used, wanting.missed) if wanting is not None else (0, 0)
        if now < self.fed.get((feature, pool, name), 0):
            used = max(used, net)
        return MemberDemand(name, report.incarnation, net, used, missed, report.stocks)


def decode_reports(reports: Mapping[str, bytes]) -> dict[str, MemberReport]:
    """Returns the valid reports by member."""
    reports_by_member: dict[str, MemberReport] = {}
    for name, raw in sorted(reports.items()):
        try:
            report = msgspec.msgpack.decode(raw, type=Report)
        except msgspec.MsgspecError:
            continue  # of a version that tells it otherwise: no grants to it
        wanting = {(one.feature, one.pool): one for one in report.wanting}
        reports_by_member[name] = MemberReport(report, wanting)
    return reports_by_member


def counters_status(counts: Counts) -> dict[str, int]:
    """Returns the counters as `status` shows them."""
    return {
        "given": counts.given,
        "refused": counts.refused,
        "no_lease": counts.no_lease,
        "unheard": counts.unheard,
    }
