"""Runs the pieces that a member holds: their RPCs at an even pace, pauses, checkpoints.  No I/O.

Which pieces it holds is in the state machine; no RPC is sent before the state machine has the start under
this member's stamp.  A member pauses its pieces without asking anybody, and stops without a lease, at the end
of a run, and at the latest time.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from ...net.clock import SECOND
from ..interfaces import ActionRecorder, ProposalRequest
from ..types import Lease, Stamp
from .part import Batches
from .rows import Checkpoint, Piece, Start, State

# A checkpoint is due after each sixteenth of the work, but not more often than the minimum interval. So a
# lost member costs a sixteenth of the work, and a member with eight pieces proposes at most four entries a
# second.
MIN_CHECKPOINT_INTERVAL, CHECKPOINTS_PER_PIECE = 2 * SECOND, 16
# Delay after an RPC that failed; doubled with each further failure, up to the maximum.
RETRY_DELAY = SECOND // 4
MAX_RETRY_DELAY = 10 * SECOND


class Phase(enum.Enum):
    """Phase of a piece on the member that holds it."""

    HELD = "held"  # assigned here, not started by this process
    STARTING = "starting"  # the start is proposed
    BETWEEN = "between"  # started, no RPC is out
    OUT = "out"  # the RPC of a step has no answer yet
    ENDING = "ending"  # the end is proposed


class Port(Protocol):
    """Sends the RPCs of steps.

    The outcome comes back to `Runner.outcome`: "ok", "not run", "unknown" or "refused".
    """

    def send(self, piece: str, step: int, stamp: Stamp) -> None:
        """Sends the RPC of a step under the stamp of the piece's start."""


@dataclass(slots=True)
class Run:
    """What this process knows of a piece that it holds."""

    phase: Phase = Phase.HELD
    attempt: int = 0  # the attempt that this process started; 0: none
    step: int = 0  # number of steps that are surely done
    due: int = 0  # when the next step may be sent, by the monotonic clock of this process
    retry_delay: int = RETRY_DELAY  # delay before the next retry
    checkpoint_at: int = 0  # when the last checkpoint was proposed
    why: str = ""  # why it can't go on and has to end as unclear


class Runner:
    """Runs the pieces that are assigned to this member."""

    def __init__(self, part: Batches, acts: ActionRecorder, port: Port) -> None:
        self.part = part
        self.acts = acts
        self.port = port
        self.runs: dict[str, Run] = {}
        self.steps = self.paused = 0  # steps sent; times that overload delayed a step
        self.lease: Lease | None = None  # as of the last turn, like `overloaded`
        self.overloaded = False

    def turn(
        self, now: int, time: int, lease: Lease | None, overloaded: bool, me: str, lanes: int
    ) -> list[ProposalRequest]:
        """Does one beat and returns the proposals of it; nothing is sent without a valid lease.

        `time`: fleet time.  `lanes`: how many pieces this member runs at a time.
        """
        self.lease, self.overloaded = lease, overloaded
        if lease is None or lease.remaining(now) <= 0 or not time:
            return []  # RPCs in progress end by themselves; nothing else is sent
        held = self.part.pieces.held.get((me, lease.incarnation), {})
        for id in [id for id in self.runs if id not in held]:
            del self.runs[id]
        requests = []
        for id in list(held):
            run = self.runs.setdefault(id, Run())
            piece = self.part.pieces.all[id]
            requests += self.run_piece(now, time, id, run, piece, lanes)
        return requests

    def run_piece(
        self, now: int, time: int, id: str, run: Run, piece: Piece, lanes: int
    ) -> list[ProposalRequest]:
        """Takes a piece as far as it can go in this beat; returns the proposals that it needs."""
        if run.phase in (Phase.OUT, Phase.ENDING):
            return []
        pace = piece.cut.work // piece.cut.steps
        in_run = any(begin <= time < end for begin, end in piece.placing.runs)
        out_of_time = time + pace > piece.cut.latest or not in_run and time >= piece.placing.runs[-1][1]
        if piece.state is State.GIVEN:
            if run.phase is Phase.STARTING:
                return []
            if out_of_time:
                return self.end(id, run, piece, "rests")
            if self.overloaded or not in_run or self.active_runs() >= lanes:
                return []
            return self.start(now, id, run, piece)
        if piece.state is not State.RUNNING:
            return []
        if run.attempt != piece.attempt:
            # Guards against a restart of this process while the RPC of a step may have been in progress.
            if not piece.idempotent:
                run.why = "its member knows nothing of it"
                return self.end(id, run, piece, "unclear")
            run.attempt, run.phase = piece.attempt, Phase.BETWEEN
            run.step = piece.step
        if run.phase in (Phase.STARTING, Phase.HELD):
            run.phase, run.step, run.due = Phase.BETWEEN, piece.step, now
            run.checkpoint_at = now
        if run.why:
            return self.end(id, run, piece, "unclear")
        if run.step == piece.cut.steps:
            return self.end(id, run, piece, "done")
        if out_of_time or not in_run:
            return self.end(id, run, piece, "rests")
        self.send_next_step(now, id, run, piece)
        if now - run.checkpoint_at >= max(MIN_CHECKPOINT_INTERVAL, piece.cut.work // CHECKPOINTS_PER_PIECE):
            run.checkpoint_at = now  # also without progress, as the plan depends on it
            return [ProposalRequest("batches.step", Checkpoint(id, run.attempt, run.step), f"step {id}")]
        return []

    def active_runs(self) -> int:
        """Returns how many pieces are started, or being started or ended."""
        return sum(run.phase is not Phase.HELD for run in self.runs.values())

    def start(self, now: int, id: str, run: Run, piece: Piece) -> list[ProposalRequest]:
        """Proposes the start of a piece under a new stamp; without a lease there is none."""
        stamp = self.acts.stamp(now, "batches.start", id.encode())
        if stamp is None:
            return []
        run.phase, run.attempt = Phase.STARTING, piece.attempt + 1
        return [ProposalRequest("batches.start", Start(id, run.attempt, stamp), f"start {id}")]

    def send_next_step(self, now: int, id: str, run: Run, piece: Piece) -> None:
        """Sends the next step if it is due.  After a pause one step may be early, not all."""
        if now < run.due or run.step >= piece.cut.steps:
            return
        if self.overloaded:
            self.paused += 1
            return
        pace = piece.cut.work // piece.cut.steps
        run.phase, run.due = Phase.OUT, max(run.due + pace, now)
        self.steps += 1
        self.port.send(id, run.step, piece.stamp)

    def end(self, id: str, run: Run, piece: Piece, end_kind: str) -> list[ProposalRequest]:
        """Proposes the end of the run."""
        run.phase = Phase.ENDING
        step = run.step if run.attempt == piece.attempt and run.attempt else piece.step
        return [
            ProposalRequest(
                "batches.step",
                Checkpoint(id, piece.attempt, max(step, piece.step), end_kind, run.why),
                f"end {id}",
            )
        ]

    # ---- answers -------------------------------------------------------------------------------------

    def outcome(self, now: int, id: str, step: int, stamp: Stamp, outcome: str, why: str = "") -> None:
        """Takes the outcome of a step's RPC.

        A step of a piece that is not idempotent is sent again only if it surely did not run.
        """
        run = self.runs.get(id)
        piece = self.part.pieces.all.get(id)
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
            run.step, run.retry_delay = step + 1, RETRY_DELAY
            if self.lease is not None and self.lease.remaining(now) and piece.state is State.RUNNING:
                self.send_next_step(now, id, run, piece)
        elif outcome == "not run" or outcome == "unknown" and piece.idempotent:
            run.due, run.retry_delay = (
                max(run.due, now + run.retry_delay),
                min(2 * run.retry_delay, MAX_RETRY_DELAY),
            )
        else:
            run.why = why or outcome

    def answered(self, tag: str, rejected: bool | None) -> None:
        """Takes the result of a proposal.

        `rejected` None: the result is unknown and the proposal is made again.
        """
        action, _, id = tag.partition(" ")
        run = self.runs.get(id)
        if run is None:
            return
        if rejected is False:
            if action == "end":
                del self.runs[id]  # the piece may be assigned to this member again
            return
        if action == "start" and run.phase is Phase.STARTING:
            run.phase, run.attempt = Phase.HELD, run.attempt if rejected is None else 0
        elif action == "end" and run.phase is Phase.ENDING:
            run.phase = Phase.BETWEEN if run.attempt else Phase.HELD
