"""Batches in a member's process: runs pieces and proposes prices; `leader` has what a leader proposes."""

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
    """The work of a member on batches; implements `interfaces.Work`.

    `offers`: the lanes of this member, by site and kind of node.  `contract_now` and `prices_now`: the
    contract and the dated prices of its own files, None where there are none.  `seats`: by feature, how many
    seats the batches of the fleet may use at a time.
    """

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
        self.part = part
        self.me = me
        self.fleet_time = fleet_time
        self.offers = {site: dict(kinds) for site, kinds in offers.items()}
        self.prices_now = prices_now
        self.runner = Runner(part, acts, port)
        self.detector = OverloadDetector()
        self.lease: Lease | None = None
        self.pending = PendingProposals()
        self.leader = BatchLeader(part, self.pending, fleet_time, contract_now, seats)
        # The last list of the price file that is committed or invalid, and needs no proposal any more.
        self.handled_prices: Prices | None = None

    # ---- events of the process -----------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Needs no action, as `turn` takes all that it needs from the state machine."""
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Drops what was begun with the state that has been replaced."""
        self.leader.restored()
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Takes the outcome of a proposal; None if it is unknown."""
        self.pending.answered(tag, outcome)
        self.runner.answered(tag, None if outcome is None else bool(outcome.rejection))
        return []

    def report(self, now: int) -> bytes:
        """Returns the encoded report for the leader, empty without a lease."""
        if self.lease is None:
            return b""
        return msgspec.msgpack.encode(
            Report(
                self.lease.incarnation, self.offers, self.detector.concurrency(now), self.detector.overloaded
            )
        )

    def felt(self, now: int, rpc: str, latency: int) -> None:
        """Records the latency of an RPC that was answered here; RPCs of batches don't count."""
        if self.part.rpc(rpc) is None:
            self.detector.record_latency(now, latency)
            self.runner.overloaded = self.detector.overloaded  # at once, before the next step is sent

    # ---- each beat -----------------------------------------------------------------------------------

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Does one beat; returns the proposals for pieces that this member holds, and for new prices."""
        self.lease = lease
        time = self.fleet_time(now)
        self.detector.batches_running = any(run.attempt for run in self.runner.runs.values())
        overloaded = self.detector.is_overloaded(now)
        lanes = sum(sum(kinds.values()) for kinds in self.offers.values())
        requests = self.runner.turn(now, time, lease, overloaded, self.me, lanes)
        if lease is not None and time:
            requests += self.new_prices(now, time)
        return requests

    def new_prices(self, now: int, time: int) -> list[ProposalRequest]:
        """Proposes the prices of this member's file if they are newer than the current ones and valid."""
        new = self.prices_now()
        part = self.part
        if new is None or new is self.handled_prices:
            return []
        if part.prices is None or new.edition > part.prices.edition:
            try:
                prices.check(new, part.prices, part.list_digest, time)
            except InvalidRequestError as error:
                self.handled_prices, self.pending.last_error = new, str(error)
                return []
            return self.pending.propose_once(
                now, PRICES_TAG, ProposalRequest("batches.prices", new, PRICES_TAG)
            )
        self.handled_prices = new
        return []

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Returns the proposals that this member makes as the leader."""
        return self.leader.lead(now, reports)

    def figures(self) -> dict:
        """Returns the values that `status` shows."""
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
            "strained": self.detector.overloaded,
            "calm_ms": round(self.detector.baseline / 10, 1),
            "trouble": self.pending.last_error,
            "unclear": {
                id: part.pieces.all[id].why
                for id in part.pieces.open
                if part.pieces.all[id].state is State.UNCLEAR
            },
        }
