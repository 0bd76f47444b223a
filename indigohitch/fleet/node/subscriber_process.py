"""A subscriber as a process: it holds the content of its scope, and says in the log and in `status` which
version that is and how old."""

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

TOLD = 60 * SECOND  # how often the log has the version and its age, beside each change


class Subscription:
    """What lives in the process beside its (empty) front: replaceable.Beside."""

    left = True

    def __init__(self, loop: EventLoop, log: Log, text: FleetText) -> None:
        self.loop, self.log, self.text = loop, log, text
        # Of a front here, if there is one: the ledger's entry, and the services held.
        self.heard: Callable[[int, Collection[str]], None] = lambda index, services: None
        self.following: SubscriberConnection | None = None
        self.telling: Deadline | None = None

    def open(self) -> None:
        if self.following is not None:
            return
        text, seed = self.text, random.Random(secrets.randbits(64))
        addresses = {one.name: one.address for one in text.distributors.values()}
        self.following = SubscriberConnection(
            self.loop, self.log, text.name, text.me, text.services, addresses, seed, applied=self.applied
        )
        self.following.start()
        self.tell()

    def tell(self) -> None:
        self.telling = self.loop.call_after(TOLD, self.tell)
        self.log.event("content", **self.following.figures()["distribution"])

    def applied(self, output: UpdateApplied) -> None:
        age = self.following.machine.age(self.loop.clock.now())
        self.log.event(
            "version_applied",
            version=output.version.text(),
            services=len(output.services),
            age_ms=None if age is None else age / 10,
        )
        self.heard(output.version.index, self.following.machine.held.services.keys())

    def resources(self, service: str) -> Mapping[str, bytes]:
        return self.following.machine.resources(service) if self.following is not None else {}

    def reread(self, text: FleetText | None) -> None:
        """Raises Unfit."""
        if text is None or not text.services:
            raise InvalidRequestError(
                "it has no `subscribe` lines any more", "", "start the program anew for it"
            )
        addresses = {name: one.address for name, one in text.distributors.items()}
        if addresses != {name: one.address for name, one in self.text.distributors.items()}:
            raise InvalidRequestError(
                "other distributors than at the start", "", "start the subscriber anew for these"
            )
        self.text = text
        if self.following is not None:
            self.following.rescope(text.services)

    def status(self) -> dict:
        return self.following.figures() if self.following is not None else {}

    def on_command(self, what: str, line: dict, answer: Callable[[dict], None]) -> bool:
        """`resources SERVICE`: what is held of it."""
        word, _, service = what.partition(" ")
        if word != "resources" or self.following is None:
            return False
        held = self.resources(service)
        answer({"resources": {key: body.decode(errors="replace") for key, body in sorted(held.items())}})
        return True

    def leave(self, give_up: bool) -> None: ...

    def close(self) -> None:
        if self.following is not None:
            self.following.close()
            self.following = None
            self.telling.cancel()


class SubscriberSide:
    """The side of an upgrade (upgrade.side.Side) of a process that subscribes: the new one subscribes once
    the old one has let go, and resumes from nothing."""

    def __init__(self, side: HandoverParticipant, subscription: Subscription) -> None:
        self.side, self.subscription = side, subscription

    def __getattr__(self, name: str):
        return getattr(self.side, name)

    def set_accepting(self, on: bool) -> None:
        self.side.set_accepting(on)
        if on:
            self.subscription.open()
        else:
            self.subscription.close()

    def start_serving(self, restored: bool) -> None:
        self.side.start_serving(restored)
        self.subscription.open()


class SubscriberProcess(HeadlessProcess):
    def make_participant(self) -> HandoverParticipant:
        if self.companion is None:
            self.companion = Subscription(self.loop, self.log, self.text.fleet)
        bare = HeadlessHandover(self.clock, self.control_listener, self.take_over_control, self.reload)
        return SubscriberSide(bare, self.companion)


def main(text: Text) -> int:
    """Raises OSError."""
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return SubscriberProcess(text).run(channel)
