"""What the state machine holds of batches, and the bodies of their entries.  Shapes only.

Times are fleet time, Unix time in tenths of a ms; spans in tenths of a ms.  Prices are whole thousandths of a
cent for a kWh, power is in watts.  A piece's id is its batch's and its place in it: `dunning-7.12`."""

from __future__ import annotations

import enum

from ...encoding.rows import Row
from ..types import Stamp

# ---- the contract: a version of it is an entry ------------------------------------------------------


class Band(Row, frozen=True):
    """On days of these kinds, from `begin` to before `end` of the local day (spans since midnight on its
    clock): that price.  The first band that fits counts."""

    days: tuple[str, ...]  # of contract.DAYS; empty: any
    begin: int
    end: int
    price: int


class Site(Row, frozen=True):
    name: str
    zone: str  # as zoneinfo knows it
    holidays: str  # country, or country-subdivision, as the library knows it; "": none
    lanes: dict[str, int]  # by kind of node: RPCs at a time that its nodes carry, interactive ones first
    bands: tuple[Band, ...]
    peak: int = 0  # contracted, watts of batches; 0: none
    surcharge: int = 0  # for a kWh over it


class BatchClass(Row, frozen=True):
    """Of a low-worth RPC class: how its pieces run."""

    name: str
    idempotent: bool
    path: str  # of its RPCs; `{piece}` and `{step}` are filled in
    power: dict[str, int]  # by kind of node; it runs on no other
    pause: int = 0  # what a pause costs, thousandths of a cent
    seats: dict[str, int] = {}  # by feature
    sites: tuple[str, ...] = ()  # empty: any


class Contract(Row, frozen=True):
    edition: int
    slot: int  # the plan's grain
    sites: tuple[Site, ...]
    classes: tuple[BatchClass, ...]


class Prices(Row, frozen=True):
    """Dated prices: they go before the bands for the slots that they name."""

    edition: int
    each: int  # how long one holds
    sites: dict[str, dict[int, int]]  # by site: start, price


class Load(Row, frozen=True):
    """What the interactive RPCs take of a site's lanes, in per cent, by hour of the local day."""

    site: str
    hour: int
    share: int


# ---- batches ---------------------------------------------------------------------------------------


class Cut(Row, frozen=True):
    """A piece as its tenant wants it: `work` is how long its `steps` RPCs take at their pace."""

    earliest: int
    latest: int
    work: int
    steps: int


class Batch(Row, frozen=True):
    id: str
    tenant: str
    rpc: str  # a `BatchClass`
    cuts: tuple[Cut, ...]


class State(enum.Enum):
    WAITING = "waiting"
    GIVEN = "given"  # to a member that has not started it
    RUNNING = "running"
    DONE = "done"
    UNCLEAR = "unclear"  # may have run: an operator's word decides
    MISSED = "missed"  # its latest time came first
    DROPPED = "dropped"  # by an operator


OVER = (State.DONE, State.MISSED, State.DROPPED)


class Placing(Row, frozen=True):
    """Where and when a piece is planned to run: `runs` are (from, to), in order, apart."""

    site: str
    kind: str
    runs: tuple[tuple[int, int], ...]


class Piece(Row):
    """In the state.  `step`: as many of its steps are surely done; `attempt`: how often it was started."""

    batch: str
    rpc: str
    idempotent: bool
    cut: Cut
    state: State = State.WAITING
    step: int = 0
    placing: Placing | None = None
    version: int = 0  # entry that planned it so
    member: str = ""
    incarnation: int = 0
    attempt: int = 0
    stamp: Stamp | None = None  # of the last start
    over: int = 0  # when it came to its end
    why: str = ""
    since: int = 0  # when `step` was told, or it was started


# ---- entries of a piece ----------------------------------------------------------------------------


class Plan(Row, frozen=True):
    """Changes of the plan that stands at entry `base`: None takes a piece out of it."""

    base: int
    changes: dict[str, Placing | None]


class Give(Row, frozen=True):
    piece: str
    member: str
    incarnation: int


class Start(Row, frozen=True):
    piece: str
    attempt: int
    stamp: Stamp


class Step(Row, frozen=True):
    """A checkpoint: so many steps are surely done; `end`: "" goes on, "rests" gives the piece back, "done",
    "unclear": of step `step` it is not known whether it ran, `why`."""

    piece: str
    attempt: int
    step: int
    end: str = ""
    why: str = ""


class Late(Row, frozen=True):
    """The latest times of these have come."""

    pieces: tuple[str, ...]


class Word(Row, frozen=True):
    """An operator's word on a piece that is unclear: "from" goes on with step `step` (all before it did run,
    it did not), "done", or "drop".  "drop" is heard of one that waits, too."""

    piece: str
    word: str
    step: int = 0
