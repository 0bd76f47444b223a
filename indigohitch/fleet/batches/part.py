"""The part `batches` of the state machine: contract, prices, batches, plan; `tasks` has the single pieces."""

from __future__ import annotations

import msgspec

from ...encoding.rows import Row, digest
from ...errors import InvalidRequestError
from ...net.clock import SECOND
from ..interfaces import EntryContext
from ..membership.roster import announce_change
from . import prices, rows
from .rows import (
    Assignment,
    Batch,
    Checkpoint,
    Contract,
    Expiry,
    InteractiveLoad,
    OperatorDecision,
    Piece,
    Placement,
    PlanChanges,
    Prices,
    Start,
    State,
)
from .tasks import Pieces

MAX_PIECES = 20_000  # pieces that have not ended; they take some MB of a snapshot
KEPT = 24 * 3600 * SECOND  # how long batches that have ended, and past prices, are kept
TENANT_SHARE = 2  # a tenant may have one part in this many of `MAX_PIECES`
REPLANNED = (State.WAITING, State.GIVEN, State.RUNNING)
TRY_LATER = "return when pieces of yours are done"


class SubmittedBatch(Row):
    """A submitted batch: its tenant, the digest of its body, how many pieces have not ended, and its end."""

    tenant: str
    digest: bytes
    left: int
    ended_at: int = 0


class BatchesRow(Row):
    """The part as it is encoded into a snapshot."""

    contract: Contract | None
    prices: Prices | None
    list_digest: bytes
    loads: dict[str, dict[int, int]]
    batches: dict[str, SubmittedBatch]
    pieces: dict[str, Piece]
    version: int
    ended: dict[str, int] = {}


class Batches:
    """The part of the state machine that holds all of batches; it changes only by `apply` and `restore`."""

    name = "batches"
    kinds = {
        "contract": Contract,
        "prices": Prices,
        "load": InteractiveLoad,
        "submit": Batch,
        "plan": PlanChanges,
        "give": Assignment,
        "start": Start,
        "step": Checkpoint,
        "late": Expiry,
        "word": OperatorDecision,
    }

    def __init__(self) -> None:
        self.state_machine = None
        self.set(BatchesRow(None, None, b"", {}, {}, {}, 0))

    def set(self, row: BatchesRow) -> None:
        """Replaces the whole state."""
        self.contract, self.prices, self.list_digest = row.contract, row.prices, row.list_digest
        self.loads, self.batches = row.loads, row.batches
        self.version = row.version  # index of the last entry that changed the plan
        self.pieces = Pieces(row.pieces, row.ended)

    def row(self) -> BatchesRow:
        """Returns the whole state, for a snapshot."""
        return BatchesRow(
            self.contract,
            self.prices,
            self.list_digest,
            self.loads,
            self.batches,
            dict(sorted(self.pieces.all.items())),
            self.version,
            self.pieces.ended,
        )

    def restore(self, row: bytes) -> None:
        """Replaces the whole state by that of an encoded snapshot."""
        self.set(msgspec.msgpack.decode(row, type=BatchesRow))

    def rpc(self, name: str) -> rows.BatchClass | None:
        """Returns the batch class of that name, None if the contract has none."""
        classes = self.contract.classes if self.contract is not None else ()
        return next((batch_class for batch_class in classes if batch_class.name == name), None)

    def apply(self, context: EntryContext, kind: str, body: Row) -> object:
        """Applies an entry; raises InvalidRequestError, with the state unchanged, if it is rejected."""
        match kind:
            case "contract":
                return self._apply_contract(context, body)
            case "prices":
                return self._apply_prices(context, body)
            case "load":
                return self._apply_load(context, body)
            case "submit":
                return self._apply_submit(context, body)
            case "plan":
                return self._apply_plan(context, body)
        result = self._apply_to_piece(context, kind, body)
        self._count_ended_pieces(context)
        return result

    def _apply_to_piece(self, context: EntryContext, kind: str, body: Row) -> object:
        match kind:
            case "give":
                return self.pieces.assign(context, body)
            case "start":
                return self.pieces.start(context, body)
            case "step":
                return self.pieces.step(context, body)
            case "late":
                return self.pieces.expire(context, body)
            case "word":
                return self.pieces.decide(context, body)
        raise ValueError(f"no word of this part: {kind}")

    def on_member_lease_expired(self, context: EntryContext, name: str, incarnation: int) -> None:
        """Takes the pieces of a member whose lease is over away from it."""
        self.pieces.gone(context, name, incarnation)

    def _count_ended_pieces(self, context: EntryContext) -> None:
        for id in self.pieces.newly_ended:
            batch = self.batches[self.pieces.all[id].batch]
            batch.left -= 1
            batch.ended_at = context.time
        self.pieces.newly_ended = {}

    def _apply_contract(self, context: EntryContext, body: Contract) -> int:
        if body == self.contract:
            return body.edition  # two successive leaders may propose the same contract
        if self.contract is not None and body.edition <= self.contract.edition:
            raise InvalidRequestError(
                f"edition {body.edition} of the contract; {self.contract.edition} stands",
                remedy="a changed contract has a higher edition",
            )
        self.contract = body
        announce_change(self.state_machine, context, "electricity")
        return body.edition

    def _apply_prices(self, context: EntryContext, body: Prices) -> int:
        prices.check(body, self.prices, self.list_digest, context.time)
        self.prices = prices.merge(body, self.prices, context.time - KEPT)
        self.list_digest = prices.fingerprint(body)
        announce_change(self.state_machine, context, "prices")
        return body.edition

    def _apply_load(self, context: EntryContext, body: InteractiveLoad) -> int:
        if not 0 <= body.hour < 24 or not 0 <= body.share <= 100:
            raise InvalidRequestError(f"hour {body.hour}, {body.share} per cent")
        hours = self.loads.setdefault(body.site, {})
        hours[body.hour] = body.share
        return body.share

    def _apply_submit(self, context: EntryContext, body: Batch) -> int:
        submitted, body_digest = self.batches.get(body.id), digest(msgspec.msgpack.encode(body))
        if submitted is not None:
            if submitted.digest == body_digest:
                return submitted.left  # a repeated submission has no further effect
            raise InvalidRequestError(
                f"batch {body.id} is another one", remedy="give each batch an id of its own"
            )
        rpc = self.rpc(body.rpc)
        if rpc is None:
            raise InvalidRequestError(
                f"no batch-class {body.rpc}", remedy="name one of the contract's classes"
            )
        for number, cut in enumerate(body.cuts):
            window = min(cut.latest - cut.earliest, cut.latest - context.time)
            if cut.work <= 0 or cut.steps <= 0 or window < cut.work:
                raise InvalidRequestError(
                    f"piece {number} of {body.id} can't be done between its times",
                    remedy="more time between earliest and latest, or less work a piece",
                )
        pieces_of_tenant = sum(batch.left for batch in self.batches.values() if batch.tenant == body.tenant)
        if not body.cuts or pieces_of_tenant + len(body.cuts) > MAX_PIECES // TENANT_SHARE:
            raise InvalidRequestError(
                f"{len(body.cuts)} pieces: {body.tenant} would hold over {MAX_PIECES // TENANT_SHARE}",
                remedy=TRY_LATER,
            )
        if len(self.pieces.open) + len(body.cuts) > MAX_PIECES:
            raise InvalidRequestError(f"{len(self.pieces.open)} pieces are held already", remedy=TRY_LATER)
        self._remove_old_batches(context.time)
        self.batches[body.id] = SubmittedBatch(body.tenant, body_digest, len(body.cuts))
        for number, cut in enumerate(body.cuts):
            id = f"{body.id}.{number}"
            self.pieces.add(id, Piece(body.id, body.rpc, rpc.idempotent, cut))
        return len(body.cuts)

    def _apply_plan(self, context: EntryContext, body: PlanChanges) -> int:
        if body.base != self.version:
            raise InvalidRequestError(f"a change of plan {body.base}; {self.version} stands")
        accepted = 0
        for id, placing in sorted(body.changes.items()):
            piece = self.pieces.all.get(id)
            if piece is None or piece.state not in REPLANNED or not self._is_allowed(context, piece, placing):
                continue  # impossible by now; the other changes still apply
            piece.placing, piece.version = placing, context.index
            accepted += 1
        if accepted:
            self.version = context.index
        return accepted

    def _is_allowed(self, context: EntryContext, piece: Piece, placing: Placement | None) -> bool:
        if placing is None:
            return piece.state is State.WAITING
        rpc, last_end = self.rpc(piece.rpc), 0
        for begin, end in placing.runs:
            if begin >= end or begin < last_end:
                return False
            last_end = end
        if not placing.runs or placing.runs[0][0] < piece.cut.earliest or last_end > piece.cut.latest:
            return False
        if rpc is None or placing.kind not in rpc.power or rpc.sites and placing.site not in rpc.sites:
            return False
        return piece.state is State.WAITING or (placing.site, placing.kind) == (  # a held piece stays there
            piece.placing.site,
            piece.placing.kind,
        )

    def _remove_old_batches(self, time: int) -> None:
        old = [id for id, batch in self.batches.items() if not batch.left and batch.ended_at < time - KEPT]
        if old:
            old_ids = set(old)
            for id in [id for id, piece in self.pieces.all.items() if piece.batch in old_ids]:
                del self.pieces.all[id]
            for id in old:
                del self.batches[id]
