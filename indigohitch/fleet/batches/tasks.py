"""The pieces and their holders: assigned, started under one stamp, done, unclear.  Deterministic.

A piece can be assigned again only when its holder has given it back, or has surely lost its lease.  A piece
that is not idempotent and may have run stays unclear until an operator decides.
"""

from __future__ import annotations

from ...errors import InvalidRequestError
from ..interfaces import EntryContext
from .rows import ENDED_STATES, Assignment, Checkpoint, Expiry, OperatorDecision, Piece, Start, State


class Pieces:
    """All pieces by id, with the entries that change them."""

    def __init__(self, all: dict[str, Piece], ended: dict[str, int]) -> None:
        self.all = all
        self.ended = ended  # by member: its last incarnation whose lease has expired
        self.newly_ended: dict[str, None] = {}  # pieces that ended since the owner last cleared this
        # Indexes, which are not part of the state: pieces that have not ended, and pieces by holder.
        self.open: dict[str, None] = {}
        self.held: dict[tuple[str, int], dict[str, None]] = {}
        for id, piece in sorted(all.items()):
            if piece.state not in ENDED_STATES:
                self.open[id] = None
            if piece.member:
                self.held.setdefault((piece.member, piece.incarnation), {})[id] = None

    def add(self, id: str, piece: Piece) -> None:
        """Adds a new piece."""
        self.all[id] = piece
        self.open[id] = None

    def get(self, id: str) -> Piece:
        """Returns the piece.

        Raises:
            InvalidRequestError: there is none with this id.
        """
        if id not in self.all:
            raise InvalidRequestError(f"no piece {id}", remedy="`status` lists the pieces")
        return self.all[id]

    def counts(self) -> dict[str, int]:
        """Returns how many pieces are in each state, by the state's value."""
        counts = {state.value: 0 for state in State}
        for piece in self.all.values():
            counts[piece.state.value] += 1
        return counts

    # ---- entries -------------------------------------------------------------------------------------

    def assign(self, context: EntryContext, body: Assignment) -> int:
        """Assigns a waiting, planned piece to a member; returns how often it was started before."""
        piece = self.get(body.piece)
        if piece.state is not State.WAITING or piece.placing is None:
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}")
        if context.time >= piece.cut.latest:
            raise InvalidRequestError(f"{body.piece}: its latest time has come")
        # A piece assigned to an incarnation that has expired already would never be freed again.
        if body.incarnation <= self.ended.get(body.member, 0):
            raise InvalidRequestError(f"{body.member} {body.incarnation} is gone")
        piece.state = State.GIVEN
        self.set_holder(body.piece, piece, body.member, body.incarnation)
        return piece.attempt

    def start(self, context: EntryContext, body: Start) -> int:
        """Records that the holder starts the piece; returns the number of steps that are done."""
        piece = self.get(body.piece)
        self.check_holder(context, body.piece, piece)
        if piece.state is not State.GIVEN or body.attempt != piece.attempt + 1:
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}, started {piece.attempt} times")
        if context.time >= piece.cut.latest:
            raise InvalidRequestError(f"{body.piece}: its latest time has come")
        piece.state, piece.attempt, piece.stamp = State.RUNNING, body.attempt, body.stamp
        piece.progress_at = context.time
        return piece.step

    def step(self, context: EntryContext, body: Checkpoint) -> int:
        """Records a checkpoint or the end of a run; returns the number of steps that are done."""
        piece = self.get(body.piece)
        self.check_holder(context, body.piece, piece)
        returned_unstarted = piece.state is State.GIVEN and body.end == "rests" and body.step == piece.step
        if not returned_unstarted and (piece.state is not State.RUNNING or body.attempt != piece.attempt):
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}, started {piece.attempt} times")
        if not piece.step <= body.step <= piece.cut.steps or body.end not in ("", "rests", "done", "unclear"):
            raise InvalidRequestError(
                f"{body.piece}: step {body.step} {body.end} after {piece.step} of {piece.cut.steps}"
            )
        if (body.end == "done") != (body.step == piece.cut.steps):
            raise InvalidRequestError(
                f"{body.piece}: {body.end or 'goes on'} at step {body.step} of {piece.cut.steps}"
            )
        piece.step, piece.progress_at = body.step, context.time
        if body.end == "rests":
            self.free(
                body.piece,
                piece,
                State.MISSED if context.time >= piece.cut.latest else State.WAITING,
                context,
            )
        elif body.end:
            self.free(
                body.piece,
                piece,
                State.DONE if body.end == "done" else State.UNCLEAR,
                context,
                "" if body.end == "done" else f"step {body.step}: {body.why}",
            )
        return piece.step

    def expire(self, context: EntryContext, body: Expiry) -> int:
        """Ends pieces that have not started by their latest time; returns how many.

        A started piece is left alone: its holder ends it, or it ends with that member.
        """
        expired = [
            id
            for id in body.pieces
            if (piece := self.all.get(id)) is not None
            and piece.state in (State.WAITING, State.GIVEN)
            and context.time >= piece.cut.latest
        ]
        for id in expired:
            self.free(id, self.all[id], State.MISSED, context)
        return len(expired)

    def decide(self, context: EntryContext, body: OperatorDecision) -> str:
        """Applies an operator's decision; returns the value of the new state."""
        piece = self.get(body.piece)
        if piece.state is not State.UNCLEAR and not (body.word == "drop" and piece.state is State.WAITING):
            raise InvalidRequestError(
                f"{body.piece} is {piece.state.value}", remedy="a word is wanted of unclear pieces only"
            )
        if body.word == "from" and piece.step <= body.step < piece.cut.steps:
            piece.step = body.step
            self.free(
                body.piece,
                piece,
                State.MISSED if context.time >= piece.cut.latest else State.WAITING,
                context,
            )
        elif body.word in ("done", "drop"):
            piece.step = piece.cut.steps if body.word == "done" else piece.step
            self.free(body.piece, piece, State.DONE if body.word == "done" else State.DROPPED, context)
        else:
            raise InvalidRequestError(
                f"{body.word!r} {body.step}",
                remedy=f"from STEP ({piece.step} to {piece.cut.steps - 1}), done or drop",
            )
        return piece.state.value

    def gone(self, context: EntryContext, name: str, incarnation: int) -> None:
        """Takes the pieces of a member whose lease is over away from it.

        A running piece that is not idempotent becomes unclear, any other waits again.
        """
        self.ended[name] = max(incarnation, self.ended.get(name, 0))
        for id in sorted(self.held.get((name, incarnation), ())):
            piece = self.all[id]
            unclear = piece.state is State.RUNNING and not piece.idempotent
            self.free(
                id,
                piece,
                State.UNCLEAR if unclear else State.WAITING,
                context,
                f"{name} was lost at step {piece.step} or later" if unclear else "",
            )

    # ---- one piece -----------------------------------------------------------------------------------

    @staticmethod
    def check_holder(context: EntryContext, id: str, piece: Piece) -> None:
        """Rejects entries of a former holder that arrive after the piece was taken from it.

        Raises:
            InvalidRequestError: the proposer does not hold the piece.
        """
        if (piece.member, piece.incarnation) != (context.proposer, context.incarnation):
            raise InvalidRequestError(f"{id} is not held by {context.proposer} {context.incarnation}")

    def set_holder(self, id: str, piece: Piece, member: str, incarnation: int) -> None:
        """Records the member that holds the piece."""
        piece.member, piece.incarnation = member, incarnation
        self.held.setdefault((member, incarnation), {})[id] = None

    def free(self, id: str, piece: Piece, state: State, context: EntryContext, why: str = "") -> None:
        """Takes the piece from its holder, if any, and sets its state and the reason."""
        if piece.member:
            held = self.held[piece.member, piece.incarnation]
            del held[id]
            if not held:
                del self.held[piece.member, piece.incarnation]
        piece.member, piece.incarnation, piece.state, piece.why = "", 0, state, why
        if state in ENDED_STATES:
            piece.ended_at, piece.placing = context.time, None
            del self.open[id]
            self.newly_ended[id] = None
