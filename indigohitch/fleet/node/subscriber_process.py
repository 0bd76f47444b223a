"""Runs a subscriber: it receives the resources of its services, and logs their version and age."""

from __future__ import annotations

import os
import random
import secrets
from collections.abc import Callable, Collection, Mapping

from ...config.fleet import FleetText
from ...config.texts import Text
from ...errors import InvalidRequestError
from ...log import Log
from ...net.clock import SECOND, Ticks
from ...net.loop import Deadline, EventLoop
from ...upgrade import process_launch
from ...upgrade.handover_participant import HandoverParticipant
from ..distribution.interfaces import UpdateApplied
from ..distribution.subscriber_connection import SubscriberConnection
from .headless import HeadlessProcess
from .headless_handover import HeadlessHandover

LOG_INTERVAL = 60 * SECOND  # between log lines with version and age; each change is logged too


class Subscription:
    """Subscribes as the companion of a process (upgradable_parts.Companion)."""

    left = True

    def __init__(self, loop: EventLoop, log: Log, text: FleetText) -> None:
        """Creates a subscription that is not open."""
        self.loop = loop
        self.log = log
        self.text = text
        # Set by a front in this process; called with the index of an entry and the services.
        self.on_services_applied: Callable[[int, Collection[str]], None] = lambda index, services: None
        self.connection: SubscriberConnection | None = None
        self.log_timer: Deadline | None = None

    def open(self) -> None:
        """Connects to a distributor and subscribes, unless it is open already."""
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
        """Returns the resources of a service by key; none while it is closed."""
        return self.connection.machine.resources(service) if self.connection is not None else {}

    def confirmed_until(self) -> Ticks:
        """Returns the time until which the content counts as current; 0 while it is closed."""
        return self.connection.machine.lease.until if self.connection is not None else 0

    def reread(self, text: FleetText | None) -> None:
        """Applies the services of a reloaded file; raises InvalidRequestError if its distributors changed."""
        if text is None or not text.services:
            raise InvalidRequestError(
                "the file has no `subscribe` lines any more", "", "restart the program to apply this"
            )
        addresses = {name: each.address for name, each in text.distributors.items()}
        if addresses != {name: each.address for name, each in self.text.distributors.items()}:
            raise InvalidRequestError(
                "the distributors have changed since the start", "", "restart the subscriber to apply this"
            )
        self.text = text
        if self.connection is not None:
            self.connection.change_scope(text.services)

    def status(self) -> dict[str, object]:
        """Returns the keys that the subscription adds to the `status` of the process."""
        return self.connection.status() if self.connection is not None else {}

    def on_command(
        self, name: str, command: dict[str, object], reply: Callable[[dict[str, object]], None]
    ) -> bool:
        """Handles `resources SERVICE`; returns False for another command."""
        verb, _, service = name.partition(" ")
        if verb != "resources" or self.connection is None:
            return False
        resources = self.resources(service)
        reply({"resources": {key: body.decode(errors="replace") for key, body in sorted(resources.items())}})
        return True

    def leave(self, give_up: bool) -> None:
        """Does nothing: a subscriber has no lease to release."""

    def close(self) -> None:
        """Closes the subscription."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
            self.log_timer.cancel()


class SubscriberHandover:
    """Extends the HandoverParticipant of a process by its subscription.

    The old process closes its subscription before the new one subscribes and starts without resources.
    """

    def __init__(self, participant: HandoverParticipant, subscription: Subscription) -> None:
        """Wraps `participant`, which hands over the rest of the process."""
        self.participant = participant
        self.subscription = subscription

    def __getattr__(self, name: str) -> object:
        return getattr(self.participant, name)

    def set_accepting(self, on: bool) -> None:
        """Opens or closes the subscription together with the listeners."""
        self.participant.set_accepting(on)
        if on:
            self.subscription.open()
        else:
            self.subscription.close()

    def start_serving(self, restored: bool) -> None:
        """Starts the rest of the new process and subscribes."""
        self.participant.start_serving(restored)
        self.subscription.open()


class SubscriberProcess(HeadlessProcess):
    """A process that runs only a subscription."""

    def make_participant(self) -> HandoverParticipant:
        """Returns the participant of handovers, which includes the subscription."""
        if self.companion is None:
            self.companion = Subscription(self.loop, self.log, self.text.fleet)
        participant = HeadlessHandover(self.clock, self.control_listener, self.take_over_control, self.reload)
        return SubscriberHandover(participant, self.companion)


def main(text: Text) -> int:
    """Runs the process and returns its exit code; raises OSError if it can't start."""
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return SubscriberProcess(text).run(channel)
