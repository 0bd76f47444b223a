"""The part `batches` of the state machine: contract, prices, batches, the plan; `tasks` has each piece."""

from __future__ import annotations

import msgspec

from ...encoding.rows import Row, digest
from ...errors import InvalidRequestError
from ...net.clock import SECOND
from ..interfaces import EntryContext
from ..membership.roster import announce_change
from . import prices
from .rows import (
    Batch,
    Contract,
    Give,
    Late,
    Load,
    Piece,
    Placing,
    Plan,
    Prices,
    Start,
    State,
    Step,
    Word,
)
from .tasks import Pieces

MOST = 20_000  # pieces not over: some MB of a snapshot
KEPT = 24 * 3600 * SECOND  # what is over is told that long
TENANT = 2  # one tenant may hold one in so many of these places
REPLANNED = (State.WAITING, State.GIVEN, State.RUNNING)
AGAIN = "return when pieces of yours are done"


class Known(Row):
    """A batch: what it was, and how many of its pieces are not over."""

    tenant: str
    digest: bytes
    left: int
    over: int = 0


class BatchesRow(Row):
    contract: Contract | None
    prices: Prices | None
    list_digest: bytes
    loads: dict[str, dict[int, int]]
    batches: dict[str, Known]
    pieces: dict[str, Piece]
    version: int
    ended: dict[str, int] = {}


class Batches:
    name = "batches"
    kinds = {
        "contract": Contract,
        "prices": Prices,
        "load": Load,
        "submit": Batch,
        "plan": Plan,
        "give": Give,
        "start": Start,
        "step": Step,
        "late": Late,
        "word": Word,
    }

    def __init__(self) -> None:
        self.state_machine = None
        self.set(BatchesRow(None, None, b"", {}, {}, {}, 0))

    def set(self, row: BatchesRow) -> None:
        self.contract, self.prices, self.list_digest = row.contract, row.prices, row.list_digest
        self.loads, self.batches = row.loads, row.batches
        self.version = row.version  # entry of the plan that stands
        self.pieces = Pieces(row.pieces, row.ended)

    def row(self) -> BatchesRow:
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
        self.set(msgspec.msgpack.decode(row, type=BatchesRow))

    # ---- looked up ---------------------------------------------------------------------------------

    def rpc(self, name: str):
        """The class of that name, None if the contract has none."""
        known = self.contract.classes if self.contract is not None else ()
        return next((one for one in known if one.name == name), None)

    # ---- entries -----------------------------------------------------------------------------------

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        """Raises Unfit, before anything has changed."""
        match word:
            case "contract":
                return self.on_contract(at, body)
            case "prices":
                return self.on_prices(at, body)
            case "load":
                return self.on_load(at, body)
            case "submit":
                return self.on_submit(at, body)
            case "plan":
                return self.on_plan(at, body)
        told = self.of_piece(at, word, body)
        self.settle(at)
        return told

    def of_piece(self, at: EntryContext, word: str, body: Row) -> object:
        """Entries of one piece, in pieces.py."""
        match word:
            case "give":
                return self.pieces.give(at, body)
            case "start":
                return self.pieces.start(at, body)
            case "step":
                return self.pieces.step(at, body)
            case "late":
                return self.pieces.late(at, body)
            case "word":
                return self.pieces.word(at, body)
        raise ValueError(f"no word of this part: {word}")

    def on_member_lease_expired(self, at: EntryContext, name: str, incarnation: int) -> None:
        self.pieces.gone(at, name, incarnation)

    def settle(self, at: EntryContext) -> None:
        """Batches whose last piece has come to its end are told for a while."""
        for id in self.pieces.over:
            batch = self.batches[self.pieces.all[id].batch]
            batch.left -= 1
            batch.over = at.time
        self.pieces.over = {}

    def on_contract(self, at: EntryContext, body: Contract) -> int:
        if body == self.contract:
            return body.edition  # told by two leaders, one after the other
        if self.contract is not None and body.edition <= self.contract.edition:
            raise InvalidRequestError(
                f"edition {body.edition} of the contract; {self.contract.edition} stands",
                remedy="a changed contract has a higher edition",
            )
        self.contract = body
        announce_change(self.state_machine, at, "electricity")
        return body.edition

    def on_prices(self, at: EntryContext, body: Prices) -> int:
        prices.check(body, self.prices, self.list_digest, at.time)
        self.prices = prices.merged(body, self.prices, at.time - KEPT)
        self.list_digest = prices.fingerprint(body)
        announce_change(self.state_machine, at, "prices")
        return body.edition

    def on_load(self, at: EntryContext, body: Load) -> int:
        if not 0 <= body.hour < 24 or not 0 <= body.share <= 100:
            raise InvalidRequestError(f"hour {body.hour}, {body.share} per cent")
        hours = self.loads.setdefault(body.site, {})
        hours[body.hour] = body.share
        return body.share

    def on_submit(self, at: EntryContext, body: Batch) -> int:
        known, stamp = self.batches.get(body.id), digest(msgspec.msgpack.encode(body))
        if known is not None:
            if known.digest == stamp:
                return known.left  # asked twice: once is enough
            raise InvalidRequestError(
                f"batch {body.id} is another one", remedy="give each batch an id of its own"
            )
        rpc = self.rpc(body.rpc)
        if rpc is None:
            raise InvalidRequestError(
                f"no batch-class {body.rpc}", remedy="name one of the contract's classes"
            )
        for number, cut in enumerate(body.cuts):
            wide = min(cut.latest - cut.earliest, cut.latest - at.time)
            if cut.work <= 0 or cut.steps <= 0 or wide < cut.work:
                raise InvalidRequestError(
                    f"piece {number} of {body.id} can't be done between its times",
                    remedy="more time between earliest and latest, or less work a piece",
                )
        mine = sum(batch.left for batch in self.batches.values() if batch.tenant == body.tenant)
        if not body.cuts or mine + len(body.cuts) > MOST // TENANT:
            raise InvalidRequestError(
                f"{len(body.cuts)} pieces: {body.tenant} would hold over {MOST // TENANT}", remedy=AGAIN
            )
        if len(self.pieces.open) + len(body.cuts) > MOST:
            raise InvalidRequestError(f"{len(self.pieces.open)} pieces are held already", remedy=AGAIN)
        self.forget(at.time)
        self.batches[body.id] = Known(body.tenant, stamp, len(body.cuts))
        for number, cut in enumerate(body.cuts):
            id = f"{body.id}.{number}"
            self.pieces.add(id, Piece(body.id, body.rpc, rpc.idempotent, cut))
        return len(body.cuts)

    def on_plan(self, at: EntryContext, body: Plan) -> int:
        """Only on the plan that stands; a change that has become impossible is left out, the others stand."""
        if body.base != self.version:
            raise InvalidRequestError(f"a change of plan {body.base}; {self.version} stands")
        taken = 0
        for id, placing in sorted(body.changes.items()):
            piece = self.pieces.all.get(id)
            if piece is None or piece.state not in REPLANNED or not self.allowed(at, piece, placing):
                continue
            piece.placing, piece.version = placing, at.index
            taken += 1
        if taken:
            self.version = at.index
        return taken

    def allowed(self, at: EntryContext, piece: Piece, placing: Placing | None) -> bool:
        """Within its times, and where its class may run; one that is held stays where it is."""
        if placing is None:
            return piece.state is State.WAITING
        rpc, before = self.rpc(piece.rpc), 0
        for begin, end in placing.runs:
            if begin >= end or begin < before:
                return False
            before = end
        if not placing.runs or placing.runs[0][0] < piece.cut.earliest or before > piece.cut.latest:
            return False
        if rpc is None or placing.kind not in rpc.power or rpc.sites and placing.site not in rpc.sites:
            return False
        return piece.state is State.WAITING or (placing.site, placing.kind) == (
            piece.placing.site,
            piece.placing.kind,
        )

    def forget(self, time: int) -> None:
        old = [id for id, batch in self.batches.items() if not batch.left and batch.over < time - KEPT]
        if old:
            gone = set(old)
            for id in [id for id, piece in self.pieces.all.items() if piece.batch in gone]:
                del self.pieces.all[id]
            for id in old:
                del self.batches[id]
