"""Which version is in force: acknowledged versions aggregated per distributor and over all.  No I/O.

A connected subscriber that holds a version counts with the oldest change that it lacks.  One that holds
nothing yet acts on nothing: it is listed as behind and does not hold the version back.  A disconnected one is
counted separately; its lease bounds how long it may still count as current.
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

MAX_NAMED = 16  # of those behind and of those lost, in a report
REPORT_TIMEOUT = (
    5 * SECOND
)  # a distributor whose last report is older counts as unreachable, with all of its own


class ConvergenceReport(Row, frozen=True):
    """How far the fleet has converged; times are tenths of a millisecond.

    `version`: each reachable subscriber has all changes of its scope up to it.  `age`: since the oldest
    change that is not in force was applied at a distributor; 0: all are in force.  Unreachable subscribers
    are not included and may act on older content for `acting` at most.  `silent`: distributors whose report
    is missing or too old; their subscribers count as unreachable.
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
    """Returns the set of marks in a report's field."""
    return {marks[at : at + MARK_BYTES] for at in range(0, len(marks), MARK_BYTES)}


@dataclass(slots=True, frozen=True)
class DepartedSubscriber:
    """What is remembered of a subscriber whose connection has ended."""

    acknowledged: Version
    acting_until: int
    forget_at: int


class ConvergenceTracker:
    """The convergence of one distributor's subscribers."""

    def __init__(self, name: DistributorName, limits: Limits) -> None:
        self.name = name
        self.limits = limits
        self.departed: dict[SubscriberName, DepartedSubscriber] = {}
        self.number = 0

    def on_connected(self, name: SubscriberName) -> None:
        """Removes a subscriber from the departed ones."""
        self.departed.pop(name, None)

    def on_disconnected(self, now: int, subscription: Subscription) -> None:
        """Remembers a subscriber whose connection has ended."""
        self.departed[subscription.subscriber] = DepartedSubscriber(
            subscription.acknowledged, subscription.acting_until, now + self.limits.departed_retention
        )

    def forget_connected_elsewhere(self, report: Report) -> None:
        """Forgets departed subscribers that are connected to the reporting distributor."""
        if self.departed and report.connected:
            connected = split_marks(report.connected)
            self.departed = {
                name: one for name, one in self.departed.items() if subscriber_mark(name) not in connected
            }

    def forget_expired(self, now: int) -> None:
        """Forgets subscribers that departed too long ago."""
        for name in [name for name, one in self.departed.items() if now >= one.forget_at]:
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

        `version`: the last one whose changes were announced to the subscriptions.
        """
        lacking = sorted(
            (each for each in subscriptions if each.missing is not None),
            key=lambda each: each.missing.version,
        )
        joining = [each for each in subscriptions if each.missing is None and not each.is_confirmed]
        behind = tuple(behind_row(now, each, version) for each in (lacking + joining)[:MAX_NAMED])
        lost = tuple(
            Unreachable(name, one.acknowledged, max(0, one.acting_until - now))
            for name, one in sorted(self.departed.items(), key=lambda item: -item[1].acting_until)[:MAX_NAMED]
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
    """Returns the report's row of a subscriber that lacks a change."""
    missing = subscription.missing
    return Behind(
        subscription.subscriber,
        subscription.acknowledged,
        missing.version if missing is not None else version,
        now - missing.applied_at if missing is not None else 0,
    )


def version_in_force(version: Version, store: ResourceStore, lacking: list[Subscription]) -> Version:
    """Returns the last version before the oldest change that any of them lacks."""
    if not lacking:
        return version
    before = store.before(lacking[0].missing.version)
    return before if before is not None else min(each.acknowledged for each in lacking)


class FleetConvergence:
    """The convergence of all distributors, as one of them sees it."""

    def __init__(
        self, name: DistributorName, expected_distributors: Collection[DistributorName], limits: Limits
    ) -> None:
        self.name = name
        self.limits = limits
        self.expected_distributors = frozenset(expected_distributors) - {name}
        self.reports: dict[DistributorName, tuple[Report, int]] = {}  # with when it came

    def on_report(self, now: int, report: Report) -> None:
        """Keeps the report of another distributor if it is newer."""
        known = self.reports.get(report.distributor)
        fresh = known is None or report.number > known[0].number or now - known[1] > REPORT_TIMEOUT
        if report.distributor != self.name and fresh:
            self.reports[report.distributor] = report, now
        for name in [
            name for name, one in self.reports.items() if now - one[1] > self.limits.departed_retention
        ]:
            del self.reports[name]

    def in_force(self, now: int, own_report: Report) -> ConvergenceReport:
        """Returns the convergence of the fleet; `own_report` was made now."""
        recent = {name: one for name, one in self.reports.items() if now - one[1] <= REPORT_TIMEOUT}
        reports = [(own_report, 0), *((report, now - at) for report, at in recent.values())]
        silent = (self.expected_distributors | self.reports.keys()) - recent.keys()
        newest = max(report.version for report, _ in reports)
        serving = [(report, age) for report, age in reports if report.subscribers]
        connected = set().union(*(split_marks(report.connected) for report, _ in reports))
        lost = set().union(*(split_marks(report.lost) for report, _ in reports))
        lost |= set().union(
            *(split_marks(self.reports[name][0].connected) for name in silent & self.reports.keys())
        )
        named = tuple(one for report, age in reports for one in still_unreachable(report, age, connected))
        lost -= connected
        return ConvergenceReport(
            min((report.in_force for report, _ in serving), default=newest),
            newest,
            max((missing_age(report, age, newest) for report, age in serving), default=0),
            sum(report.subscribers for report, _ in reports),
            sum(report.behind_count for report, _ in reports),
            tuple(sorted((one for report, _ in reports for one in report.behind), key=missing_order))[
                :MAX_NAMED
            ],
            len(lost),
            named[:MAX_NAMED],
            self.longest_acting(named, len(lost)),
            tuple(sorted(silent)),
        )

    def longest_acting(self, named: Collection[Unreachable], lost: int) -> int:
        """Returns how long an unreachable subscriber may still count as current.

        Of those that are not listed only the bound is known: a whole lease.
        """
        if lost > len(named):
            return grantor_span(self.limits.lease, self.limits.drift)
        return max((one.acting for one in named), default=0)


def still_unreachable(report: Report, age: int, connected: set[bytes]) -> list[Unreachable]:
    """Returns those of a report that are connected nowhere, with the time left of their leases."""
    return [
        Unreachable(one.subscriber, one.acknowledged, max(0, one.acting - age))
        for one in report.unreachable
        if subscriber_mark(one.subscriber) not in connected
    ]


def missing_age(report: Report, age: int, newest: Version) -> int:
    """Returns the age of the oldest change that is not in force at that distributor.

    A distributor that lacks a version itself knows only when it had last caught up.
    """
    lags = report.version < newest
    ledger_age = report.ledger_age or 0
    return max(report.in_force_age + age if report.in_force_age else 0, ledger_age + age if lags else 0)


def missing_order(behind: Behind) -> tuple[Version, SubscriberName]:
    """The sort key: the oldest missing change first."""
    return behind.missing, behind.subscriber
