"""Which version is in force: acknowledged versions added up, per distributor and for all.  No I/O.

A subscriber that is connected and holds a version counts with the oldest change that it lacks.  One that
holds nothing yet acts on nothing: it is named among those behind, and doesn't hold the version back.  One
whose connection is lost is counted apart; how long it may still count as current is bounded by its lease."""

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
    """`version`: each reachable subscriber has all changes of its scope up to it.  `age`: since the oldest
    change that is not in force was applied at a distributor; 0: all are.  Unreachable ones are not counted in
    and may act on older content for `acting` tenths of a ms more, not longer.  `silent`: distributors whose
    report is missing or too old; their subscribers are counted with the unreachable."""

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
    return {marks[at : at + MARK_BYTES] for at in range(0, len(marks), MARK_BYTES)}


@dataclass(slots=True, frozen=True)
class DepartedSubscriber:
    acknowledged: Version
    acting_until: int
    forget_at: int


class ConvergenceTracker:
    """Of one distributor."""

    def __init__(self, name: DistributorName, limits: Limits) -> None:
        self.name = name
        self.limits = limits
        self.departed: dict[SubscriberName, DepartedSubscriber] = {}
        self.number = 0

    def on_connected(self, name: SubscriberName) -> None:
        self.departed.pop(name, None)

    def on_disconnected(self, now: int, subscription: Subscription) -> None:
        self.departed[subscription.subscriber] = DepartedSubscriber(
            subscription.acknowledged, subscription.acting_until, now + self.limits.departed_retention
        )

    def forget_connected_elsewhere(self, report: Report) -> None:
        """Those lost here that are connected there."""
        if self.departed and report.connected:
            connected = split_marks(report.connected)
            self.departed = {
                name: one for name, one in self.departed.items() if subscriber_mark(name) not in connected
            }

    def forget_expired(self, now: int) -> None:
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
        """`version`: the last whose changes the subscriptions were told of."""
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
    missing = subscription.missing
    return Behind(
        subscription.subscriber,
        subscription.acknowledged,
        missing.version if missing is not None else version,
        now - missing.applied_at if missing is not None else 0,
    )


def version_in_force(version: Version, store: ResourceStore, lacking: list[Subscription]) -> Version:
    """The last version before the oldest change that one of them lacks."""
    if not lacking:
        return version
    before = store.before(lacking[0].missing.version)
    return before if before is not None else min(each.acknowledged for each in lacking)


class FleetConvergence:
    """Of all distributors, at one of them."""

    def __init__(
        self, name: DistributorName, expected_distributors: Collection[DistributorName], limits: Limits
    ) -> None:
        self.name = name
        self.limits = limits
        self.expected_distributors = frozenset(expected_distributors) - {name}
        self.reports: dict[DistributorName, tuple[Report, int]] = {}  # with when it came

    def on_report(self, now: int, report: Report) -> None:
        known = self.reports.get(report.distributor)
        fresh = known is None or report.number > known[0].number or now - known[1] > REPORT_TIMEOUT
        if report.distributor != self.name and fresh:
            self.reports[report.distributor] = report, now
        for name in [
            name for name, one in self.reports.items() if now - one[1] > self.limits.departed_retention
        ]:
            del self.reports[name]

    def in_force(self, now: int, own_report: Report) -> ConvergenceReport:
        """`own`: of this distributor, made now."""
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
        """Of those that are not named it is known only that they hold no more than a whole lease."""
        if lost > len(named):
            return grantor_span(self.limits.lease, self.limits.drift)
        return max((one.acting for one in named), default=0)


def still_unreachable(report: Report, age: int, connected: set[bytes]) -> list[Unreachable]:
    return [
        Unreachable(one.subscriber, one.acknowledged, max(0, one.acting - age))
        for one in report.unreachable
        if subscriber_mark(one.subscriber) not in connected
    ]


def missing_age(report: Report, age: int, newest: Version) -> int:
    """How old the oldest change is that is not in force there; a distributor that lacks a version itself
    knows no more than when it was level."""
    lags = report.version < newest
    ledger_age = report.ledger_age or 0
    return max(report.in_force_age + age if report.in_force_age else 0, ledger_age + age if lags else 0)


def missing_order(behind: Behind) -> tuple[Version, SubscriberName]:
    return behind.missing, behind.subscriber
