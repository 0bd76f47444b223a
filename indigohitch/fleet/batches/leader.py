"""What the leader proposes for batches: contract, loads, which piece to whom, the plan in rounds.  No I/O."""

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
from .rows import Contract, Give, Late, Load, Piece, Plan, State

AHEAD = 3 * SECOND // 10  # a piece is given so long before its run: two entries of the ledger
ROUND = SECOND // 2  # from the end of one round to the next: what changed is in the plan soon
STEPS = 2  # of a round in one beat: about 10 ms of its 100
LOADS = 10 * SECOND  # how often what the interactive RPCs take may be told anew, for a site
MOVED = 10  # per cent by which it has to differ
MOST_LATE = 256  # pieces in one entry

Place = tuple[str, str]  # site and kind of lane


class Report(Row, frozen=True):
    """What a member tells with each renewal: `offers` are the lanes it has, by site and kind; `at_once` how
    many hundredths of interactive RPCs are under way here at a time."""

    incarnation: int
    offers: dict[str, dict[str, int]] = {}
    at_once: int = 0
    strained: bool = False


Reports = Mapping[str, Report]  # by member


@dataclass(slots=True)
class RunningRound:
    round: Round
    steps: Iterator[None]


class BatchLeader:
    """`contract_now`: the contract of this member's file, None where there is none; `seats` by feature: what
    the fleet's batches may use at a time."""

    def __init__(
        self,
        part: Batches,
        pending: PendingProposals,
        fleet_time: Callable[[int], int],
        contract_now: Callable[[], Contract | None],
        seats: Callable[[], Mapping[str, int]],
    ) -> None:
        self.part, self.pending, self.fleet_time = part, pending, fleet_time
        self.contract_now, self.seats = contract_now, seats
        self.running: RunningRound | None = None
        self.next_round_at = 0
        self.next_load_at: dict[str, int] = {}  # by site
        self.rounds = self.moves = 0

    def restored(self) -> None:
        """The state was replaced: a round that was begun on the old one is of no use."""
        self.running = None

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        time = self.part.state_machine.time and self.fleet_time(now)
        if not time:
            return []
        heard = decoded(reports)
        wanted = self.new_contract(now)
        if self.part.contract is None:
            return wanted
        wanted += self.new_loads(now, time, heard)
        wanted += self.give(now, time, heard)
        return wanted + self.plan(now, time, offered_lanes(heard))

    def new_contract(self, now: int) -> list[ProposalRequest]:
        told, stands = self.contract_now(), self.part.contract
        if told is None:
            return []
        if stands is not None and told.edition <= stands.edition:
            if told.edition == stands.edition and told != stands:
                self.pending.trouble = (
                    f"edition {told.edition} of the contract in this file is not what stands"
                )
            return []
        try:
            contract.check(told)
        except InvalidRequestError as unfit:
            self.pending.trouble = str(unfit)
            return []
        return self.pending.once(now, CONTRACT_TAG, ProposalRequest("batches.contract", told, CONTRACT_TAG))

    def new_loads(self, now: int, time: int, heard: Reports) -> list[ProposalRequest]:
        wanted = []
        for site in self.part.contract.sites:
            there = [report.at_once for report in heard.values() if site.name in report.offers]
            if not there or now < self.next_load_at.get(site.name, 0):
                continue
            self.next_load_at[site.name] = now + LOADS
            share = min(100, sum(there) // max(1, sum(site.lanes.values())))
            hour = contract.hour_of_day(site, time)
            if abs(share - self.part.loads.get(site.name, {}).get(hour, 0)) >= MOVED:
                tag = f"load {site.name}"
                load = Load(site.name, hour, share)
                wanted += self.pending.once(now, tag, ProposalRequest("batches.load", load, tag))
        return wanted

    # ---- giving pieces -----------------------------------------------------------------------------

    def give(self, now: int, time: int, heard: Reports) -> list[ProposalRequest]:
        """Pieces whose run has come, each to the member there that holds least; and those that are late."""
        pieces, wanted, late = self.part.pieces, [], []
        free = self.free_lanes(heard)
        for id in pieces.open:
            piece = pieces.all[id]
            if piece.state in (State.WAITING, State.GIVEN) and time >= piece.cut.latest:
                late.append(id)
            elif run_has_come(piece, time):
                lanes = free.get((piece.placing.site, piece.placing.kind), {})
                wanted += self.give_one(now, id, lanes, heard)
        if late:
            row = Late(tuple(late[:MOST_LATE]))
            wanted += self.pending.once(now, LATE_TAG, ProposalRequest("batches.late", row, LATE_TAG))
        return wanted

    def give_one(self, now: int, id: str, free: dict[str, int], heard: Reports) -> list[ProposalRequest]:
        """`free`: lanes by member; one is taken."""
        there = [(-lanes, name) for name, lanes in free.items() if lanes > 0]
        if not there:
            return []
        _, name = min(there)
        tag = f"give {id}"
        row = Give(id, name, heard[name].incarnation)
        wanted = self.pending.once(now, tag, ProposalRequest("batches.give", row, tag))
        if wanted:
            free[name] -= 1
        return wanted

    def free_lanes(self, heard: Reports) -> dict[Place, dict[str, int]]:
        """Lanes left, by place and member."""
        free: dict[Place, dict[str, int]] = {}
        for name, report in heard.items():
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

    # ---- the plan ----------------------------------------------------------------------------------

    def plan(self, now: int, time: int, offered: Mapping[Place, int]) -> list[ProposalRequest]:
        """Some steps of a round each beat; then its changes, one entry after the other."""
        if self.running is None:
            if now < self.next_round_at:
                return []
            round = Round(self.part, time, self.seats(), offered)
            self.running = RunningRound(round, round.steps())
        round = self.running.round
        for _ in range(STEPS):
            if next(self.running.steps, round) is round:  # it has no further one
                break
        else:
            return []
        if self.pending.waits(now, PLAN_TAG):
            return []
        changes = round.take()
        if not changes:
            self.running, self.next_round_at, self.rounds = None, now + ROUND, self.rounds + 1
            return []
        self.moves += len(changes)
        return self.pending.once(
            now, PLAN_TAG, ProposalRequest("batches.plan", Plan(self.part.version, changes), PLAN_TAG)
        )


def decoded(reports: Mapping[str, bytes]) -> dict[str, Report]:
    heard = {}
    for name, report in sorted(reports.items()):
        try:
            heard[name] = msgspec.msgpack.decode(report, type=Report)
        except msgspec.MsgspecError:
            continue  # it holds no lease yet, or says what it should not
    return heard


def offered_lanes(heard: Reports) -> dict[Place, int]:
    offered: dict[Place, int] = {}
    for report in heard.values():
        for site, kinds in report.offers.items():
            for kind, lanes in kinds.items():
                offered[site, kind] = offered.get((site, kind), 0) + lanes
    return offered


def run_has_come(piece: Piece, time: int) -> bool:
    """Whether it waits, and its first run is near or over, and it is near or within one."""
    if piece.state is not State.WAITING or piece.placing is None:
        return False
    return any(begin - AHEAD <= time < end for begin, end in piece.placing.runs)
