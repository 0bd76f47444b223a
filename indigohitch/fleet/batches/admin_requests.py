"""What people say of batches, in the state's terms: the contract of a file, a batch over the control socket.
No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ...config.batches import BatchesText
from ...config.words import name, span
from ...errors import InvalidRequestError
from .prices import moment
from .rows import Band, Batch, BatchClass, Contract, Cut, Site, Word

FORM = (
    '{"id": "dunning-7", "tenant": "whk", "class": "dunning", "pieces": [{"earliest": '
    '"2026-12-02T18:00+01:00", "latest": "2026-12-03T06:00+01:00", "work": "40m", "steps": 200}]}'
)


def contract_of(text: BatchesText, edition: int) -> Contract | None:
    """None where the file contracts nothing."""
    if not text.sites:
        return None
    sites = tuple(
        Site(
            site.name,
            site.zone,
            site.holidays,
            dict(sorted(site.lanes.items())),
            tuple(Band(band.days, band.begin, band.end, band.price) for band in site.bands),
            site.peak,
            site.surcharge,
        )
        for _, site in sorted(text.sites.items())
    )
    classes = tuple(
        BatchClass(
            one.name,
            one.idempotent,
            one.path,
            dict(sorted(one.power.items())),
            one.pause,
            dict(sorted(one.seats.items())),
            one.sites,
        )
        for _, one in sorted(text.classes.items())
    )
    return Contract(edition, text.slot, sites, classes)


def batch_of(told: object) -> Batch:
    """Raises Unfit; `FORM` shows the shape."""
    try:
        pieces = told["pieces"]
        if not isinstance(pieces, list):
            raise ValueError("pieces: a list is wanted")
        return Batch(
            name(told["id"]),
            name(told["tenant"]),
            name(told["class"]),
            tuple(cut_of(number, piece) for number, piece in enumerate(pieces)),
        )
    except InvalidRequestError:
        raise
    except (KeyError, TypeError, ValueError) as bad:
        what = f"{bad.args[0]} is missing" if isinstance(bad, KeyError) else str(bad)
        raise InvalidRequestError(f"no batch: {what}", remedy=f"a batch looks like {FORM}") from None


def cut_of(number: int, piece: Mapping) -> Cut:
    try:
        steps = piece["steps"]
        if not isinstance(steps, int) or isinstance(steps, bool):
            raise ValueError("steps: a whole number is wanted")
        return Cut(moment(piece["earliest"]), moment(piece["latest"]), span(piece["work"]), steps)
    except (InvalidRequestError, KeyError, TypeError, ValueError) as bad:
        what = (
            f"{bad.args[0]} is missing"
            if isinstance(bad, KeyError)
            else (bad.problem if isinstance(bad, InvalidRequestError) else str(bad))
        )
        raise InvalidRequestError(f"piece {number}: {what}", remedy=f"a batch looks like {FORM}") from None


def word_of(text: str) -> Word:
    """`dunning-7.12 from 80`, `dunning-7.12 done` or `dunning-7.12 drop`.  Raises Unfit."""
    parts = text.split()
    if len(parts) == 3 and parts[1] == "from" and parts[2].isdecimal():
        return Word(parts[0], "from", int(parts[2]))
    if len(parts) == 2 and parts[1] in ("done", "drop"):
        return Word(*parts)
    raise InvalidRequestError(
        f"{text!r} is no word on a piece", remedy="PIECE from STEP, PIECE done or PIECE drop"
    )
