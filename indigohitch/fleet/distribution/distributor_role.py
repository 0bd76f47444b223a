"""The distributor role of a member.

It passes applied entries to the distributor's state machine, determines by confirmed reads how far that has
caught up with the ledger, and exchanges reports with the other distributors.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

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

# Between confirmed reads; adds at most this much to the age of content.
CONFIRM_INTERVAL = SECOND // 2
REPORT_INTERVAL = SECOND
LISTEN_RETRY_DELAY = SECOND
# File descriptors for unidentified connections, and for members' links, files and the control socket.
RESERVED_DESCRIPTORS = MAX_UNIDENTIFIED + 256
LIMITS = Limits()

ConfirmedRead = Callable[[Callable[[int | None], None]], None]


class DistributorRole:
    """Runs a distributor as a `Work` of the member.

    `read(on_confirmed)` starts a read that a majority confirms; `send(name, message)` sends a message to
    another member.
    """

    name = "distribution"

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        fleet: str,
        member_name: str,
        token: int,
        addresses: dict[str, tuple[str, int]],
        part: DistributionPart,
        read: ConfirmedRead,
        send: Callable[[str, Row], bool],
    ) -> None:
        self.loop = loop
        self.log = log
        self.member_name = member_name
        self.addresses = addresses
        self.replicated_part = part
        self.confirmed_read = read
        self.send = send
        self.machine = Distributor(member_name, part.store, LIMITS, loop.clock.now(), self.peers)
        self.listener = DistributorListener(
            loop, log, fleet, MemberId(member_name, 0), token, self.machine, LIMITS
        )
        self.listen_due = 0
        self.confirm_due = 0
        self.report_due = 0
        self.is_reading = False
        self.is_closed = False

    @property
    def peers(self) -> Collection[str]:
        """The names of the other distributors."""
        return [name for name in self.addresses if name != self.member_name]

    # ---- inputs from the ledger --------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Reports services changed by an applied entry to the state machine."""
        if entry.kind.startswith("distribution.") and not outcome.rejection and not outcome.is_duplicate:
            services = msgspec.msgpack.decode(outcome.result, type=tuple[str, ...])
            if services:
                self.listener.driver.step(ResourcesChanged(services))
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Reports a restored snapshot to the state machine."""
        self.listener.driver.step(ResourcesReplaced())
        return []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Does nothing, because this work proposes no entries."""
        return []

    def report(self, now: int) -> bytes:
        """Returns an empty report, because the leader needs none from this work."""
        return b""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Does nothing, because a leader has no tasks for this work."""
        return []

    # ---- periodic work -----------------------------------------------------------------------------

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Listens, confirms reads and sends reports when they are due."""
        if self.is_closed:
            return []
        if not self.listener.is_listening and now >= self.listen_due:
            self.listen(now)
        if now >= self.confirm_due:
            self.confirm_due = now + CONFIRM_INTERVAL
            self.confirm_read(now)
        if now >= self.report_due:
            self.report_due = now + REPORT_INTERVAL
            self.listener.check_connections(now)
            self.send_reports(now)
        return []

    def listen(self, now: int) -> None:
        """Opens the listener, or schedules another attempt."""
        needed = LIMITS.subscribers + RESERVED_DESCRIPTORS
        if (allowed := raise_file_limit(needed)) < needed:
            remedy = f"raise the limit on file descriptors to {needed}"
            self.log.warning("descriptors_few", allowed=allowed, wanted=needed, remedy=remedy)
        try:
            self.listener.start(self.addresses[self.member_name])
        except OSError as error:
            self.listen_due = now + LISTEN_RETRY_DELAY
            self.log.warning("distributor_cannot_listen", **error_fields(error, "free the address"))

    def confirm_read(self, now: int) -> None:
        """Starts a confirmed read unless one is in progress."""

        def on_confirmed(index: int | None) -> None:
            # Deferred to the next turn of the loop: if applying an entry completes the read, the state
            # machine receives that entry only after this callback.
            self.is_reading = False
            if index is not None:
                self.loop.call_after(0, lambda: self.listener.driver.step(CaughtUp(now)))

        if self.is_reading:
            return
        self.is_reading = True
        try:
            self.confirmed_read(on_confirmed)
        except UnavailableError:
            self.is_reading = False

    def send_reports(self, now: int) -> None:
        """Sends the report of this distributor to the others."""
        report = self.machine.report(now)
        for name in self.peers:
            self.send(name, report)

    def on_report(self, sender: MemberId, report: Report) -> None:
        """Passes the report of another distributor to the state machine."""
        if not self.is_closed and sender.name == report.distributor:
            self.listener.driver.step(ReportReceived(report))

    # ---- shutdown and status -----------------------------------------------------------------------

    def close(self) -> None:
        """Closes the listener, so that another process can use the port."""
        self.is_closed = True
        self.listener.close()

    def figures(self) -> dict:
        """Returns JSON values for the `status` command."""
        now = self.loop.clock.now()
        in_force = convergence_status(self.machine.in_force(now))
        return self.listener.status() | self.machine.status(now) | {"in_force": in_force}


def convergence_status(report: ConvergenceReport) -> dict:
    """Returns a convergence report as shown by `status`; times are tenths of a millisecond."""
    return {
        "version": report.version.text(),
        "newest": report.newest.text(),
        "age": report.age,
        "subscribers": report.subscribers,
        "behind_count": report.behind_count,
        "behind": [behind_status(row) for row in report.behind],
        "unreachable_count": report.unreachable_count,
        "unreachable": [unreachable_status(row) for row in report.unreachable],
        "acting": report.acting,
        "silent": list(report.silent),
    }


def behind_status(row: Behind) -> dict:
    """Returns a subscriber that is behind as shown by `status`."""
    return {
        "subscriber": row.subscriber,
        "acknowledged": row.acknowledged.text(),
        "missing": row.missing.text(),
        "age": row.age,
    }


def unreachable_status(row: Unreachable) -> dict:
    """Returns an unreachable subscriber as shown by `status`."""
    return {
        "subscriber": row.subscriber,
        "acknowledged": row.acknowledged.text(),
        "acting": row.acting,
    }
