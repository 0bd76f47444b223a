"""The subscription as the front's source of backends, in place of discovery (`backend_source`)."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from ..errors import DirectorError
from ..log import Log
from ..platform_protocol.backend_source import ListCallback
from .errors import NoInstancesError
from .instances import Instances, ListUpdate

Resources = Callable[[str], Mapping[str, bytes]]


class SubscribedBackends:
    """`resources(service)`: what the subscription holds of it."""

    def __init__(self, log: Log, resources: Resources, tell: ListCallback) -> None:
        self.log, self.resources, self.on_list = log, resources, tell
        self.instances = Instances()
        self.version = 0  # the ledger's entry at which the content held stands
        self.watching = False
        self.has_content = False  # the first content has come: before that nothing is known
        self.has_sent_full_list = False  # a complete list was told

    # ---- from the subscription ---------------------------------------------------------------------

    def on_update(self, version: int, scope: Collection[str]) -> None:
        """The content of the services in `scope` is another.  All of them are looked at: a subscription that
        began anew, as after an upgrade that failed, does not tell what left while it was away."""
        self.version, self.has_content = version, True
        for service in sorted({*scope, *self.instances.services}):
            bodies = self.resources(service) if service in scope else {}
            for unreadable in self.instances.update(service, bodies):
                self.warning("backend_unreadable", unreadable)
        if self.instances.is_empty:
            self.warning("no_backends", NoInstancesError("no service names a backend"))
        if self.watching:
            self.send_update()

    def send_update(self) -> None:
        news = (
            self.instances.list_changes(self.version)
            if self.has_sent_full_list
            else self.instances.full_list(self.version)
        )
        self.send_list(news)

    def send_list(self, told: ListUpdate | None) -> None:
        if told is not None:
            self.has_sent_full_list = True
            self.log.count("subscription_lists")
            self.on_list(told.backend_list, told.addresses)

    def warning(self, event: str, trouble: DirectorError) -> None:
        self.log.warning(event, **trouble.log_fields())

    # ---- a BackendSource ---------------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """A module that asks has heard nothing yet, or nothing that it keeps."""
        self.watching = on
        if on:
            self.fetch()

    def fetch(self) -> None:
        if self.has_content:
            self.send_list(self.instances.full_list(self.version))

    def move(self, to: tuple[str, int]) -> bool:
        """Discovery's address means nothing here."""
        return False

    def restore(self, version: int) -> None:
        """As another process held it: its module hears the whole list with the first content here."""
        self.version, self.has_sent_full_list = version, False

    def close(self) -> None:
        self.watching = False
