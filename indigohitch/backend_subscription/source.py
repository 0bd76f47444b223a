"""Implements `BackendSource` on a configuration subscription instead of discovery."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from .. import interface
from ..errors import DirectorError
from ..log import Log
from ..net.clock import SECOND, Ticks
from ..net.loop import Deadline, EventLoop
from ..platform_protocol.backend_source import ListCallback
from .errors import NoInstancesError
from .instances import Instances, ListUpdate

Resources = Callable[[str], Mapping[str, bytes]]


class SubscribedBackends:
    """Sends backend lists that are built from the resources of the subscribed services."""

    CHECK_INTERVAL = SECOND  # between checks whether the content still counts as current

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        resources: Resources,
        on_list: ListCallback,
        confirmed_until: Callable[[], Ticks],
    ) -> None:
        """Create a source that reads services through `resources` and passes lists to `on_list`.

        `confirmed_until` returns the time until which the content counts as current.
        """
        self.loop = loop
        self.log = log
        self.confirmed_until = confirmed_until
        self.check_timer: Deadline | None = None  # None: not watching, or the content is reported as expired
        self.resources = resources
        self.on_list = on_list
        self.instances = Instances()
        self.version = 0  # ledger entry that the current content is from
        self.watching = False
        self.has_content = False  # content was received at least once
        self.has_sent_full_list = False  # a complete list was sent at least once

    # ---- subscription callbacks ----------------------------------------------------------------------

    def on_update(self, version: int, scope: Collection[str]) -> None:
        """Read the resources of the services in `scope` and send the changes.

        Known services outside `scope` are removed: a subscription that is restarted, for example after a
        failed upgrade, does not report removals that happened in between.
        """
        self.version = version
        self.has_content = True
        for service in sorted({*scope, *self.instances.services}):
            bodies = self.resources(service) if service in scope else {}
            for error in self.instances.update(service, bodies):
                self.warning("backend_unreadable", error)
        if self.instances.is_empty:
            self.warning("no_backends", NoInstancesError("no subscribed service has a backend"))
        if self.watching:
            self.send_update()
            if self.check_timer is None:
                self._schedule_check()

    def send_update(self) -> None:
        """Send the changes, or the complete list if none was sent yet."""
        update = (
            self.instances.list_changes(self.version)
            if self.has_sent_full_list
            else self.instances.full_list(self.version)
        )
        self.send_list(update)

    def send_list(self, update: ListUpdate | None) -> None:
        """Pass a list to the callback; does nothing for None."""
        if update is not None:
            self.has_sent_full_list = True
            self.log.count("subscription_lists")
            self.on_list(update.backend_list, update.addresses)

    def warning(self, event: str, error: DirectorError) -> None:
        """Log a warning with the fields of an error."""
        self.log.warning(event, **error.log_fields())

    # ---- BackendSource interface ---------------------------------------------------------------------

    def subscribe(self, enabled: bool) -> None:
        """Start or stop sending lists; a start sends the complete list because the receiver has none."""
        self.watching = enabled
        self._stop_checks()
        if enabled:
            self._schedule_check()
            self.fetch()

    def fetch(self) -> None:
        """Send the complete list if content was received that is still current."""
        if self.has_content and self.is_current():
            self.send_list(self.instances.full_list(self.version))

    def is_current(self) -> bool:
        """Return whether a distributor has lately confirmed the content."""
        return self.loop.clock.now() < self.confirmed_until()

    def _schedule_check(self) -> None:
        self.check_timer = self.loop.call_after(self.CHECK_INTERVAL, self._check)

    def _stop_checks(self) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()
            self.check_timer = None

    def _check(self) -> None:
        """Report a failure once the content is not current any more; the receiver then subscribes again."""
        self.check_timer = None
        if self.is_current():
            self._schedule_check()
            return
        self.log.warning("subscription_not_current", version=self.version)
        self.on_list(interface.BackendList("failed", self.version, ()), {})

    def move(self, address: tuple[str, int]) -> bool:
        """Return False, because a subscription has no discovery address to change."""
        return False

    def restore(self, version: int) -> None:
        """Continue from the version of a previous process; the first content is sent as a complete list."""
        self.version = version
        self.has_sent_full_list = False

    def close(self) -> None:
        """Stop sending lists."""
        self.subscribe(False)
