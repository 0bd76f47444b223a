"""What the leader proposes for batches: contract, load, assignments of pieces, and the plan.  No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidRequestError
from ...net.clock import SECOND
from ..interfaces import ProposalRequest
from . import contract
from .part import Batches
from .pending import CONTRACT_TAG, LATE_TAG, PLAN_TAG, PendingProposals
from .rounds import Round
from .rows import Assignment, Contract, Expiry, InteractiveLoad, Piece, PlanChanges, State

# A piece is assigned this long before its run begins: time for two entries of the log.
ASSIGN_AHEAD = 3 * SECOND // 10
# From the end of one planning round to the next; short, so that changes enter the plan soon.
ROUND_PAUSE = SECOND // 2
STEPS_PER_BEAT = 2  # steps of a round in one beat; they take about 10 ms of its 100
LOAD_INTERVAL = 10 * SECOND  # at most one update of the interactive load of a site in this time
MIN_LOAD_CHANGE = 10  # per cent of the lanes by which the load has to differ for an update
MAX_LATE = 256  # pieces in one entry

Place = tuple[str, str]  # site, kind of node


class Report(Row, frozen=True):
    """What a member reports with each renewal of its lease.

    `offers`: its lanes, by site and kind of node.  `at_once`: its concurrent interactive RPCs, in hundredths.
    `strained`: whether its interactive RPCs suffer from overload.
    """

    incarnation: int
    offers: dict[str, dict[str, int]] = {}
    at_once: int = 0
    strained: bool = False


Reports = Mapping[str, Report]  # by member


@dataclass(slots=True)
class RunningRound:
    """A planning round and its steps that are left."""

    round: Round
    steps: Iterator[None]


class BatchLeader:
    """Makes the proposals of the leader.

    `contract_now`: the contract of this member's own file, None if it has none.  `seats`: by feature, how
    many seats the batches of the fleet may use at a time.
    """

    def __init__(
        self,
        part: Batches,
        pending: PendingProposals,
        fleet_time: Callable[[int], int],
        contract_now: Callable[[], Contract | None],
        seats: Callable[[], Mapping[str, int]],
    ) -> None:
        self.part = part
        self.pending = pending
        self.fleet_time = fleet_time
        self.contract_now = contract_now
        self.seats = seats
        self.running: RunningRound | None = None
        self.next_round_at = 0
        self.next_load_at: dict[str, int] = {}  # by site
        self.rounds = self.moves = 0

    def restored(self) -> None:
        """Drops the running round: the state that it was begun with has been replaced."""
        self.running = None

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Returns the proposals of one beat; there are none before fleet time is known."""
        time = self.part.state_machine.time and self.fleet_time(now)
        if not time:
            return []
        reports_by_member = decode_reports(reports)
        requests = self.new_contract(now)
        if self.part.contract is None:
            return requests
        requests += self.new_loads(now, time, reports_by_member)
        requests += self.assign_pieces(now, time, reports_by_member)
        return requests + self.plan(now, time, offered_lanes(reports_by_member))

    def new_contract(self, now: int) -> list[ProposalRequest]:
        """Proposes the contract of this member's file if it is newer than the one in force and valid."""
        own = self.contract_now()
        current = self.part.contract
        if own is None:
            return []
        if current is not None and own.edition <= current.edition:
            if own.edition == current.edition and own != current:
                self.pending.last_error = (
                    f"edition {own.edition} of the contract in this file differs from the contract in force"
                )
            return []
        try:
            contract.check(own)
        except InvalidRequestError as error:
            self.pending.last_error = str(error)
            return []
        return self.pending.propose_once(
            now, CONTRACT_TAG, ProposalRequest("batches.contract", own, CONTRACT_TAG)
        )

    def new_loads(self, now: int, time: int, reports_by_member: Reports) -> list[ProposalRequest]:
        """Proposes the load of each site whose interactive RPCs use clearly more or fewer lanes."""
        requests = []
        for site in self.part.contract.sites:
            concurrencies = [
                report.at_once for report in reports_by_member.values() if site.name in report.offers
            ]
            if not concurrencies or now < self.next_load_at.get(site.name, 0):
                continue
            self.next_load_at[site.name] = now + LOAD_INTERVAL
            share = min(100, sum(concurrencies) // max(1, sum(site.lanes.values())))
            hour = contract.hour_of_day(site, time)
            if abs(share - self.part.loads.get(site.name, {}).get(hour, 0)) >= MIN_LOAD_CHANGE:
                tag = f"load {site.name}"
                load = InteractiveLoad(site.name, hour, share)
                requests += self.pending.propose_once(now, tag, ProposalRequest("batches.load", load, tag))
        return requests

    # ---- assigning pieces ----------------------------------------------------------------------------

    def assign_pieces(self, now: int, time: int, reports_by_member: Reports) -> list[ProposalRequest]:
        """Assigns each piece whose run is due to the member with most free lanes; expires late pieces."""
        pieces = self.part.pieces
        requests, late = [], []
        free = self.free_lanes(reports_by_member)
        for id in pieces.open:
            piece = pieces.all[id]
            if piece.state in (State.WAITING, State.GIVEN) and time >= piece.cut.latest:
                late.append(id)
            elif is_due(piece, time):
                lanes = free.get((piece.placing.site, piece.placing.kind), {})
                requests += self.assign_piece(now, id, lanes, reports_by_member)
        if late:
            body = Expiry(tuple(late[:MAX_LATE]))
            requests += self.pending.propose_once(
                now, LATE_TAG, ProposalRequest("batches.late", body, LATE_TAG)
            )
        return requests

    def assign_piece(
        self, now: int, id: str, free: dict[str, int], reports_by_member: Reports
    ) -> list[ProposalRequest]:
        """Proposes a member for the piece and takes a lane from `free`, the free lanes by member."""
        candidates = [(-lanes, name) for name, lanes in free.items() if lanes > 0]
        if not candidates:
            return []
        _, name = min(candidates)
        tag = f"give {id}"
        body = Assignment(id, name, reports_by_member[name].incarnation)
        requests = self.pending.propose_once(now, tag, ProposalRequest("batches.give", body, tag))
        if requests:
            free[name] -= 1
        return requests

    def free_lanes(self, reports_by_member: Reports) -> dict[Place, dict[str, int]]:
        """Returns the free lanes by place and member; members under overload have none."""
        free: dict[Place, dict[str, int]] = {}
        for name, report in reports_by_member.items():
            if report.strained:
                continue
            for site, kinds in report.offers.items():
                for kind, lanes in kinds.items():
                    free.setdefault((site, kind), {})[name] = lanes
            for id in self.part.pieces.held.get((name, report.incarnation), ()):
                placing = self.part.pieces.all[id].placing
                if name in free.get((placing.site, placing.kind), {}):
                    free[placing.site, placing.kind][name] -= 1
        return free

    # ---- the plan ------------------------------------------------------------------------------------

    def plan(self, now: int, time: int, offered: Mapping[Place, int]) -> list[ProposalRequest]:
        """Does some steps of the round in each beat, then proposes its changes, one entry after the other."""
        if self.running is None:
            if now < self.next_round_at:
                return []
            round = Round(self.part, time, self.seats(), offered)
            self.running = RunningRound(round, round.steps())
        round = self.running.round
        for _ in range(STEPS_PER_BEAT):
            if next(self.running.steps, round) is round:  # the round has no further step
                break
        else:
            return []
        if self.pending.is_pending(now, PLAN_TAG):
            return []
        changes = round.take()
        if not changes:
            self.running, self.next_round_at, self.rounds = None, now + ROUND_PAUSE, self.rounds + 1
            return []
        self.moves += len(changes)
        return self.pending.propose_once(
            now, PLAN_TAG, ProposalRequest("batches.plan", PlanChanges(self.part.version, changes), PLAN_TAG)
        )


def decode_reports(reports: Mapping[str, bytes]) -> dict[str, Report]:
    """Returns the valid reports by member; others are left out."""
    reports_by_member = {}
    for name, report in sorted(reports.items()):
        try:
            reports_by_member[name] = msgspec.msgpack.decode(report, type=Report)
        except msgspec.MsgspecError:
            continue  # the member has no lease yet and reports nothing, or the report is invalid
    return reports_by_member


def offered_lanes(reports_by_member: Reports) -> dict[Place, int]:
    """Returns the lanes of all members together, by place."""
    offered: dict[Place, int] = {}
    for report in reports_by_member.values():
        for site, kinds in report.offers.items():
            for kind, lanes in kinds.items():
                offered[site, kind] = offered.get((site, kind), 0) + lanes
    return offered


def is_due(piece: Piece, time: int) -> bool:
    """Returns whether the piece waits and one of its planned runs has begun, or begins soon."""
    if piece.state is not State.WAITING or piece.placing is None:
        return False
    return any(begin - ASSIGN_AHEAD <= time < end for begin, end in piece.placing.runs)
