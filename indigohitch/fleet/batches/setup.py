"""Batches in a process: the work, the sending, and the list of prices on the disk."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection

from ...config.batches import BatchesText
from ...config.fleet import FleetText
from ...errors import DirectorError, InvalidRequestError, error_fields
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import EventLoop
from ..interfaces import ActionRecorder
from ..seats.contract import COMMON
from . import contract, prices
from .admin_requests import contract_of
from .part import Batches
from .rows import Contract, Prices
from .sending import Sending
from .work import BatchesWork

LOOK = 5 * SECOND  # how often the file of prices is looked at
LARGEST = 1 << 20  # of it: its lines are bounded too


class PriceFile:
    """The last good list of a file; what is wrong with a newer one is logged, once."""

    def __init__(self, log: Log, path: str, sites: Collection[str], clock) -> None:
        self.log, self.path, self.sites, self.clock = log, path, sites, clock
        self.list: Prices | None = None
        self._seen: tuple | None = None
        self._due = 0

    def __call__(self) -> Prices | None:
        if self.path and self.clock.now() >= self._due:
            self._due = self.clock.now() + LOOK
            try:
                self.look()
            except DirectorError as bad:
                self.log.warning("prices_refused", **error_fields(bad))
            except OSError as bad:
                if self._seen != (bad.errno,):
                    self._seen = (bad.errno,)
                    self.log.warning(
                        "prices_missing",
                        where=self.path,
                        why=bad.strerror,
                        remedy="put the list there; the last good prices stand",
                    )
        return self.list

    def look(self) -> None:
        """Raises Trouble, OSError."""
        found = os.stat(self.path)
        seen = (found.st_mtime_ns, found.st_size, found.st_ino)
        if seen == self._seen:
            return
        self._seen = seen
        with open(self.path, "rb") as file:
            text = file.read(LARGEST).decode("utf-8", "replace")
        self.list = prices.read(text, self.path, self.sites)
        self.log.event("prices_read", edition=self.list.edition, sites=sorted(self.list.sites))


def work_of(
    loop: EventLoop,
    log: Log,
    text: FleetText,
    part: Batches,
    acts: ActionRecorder,
    fleet_time: Callable[[int], int],
) -> BatchesWork:
    """Of this member.  A file without a word on batches makes a member that runs none, and leads by what the
    state machine has."""

    def written() -> BatchesText:
        """As the file has it now: a SIGHUP reads it anew."""
        return next(iter(text.parts.get("batches", ())), BatchesText())

    found, kept = written(), (BatchesText(), 0, None)

    def contracted() -> Contract | None:
        nonlocal kept
        now = written()
        if kept[0] is not now or kept[1] != text.edition:
            kept = now, text.edition, contract_of(now, text.edition)
        return kept[2]

    try:
        if (now := contracted()) is not None:
            contract.check(now)  # at the start: the library of holidays takes 150 ms, once
    except InvalidRequestError as bad:
        log.warning("contract_refused", **error_fields(bad))
    offers: dict[str, dict[str, int]] = {}
    for run in found.runs:
        offers.setdefault(run.site, {})[run.kind] = run.lanes

    def back(piece, step, stamp, outcome, why) -> None:
        work.runner.outcome(loop.clock.now(), piece, step, stamp, outcome, why)

    sending = Sending(loop, part, {(run.site, run.kind): run.to for run in found.runs}, back)

    def seats() -> dict[str, int]:
        """Those that nobody has kept: a sidecar asks for one for each step (docs/seats.md)."""
        known = part.state_machine.parts.get("seats")
        time = fleet_time(loop.clock.now())
        return (
            {
                name: found.terms.pools()[COMMON] if found.terms.valid(time) else 0
                for name, found in sorted(known.features.items())
            }
            if known is not None
            else {}
        )

    work = BatchesWork(
        part,
        text.me,
        acts,
        sending,
        fleet_time,
        offers,
        contracted,
        PriceFile(log, found.prices, found.sites, loop.clock),
        seats,
    )
    return work
