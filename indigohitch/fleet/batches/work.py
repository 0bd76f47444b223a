"""Batches in a member's process: it runs pieces and proposes prices; leader.py has what a leader proposes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...errors import InvalidRequestError
from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, LogEntry, Outcome
from . import prices
from .leader import BatchLeader, Report
from .overload import OverloadDetector
from .part import Batches
from .pending import PRICES_TAG, PendingProposals
from .rows import Contract, Prices, State
from .runner import Port, Runner


class BatchesWork:
    """ports.Work.  `offers`: the lanes of this member, by site and kind; `contract_now` and `prices_now`: the
    contract and the dated prices of its own file, None where there are none; `seats` by feature: what the
    fleet's batches may use at a time."""

    name = "batches"

    def __init__(
        self,
        part: Batches,
        me: str,
        acts: ActionRecorder,
        port: Port,
        fleet_time: Callable[[int], int],
        offers: Mapping[str, Mapping[str, int]],
        contract_now: Callable[[], Contract | None] = lambda: None,
        prices_now: Callable[[], Prices | None] = lambda: None,
        seats: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self.part, self.me, self.fleet_time = part, me, fleet_time
        self.offers = {site: dict(kinds) for site, kinds in offers.items()}
        self.prices_now = prices_now
        self.runner, self.strain = Runner(part, acts, port), OverloadDetector()
        self.lease: Lease | None = None
        self.pending = PendingProposals()
        self.leader = BatchLeader(part, self.pending, fleet_time, contract_now, seats)
        self.judged: Prices | None = None  # the list of this file that was proposed, or refused

    # ---- told by the process -----------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        return []  # what is wanted stands in the state machine: `turn` looks there

    def restored(self, now: int) -> list[ProposalRequest]:
        self.leader.restored()
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        self.pending.answered(tag, outcome)
        self.runner.answered(tag, None if outcome is None else bool(outcome.rejection))
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

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        self.lease = lease
        time = self.fleet_time(now)
        self.strain.busy = any(run.attempt for run in self.runner.runs.values())
        strained = self.strain.turn(now)
        lanes = sum(sum(kinds.values()) for kinds in self.offers.values())
        wanted = self.runner.turn(now, time, lease, strained, self.me, lanes)
        if lease is not None and time:
            wanted += self.new_prices(now, time)
        return wanted

    def new_prices(self, now: int, time: int) -> list[ProposalRequest]:
        new, part = self.prices_now(), self.part
        if new is None or new is self.judged:
            return []
        if part.prices is None or new.edition > part.prices.edition:
            try:
                prices.check(new, part.prices, part.list_digest, time)
            except InvalidRequestError as unfit:
                self.judged, self.pending.trouble = new, str(unfit)
                return []
            return self.pending.once(now, PRICES_TAG, ProposalRequest("batches.prices", new, PRICES_TAG))
        self.judged = new
        return []

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        return self.leader.lead(now, reports)

    def figures(self) -> dict:
        part = self.part
        return {
            "pieces": part.pieces.counts(),
            "plan": part.version,
            "rounds": self.leader.rounds,
            "moves": self.leader.moves,
            "contract": part.contract.edition if part.contract is not None else 0,
            "prices": part.prices.edition if part.prices is not None else 0,
            "held": {id: run.phase.value for id, run in self.runner.runs.items()},
            "steps": self.runner.steps,
            "paused": self.runner.paused,
            "strained": self.strain.strained,
            "calm_ms": round(self.strain.calm / 10, 1),
            "trouble": self.pending.trouble,
            "unclear": {
                id: part.pieces.all[id].why
                for id in part.pieces.open
                if part.pieces.all[id].state is State.UNCLEAR
            },
        }
