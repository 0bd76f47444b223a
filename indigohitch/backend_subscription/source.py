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
        self.log, self.resources, self.tell = log, resources, tell
        self.instances = Instances()
        self.version = 0  # the ledger's entry at which the content held stands
        self.watching = False
        self.held = False  # the first content has come: before that nothing is known
        self.begun = False  # a complete list was told

    # ---- from the subscription ---------------------------------------------------------------------

    def applied(self, version: int, scope: Collection[str]) -> None:
        """The content of the services in `scope` is another.  All of them are looked at: a subscription that
        began anew, as after an upgrade that failed, does not tell what left while it was away."""
        self.version, self.held = version, True
        for service in sorted({*scope, *self.instances.services}):
            bodies = self.resources(service) if service in scope else {}
            for unreadable in self.instances.update(service, bodies):
                self.warning("backend_unreadable", unreadable)
        if self.instances.empty:
            self.warning("no_backends", NoInstancesError("no service names a backend"))
        if self.watching:
            self.tell_news()

    def tell_news(self) -> None:
        news = self.instances.changes(self.version) if self.begun else self.instances.whole(self.version)
        self.pass_on(news)

    def pass_on(self, told: ListUpdate | None) -> None:
        if told is not None:
            self.begun = True
            self.log.count("subscription_lists")
            self.tell(told.news, told.addresses)

    def warning(self, event: str, trouble: DirectorError) -> None:
        self.log.warning(event, **trouble.log_fields())

    # ---- a BackendSource ---------------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """A module that asks has heard nothing yet, or nothing that it keeps."""
        self.watching = on
        if on:
            self.fetch()

    def fetch(self) -> None:
        if self.held:
            self.pass_on(self.instances.whole(self.version))

    def move(self, to: tuple[str, int]) -> bool:
        """Discovery's address means nothing here."""
        return False

    def restore(self, version: int) -> None:
        """As another process held it: its module hears the whole list with the first content here."""
        self.version, self.begun = version, False

    def close(self) -> None:
        self.watching = False
