"""Sets up batches in a process: the work, the sending of RPCs, and the price file."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection

from ...config.batches import BatchesText
from ...config.fleet import FleetText
from ...errors import DirectorError, InvalidRequestError, error_fields
from ...log import Log
from ...net.clock import SECOND, Clock
from ...net.loop import EventLoop
from ..interfaces import ActionRecorder
from ..seats.contract import COMMON_POOL
from ..types import Stamp
from . import contract, prices
from .admin_requests import contract_of
from .part import Batches
from .rows import Contract, Prices
from .sending import Sending
from .work import BatchesWork

CHECK_INTERVAL = 5 * SECOND  # how often the price file is checked for changes
MAX_BYTES = 1 << 20  # size of a price file; its number of lines is limited too


class PriceFile:
    """The last valid price list of a file.  A problem with a newer list is logged once."""

    def __init__(self, log: Log, path: str, sites: Collection[str], clock: Clock) -> None:
        self.log = log
        self.path = path
        self.sites = sites
        self.clock = clock
        self.list: Prices | None = None
        self._seen_version: tuple | None = None
        self._next_check_at = 0

    def __call__(self) -> Prices | None:
        """Returns the list, after a check of the file if one is due; None if there was no valid list yet."""
        if self.path and self.clock.now() >= self._next_check_at:
            self._next_check_at = self.clock.now() + CHECK_INTERVAL
            try:
                self.reload()
            except DirectorError as error:
                self.log.warning("prices_refused", **error_fields(error))
            except OSError as error:
                if self._seen_version != (error.errno,):
                    self._seen_version = (error.errno,)
                    self.log.warning(
                        "prices_missing",
                        where=self.path,
                        why=error.strerror,
                        remedy="create the price file there; the last good prices stand",
                    )
        return self.list

    def reload(self) -> None:
        """Parses the file if it has changed.

        Raises:
            InvalidDataError: the list is invalid.
            OSError: the file can't be read.
        """
        status = os.stat(self.path)
        version = (status.st_mtime_ns, status.st_size, status.st_ino)
        if version == self._seen_version:
            return
        self._seen_version = version
        with open(self.path, "rb") as file:
            text = file.read(MAX_BYTES).decode("utf-8", "replace")
        self.list = prices.parse(text, self.path, self.sites)
        self.log.event("prices_read", edition=self.list.edition, sites=sorted(self.list.sites))


def create_batches_work(
    loop: EventLoop,
    log: Log,
    text: FleetText,
    part: Batches,
    acts: ActionRecorder,
    fleet_time: Callable[[int], int],
) -> BatchesWork:
    """Returns the work on batches of this member.

    If its file has no directive of batches, the member runs none; as leader it acts on the contract in the
    state machine.
    """

    def batches_text() -> BatchesText:
        """Returns the directives of batches in the operator's file, which a SIGHUP reads again."""
        return next(iter(text.parts.get("batches", ())), BatchesText())

    initial, cached = batches_text(), (BatchesText(), 0, None)

    def current_contract() -> Contract | None:
        nonlocal cached
        batches = batches_text()
        if cached[0] is not batches or cached[1] != text.edition:
            cached = batches, text.edition, contract_of(batches, text.edition)
        return cached[2]

    try:
        if (now := current_contract()) is not None:
            contract.check(now)  # at the start, as loading the library `holidays` takes 150 ms once
    except InvalidRequestError as error:
        log.warning("contract_refused", **error_fields(error))
    offers: dict[str, dict[str, int]] = {}
    for run in initial.runs:
        offers.setdefault(run.site, {})[run.kind] = run.lanes

    def on_outcome(piece: str, step: int, stamp: Stamp, outcome: str, why: str) -> None:
        work.runner.outcome(loop.clock.now(), piece, step, stamp, outcome, why)

    sending = Sending(loop, part, {(run.site, run.kind): run.to for run in initial.runs}, on_outcome)

    def seats() -> dict[str, int]:
        """Returns the unreserved seats by feature; a sidecar takes one for each step (docs/seats.md)."""
        seats_part = part.state_machine.parts.get("seats")
        time = fleet_time(loop.clock.now())
        return (
            {
                name: row.terms.pools()[COMMON_POOL] if row.terms.valid(time) else 0
                for name, row in sorted(seats_part.features.items())
            }
            if seats_part is not None
            else {}
        )

    work = BatchesWork(
        part,
        text.me,
        acts,
        sending,
        fleet_time,
        offers,
        current_contract,
        PriceFile(log, initial.prices, initial.sites, loop.clock),
        seats,
    )
    return work
