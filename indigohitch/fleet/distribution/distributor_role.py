"""A member's part as a distributor: it tells its machine what the ledger applied, keeps it level with the
ledger, and exchanges reports with the other distributors."""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec

from ...encoding.rows import Row
from ...errors import UnavailableError, error_fields
from ...log import Log
from ...net.clock import SECOND
from ...net.file_limits import raise_file_limit
from ...net.loop import EventLoop
from ..interfaces import ProposalRequest
from ..types import Lease, LogEntry, MemberId, Outcome
from .convergence import ConvergenceReport
from .distributor import Distributor
from .distributor_listener import MAX_UNIDENTIFIED, DistributorListener
from .interfaces import CaughtUp, ReportReceived, ResourcesChanged, ResourcesReplaced
from .limits import Limits
from .messages import Behind, Report, Unreachable
from .replicated_part import DistributionPart

CONFIRM_INTERVAL = SECOND // 2  # between confirmed reads: what is told is older by that at most
REPORT_INTERVAL = SECOND
LISTEN_RETRY_DELAY = SECOND
RESERVED_DESCRIPTORS = (
    MAX_UNIDENTIFIED + 256
)  # those who have not greeted; members' links, files, the control socket
LIMITS = Limits()

ConfirmedRead = Callable[[Callable[[int | None], None]], None]


class DistributorRole:
    """A `Work` (fleet/ports.py).  `read(done)`: a read confirmed by a majority; `say(name, word)`: to another
    member."""

    name = "distribution"

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        fleet: str,
        me: str,
        token: int,
        addresses: dict[str, tuple[str, int]],
        part: DistributionPart,
        read: ConfirmedRead,
        say: Callable[[str, Row], bool],
    ) -> None:
        self.loop, self.log, self.me, self.addresses = loop, log, me, addresses
        self.part, self.read, self.say = part, read, say
        self.machine = Distributor(me, part.catalogue, LIMITS, loop.clock.now(), self.others)
        self.connections = DistributorListener(loop, log, fleet, MemberId(me, 0), token, self.machine, LIMITS)
        self.listen_due = self.confirm_due = self.report_due = 0
        self.reading = False
        self.closed = False

    @property
    def others(self) -> Collection[str]:
        return [name for name in self.addresses if name != self.me]

    # ---- from the ledger ---------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        if entry.kind.startswith("distribution.") and not outcome.rejection and not outcome.is_duplicate:
            services = msgspec.msgpack.decode(outcome.result, type=tuple[str, ...])
            if services:
                self.connections.stepping.step(ResourcesChanged(services))
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        self.connections.stepping.step(ResourcesReplaced())
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        return []

    def report(self, now: int) -> bytes:
        return b""

    def lead(self, now: int, reports) -> list[ProposalRequest]:
        return []

    # ---- the beat ----------------------------------------------------------------------------------

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        if self.closed:
            return []
        if not self.connections.open and now >= self.listen_due:
            self.listen(now)
        if now >= self.confirm_due:
            self.confirm_due = now + CONFIRM_INTERVAL
            self.confirm(now)
        if now >= self.report_due:
            self.report_due = now + REPORT_INTERVAL
            self.connections.beat(now)
            self.tell(now)
        return []

    def listen(self, now: int) -> None:
        wanted = LIMITS.subscribers + RESERVED_DESCRIPTORS
        if (allowed := raise_file_limit(wanted)) < wanted:
            remedy = f"raise the limit on descriptors to {wanted}"
            self.log.warning("descriptors_few", allowed=allowed, wanted=wanted, remedy=remedy)
        try:
            self.connections.start(self.addresses[self.me])
        except OSError as bad:
            self.listen_due = now + LISTEN_RETRY_DELAY
            self.log.warning("distributor_cannot_listen", **error_fields(bad, "free the address"))

    def confirm(self, now: int) -> None:
        def done(index: int | None) -> None:
            # In a turn of its own: the entry that completes a read is told to the machine after this.
            self.reading = False
            if index is not None:
                self.loop.call_after(0, lambda: self.connections.stepping.step(CaughtUp(now)))

        if self.reading:
            return
        self.reading = True
        try:
            self.read(done)
        except UnavailableError:
            self.reading = False

    def tell(self, now: int) -> None:
        report = self.machine.report(now)
        for name in self.others:
            self.say(name, report)

    def heard_report(self, who: MemberId, word: Report) -> None:
        if not self.closed and who.name == word.distributor:
            self.connections.stepping.step(ReportReceived(word))

    # ---- the end, and people -----------------------------------------------------------------------

    def close(self) -> None:
        """Its port may be another process' from here on."""
        self.closed = True
        self.connections.close()

    def figures(self) -> dict:
        now = self.loop.clock.now()
        in_force = convergence_status(self.machine.in_force(now))
        return self.connections.figures() | self.machine.figures(now) | {"in_force": in_force}


def convergence_status(found: ConvergenceReport) -> dict:
    """As `status` names it; times in tenths of a millisecond."""
    return {
        "version": found.version.text(),
        "newest": found.newest.text(),
        "age": found.age,
        "subscribers": found.subscribers,
        "behind_count": found.behind_count,
        "behind": [behind_status(one) for one in found.behind],
        "unreachable_count": found.unreachable_count,
        "unreachable": [unreachable_status(one) for one in found.unreachable],
        "acting": found.acting,
        "silent": list(found.silent),
    }


def behind_status(one: Behind) -> dict:
    return {
        "subscriber": one.subscriber,
        "acknowledged": one.acknowledged.text(),
        "missing": one.missing.text(),
        "age": one.age,
    }


def unreachable_status(one: Unreachable) -> dict:
    return {
        "subscriber": one.subscriber,
        "acknowledged": one.acknowledged.text(),
        "acting": one.acting,
    }
