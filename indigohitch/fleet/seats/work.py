"""The work on seats in a member's process: its allocator, its returns, and its proposals as leader."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from ...encoding.rows import Row
from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .allocator import Counts, SeatAllocator, SeatSettings
from .contract import Contract, Grant, PoolDemand, Recall, Report
from .part import Feature, Seats
from .rebalancing import ROTATION_TICKS, MemberDemand, Move, rebalance

# Tenths of a millisecond between rounds that recall seats: members with a lease of 2 s report as often.
RECALL_ROUND_TICKS = 5_000
# Tenths of a millisecond for which all seats of a member count as used after a grant to it, until a report
# can show how many of them it uses.
GRANT_SETTLING_TICKS = 15_000


@dataclass(slots=True, frozen=True)
class MemberReport:
    """A member's last report, and its demand by feature and pool."""

    report: Report
    demands: dict[tuple[str, str], PoolDemand]


class SeatsWork:
    """Implements interfaces.Work for seats."""

    name = "seats"

    def __init__(
        self,
        name: str,
        part: Seats,
        action_recorder: ActionRecorder,
        fleet_time: Callable[[int], int],
        contract: Callable[[], Contract | None],
        holds_spares: bool,
        settings: SeatSettings,
    ) -> None:
        """`contract()`: returns the contracts in this member's file, None if it has no line on seats.

        `holds_spares`: the member has a front that needs seats, and holds some before they are needed.
        """
        self.part = part
        self.contract = contract
        self.holds_spares = holds_spares
        self.allocator = SeatAllocator(name, part, action_recorder, fleet_time, settings)
        self.pending_tags: set[str] = set()  # tags of proposals without a known outcome
        self.next_round = 0
        self.settling_until: dict[tuple[str, str, str], int] = {}  # by feature, pool and member
        self.contract_rejection = ""  # why this member's contract was rejected

    # ---- at every member ---------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Updates the shares after an entry on seats or members."""
        if not entry.kind.startswith(("seats.", "members.")):
            return []
        self.allocator.sync()
        return self.propose_returns()

    def restored(self, now: int) -> list[ProposalRequest]:
        """Updates the shares after a restored snapshot."""
        self.allocator.sync()
        return self.propose_returns()

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Runs the allocator; proposes returns and a newer contract."""
        self.allocator.turn(now, lease)
        proposals = self.propose_returns()
        own_contract = self.contract()
        if lease is not None and own_contract is not None and own_contract.edition > self.part.edition:
            proposals += self.propose_once("contract", "seats.contract", own_contract)
        return proposals

    def propose_returns(self) -> list[ProposalRequest]:
        """Proposes to return idle seats that are owed."""
        proposals = []
        for row in self.allocator.pending_returns():
            proposals += self.propose_once(f"return {row.feature} {row.pool}", "seats.return", row)
        return proposals

    def propose_once(self, tag: str, kind: str, row: Row) -> list[ProposalRequest]:
        """Returns the proposal, unless another one with the same tag is pending."""
        if tag in self.pending_tags:
            return []
        self.pending_tags.add(tag)
        return [ProposalRequest(kind, row, tag)]

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Records the outcome of a proposal."""
        self.pending_tags.discard(tag)
        if tag == "contract" and outcome is not None:
            self.contract_rejection = outcome.rejection
        return []

    def report(self, now: int) -> bytes:
        """Returns the encoded report to the leader."""
        lease = self.allocator.lease
        demands = []
        for (feature, name), pool in self.allocator.pools.items():
            demand = pool.demand()
            demands.append(PoolDemand(feature, name, demand.used, demand.missed))
        return msgspec.msgpack.encode(
            Report(lease.incarnation if lease is not None else 0, tuple(demands), self.holds_spares)
        )

    def has_leased_resources(self, now: int) -> bool:
        """Returns whether seats are assigned: until their jobs end, the seats of this member are not free."""
        self.allocator.expire(now)
        return any(pool.assignments for pool in self.allocator.pools.values())

    def in_use(self, feature: str) -> int:
        """Returns how many seats of a feature are assigned."""
        return sum(len(pool.assignments) for (of, _), pool in self.allocator.pools.items() if of == feature)

    def figures(self) -> dict:
        """Returns plain JSON for the `status` command."""
        return {
            "edition": self.part.edition,
            "refused_contract": self.contract_rejection,
            "counts": counters_status(self.allocator.counts),
            "features": {
                name: {
                    "seats": feature.terms.seats,
                    "held": feature.held(),
                    "free": max(0, feature.terms.seats - feature.held()),
                    "over": feature.excess(),
                    "in_use": self.in_use(name),
                    "members": feature.by_member(),
                }
                for name, feature in self.part.features.items()
            },
        }

    # ---- at the leader -----------------------------------------------------------------------------

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Proposes grants and, once in each round, recalls."""
        reports_by_member = decode_reports(reports)
        with_recalls = now >= self.next_round
        proposals = []
        if with_recalls:
            self.next_round = now + RECALL_ROUND_TICKS
        for feature, feature_seats in self.part.features.items():
            for pool, size in feature_seats.pools.items():
                if not self.moves_pending(feature, pool):
                    proposals += self.rebalance(
                        now, feature_seats, pool, size, reports_by_member, with_recalls
                    )
        return proposals

    def moves_pending(self, feature: str, pool: str) -> bool:
        """Returns whether moves of a pool are pending; a further round would count them a second time."""
        return any(tag.startswith(f"lead {feature} {pool} ") for tag in self.pending_tags)

    def rebalance(
        self,
        now: int,
        feature_seats: Feature,
        pool: str,
        size: int,
        reports_by_member: Mapping[str, MemberReport],
        with_recalls: bool,
    ) -> list[ProposalRequest]:
        """Proposes the moves of one pool."""
        members = [
            self.demand(now, feature_seats, pool, name, member_report)
            for name, member_report in reports_by_member.items()
            if member_report.report.incarnation > self.part.ended_incarnations.get(name, 0)
        ]
        returning = sum(share.debt for share in feature_seats.shares.values() if share.pool == pool)
        moves = rebalance(size, feature_seats.grantable(pool), returning, members, now // ROTATION_TICKS)
        proposals = []
        feature = feature_seats.terms.feature
        for move in moves.grants:
            self.settling_until[feature, pool, move.member.name] = now + GRANT_SETTLING_TICKS
            proposals += self.propose_move(Grant, "grant", feature, pool, move)
        for move in moves.recalls if with_recalls else ():
            proposals += self.propose_move(Recall, "recall", feature, pool, move)
        return proposals

    def propose_move(
        self, kind: type[Grant] | type[Recall], action: str, feature: str, pool: str, move: Move
    ) -> list[ProposalRequest]:
        """Returns the proposal of one move, unless it is pending."""
        member = move.member
        row = kind(feature, pool, member.name, member.incarnation, move.count)
        return self.propose_once(f"lead {feature} {pool} {action} {member.name}", f"seats.{action}", row)

    def demand(
        self, now: int, feature_seats: Feature, pool: str, name: str, member_report: MemberReport
    ) -> MemberDemand:
        """Returns a member's seats of a pool and its demand for them."""
        feature = feature_seats.terms.feature
        report = member_report.report
        share = feature_seats.shares.get((pool, name, report.incarnation))
        net = share.net if share is not None else 0
        demand = member_report.demands.get((feature, pool))
        used, missed = (demand.used, demand.missed) if demand is not None else (0, 0)
        if now < self.settling_until.get((feature, pool, name), 0):
            used = max(used, net)
        return MemberDemand(name, report.incarnation, net, used, missed, report.holds_spares)


def decode_reports(reports: Mapping[str, bytes]) -> dict[str, MemberReport]:
    """Returns the reports that can be decoded, by member."""
    reports_by_member: dict[str, MemberReport] = {}
    for name, raw in sorted(reports.items()):
        try:
            report = msgspec.msgpack.decode(raw, type=Report)
        except msgspec.MsgspecError:
            continue  # the member runs a version with another form of report: it gets no grants
        demands = {(demand.feature, demand.pool): demand for demand in report.demands}
        reports_by_member[name] = MemberReport(report, demands)
    return reports_by_member


def counters_status(counts: Counts) -> dict[str, int]:
    """Returns the counters as `status` shows them."""
    return {
        "given": counts.given,
        "refused": counts.refused,
        "no_lease": counts.no_lease,
        "unheard": counts.unheard,
    }
