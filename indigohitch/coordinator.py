"""A coordinator that can be upgraded: the front of the platform, with an operator's file.

For installations that allow a control socket and, during an upgrade, a second process.
"""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

from .config import operator_file
from .config.texts import Text
from .errors import error_fields
from .platform_protocol.backend_source import BackendSource, ListCallback
from .platform_protocol.front import Front
from .platform_protocol.handover import CoordinatorHandover
from .service import read_configuration, reload_front
from .upgradable_parts import ProcessPhase
from .upgradable_process import UpgradableProcess
from .upgrade import process_launch
from .upgrade.handover_participant import HandoverParticipant


class CoordinatorProcess(UpgradableProcess):
    """The process of a coordinator that an operator's file configures."""

    def __init__(self, environ: MutableMapping[str, str], text: Text, follows: bool) -> None:
        self.environ = environ
        self.source = text.source
        self.fleet = text.fleet
        self.follows = follows
        self.decided = False  # while it ends: the module has handled all earlier events
        super().__init__(environ.get("BALANCER_NAME", ""), text.single, text.waits)

    def make_participant(self) -> HandoverParticipant:
        """Builds what is handed over, with the companion that the file names."""
        side = CoordinatorHandover(
            None, self.make, self.control_listener, self.take_over_control, self.reload
        )
        if self.fleet is None:
            return side
        if self.fleet.services:
            return self.subscriber_side(side)
        from .fleet.node.companion import node_companion

        return node_companion(self, side, self.fleet, False, self.follows)

    def subscriber_side(self, side: HandoverParticipant) -> HandoverParticipant:
        """Adds the subscription to what is handed over."""
        from .fleet.node.subscriber_process import SubscriberSide, Subscription

        if self.companion is None:
            self.companion = Subscription(self.loop, self.log, self.fleet)
        return SubscriberSide(side, self.companion)

    def subscribed_backends(self, tell: ListCallback) -> BackendSource:
        """Returns the source of backends that the subscription feeds."""
        from .backend_subscription.source import SubscribedBackends

        source = SubscribedBackends(self.log, self.companion.resources, tell)
        self.companion.on_services_applied = source.on_update
        return source

    def make(self, listening: socket.socket | None) -> Front:
        """Builds the front, on a listening socket if one is passed on."""
        subscribes = self.fleet is not None and self.fleet.services
        front = Front(
            self.loop,
            self.log,
            read_configuration(self.environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY"),
            listening,
            self.subscribed_backends if subscribes else None,
        )
        if self.fleet is not None and not subscribes:
            from .fleet.audit.orders import stamped

            front.relay.is_allowed = stamped(self.clock, lambda: self.companion.node)
        return front

    def turn(self) -> None:
        """Lets the module handle the events of this turn of the loop."""
        if self.side.front is not None:
            gathering = self.side.front.event_batch
            gathering.flush_if_due()
            self.decided = self.phase is ProcessPhase.ENDING and (self.decided or not gathering.events)

    def without_state(self) -> None:
        """Discards a state whose restoring failed half way."""
        if self.side.front is not None:
            self.side.front.close()
        self.side = self.make_participant()
        self.predecessor_driver.side = self.side

    def extra_status(self) -> dict:
        """Returns the keys of a coordinator for `status`."""
        front = self.side.front
        return {
            "proxies": len(front.store_mirror.proxies),
            "slices": len(front.store_mirror.tables),
            "calls_waiting": len(front.relay.pending_calls),
            "news_begun": front.store_mirror.has_started,
        }

    def read_operator_file(self) -> Text:
        """Raises ConfigError, OSError."""
        return operator_file.load(self.source)

    def reload(self) -> None:
        """Reads configuration and file again; a mistake in them changes nothing."""
        reload_front(self, self.environ, lambda: self.side.front, self.file_is_newer)
        if self.companion is not None:
            try:
                self.companion.reread(self.read_operator_file().fleet)
            except (OSError, ValueError) as bad:
                self.log.warning("reload_failed", **error_fields(bad))

    def file_is_newer(self) -> None:
        """Drops the value of the variable, also for the next process: the file is newer."""
        self.environ.pop("BALANCER_DISCOVERY", None)

    def is_done(self) -> bool:
        """Whether all events are handled and no call is in flight."""
        return self.decided and self.side.front.relay.idle

    def close(self) -> None:
        """Closes the front."""
        if self.side.front is not None:
            self.side.front.close()


def run_headless(text: Text) -> int:
    """Runs a subscriber or a member without a front; a member's imports would cost a subscriber 3 MB."""
    if text.fleet.services:
        from .fleet.node import subscriber_process

        return subscriber_process.main(text)
    from .fleet.node import headless_member

    return headless_member.main(text)


def main(file: str) -> int:
    """Runs a coordinator as the file says; returns the exit code.  Raises ConfigError, OSError."""
    text = operator_file.load(file)
    if text.fleet is not None and "BALANCER_CONFIG" not in os.environ:
        return run_headless(text)
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return CoordinatorProcess(os.environ, text, channel is not None).run(channel)
