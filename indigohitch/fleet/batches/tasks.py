"""The pieces and who holds each: given, started under one stamp, done, unclear.  Deterministic.

A piece is free again only when its holder gave it back, or surely holds nothing any more.  What is not
idempotent and may have run is held as unclear; only an operator's word frees it."""

from __future__ import annotations

from ...errors import InvalidRequestError
from ..interfaces import EntryContext
from .rows import OVER, Give, Late, Piece, Start, State, Step, Word


class Pieces:
    def __init__(self, all: dict[str, Piece], ended: dict[str, int]) -> None:
        self.all = all
        self.ended = ended  # by member: its last incarnation that holds nothing any more
        self.over: dict[str, None] = {}  # since who owns this looked last
        # For looking up; no part of the state.
        self.open: dict[str, None] = {}
        self.held: dict[tuple[str, int], dict[str, None]] = {}
        for id, piece in sorted(all.items()):
            if piece.state not in OVER:
                self.open[id] = None
            if piece.member:
                self.held.setdefault((piece.member, piece.incarnation), {})[id] = None

    def add(self, id: str, piece: Piece) -> None:
        self.all[id] = piece
        self.open[id] = None

    def one(self, id: str) -> Piece:
        if id not in self.all:
            raise InvalidRequestError(f"no piece {id}", remedy="`status` lists the pieces")
        return self.all[id]

    def counts(self) -> dict[str, int]:
        counts = {state.value: 0 for state in State}
        for piece in self.all.values():
            counts[piece.state.value] += 1
        return counts

    # ---- entries -----------------------------------------------------------------------------------

    def give(self, at: EntryContext, body: Give) -> int:
        piece = self.one(body.piece)
        if piece.state is not State.WAITING or piece.placing is None:
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}")
        if at.time >= piece.cut.latest:
            raise InvalidRequestError(f"{body.piece}: its latest time has come")
        if body.incarnation <= self.ended.get(body.member, 0):  # nobody would ever free it again
            raise InvalidRequestError(f"{body.member} {body.incarnation} is gone")
        piece.state = State.GIVEN
        self.hold(body.piece, piece, body.member, body.incarnation)
        return piece.attempt

    def start(self, at: EntryContext, body: Start) -> int:
        piece = self.one(body.piece)
        self.own(at, body.piece, piece)
        if piece.state is not State.GIVEN or body.attempt != piece.attempt + 1:
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}, started {piece.attempt} times")
        if at.time >= piece.cut.latest:
            raise InvalidRequestError(f"{body.piece}: its latest time has come")
        piece.state, piece.attempt, piece.stamp = State.RUNNING, body.attempt, body.stamp
        piece.since = at.time
        return piece.step

    def step(self, at: EntryContext, body: Step) -> int:
        piece = self.one(body.piece)
        self.own(at, body.piece, piece)
        given_back = piece.state is State.GIVEN and body.end == "rests" and body.step == piece.step
        if not given_back and (piece.state is not State.RUNNING or body.attempt != piece.attempt):
            raise InvalidRequestError(f"{body.piece} is {piece.state.value}, started {piece.attempt} times")
        if not piece.step <= body.step <= piece.cut.steps or body.end not in ("", "rests", "done", "unclear"):
            raise InvalidRequestError(
                f"{body.piece}: step {body.step} {body.end} after {piece.step} of {piece.cut.steps}"
            )
        if (body.end == "done") != (body.step == piece.cut.steps):
            raise InvalidRequestError(
                f"{body.piece}: {body.end or 'goes on'} at step {body.step} of {piece.cut.steps}"
            )
        piece.step, piece.since = body.step, at.time
        if body.end == "rests":
            self.free(body.piece, piece, State.MISSED if at.time >= piece.cut.latest else State.WAITING, at)
        elif body.end:
            self.free(
                body.piece,
                piece,
                State.DONE if body.end == "done" else State.UNCLEAR,
                at,
                "" if body.end == "done" else f"step {body.step}: {body.why}",
            )
        return piece.step

    def late(self, at: EntryContext, body: Late) -> int:
        """What a member has started is not touched: it ends by itself, or with that member."""
        late = [
            id
            for id in body.pieces
            if (piece := self.all.get(id)) is not None
            and piece.state in (State.WAITING, State.GIVEN)
            and at.time >= piece.cut.latest
        ]
        for id in late:
            self.free(id, self.all[id], State.MISSED, at)
        return len(late)

    def word(self, at: EntryContext, body: Word) -> str:
        piece = self.one(body.piece)
        if piece.state is not State.UNCLEAR and not (body.word == "drop" and piece.state is State.WAITING):
            raise InvalidRequestError(
                f"{body.piece} is {piece.state.value}", remedy="a word is wanted of unclear pieces only"
            )
        if body.word == "from" and piece.step <= body.step < piece.cut.steps:
            piece.step = body.step
            self.free(body.piece, piece, State.MISSED if at.time >= piece.cut.latest else State.WAITING, at)
        elif body.word in ("done", "drop"):
            piece.step = piece.cut.steps if body.word == "done" else piece.step
            self.free(body.piece, piece, State.DONE if body.word == "done" else State.DROPPED, at)
        else:
            raise InvalidRequestError(
                f"{body.word!r} {body.step}",
                remedy=f"from STEP ({piece.step} to {piece.cut.steps - 1}), done or drop",
            )
        return piece.state.value

    def gone(self, at: EntryContext, name: str, incarnation: int) -> None:
        self.ended[name] = max(incarnation, self.ended.get(name, 0))
        for id in sorted(self.held.get((name, incarnation), ())):
            piece = self.all[id]
            unclear = piece.state is State.RUNNING and not piece.idempotent
            self.free(
                id,
                piece,
                State.UNCLEAR if unclear else State.WAITING,
                at,
                f"{name} was lost at step {piece.step} or later" if unclear else "",
            )

    # ---- one piece ---------------------------------------------------------------------------------

    @staticmethod
    def own(at: EntryContext, id: str, piece: Piece) -> None:
        """Guards against a holder that was given up: what it says then comes too late."""
        if (piece.member, piece.incarnation) != (at.proposer, at.incarnation):
            raise InvalidRequestError(f"{id} is not held by {at.proposer} {at.incarnation}")

    def hold(self, id: str, piece: Piece, member: str, incarnation: int) -> None:
        piece.member, piece.incarnation = member, incarnation
        self.held.setdefault((member, incarnation), {})[id] = None

    def free(self, id: str, piece: Piece, state: State, at: EntryContext, why: str = "") -> None:
        if piece.member:
            mine = self.held[piece.member, piece.incarnation]
            del mine[id]
            if not mine:
                del self.held[piece.member, piece.incarnation]
        piece.member, piece.incarnation, piece.state, piece.why = "", 0, state, why
        if state in OVER:
            piece.over, piece.placing = at.time, None
            del self.open[id]
            self.over[id] = None
