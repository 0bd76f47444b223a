"""A coordinator that can be upgraded: the front of the platform, configured by an operator's file too.

It is for installations that allow a control socket and, during an upgrade, a second process.
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
    """The process of a coordinator that has an operator's file."""

    def __init__(self, environ: MutableMapping[str, str], text: Text, follows: bool) -> None:
        self.environ = environ
        self.source = text.source
        self.fleet = text.fleet
        self.follows = follows
        self.all_events_handled = False  # while ending: the module has handled all earlier events
        super().__init__(environ.get("BALANCER_NAME", ""), text.single, text.waits)

    def make_participant(self) -> HandoverParticipant:
        """Returns the participant of handovers, which includes the companion that the file configures."""
        participant = CoordinatorHandover(
            None, self.make_front, self.control_listener, self.take_over_control, self.reload
        )
        if self.fleet is None:
            return participant
        if self.fleet.services:
            return self.subscriber_participant(participant)
        from .fleet.node.companion import add_node_companion

        return add_node_companion(self, participant, self.fleet, False, self.follows)

    def subscriber_participant(self, participant: HandoverParticipant) -> HandoverParticipant:
        """Wraps the participant, so that the subscription is handed over too."""
        from .fleet.node.subscriber_process import SubscriberHandover, Subscription

        if self.companion is None:
            self.companion = Subscription(self.loop, self.log, self.fleet)
        return SubscriberHandover(participant, self.companion)

    def subscribed_backends(self, on_list: ListCallback) -> BackendSource:
        """Returns a source that lists the backends which the subscription reports."""
        from .backend_subscription.source import SubscribedBackends

        source = SubscribedBackends(
            self.loop, self.log, self.companion.resources, on_list, self.companion.confirmed_until
        )
        self.companion.on_services_applied = source.on_update
        return source

    def make_front(self, listening: socket.socket | None) -> Front:
        """Creates the front, on the predecessor's listening socket if there is one."""
        subscribes = self.fleet is not None and self.fleet.services
        front = Front(
            self.loop,
            self.log,
            read_configuration(self.environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY"),
            listening,
            self.subscribed_backends if subscribes else None,
        )
        if self.fleet is not None and not subscribes:
            from .fleet.audit.relay_orders import order_recorder

            front.relay.is_allowed = order_recorder(self.clock, lambda: self.companion.node)
        return front

    def turn(self) -> None:
        """Lets the module handle the gathered events, if they are due at the end of this turn of the loop."""
        if self.participant.front is not None:
            event_batch = self.participant.front.event_batch
            event_batch.flush_if_due()
            self.all_events_handled = self.phase is ProcessPhase.ENDING and (
                self.all_events_handled or not event_batch.events
            )

    def discard_state(self) -> None:
        """Discards a partly restored state."""
        if self.participant.front is not None:
            self.participant.front.close()
        self.participant = self.make_participant()
        self.predecessor_driver.side = self.participant

    def extra_status(self) -> dict:
        """Returns the keys that a coordinator adds to the status."""
        front = self.participant.front
        return {
            "proxies": len(front.store_mirror.proxies),
            "slices": len(front.store_mirror.tables),
            "calls_waiting": len(front.relay.pending_calls),
            "news_begun": front.store_mirror.has_started,
        }

    def read_operator_file(self) -> Text:
        """Reads the operator's file once more.  Raises ConfigError, OSError."""
        return operator_file.load(self.source)

    def reload(self) -> None:
        """Applies the configuration and the operator's file once more; one with a mistake changes nothing."""
        reload_front(self, self.environ, lambda: self.participant.front, self.drop_discovery_override)
        if self.companion is not None:
            try:
                self.companion.reread(self.read_operator_file().fleet)
            except (OSError, ValueError) as error:
                self.log.warning("reload_failed", **error_fields(error))

    def drop_discovery_override(self) -> None:
        """Removes BALANCER_DISCOVERY, also for the next process: the file that was applied is newer."""
        self.environ.pop("BALANCER_DISCOVERY", None)

    def is_done(self) -> bool:
        """Returns whether all events are handled and no call is in flight."""
        return self.all_events_handled and self.participant.front.relay.idle

    def close(self) -> None:
        """Closes the front."""
        if self.participant.front is not None:
            self.participant.front.close()


def run_headless(text: Text) -> int:
    """Runs a subscriber or a member without a front; returns the exit code."""
    # A subscriber doesn't import a member's modules, which would cost it 3 MB.
    if text.fleet.services:
        from .fleet.node import subscriber_process

        return subscriber_process.main(text)
    from .fleet.node import headless_member

    return headless_member.main(text)


def main(file: str) -> int:
    """Runs the process of an operator's file; returns the exit code.  Raises ConfigError, OSError."""
    text = operator_file.load(file)
    if text.fleet is not None and "BALANCER_CONFIG" not in os.environ:
        return run_headless(text)
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return CoordinatorProcess(os.environ, text, channel is not None).run(channel)
