"""Batches in a member's process: it runs pieces; where it leads it plans, gives, and tells what is late."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

import msgspec

from ...errors import Unfit
from ...net.clock import SECOND
from ...packed.rows import Row
from ..ports import Acts, Wanted
from ..terms import Entry, Lease, Outcome
from . import contract, prices
from .part import Batches
from .rounds import Round
from .rows import Contract, Give, Late, Load, Plan, Prices, State
from .runner import Port, Runner
from .strain import Strain

AHEAD = 3 * SECOND // 10  # a piece is given so long before its run: two entries of the ledger
ROUND = SECOND // 2  # from the end of one round to the next: what changed is in the plan soon
STEPS = 2  # of a round in one beat: about 10 ms of its 100
PATIENCE = 5 * SECOND  # a proposal without a word for so long is made anew
LOADS = 10 * SECOND  # how often what the interactive RPCs take may be told anew, for a site
MOVED = 10  # per cent by which it has to differ


class Report(Row, frozen=True):
    """What a member tells with each renewal: `offers` are the lanes it has, by site and kind; `at_once` how
    many hundredths of interactive RPCs are under way here at a time."""

    incarnation: int
    offers: dict[str, dict[str, int]] = {}
    at_once: int = 0
    strained: bool = False


class BatchesWork:
    """`fleet_time(now)`; `offers`: the lanes of this member, by site and kind; `told` and `listed`: the
    contract and the dated prices of its own file as they are now, None where there are none; `seats` by
    feature: what the fleet's batches may use at a time."""

    name = "batches"

    def __init__(
        self,
        part: Batches,
        me: str,
        acts: Acts,
        port: Port,
        fleet_time: Callable[[int], int],
        offers: Mapping[str, Mapping[str, int]],
        told: Callable[[], Contract | None] = lambda: None,
        listed: Callable[[], Prices | None] = lambda: None,
        seats: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self.part, self.me, self.fleet_time = part, me, fleet_time
        self.offers = {site: dict(kinds) for site, kinds in offers.items()}
        self.told, self.listed, self.seats = told, listed, seats
        self.runner, self.strain = Runner(part, acts, port), Strain()
        self.lease: Lease | None = None
        self.trouble = ""  # of the contract or the prices: for the log and `status`
        self._out: dict[str, int] = {}  # proposals without a word yet, by tag: since when
        self._round: tuple[Round, Iterator[None]] | None = None
        self._round_at, self._loads_at = 0, {}
        self._list: Prices | None = None
        self.rounds = self.moves = 0

    # ---- told by the process -----------------------------------------------------------------------

    def applied(self, now: int, entry: Entry, outcome: Outcome) -> list[Wanted]:
        return []  # what is wanted stands in the state machine: `turn` looks there

    def restored(self, now: int) -> list[Wanted]:
        self._round = None
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[Wanted]:
        self._out.pop(tag, None)
        self.runner.answered(tag, None if outcome is None else bool(outcome.refused))
        if outcome is not None and outcome.refused and tag in ("contract", "prices"):
            self.trouble = outcome.refused
        return []

    def report(self, now: int) -> bytes:
        if self.lease is None:
            return b""
        return msgspec.msgpack.encode(
            Report(self.lease.incarnation, self.offers, self.strain.at_once(now), self.strain.strained)
        )

    def felt(self, now: int, rpc: str, latency: int) -> None:
        """An RPC was answered here; those of batches don't count."""
        if self.part.rpc(rpc) is None:
            self.strain.felt(now, latency)
            self.runner.strained = self.strain.strained  # at once: the next step does not go out

    # ---- each beat ---------------------------------------------------------------------------------

    def turn(self, now: int, lease: Lease | None) -> list[Wanted]:
        self.lease = lease
        time = self.fleet_time(now)
        self.strain.busy = any(run.attempt for run in self.runner.runs.values())
        strained = self.strain.turn(now)
        lanes = sum(sum(kinds.values()) for kinds in self.offers.values())
        wanted = self.runner.turn(now, time, lease, strained, self.me, lanes)
        if lease is not None and time:
            wanted += self.new_prices(now, time)
        return wanted

    def new_prices(self, now: int, time: int) -> list[Wanted]:
        new, part = self.listed(), self.part
        if new is None or new is self._list:
            return []
        if part.prices is None or new.edition > part.prices.edition:
            try:
                prices.check(new, part.prices, part.list_digest, time)
            except Unfit as unfit:
                self._list, self.trouble = new, str(unfit)
                return []
            return self.once(now, "prices", Wanted("batches.prices", new, "prices"))
        self._list = new
        return []

    def once(self, now: int, tag: str, wanted: Wanted) -> list[Wanted]:
        """Not again while one of that tag is out."""
        if now - self._out.get(tag, -PATIENCE) < PATIENCE:
            return []
        self._out[tag] = now
        return [wanted]

    # ---- at the leader -----------------------------------------------------------------------------

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[Wanted]:
        time = self.part.state_machine.time and self.fleet_time(now)
        if not time:
            return []
        heard = {}
        for name, report in sorted(reports.items()):
            try:
                heard[name] = msgspec.msgpack.decode(report, type=Report)
            except msgspec.MsgspecError:
                continue  # it holds no lease yet, or says what it should not
        wanted = self.new_contract(now)
        if self.part.contract is None:
            return wanted
        wanted += self.new_loads(now, time, heard)
        wanted += self.give(now, time, heard)
        offered: dict[tuple[str, str], int] = {}
        for report in heard.values():
            for site, kinds in report.offers.items():
                for kind, lanes in kinds.items():
                    offered[site, kind] = offered.get((site, kind), 0) + lanes
        return wanted + self.plan(now, time, offered)

    def new_contract(self, now: int) -> list[Wanted]:
        told, stands = self.told(), self.part.contract
        if told is None or stands is not None and told.edition <= stands.edition:
            if told is not None and told.edition == stands.edition and told != stands:
                self.trouble = f"edition {told.edition} of the contract in this file is not what stands"
            return []
        try:
            contract.check(told)
        except Unfit as unfit:
            self.trouble = str(unfit)
            return []
        return self.once(now, "contract", Wanted("batches.contract", told, "contract"))

    def new_loads(self, now: int, time: int, heard: Mapping[str, Report]) -> list[Wanted]:
        wanted = []
        for site in self.part.contract.sites:
            there = [report.at_once for report in heard.values() if site.name in report.offers]
            if not there or now < self._loads_at.get(site.name, 0):
                continue
            self._loads_at[site.name] = now + LOADS
            share = min(100, sum(there) // max(1, sum(site.lanes.values())))
            hour = contract.hour_of_day(site, time)
            if abs(share - self.part.loads.get(site.name, {}).get(hour, 0)) >= MOVED:
                wanted += self.once(
                    now,
                    f"load {site.name}",
                    Wanted("batches.load", Load(site.name, hour, share), f"load {site.name}"),
                )
        return wanted

    def give(self, now: int, time: int, heard: Mapping[str, Report]) -> list[Wanted]:
        """Pieces whose run has come, each to the member there that holds least; and those that are late."""
        part, wanted, late = self.part, [], []
        free = self.free(heard)
        for id in part.pieces.open:
            piece = part.pieces.all[id]
            if piece.state in (State.WAITING, State.GIVEN) and time >= piece.cut.latest:
                late.append(id)
            elif (
                piece.state is State.WAITING
                and piece.placing is not None
                and (piece.placing.runs[0][0] - AHEAD <= time)
                and any(begin - AHEAD <= time < end for begin, end in piece.placing.runs)
            ):
                place = (piece.placing.site, piece.placing.kind)
                there = [(-lanes, name) for name, lanes in free.get(place, {}).items() if lanes > 0]
                if there and (
                    one := self.once(
                        now,
                        f"give {id}",
                        Wanted(
                            "batches.give",
                            Give(id, min(there)[1], heard[min(there)[1]].incarnation),
                            f"give {id}",
                        ),
                    )
                ):
                    free[place][min(there)[1]] -= 1
                    wanted += one
        if late:
            wanted += self.once(now, "late", Wanted("batches.late", Late(tuple(late[:256])), "late"))
        return wanted

    def free(self, heard: Mapping[str, Report]) -> dict[tuple[str, str], dict[str, int]]:
        """Lanes left, by place and member."""
        free: dict[tuple[str, str], dict[str, int]] = {}
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

    def plan(self, now: int, time: int, offered: Mapping[tuple[str, str], int]) -> list[Wanted]:
        """Some steps of a round each beat; then its changes, one entry after the other."""
        if self._round is None:
            if now < self._round_at:
                return []
            new = Round(self.part, time, self.seats(), offered)
            self._round = new, new.steps()
        round, steps = self._round
        for _ in range(STEPS):
            if next(steps, round) is round:  # it has no further one
                break
        else:
            return []
        if "plan" in self._out and now - self._out["plan"] < PATIENCE:
            return []
        changes = round.take()
        if not changes:
            self._round, self._round_at, self.rounds = None, now + ROUND, self.rounds + 1
            return []
        self.moves += len(changes)
        return self.once(now, "plan", Wanted("batches.plan", Plan(self.part.version, changes), "plan"))

    def figures(self) -> dict:
        part = self.part
        return {
            "pieces": part.pieces.counts(),
            "plan": part.version,
            "rounds": self.rounds,
            "moves": self.moves,
            "contract": part.contract.edition if part.contract is not None else 0,
            "prices": part.prices.edition if part.prices is not None else 0,
            "held": {id: run.phase.value for id, run in self.runner.runs.items()},
            "steps": self.runner.steps,
            "paused": self.runner.paused,
            "strained": self.strain.strained,
            "calm_ms": round(self.strain.calm / 10, 1),
            "trouble": self.trouble,
            "unclear": {
                id: part.pieces.all[id].why
                for id in part.pieces.open
                if part.pieces.all[id].state is State.UNCLEAR
            },
        }
