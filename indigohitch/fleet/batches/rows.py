"""Rows of batches: the part of the state machine and the bodies of its log entries.

Times are fleet time, Unix time in tenths of a ms; spans are in tenths of a ms.  Prices are integers in
thousandths of a cent per kWh, power is in watts.  A piece's id is its batch's id and its index there:
`dunning-7.12`.
"""

from __future__ import annotations

import enum

from ...encoding.rows import Row
from ..types import Stamp

# ---- contract and prices: each edition is an entry ---------------------------------------------------


class Band(Row, frozen=True):
    """The price on days of these kinds, from `begin` to before `end` of the local day.

    Both are spans since midnight by the local clock.  The first band that matches counts.
    """

    days: tuple[str, ...]  # kinds of day, of tariffs.DAYS; empty: any
    begin: int
    end: int
    price: int


class Site(Row, frozen=True):
    """A place with nodes that run batches: its local time, capacity and prices."""

    name: str
    zone: str  # time zone name of the IANA database
    holidays: str  # country or country-subdivision of the library `holidays`; "": none
    lanes: dict[str, int]  # by kind of node: concurrent RPCs; interactive ones take precedence
    bands: tuple[Band, ...]
    peak: int = 0  # contracted power for batches, watts; 0: no limit
    surcharge: int = 0  # per kWh above the peak


class BatchClass(Row, frozen=True):
    """How the pieces of a low-priority RPC class run; `name` is the name of that class."""

    name: str
    idempotent: bool
    path: str  # of its RPCs; `{piece}` and `{step}` are replaced by id and number
    power: dict[str, int]  # watts by kind of node; it runs on no other kind
    pause: int = 0  # cost of a pause, thousandths of a cent
    seats: dict[str, int] = {}  # seats in use while a piece runs, by feature
    sites: tuple[str, ...] = ()  # empty: any


class Contract(Row, frozen=True):
    """The electricity contract of the fleet: its sites and classes of batches."""

    edition: int
    slot: int  # unit of time of the plan
    sites: tuple[Site, ...]
    classes: tuple[BatchClass, ...]


class Prices(Row, frozen=True):
    """Dated prices, which take precedence over the bands in the time that they cover."""

    edition: int
    each: int  # how long a price is valid
    sites: dict[str, dict[int, int]]  # by site: price by start


class InteractiveLoad(Row, frozen=True):
    """The share of a site's lanes that interactive RPCs use, in per cent, in an hour of the local day."""

    site: str
    hour: int
    share: int


# ---- batches -----------------------------------------------------------------------------------------


class PieceSpec(Row, frozen=True):
    """A piece as its tenant submits it.

    It may run from `earliest` to `latest`; its `steps` RPCs, sent at an even pace, take `work` altogether.
    """

    earliest: int
    latest: int
    work: int
    steps: int


class Batch(Row, frozen=True):
    """A batch as its tenant submits it."""

    id: str
    tenant: str
    rpc: str  # name of a `BatchClass`
    cuts: tuple[PieceSpec, ...]


class State(enum.Enum):
    """State of a piece."""

    WAITING = "waiting"
    GIVEN = "given"  # assigned to a member that has not started it
    RUNNING = "running"
    DONE = "done"
    UNCLEAR = "unclear"  # a step may have run: an operator decides
    MISSED = "missed"  # its latest time passed before it was done
    DROPPED = "dropped"  # cancelled by an operator


ENDED_STATES = (State.DONE, State.MISSED, State.DROPPED)


class Placement(Row, frozen=True):
    """Where and when a piece is planned to run: `runs` are (begin, end), in order and disjoint."""

    site: str
    kind: str
    runs: tuple[tuple[int, int], ...]


class Piece(Row):
    """A piece in the state machine.

    `step` is the number of its steps that are surely done, `attempt` how often it was started, `why` the
    reason for which it is unclear.
    """

    batch: str
    rpc: str
    idempotent: bool
    cut: PieceSpec
    state: State = State.WAITING
    step: int = 0
    placing: Placement | None = None
    version: int = 0  # index of the entry that planned it
    member: str = ""
    incarnation: int = 0
    attempt: int = 0
    stamp: Stamp | None = None  # of the last start
    ended_at: int = 0  # when it was done, missed or dropped
    why: str = ""
    progress_at: int = 0  # when it was started or `step` was reported last


# ---- plan, and entries of single pieces --------------------------------------------------------------


class PlanChanges(Row, frozen=True):
    """Changes of the plan that entry `base` has made; None removes a piece from the plan."""

    base: int
    changes: dict[str, Placement | None]


class Assignment(Row, frozen=True):
    """Assigns a piece to a member."""

    piece: str
    member: str
    incarnation: int


class Start(Row, frozen=True):
    """The member starts the piece that it was assigned."""

    piece: str
    attempt: int
    stamp: Stamp


class Checkpoint(Row, frozen=True):
    """A checkpoint of a running piece: this number of steps are surely done.

    `end` is "" if it goes on, "rests" if the member gives the piece back, "done", or "unclear" if it is not
    known whether step `step` ran, because of `why`.
    """

    piece: str
    attempt: int
    step: int
    end: str = ""
    why: str = ""


class Expiry(Row, frozen=True):
    """Ends pieces that have not started by their latest time."""

    pieces: tuple[str, ...]


class OperatorDecision(Row, frozen=True):
    """An operator's decision about an unclear piece.

    "from" continues with step `step`, as all before it ran and it did not; "done" and "drop" end the piece.
    "drop" is also accepted for a piece that waits.
    """

    piece: str
    word: str
    step: int = 0
