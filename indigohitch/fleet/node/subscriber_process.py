"""A subscriber as a process: it has the content of its scope, and shows its version and age."""

from __future__ import annotations

import os
import random
import secrets
from collections.abc import Callable, Collection, Mapping

from ...config.fleet import FleetText
from ...config.texts import Text
from ...errors import InvalidRequestError
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import Deadline, EventLoop
from ...upgrade import process_launch
from ...upgrade.handover_participant import HandoverParticipant
from ..distribution.interfaces import UpdateApplied
from ..distribution.subscriber_connection import SubscriberConnection
from .headless import HeadlessProcess
from .headless_handover import HeadlessHandover

LOG_INTERVAL = 60 * SECOND  # between two log lines with the version and its age, beside each change


class Subscription:
    """The companion of a process (upgradable_parts.Companion) that subscribes."""

    left = True

    def __init__(self, loop: EventLoop, log: Log, text: FleetText) -> None:
        """Creates a subscription that is not open."""
        self.loop = loop
        self.log = log
        self.text = text
        # For the front here, if there is one: the index of the entry, and the services.
        self.on_services_applied: Callable[[int, Collection[str]], None] = lambda index, services: None
        self.connection: SubscriberConnection | None = None
        self.log_timer: Deadline | None = None

    def open(self) -> None:
        """Subscribes, unless it is open already."""
        if self.connection is not None:
            return
        text = self.text
        seed = random.Random(secrets.randbits(64))
        addresses = {each.name: each.address for each in text.distributors.values()}
        self.connection = SubscriberConnection(
            self.loop,
            self.log,
            text.name,
            text.me,
            text.services,
            addresses,
            seed,
            on_applied=self._on_applied,
        )
        self.connection.start()
        self._log_content()

    def _log_content(self) -> None:
        self.log_timer = self.loop.call_after(LOG_INTERVAL, self._log_content)
        self.log.event("content", **self.connection.status()["distribution"])

    def _on_applied(self, output: UpdateApplied) -> None:
        age = self.connection.machine.age(self.loop.clock.now())
        self.log.event(
            "version_applied",
            version=output.version.text(),
            services=len(output.services),
            age_ms=None if age is None else age / 10,
        )
        self.on_services_applied(output.version.index, self.connection.machine.scope.services.keys())

    def resources(self, service: str) -> Mapping[str, bytes]:
        """Returns the resources of a service, by key."""
        return self.connection.machine.resources(service) if self.connection is not None else {}

    def reread(self, text: FleetText | None) -> None:
        """Takes the services of a file read again; raises InvalidRequestError for another change."""
        if text is None or not text.services:
            raise InvalidRequestError(
                "it has no `subscribe` lines any more", "", "start the program anew for it"
            )
        addresses = {name: each.address for name, each in text.distributors.items()}
        if addresses != {name: each.address for name, each in self.text.distributors.items()}:
            raise InvalidRequestError(
                "other distributors than at the start", "", "start the subscriber anew for these"
            )
        self.text = text
        if self.connection is not None:
            self.connection.rescope(text.services)

    def status(self) -> dict[str, object]:
        """Returns what `status` shows."""
        return self.connection.status() if self.connection is not None else {}

    def on_command(
        self, what: str, line: dict[str, object], answer: Callable[[dict[str, object]], None]
    ) -> bool:
        """Answers `resources SERVICE`; returns False for another command."""
        command, _, service = what.partition(" ")
        if command != "resources" or self.connection is None:
            return False
        resources = self.resources(service)
        answer({"resources": {key: body.decode(errors="replace") for key, body in sorted(resources.items())}})
        return True

    def leave(self, give_up: bool) -> None:
        """Does nothing: a subscriber has no lease."""

    def close(self) -> None:
        """Ends the subscription."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
            self.log_timer.cancel()


class SubscriberSide:
    """The side of an upgrade of a process that subscribes (HandoverParticipant).

    The new process subscribes once the old one has closed its subscription, and starts without content.
    """

    def __init__(self, side: HandoverParticipant, subscription: Subscription) -> None:
        """`side` is that of the process without the subscription."""
        self.side = side
        self.subscription = subscription

    def __getattr__(self, name: str) -> object:
        return getattr(self.side, name)

    def set_accepting(self, on: bool) -> None:
        """Opens or closes the subscription with the listeners."""
        self.side.set_accepting(on)
        if on:
            self.subscription.open()
        else:
            self.subscription.close()

    def start_serving(self, restored: bool) -> None:
        """Subscribes in the new process."""
        self.side.start_serving(restored)
        self.subscription.open()


class SubscriberProcess(HeadlessProcess):
    """A process that is nothing but a subscriber."""

    def make_participant(self) -> HandoverParticipant:
        """Returns the process' side of an upgrade."""
        if self.companion is None:
            self.companion = Subscription(self.loop, self.log, self.text.fleet)
        side = HeadlessHandover(self.clock, self.control_listener, self.take_over_control, self.reload)
        return SubscriberSide(side, self.companion)


def main(text: Text) -> int:
    """Runs the process and returns its exit code; raises OSError if it can't start."""
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return SubscriberProcess(text).run(channel)
