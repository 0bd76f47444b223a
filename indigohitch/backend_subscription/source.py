"""The subscription as a `BackendSource`, in place of discovery."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from ..errors import DirectorError
from ..log import Log
from ..platform_protocol.backend_source import ListCallback
from .errors import NoInstancesError
from .instances import Instances, ListUpdate

Resources = Callable[[str], Mapping[str, bytes]]


class SubscribedBackends:
    """Sends backend lists made from the resources of the subscribed services."""

    def __init__(self, log: Log, resources: Resources, on_list: ListCallback) -> None:
        """Keep `resources`, which returns a service's resources, and `on_list`, which receives the lists."""
        self.log = log
        self.resources = resources
        self.on_list = on_list
        self.instances = Instances()
        self.version = 0  # the ledger entry of the current content
        self.watching = False
        self.has_content = False  # whether any content was received
        self.has_sent_full_list = False  # whether a complete list was sent

    # ---- from the subscription ---------------------------------------------------------------------

    def on_update(self, version: int, scope: Collection[str]) -> None:
        """Read the content of the services in `scope` and send what changed.

        All services are read, also the known ones outside `scope`: a subscription that was started again,
        as after a failed upgrade, does not report what was removed in between.
        """
        self.version = version
        self.has_content = True
        for service in sorted({*scope, *self.instances.services}):
            bodies = self.resources(service) if service in scope else {}
            for error in self.instances.update(service, bodies):
                self.warning("backend_unreadable", error)
        if self.instances.is_empty:
            self.warning("no_backends", NoInstancesError("no service names a backend"))
        if self.watching:
            self.send_update()

    def send_update(self) -> None:
        """Send the changes, or the complete list where none was sent yet."""
        update = (
            self.instances.list_changes(self.version)
            if self.has_sent_full_list
            else self.instances.full_list(self.version)
        )
        self.send_list(update)

    def send_list(self, update: ListUpdate | None) -> None:
        """Pass a list to the callback; None is ignored."""
        if update is not None:
            self.has_sent_full_list = True
            self.log.count("subscription_lists")
            self.on_list(update.backend_list, update.addresses)

    def warning(self, event: str, error: DirectorError) -> None:
        """Log an error as a warning with its fields."""
        self.log.warning(event, **error.log_fields())

    # ---- a BackendSource ---------------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """Start or stop sending lists; a start sends the complete list, as the receiver has none."""
        self.watching = on
        if on:
            self.fetch()

    def fetch(self) -> None:
        """Send the complete list, where content was received."""
        if self.has_content:
            self.send_list(self.instances.full_list(self.version))

    def move(self, to: tuple[str, int]) -> bool:
        """Return False: a subscription has no discovery address to change."""
        return False

    def restore(self, version: int) -> None:
        """Take over the version of a previous process; the first content is sent as a complete list."""
        self.version = version
        self.has_sent_full_list = False

    def close(self) -> None:
        """Stop sending lists."""
        self.watching = False
