"""Computes the version in force from acknowledged versions, per distributor and fleet-wide.  No I/O.

A version is in force once every connected subscriber has acknowledged all changes of its scope up to it.  A
connected subscriber holds the version in force back to before the oldest change that it lacks.  One that
holds nothing yet cannot use outdated content: it is listed as behind and does not hold the version back.  A
disconnected one is counted separately; its lease bounds how long its content may still count as current.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ...encoding.rows import Row
from ...net.clock import SECOND
from ..membership.leases import grantor_span
from .limits import Limits
from .messages import Behind, Report, Unreachable
from .resource_store import ResourceStore
from .subscription import Subscription
from .types import MARK_BYTES, DistributorName, SubscriberName, Version, subscriber_mark

# Subscribers that are behind, and those that are unreachable, listed by name in a report.
MAX_LISTED = 16
# Departed subscribers kept, as a multiple of those that a distributor serves.
MAX_DEPARTED_RATIO = 4
# A distributor whose last report is older counts as silent, and its subscribers as unreachable.
REPORT_TIMEOUT = 5 * SECOND


class ConvergenceReport(Row, frozen=True):
    """States how far the fleet has converged; times are tenths of a millisecond.

    `version`: the version in force; each reachable subscriber has all changes of its scope up to it.
    `age`: time since a distributor applied the oldest change that is not in force, 0 if all changes are.
    Unreachable subscribers are not included; they may use older content for at most `acting`.  `silent`:
    distributors whose report is missing or too old; their subscribers count as unreachable.
    """

    version: Version
    newest: Version
    age: int
    subscribers: int
    behind_count: int
    behind: tuple[Behind, ...]
    unreachable_count: int
    unreachable: tuple[Unreachable, ...]
    acting: int
    silent: tuple[DistributorName, ...]


def split_marks(marks: bytes) -> set[bytes]:
    """Returns the subscriber marks in a field of a report."""
    return {marks[at : at + MARK_BYTES] for at in range(0, len(marks), MARK_BYTES)}


@dataclass(slots=True, frozen=True)
class DepartedSubscriber:
    """State kept of a subscriber whose connection has closed."""

    acknowledged: Version
    lease_until: int
    forget_at: int


class ConvergenceTracker:
    """Tracks the convergence of one distributor's subscribers."""

    def __init__(self, name: DistributorName, limits: Limits) -> None:
        self.name = name
        self.limits = limits
        self.departed: dict[SubscriberName, DepartedSubscriber] = {}
        self.number = 0

    def on_connected(self, name: SubscriberName) -> None:
        """Removes a subscriber from the departed ones."""
        self.departed.pop(name, None)

    def on_disconnected(self, now: int, subscription: Subscription) -> None:
        """Adds a subscriber to the departed ones."""
        self.departed[subscription.subscriber] = DepartedSubscriber(
            subscription.acknowledged, subscription.lease_until, now + self.limits.departed_retention
        )
        if len(self.departed) > MAX_DEPARTED_RATIO * self.limits.subscribers:
            del self.departed[next(iter(self.departed))]  # the first one that departed

    def forget_connected_elsewhere(self, report: Report) -> None:
        """Forgets departed subscribers that are connected to the reporting distributor."""
        if self.departed and report.connected:
            connected = split_marks(report.connected)
            self.departed = {
                name: subscriber
                for name, subscriber in self.departed.items()
                if subscriber_mark(name) not in connected
            }

    def forget_expired(self, now: int) -> None:
        """Forgets departed subscribers after the retention period."""
        for name in [name for name, subscriber in self.departed.items() if now >= subscriber.forget_at]:
            del self.departed[name]

    def report(
        self,
        now: int,
        version: Version,
        store: ResourceStore,
        subscriptions: Collection[Subscription],
        ledger_age: int | None,
    ) -> Report:
        """Returns the next report of this distributor.

        `version`: the last version whose changes were announced to the subscriptions.
        """
        lacking = sorted(
            (each for each in subscriptions if each.missing is not None),
            key=lambda each: each.missing.version,
        )
        joining = [each for each in subscriptions if each.missing is None and not each.is_confirmed]
        behind = tuple(behind_row(now, each, version) for each in (lacking + joining)[:MAX_LISTED])
        lost = tuple(
            Unreachable(name, subscriber.acknowledged, max(0, subscriber.lease_until - now))
            for name, subscriber in sorted(self.departed.items(), key=lambda item: -item[1].lease_until)[
                :MAX_LISTED
            ]
        )
        self.number += 1
        return Report(
            self.name,
            self.number,
            version,
            version_in_force(version, store, lacking),
            max((now - each.missing.applied_at for each in lacking), default=0),
            ledger_age,
            len(subscriptions),
            len(lacking) + len(joining),
            behind,
            lost,
            b"".join(each.mark for each in subscriptions),
            b"".join(subscriber_mark(name) for name in self.departed),
        )


def behind_row(now: int, subscription: Subscription, version: Version) -> Behind:
    """Returns the row of a report for a subscriber that is behind."""
    missing = subscription.missing
    return Behind(
        subscription.subscriber,
        subscription.acknowledged,
        missing.version if missing is not None else version,
        now - missing.applied_at if missing is not None else 0,
    )


def version_in_force(version: Version, store: ResourceStore, lacking: list[Subscription]) -> Version:
    """Returns the last version before the oldest change that any subscriber in `lacking` lacks."""
    if not lacking:
        return version
    before = store.before(lacking[0].missing.version)
    return before if before is not None else min(each.acknowledged for each in lacking)


class FleetConvergence:
    """Aggregates the reports of all distributors, as seen by one of them."""

    def __init__(
        self, name: DistributorName, expected_distributors: Collection[DistributorName], limits: Limits
    ) -> None:
        self.name = name
        self.limits = limits
        self.expected_distributors = frozenset(expected_distributors) - {name}
        self.reports: dict[DistributorName, tuple[Report, int]] = {}  # with the time of its arrival

    def on_report(self, now: int, report: Report) -> None:
        """Keeps the report of another distributor if it is newer."""
        known = self.reports.get(report.distributor)
        is_newer = known is None or report.number > known[0].number or now - known[1] > REPORT_TIMEOUT
        if report.distributor != self.name and is_newer:
            self.reports[report.distributor] = report, now
        for name in [
            name
            for name, received in self.reports.items()
            if now - received[1] > self.limits.departed_retention
        ]:
            del self.reports[name]

    def in_force(self, now: int, own_report: Report) -> ConvergenceReport:
        """Returns the convergence of the fleet; `own_report` was created at `now`."""
        recent = {
            name: received for name, received in self.reports.items() if now - received[1] <= REPORT_TIMEOUT
        }
        reports = [(own_report, 0), *((report, now - received_at) for report, received_at in recent.values())]
        silent = (self.expected_distributors | self.reports.keys()) - recent.keys()
        newest = max(report.version for report, _ in reports)
        serving = [(report, age) for report, age in reports if report.subscribers]
        connected = set().union(*(split_marks(report.connected) for report, _ in reports))
        lost = set().union(*(split_marks(report.lost) for report, _ in reports))
        lost |= set().union(
            *(split_marks(self.reports[name][0].connected) for name in silent & self.reports.keys())
        )
        named = tuple(
            subscriber for report, age in reports for subscriber in still_unreachable(report, age, connected)
        )
        lost -= connected
        return ConvergenceReport(
            min((report.in_force for report, _ in serving), default=newest),
            newest,
            max((missing_age(report, age, newest) for report, age in serving), default=0),
            sum(report.subscribers for report, _ in reports),
            sum(report.behind_count for report, _ in reports),
            tuple(sorted((row for report, _ in reports for row in report.behind), key=behind_order))[
                :MAX_LISTED
            ],
            len(lost),
            named[:MAX_LISTED],
            self.longest_lease(named, len(lost)),
            tuple(sorted(silent)),
        )

    def longest_lease(self, named: Collection[Unreachable], lost: int) -> int:
        """Returns for how long an unreachable subscriber may still hold a lease on its content.

        For subscribers that no report names, only the upper bound is known: a whole lease.
        """
        if lost > len(named):
            return grantor_span(self.limits.lease, self.limits.drift)
        return max((subscriber.acting for subscriber in named), default=0)


def still_unreachable(report: Report, age: int, connected: set[bytes]) -> list[Unreachable]:
    """Returns a report's unreachable subscribers that are connected nowhere, with their remaining leases."""
    return [
        Unreachable(row.subscriber, row.acknowledged, max(0, row.acting - age))
        for row in report.unreachable
        if subscriber_mark(row.subscriber) not in connected
    ]


def missing_age(report: Report, age: int, newest: Version) -> int:
    """Returns the age of the oldest change that is not in force at that distributor.

    A distributor that lags behind the newest version knows only when it had last caught up.
    """
    lags = report.version < newest
    ledger_age = report.ledger_age or 0
    return max(report.in_force_age + age if report.in_force_age else 0, ledger_age + age if lags else 0)


def behind_order(behind: Behind) -> tuple[Version, SubscriberName]:
    """Returns the sort key by which the oldest missing change comes first."""
    return behind.missing, behind.subscriber
