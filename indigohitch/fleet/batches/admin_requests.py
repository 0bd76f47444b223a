"""Converts an operator's file and requests on the control socket to rows of the state machine.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ...config.batches import BatchesText
from ...config.words import name, span
from ...errors import InvalidRequestError
from .prices import parse_time
from .rows import Band, Batch, BatchClass, Contract, OperatorDecision, PieceSpec, Site

FORM = (
    '{"id": "dunning-7", "tenant": "whk", "class": "dunning", "pieces": [{"earliest": '
    '"2026-12-02T18:00+01:00", "latest": "2026-12-03T06:00+01:00", "work": "40m", "steps": 200}]}'
)


def contract_of(text: BatchesText, edition: int) -> Contract | None:
    """Returns the contract of an operator's file, None if the file names no site."""
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
            batch_class.name,
            batch_class.idempotent,
            batch_class.path,
            dict(sorted(batch_class.power.items())),
            batch_class.pause,
            dict(sorted(batch_class.seats.items())),
            batch_class.sites,
        )
        for _, batch_class in sorted(text.classes.items())
    )
    return Contract(edition, text.slot, sites, classes)


def parse_batch(request: object) -> Batch:
    """Returns the batch of a request; `FORM` shows its form.

    Raises:
        InvalidRequestError: the request does not have this form.
    """
    try:
        pieces = request["pieces"]
        if not isinstance(pieces, list):
            raise ValueError("pieces: must be a list")
        return Batch(
            name(request["id"]),
            name(request["tenant"]),
            name(request["class"]),
            tuple(cut_of(number, piece) for number, piece in enumerate(pieces)),
        )
    except InvalidRequestError:
        raise
    except (KeyError, TypeError, ValueError) as error:
        problem = f"{error.args[0]} is missing" if isinstance(error, KeyError) else str(error)
        raise InvalidRequestError(f"no batch: {problem}", remedy=f"a batch looks like {FORM}") from None


def cut_of(index: int, piece: Mapping) -> PieceSpec:
    """Returns the piece of a request; `index` is its position there.

    Raises:
        InvalidRequestError: the piece does not have the form that `FORM` shows.
    """
    try:
        steps = piece["steps"]
        if not isinstance(steps, int) or isinstance(steps, bool):
            raise ValueError("steps: must be a whole number")
        return PieceSpec(
            parse_time(piece["earliest"]), parse_time(piece["latest"]), span(piece["work"]), steps
        )
    except (InvalidRequestError, KeyError, TypeError, ValueError) as error:
        problem = (
            f"{error.args[0]} is missing"
            if isinstance(error, KeyError)
            else (error.problem if isinstance(error, InvalidRequestError) else str(error))
        )
        raise InvalidRequestError(f"piece {index}: {problem}", remedy=f"a batch looks like {FORM}") from None


def parse_decision(text: str) -> OperatorDecision:
    """Returns the decision that `dunning-7.12 from 80`, `dunning-7.12 done` or `dunning-7.12 drop` means.

    Raises:
        InvalidRequestError: the text has none of these forms.
    """
    parts = text.split()
    if len(parts) == 3 and parts[1] == "from" and parts[2].isdecimal():
        return OperatorDecision(parts[0], "from", int(parts[2]))
    if len(parts) == 2 and parts[1] in ("done", "drop"):
        return OperatorDecision(*parts)
    raise InvalidRequestError(
        f"{text!r} is not a decision on a piece", remedy="say PIECE from STEP, PIECE done or PIECE drop"
    )
