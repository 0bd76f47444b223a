"""One member's own part: the pieces that it holds, their RPCs at their pace, pauses, checkpoints.  No I/O.

What it holds stands in the state; nothing leaves before the state machine has the start under this member's
stamp. It asks nobody before it pauses, and stops by itself without a lease, at the end of a run, at a latest
time."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from ...net.clock import SECOND
from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, Stamp
from .part import Batches
from .rows import Piece, Start, State, Step

# A checkpoint each sixteenth of the work, and not more often than this: a lost member costs a sixteenth, and
# a member with eight pieces four entries a second at most.
CHECK, PARTS = 2 * SECOND, 16
BACK = SECOND // 4  # after a try that surely did not run; doubled each time up to
BACK_MOST = 10 * SECOND


class Phase(enum.Enum):
    HELD = "held"  # nothing of it runs
    STARTING = "starting"  # the start is on its way into the ledger
    BETWEEN = "between"  # two steps
    OUT = "out"  # a step's RPC is out
    ENDING = "ending"  # its end is on its way into the ledger


class Port(Protocol):
    """Where a step's RPC goes; its outcome comes back to `Runner.outcome`: "ok", "not run", "unknown" or
    "refused"."""

    def send(self, piece: str, step: int, stamp: Stamp) -> None: ...


@dataclass(slots=True)
class Run:
    phase: Phase = Phase.HELD
    attempt: int = 0  # that this process began; 0: none
    step: int = 0  # surely done
    due: int = 0  # when the next step may go, own monotonic clock
    back: int = BACK
    told_at: int = 0  # the last checkpoint
    why: str = ""  # it can't go on: "unclear"


class Runner:
    def __init__(self, part: Batches, acts: ActionRecorder, port: Port) -> None:
        self.part, self.acts, self.port = part, acts, port
        self.runs: dict[str, Run] = {}
        self.steps = self.paused = 0  # sent; times that strain held a step back
        self.lease: Lease | None = None  # as of the last turn, as is `strained`
        self.strained = False

    def turn(
        self, now: int, time: int, lease: Lease | None, strained: bool, me: str, lanes: int
    ) -> list[ProposalRequest]:
        """`time`: fleet time; `lanes`: how many pieces this member runs at a time."""
        self.lease, self.strained = lease, strained
        if lease is None or lease.remaining(now) <= 0 or not time:
            return []  # what is out ends by itself; nothing else goes
        held = self.part.pieces.held.get((me, lease.incarnation), {})
        for id in [id for id in self.runs if id not in held]:
            del self.runs[id]
        wanted = []
        for id in list(held):
            run, piece = self.runs.setdefault(id, Run()), self.part.pieces.all[id]
            wanted += self.one(now, time, id, run, piece, lanes)
        return wanted

    def one(self, now: int, time: int, id: str, run: Run, piece: Piece, lanes: int) -> list[ProposalRequest]:
        if run.phase in (Phase.OUT, Phase.ENDING):
            return []
        pace = piece.cut.work // piece.cut.steps
        may_run = any(begin <= time < end for begin, end in piece.placing.runs)
        over = time + pace > piece.cut.latest or not may_run and time >= piece.placing.runs[-1][1]
        if piece.state is State.GIVEN:
            if run.phase is Phase.STARTING:
                return []
            if over:
                return self.end(id, run, piece, "rests")
            if self.strained or not may_run or self.running() >= lanes:
                return []
            return self.start(now, id, run, piece)
        if piece.state is not State.RUNNING:
            return []
        if run.attempt != piece.attempt:
            # Guards against a memory that was lost while a step may have been out.
            if not piece.idempotent:
                run.why = "its member knows nothing of it"
                return self.end(id, run, piece, "unclear")
            run.attempt, run.phase = piece.attempt, Phase.BETWEEN
            run.step = piece.step
        if run.phase in (Phase.STARTING, Phase.HELD):
            run.phase, run.step, run.due = Phase.BETWEEN, piece.step, now
            run.told_at = now
        if run.why:
            return self.end(id, run, piece, "unclear")
        if run.step == piece.cut.steps:
            return self.end(id, run, piece, "done")
        if over or not may_run:
            return self.end(id, run, piece, "rests")
        self.go_on(now, id, run, piece)
        if now - run.told_at >= max(CHECK, piece.cut.work // PARTS):
            run.told_at = now  # also where nothing went on: the plan has to know
            return [ProposalRequest("batches.step", Step(id, run.attempt, run.step), f"step {id}")]
        return []

    def running(self) -> int:
        return sum(run.phase is not Phase.HELD for run in self.runs.values())

    def start(self, now: int, id: str, run: Run, piece: Piece) -> list[ProposalRequest]:
        stamp = self.acts.stamp(now, "batches.start", id.encode())
        if stamp is None:
            return []
        run.phase, run.attempt = Phase.STARTING, piece.attempt + 1
        return [ProposalRequest("batches.start", Start(id, run.attempt, stamp), f"start {id}")]

    def go_on(self, now: int, id: str, run: Run, piece: Piece) -> None:
        """The next step, if its time has come.  After a pause one step may come early, not all."""
        if now < run.due or run.step >= piece.cut.steps:
            return
        if self.strained:
            self.paused += 1
            return
        pace = piece.cut.work // piece.cut.steps
        run.phase, run.due = Phase.OUT, max(run.due + pace, now)
        self.steps += 1
        self.port.send(id, run.step, piece.stamp)

    def end(self, id: str, run: Run, piece: Piece, how: str) -> list[ProposalRequest]:
        run.phase = Phase.ENDING
        step = run.step if run.attempt == piece.attempt and run.attempt else piece.step
        return [
            ProposalRequest(
                "batches.step", Step(id, piece.attempt, max(step, piece.step), how, run.why), f"end {id}"
            )
        ]

    # ---- what comes back ---------------------------------------------------------------------------

    def outcome(self, now: int, id: str, step: int, stamp: Stamp, outcome: str, why: str = "") -> None:
        """Of a step's RPC.  What is not idempotent goes out again only if it surely did not run."""
        run, piece = self.runs.get(id), self.part.pieces.all.get(id)
        if (
            run is None
            or piece is None
            or run.phase is not Phase.OUT
            or run.step != step
            or (piece.stamp != stamp)
        ):
            return
        run.phase = Phase.BETWEEN
        if outcome == "ok":
            run.step, run.back = step + 1, BACK
            if self.lease is not None and self.lease.remaining(now) and piece.state is State.RUNNING:
                self.go_on(now, id, run, piece)
        elif outcome == "not run" or outcome == "unknown" and piece.idempotent:
            run.due, run.back = max(run.due, now + run.back), min(2 * run.back, BACK_MOST)
        else:
            run.why = why or outcome

    def answered(self, tag: str, refused: bool | None) -> None:
        """What a proposal came to; `refused` None: nobody knows, it is proposed anew."""
        word, _, id = tag.partition(" ")
        run = self.runs.get(id)
        if run is None:
            return
        if refused is False:
            if word == "end":
                del self.runs[id]  # it may be given to us anew
            return
        if word == "start" and run.phase is Phase.STARTING:
            run.phase, run.attempt = Phase.HELD, run.attempt if refused is None else 0
        elif word == "end" and run.phase is Phase.ENDING:
            run.phase = Phase.BETWEEN if run.attempt else Phase.HELD
