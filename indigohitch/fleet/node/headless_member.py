"""Runs a member of the fleet without a front: it votes and stores the Raft log."""

from __future__ import annotations

import os

from ...config.texts import Text
from ...upgrade import process_launch
from ...upgrade.handover_participant import HandoverParticipant
from .companion import add_node_companion
from .headless import HeadlessProcess
from .headless_handover import HeadlessHandover


class HeadlessMember(HeadlessProcess):
    """A process that runs only a node."""

    def __init__(self, text: Text, follows: bool) -> None:
        """Creates the process; `follows`: it was started for an upgrade."""
        self.follows = follows
        super().__init__(text)

    def make_participant(self) -> HandoverParticipant:
        """Returns the participant of handovers, which includes the node."""
        participant = HeadlessHandover(self.clock, self.control_listener, self.take_over_control, self.reload)
        return add_node_companion(self, participant, self.text.fleet, True, self.follows)


def main(text: Text) -> int:
    """Runs the process and returns its exit code; raises OSError if it can't start."""
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return HeadlessMember(text, channel is not None).run(channel)
